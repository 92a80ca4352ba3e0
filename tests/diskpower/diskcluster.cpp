#include "diskcluster.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr int MemberCount = 5;
constexpr std::size_t MostWiped = 2;
constexpr std::int64_t EntriesPerSnapshot = 8;
constexpr milliseconds TickInterval{20};
constexpr milliseconds RecoveryLimit{30000};

bool isPersist(const Effect &What) {
  return std::holds_alternative<PersistHardState>(What) ||
         std::holds_alternative<PersistEntries>(What) ||
         std::holds_alternative<PersistSnapshot>(What);
}

} // namespace

DiskCluster::DiskCluster(std::uint64_t Seed)
    : Random(Seed), Now(std::chrono::hours(1)) {
  for (int I = 1; I <= MemberCount; ++I) {
    const std::string Address = "10.0.0." + std::to_string(I) + ":1";
    this->Members[Address].Self = initialVoterAt(Address);
  }
}

void DiskCluster::addViolation(const std::string &Text) {
  this->Violations.push_back(
      std::to_string((this->Now.time_since_epoch() - std::chrono::hours(1)) /
                     milliseconds(1)) +
      " ms: " + Text);
}

void DiskCluster::start(Member &Item) {
  this->LastStart += 1;
  Item.Start = this->LastStart;
  Item.LosesPower = this->AtOpen && this->below(2) == 0;
  if (this->AtOpen && this->below(3) == 0)
    Item.Disk.endProcessAfter(1 + this->below(20));
  std::optional<std::int64_t> InitialDiskId;
  if (Item.Bootstrap)
    InitialDiskId = initialVoterAt(Item.Self.Address).DiskId;
  const Failure Error = handleResult(
      [&] {
        return DiskStore::open(Item.Disk.openFolder(),
                               diskIdFrom(this->Random()), InitialDiskId);
      },
      [&](DiskStore Opened) { Item.Store.emplace(std::move(Opened)); });
  if (!Item.Store) {
    if (!Item.Disk.processEnded())
      this->addViolation(Item.Self.Address + " start: " + describe(Error));
    this->endProcess(Item);
    return;
  }
  if (Item.Store->damage().failed())
    this->addViolation(Item.Self.Address +
                       " lost its disk: " + describe(Item.Store->damage()));
  Item.Self.DiskId = Item.Store->diskId();
  const DurableState &State = Item.Store->state();
  Item.AppliedIndex = State.Snapshot.LastIndex;
  Item.AppliedTerm = State.Snapshot.LastTerm;
  Item.SnapshotIndex = State.Snapshot.LastIndex;
  Item.Voters = State.Snapshot.Voters;
  Item.Applied.clear();
  for (const wire::Setting &Setting : State.Snapshot.Settings)
    Item.Applied[Setting.Path] = Setting.Value;
  std::vector<ControlPeer> Peers;
  std::vector<std::string> Addresses;
  for (const auto &[Address, Other] : this->Members) {
    Addresses.push_back(Address);
    if (Address != Item.Self.Address)
      Peers.push_back({Address, Address});
  }
  VoterPolicy Policy;
  Policy.Count = MemberCount;
  Item.Logic = std::make_unique<Consensus>(Item.Self, std::move(Peers), Policy,
                                           this->Random());
  Item.Logic->restore(State, this->Now);
  Item.Store->releaseState();
  Effects Out;
  if (Item.Bootstrap)
    Item.Logic->bootstrap(initialVotersAt(std::move(Addresses)), this->Now,
                          Out);
  this->execute(Item, std::move(Out));
}

void DiskCluster::endProcess(Member &Item) {
  Item.Logic.reset();
  Item.Store.reset();
  this->Ends += 1;
  if (Item.LosesPower)
    Item.Disk.losePower(this->Random);
  else
    Item.Disk.restart();
  Item.LosesPower = false;
  Item.RestartAt =
      this->Now + milliseconds(50 + static_cast<int>(this->below(
                                        this->below(4) == 0 ? 3000 : 400)));
}

