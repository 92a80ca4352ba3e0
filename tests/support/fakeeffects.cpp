#include "fakecluster.h"

#include <algorithm>

namespace persimmon {

void FakeCluster::perform(Instance &By, const PersistHardState &What) {
  By.Disk.HardState = What.State;
}

void FakeCluster::perform(Instance &By, const PersistEntries &What) {
  std::erase_if(By.Disk.Entries, [&](const wire::LogEntry &Entry) {
    return Entry.Index >= What.Entries.front().Index;
  });
  By.Disk.Entries.insert(By.Disk.Entries.end(), What.Entries.begin(),
                         What.Entries.end());
}

void FakeCluster::perform(Instance &By, const PersistSnapshot &What) {
  const wire::StoreSnapshot &Content = What.Snapshot;
  const bool Continues =
      std::any_of(By.Disk.Entries.begin(), By.Disk.Entries.end(),
                  [&](const wire::LogEntry &Entry) {
                    return Entry.Index == Content.LastIndex &&
                           Entry.Term == Content.LastTerm;
                  });
  By.Disk.Snapshot = Content;
  std::erase_if(By.Disk.Entries, [&](const wire::LogEntry &Entry) {
    return !Continues || Entry.Index <= Content.LastIndex;
  });
}

void FakeCluster::perform(Instance &, const AnswerOperator &What) {
  for (auto &[Id, Wanted] : this->Wishes) {
    if (Wanted.RequestId != What.RequestId || What.Error.failed() ||
        Wanted.TheChange.ChangeId.empty())
      continue;
    if (Wanted.Version && *Wanted.Version != What.Version)
      this->violation("change " + Id + " was answered with two versions");
    Wanted.Version = What.Version;
    this->NewestAccepted = std::max(this->NewestAccepted, What.Version);
    this->note("change " + Id + " accepted as " + std::to_string(What.Version));
  }
}

void FakeCluster::perform(Instance &By, const SendCall &What) {
  By.CallIds[What.CallNumber] = What.Header.CallId;
  this->sendMessage(By, {What.Address, What.Header, Channel::Stream}, {});
}

void FakeCluster::sendBody(Instance &By, const SendBody &What,
                           std::optional<FaultKind> Fault) {
  wire::BodyPart Whole;
  Whole.Id = What.Id;
  Whole.RemainingMs = What.RemainingMs;
  this->sendMessage(By, {What.Address, Whole, Channel::Stream}, Fault);
}

void FakeCluster::perform(Instance &By, const RunOnTarget &What) {
  CallRecord &Record = this->Calls[By.Requests[What.Id]];
  Record.Runs += 1;
  By.Running += 1;
  this->note(By.Identity.Name + " runs " + By.Requests[What.Id]);
  if (By.Leaving)
    this->violation(By.Identity.Name + " received new work while draining");
  if (By.Bodiless.count(What.Id) != 0)
    this->violation(By.Requests[What.Id] + " ran without its body");
  if (By.Running > By.Slots)
    this->violation("slots exceeded at " + By.Identity.Name);
  RunFinished Done;
  Done.Id = What.Id;
  Done.Status = 200;
  Delivery Later;
  Later.To = By.Identity.Name;
  Later.Incarnation = By.LastIncarnation;
  Later.Body = Done;
  this->deliver(this->Now + this->RunTime, std::move(Later));
}

void FakeCluster::perform(Instance &By, const SendAnswer &What) {
  wire::CallReply Out;
  Out.Id = What.Id;
  Out.TargetLoad = What.TargetLoad;
  const auto Held = By.Held.find(What.Id);
  Out.Outcome = Held == By.Held.end() ? wire::CallOutcome::Unknown
                                      : wire::CallOutcome::Finished;
  Out.Status = 200;
  Out.Body = Held == By.Held.end() ? "" : Held->second;
  this->sendMessage(By, {What.Address, Out, Channel::Stream}, {});
}

void FakeCluster::perform(Instance &By, const AnswerCaller &What) {
  CallRecord &Record = this->Calls[By.CallIds[What.CallNumber]];
  Record.Answered = true;
  Record.Answers += 1;
  Record.Crossed = By.Arrived[What.Id] != By.CallIds[What.CallNumber];
  if (Record.Crossed)
    this->violation("answer of another call delivered to " +
                    By.CallIds[What.CallNumber]);
}

void FakeCluster::perform(Instance &By, const RefuseCaller &What) {
  CallRecord &Record = this->Calls[By.CallIds[What.CallNumber]];
  Record.Answers += 1;
  Record.Code = What.Error.Code;
  Record.NotRun = Record.Code != ResultCode::OutcomeUnknown &&
                  Record.Code != ResultCode::DeadlinePassed &&
                  Record.Code != ResultCode::TargetBroke &&
                  Record.Code != ResultCode::KeyClaimed;
}

void FakeCluster::perform(Instance &By, const RenewConnection &What) {
  const auto Key = std::pair(By.Identity.Name, What.Address);
  const auto Found = this->OpenLinks.find(Key);
  if (Found == this->OpenLinks.end())
    return;
  if (this->Links.at(Found->second).HeardAt > What.SilentSince) {
    Delivery Alive;
    Alive.To = By.Identity.Name;
    Alive.Incarnation = By.LastIncarnation;
    Alive.Body =
        StreamAlive{What.Address, this->Links.at(Found->second).HeardAt};
    this->deliver(this->Now, std::move(Alive));
    return;
  }
  this->tellLost(By, this->Links.at(Found->second), StreamEnd::Abandoned,
                 this->Now);
  this->Links.erase(Found->second);
  this->OpenLinks.erase(Found);
}

void FakeCluster::perform(Instance &By, const DropReceivedAnswer &What) {
  const auto Found = this->OpenLinks.find({By.Identity.Name, What.Address});
  if (Found != this->OpenLinks.end())
    this->Links.at(Found->second).Carried.erase(What.Id);
}

void FakeCluster::perform(Instance &By, const ReadyToExit &) {
  this->note(By.Identity.Name + " exits");
  const std::string &Name = By.Identity.Name;
  const std::string Stop = "planned stop of " + Name;
  for (const auto &[Id, Record] : this->Calls) {
    std::string Problem = Stop;
    Problem.append(" interrupted ").append(Id);
    if (Record.Entry == Name && Record.Answers == 0)
      this->violation(Problem);
  }
  if (By.Running > 0)
    this->violation(Stop + " left calls running");
}

} // namespace persimmon
