#include "fakecluster.h"

#include <algorithm>

namespace persimmon {

void FakeCluster::checkCalls() {
  for (const auto &[Id, Record] : this->Calls) {
    if (Record.OnceOnly && Record.Runs > 1)
      this->addViolation(Id + " ran " + std::to_string(Record.Runs) + " times");
    if (Record.NotRun && Record.Runs > 0)
      this->addViolation(Id + " ran but was reported as not run");
    if (Record.Answers > 1)
      this->addViolation(Id + " was answered twice");
  }
}

bool FakeCluster::converged() const {
  const Node *Leader = this->leader();
  if (Leader == nullptr)
    return false;
  const std::int64_t Version = Leader->control()->store().version();
  std::size_t Controls = 0;
  for (const auto &[Name, Item] : this->Instances) {
    if (Item.Daemon == nullptr ||
        Item.Daemon->distribution().version() != Version)
      return false;
    if (!Item.Control && !Item.Daemon->serving())
      return false;
    Controls += Item.Control ? 1 : 0;
  }
  for (const auto &[Id, Submitted] : this->SubmittedChanges) {
    if (!Submitted.Version)
      return false;
  }
  return Leader->control()->consensus().voters().size() == Controls &&
         Version >= this->NewestAccepted;
}

std::vector<std::string> FakeCluster::describe() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Item] : this->Instances) {
    if (Item.Daemon == nullptr) {
      Out.push_back(Name + " down");
      continue;
    }
    std::string Line = Name + " version " +
                       std::to_string(Item.Daemon->distribution().version()) +
                       " hash " +
                       std::to_string(Item.Daemon->distribution().hash()) +
                       (Item.Daemon->serving() ? " serving" : "");
    if (Item.Control) {
      const Consensus &Raft = Item.Daemon->control()->consensus();
      Line += " disk " + std::to_string(Item.DiskId) + " role " +
              std::to_string(static_cast<int>(Raft.role())) + " term " +
              std::to_string(Raft.term()) + " commit " +
              std::to_string(Raft.commitIndex()) + "/" +
              std::to_string(Raft.lastIndex()) + " voters";
      for (const wire::Replica &Voter : Raft.voters())
        Line += " " + Voter.Instance + "/" + std::to_string(Voter.DiskId);
    }
    Out.push_back(std::move(Line));
  }
  return Out;
}

void FakeCluster::checkAll(const Instance &Item) {
  if (Item.Daemon == nullptr)
    return;
  if (Item.Control)
    this->checkControl(Item);
  else
    this->checkProxy(Item);
}

void FakeCluster::checkControl(const Instance &Item) {
  const ControlService &Control = *Item.Daemon->control();
  const std::int64_t Version = Control.store().version();
  const auto [Seen, Inserted] =
      this->HashOfVersion.emplace(Version, Control.store().hash());
  if (!Inserted && Seen->second != Control.store().hash())
    this->addViolation("version " + std::to_string(Version) +
                       " has two content hashes");
  if (!Control.consensus().leader())
    return;
  const auto [Known, First] = this->LeaderOfTerm.emplace(
      Control.consensus().term(),
      Item.Identity.Name + "/" + std::to_string(Item.DiskId));
  if (!First &&
      Known->second != Item.Identity.Name + "/" + std::to_string(Item.DiskId))
    this->addViolation("two leaders in term " +
                       std::to_string(Control.consensus().term()));
  if (!Control.consensus().ready())
    return;
  for (const auto &[Id, Submitted] : this->SubmittedChanges) {
    // A partitioned leader may lag behind but cannot accept changes.
    const auto Outcome = Control.store().outcomeOf(Id);
    if (Submitted.Version && Outcome && *Outcome != *Submitted.Version)
      this->addViolation("accepted change " + Id + " has another version");
    if (Submitted.Version && !Outcome && *Submitted.Version <= Version)
      this->addViolation("accepted change " + Id + " was lost");
  }
}

void FakeCluster::checkProxy(const Instance &Item) {
  const Distribution &Config = Item.Daemon->distribution();
  const auto Found = this->HashOfVersion.find(Config.version());
  if (Config.version() != 0 &&
      (Found == this->HashOfVersion.end() || Found->second != Config.hash()))
    this->addViolation("proxy " + Item.Identity.Name + " holds version " +
                       std::to_string(Config.version()) +
                       " with content that was never committed");
  if (!Item.Daemon->serving())
    return;
  if (Config.version() < Item.LastServedVersion)
    this->addViolation("proxy " + Item.Identity.Name +
                       " reverted from version " +
                       std::to_string(Item.LastServedVersion) + " to " +
                       std::to_string(Config.version()));
  const_cast<Instance &>(Item).LastServedVersion = Config.version();
}

} // namespace persimmon