void DiskCluster::endAfter(Member &Item, std::uint64_t Steps, bool LosesPower) {
  if (!Item.Logic)
    return;
  Item.LosesPower = LosesPower;
  Item.Disk.endProcessAfter(Steps);
  if (Steps == 0)
    this->endProcess(Item);
}

void DiskCluster::wipe(Member &Item) {
  if (this->recovered())
    this->Wiped.clear();
  if (this->Wiped.size() >= MostWiped &&
      !this->Wiped.contains(Item.Self.Address))
    return;
  if (this->Wiped.contains(Item.Self.Address) || !Item.Logic)
    return;
  this->Wiped.insert(Item.Self.Address);
  this->endProcess(Item);
  Item.Disk.wipe();
  Item.Bootstrap = false;
}

void DiskCluster::perform(Member &Item, const SendMessage &What) {
  if (const auto *Vote = std::get_if<wire::VoteReply>(&What.Body)) {
    if (Vote->Granted && !Vote->PreVote)
      for (const auto &[Address, Other] : this->Members)
        if (Address == What.Address)
          this->noteVote(Vote->FromDisk, Vote->Term, Other.Self.DiskId);
  }
  if (const auto *Asked = std::get_if<wire::VoteRequest>(&What.Body)) {
    if (!Asked->PreVote)
      this->noteVote(Asked->Candidate.DiskId, Asked->Term,
                     Asked->Candidate.DiskId);
  }
  const auto Found = this->Members.find(What.Address);
  if (Found == this->Members.end())
    return;
  this->InFlight.emplace(this->Now + milliseconds(1),
                         Delivery{What.Address, Found->second.Start,
                                  Item.Self.Address, What.Body});
}

void DiskCluster::noteVote(std::int64_t DiskId, std::int64_t Term,
                           std::int64_t For) {
  const auto [Known, IsNew] =
      this->VoteOf.emplace(std::pair(DiskId, Term), For);
  if (!IsNew && Known->second != For)
    this->addViolation("disk " + std::to_string(DiskId) +
                       " voted twice in term " + std::to_string(Term));
}

void DiskCluster::execute(Member &Item, Effects What) {
  if (Item.Logic)
    this->applyCommitted(Item, What);
  for (const Effect &Next : What) {
    if (const auto *Sent = std::get_if<SendMessage>(&Next))
      this->perform(Item, *Sent);
    if (!isPersist(Next))
      continue;
    const Failure Error = handleResult(
        [&]() -> leaf::result<void> {
          if (const auto *Hard = std::get_if<PersistHardState>(&Next))
            return Item.Store->write(*Hard);
          if (const auto *Entries = std::get_if<PersistEntries>(&Next))
            return Item.Store->write(*Entries);
          return Item.Store->write(std::get<PersistSnapshot>(Next));
        },
        [] {});
    if (Error.failed()) {
      this->endProcess(Item);
      return;
    }
  }
  // Acknowledged last: a leader answers only after what it wrote was synced.
  if (Item.Logic->leader())
    for (const auto &[Id, Value] : Item.Applied)
      this->Acknowledged.emplace(Id, Value);
}

void DiskCluster::applyCommitted(Member &Item, Effects &Out) {
  for (const wire::LogEntry &Entry : Item.Logic->takeCommitted())
    this->apply(Item, Entry);
  this->takeSnapshot(Item, Out);
}

void DiskCluster::apply(Member &Item, const wire::LogEntry &Entry) {
  Item.AppliedIndex = Entry.Index;
  Item.AppliedTerm = Entry.Term;
  const std::string Id = Entry.TheChange.ChangeId;
  const auto [Known, IsNew] =
      this->Committed.emplace(Entry.Index, std::pair(Entry.Term, Id));
  if (!IsNew && Known->second != std::pair(Entry.Term, Id))
    this->addViolation(Item.Self.Address + " committed another entry at " +
                       std::to_string(Entry.Index));
  if (Entry.Kind == wire::EntryKind::Voters)
    Item.Voters = Entry.Voters;
  if (Entry.Kind == wire::EntryKind::Change)
    Item.Applied[Id] = Entry.TheChange.Edits.front().Value;
}

void DiskCluster::takeSnapshot(Member &Item, Effects &Out) {
  if (Item.AppliedIndex - Item.SnapshotIndex < EntriesPerSnapshot)
    return;
  wire::StoreSnapshot Snapshot;
  Snapshot.LastIndex = Item.AppliedIndex;
  Snapshot.LastTerm = Item.AppliedTerm;
  Snapshot.Voters = Item.Voters;
  for (const auto &[Path, Value] : Item.Applied) {
    wire::Setting Setting;
    Setting.Path = Path;
    Setting.Value = Value;
    Snapshot.Settings.push_back(std::move(Setting));
  }
  Item.SnapshotIndex = Item.AppliedIndex;
  Item.Logic->setSnapshot(Snapshot);
  Item.Logic->compact(Item.AppliedIndex -
                      static_cast<std::int64_t>(this->below(4)));
  Out.emplace_back(PersistSnapshot{std::move(Snapshot)});
}

void DiskCluster::deliver(const Delivery &What) {
  Member &Item = this->Members.at(What.To);
  if (!Item.Logic || Item.Start != What.Start)
    return;
  Effects Out;
  Consensus &Logic = *Item.Logic;
  if (const auto *Vote = std::get_if<wire::VoteRequest>(&What.Body))
    Logic.receive(*Vote, What.From, this->Now, Out);
  if (const auto *Reply = std::get_if<wire::VoteReply>(&What.Body))
    Logic.receive(*Reply, this->Now, Out);
  if (const auto *Append = std::get_if<wire::AppendRequest>(&What.Body))
    Logic.receive(*Append, What.From, this->Now, Out);
  if (const auto *Reply = std::get_if<wire::AppendReply>(&What.Body))
    Logic.receive(*Reply, this->Now, Out);
  if (const auto *Join = std::get_if<wire::JoinRequest>(&What.Body))
    Logic.receive(*Join, this->Now, Out);
  if (const auto *Install = std::get_if<wire::InstallRequest>(&What.Body)) {
    if (Logic.acceptsSnapshot(*Install, What.From, this->Now, Out)) {
      Logic.installSnapshot(*Install, What.From, Out);
      const wire::StoreSnapshot &Snapshot = Install->Snapshot;
      Item.AppliedIndex = Snapshot.LastIndex;
      Item.AppliedTerm = Snapshot.LastTerm;
      Item.SnapshotIndex = Snapshot.LastIndex;
      Item.Voters = Snapshot.Voters;
      Item.Applied.clear();
      for (const wire::Setting &Setting : Snapshot.Settings)
        Item.Applied[Setting.Path] = Setting.Value;
    }
  }
  this->execute(Item, std::move(Out));
}

void DiskCluster::run(milliseconds For) {
  const Time End = this->Now + For;
  for (; this->Now < End; this->Now += milliseconds(1)) {
    while (!this->InFlight.empty() &&
           this->InFlight.begin()->first <= this->Now) {
      const Delivery Next = std::move(this->InFlight.begin()->second);
      this->InFlight.erase(this->InFlight.begin());
      this->deliver(Next);
    }
    const bool TickIsDue = (this->Now.time_since_epoch() / milliseconds(1)) %
                               TickInterval.count() ==
                           0;
    for (auto &[Address, Item] : this->Members) {
      if (!Item.Logic && this->Now >= Item.RestartAt)
        this->start(Item);
      if (!Item.Logic || !TickIsDue)
        continue;
      Effects Out;
      Item.Logic->tick(this->Now, Out);
      this->execute(Item, std::move(Out));
    }
  }
}

DiskCluster::Member *DiskCluster::leader() {
  Member *Out = nullptr;
  for (auto &[Address, Item] : this->Members)
    if (Item.Logic && Item.Logic->leader() &&
        (Out == nullptr || Item.Logic->term() > Out->Logic->term()))
      Out = &Item;
  return Out;
}

void DiskCluster::proposeChange() {
  Member *Item = this->leader();
  if (Item == nullptr)
    return;
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Change;
  Entry.TheChange.ChangeId = "change-" + std::to_string(++this->LastChange);
  Entry.TheChange.Edits.resize(1);
  Entry.TheChange.Edits[0].Value =
      std::string(this->below(this->below(4) == 0 ? 6000 : 300),
                  static_cast<char>('a' + this->below(26)));
  Effects Out;
  Item->Logic->propose(std::move(Entry), this->Now, Out);
  this->execute(*Item, std::move(Out));
}

void DiskCluster::injectFault() {
  const auto Kind = this->below(10);
  const bool LosesPower = this->below(2) == 0;
  const auto Chosen = std::next(this->Members.begin(),
                                static_cast<int>(this->below(MemberCount)));
  if (Kind < 3) {
    this->endAfter(Chosen->second, this->below(12), LosesPower);
    return;
  }
  if (Kind == 3) {
    this->wipe(Chosen->second);
    return;
  }
  if (Kind == 4)
    return;
  this->endAll(LosesPower);
  if (Kind < 7)
    return;
  // What the successors read and answered for must outlast a loss of power.
  this->run(milliseconds(static_cast<int>(this->below(2500))));
  this->endAll(true);
}

void DiskCluster::endAll(bool LosesPower) {
  for (auto &[Address, Item] : this->Members)
    this->endAfter(Item, 1 + this->below(8), LosesPower);
  for (auto Changes = this->below(4); Changes > 0; --Changes)
    this->proposeChange();
  this->run(milliseconds(static_cast<int>(this->below(5))));
  for (auto &[Address, Item] : this->Members)
    this->endAfter(Item, 0, LosesPower);
}

void DiskCluster::runFaults(int Count) {
  this->AtOpen = true;
  this->run(milliseconds(2000));
  for (int I = 0; I < Count; ++I) {
    for (auto Changes = this->below(6); Changes > 0; --Changes) {
      this->proposeChange();
      this->run(milliseconds(static_cast<int>(this->below(4))));
    }
    this->injectFault();
    this->run(milliseconds(static_cast<int>(
        this->below(3) == 0 ? this->below(5000) : this->below(60))));
  }
  this->AtOpen = false;
}

bool DiskCluster::recovered() const {
  const auto Leading = std::find_if(
      this->Members.begin(), this->Members.end(), [](const auto &Item) {
        return Item.second.Logic && Item.second.Logic->ready();
      });
  if (Leading == this->Members.end())
    return false;
  const Consensus &Leader = *Leading->second.Logic;
  return Leader.voters().size() == MemberCount &&
         std::all_of(this->Members.begin(), this->Members.end(),
                     [&](const auto &Other) {
                       const Member &Item = Other.second;
                       return Item.Logic && Item.Logic->voter() &&
                              Item.AppliedIndex == Leader.lastIndex();
                     });
}

void DiskCluster::checkRecovery() {
  for (auto &[Address, Item] : this->Members)
    if (Item.Logic && !Item.Disk.processEnded())
      Item.Disk.restart();
  const Time Limit = this->Now + RecoveryLimit;
  while (!this->recovered() && this->Now < Limit)
    this->run(milliseconds(100));
  if (!this->recovered())
    this->addViolation("no quorum, or a member is not back");
  for (const auto &[Address, Item] : this->Members) {
    if (!Item.Logic)
      continue;
    for (const auto &[Id, Value] : this->Acknowledged) {
      const auto Found = Item.Applied.find(Id);
      if (Found == Item.Applied.end() || Found->second != Value) {
        std::string Text = Address;
        this->addViolation(Text.append(" lacks the acknowledged ").append(Id));
        break;
      }
    }
  }
}

} // namespace persimmon
