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
  this->OrderAnswers[What.RequestId] = What.Error;
  for (auto &[Id, Submitted] : this->SubmittedChanges) {
    if (Submitted.RequestId != What.RequestId || What.Error.failed() ||
        Submitted.TheChange.ChangeId.empty())
      continue;
    if (Submitted.Version && *Submitted.Version != What.Version)
      this->addViolation("change " + Id + " was answered with two versions");
    Submitted.Version = What.Version;
    this->NewestAccepted = std::max(this->NewestAccepted, What.Version);
    this->addTraceLine("change " + Id + " accepted as " +
                       std::to_string(What.Version));
  }
}

void FakeCluster::perform(Instance &By, const SendCall &What) {
  By.CallIds[What.CallNumber] = What.Header.CallId;
  this->sendMessage(By, {What.Address, What.Header, Channel::Stream}, {});
}

void FakeCluster::sendBody(Instance &By, const SendBody &What,
                           std::optional<FaultKind> Fault) {
  wire::BodyPart OnlyPart;
  OnlyPart.Id = What.Id;
  OnlyPart.RemainingMs = What.RemainingMs;
  this->sendMessage(By, {What.Address, OnlyPart, Channel::Stream}, Fault);
}

void FakeCluster::perform(Instance &By, const RunOnTarget &What) {
  CallRecord &Record = this->Calls[By.AttemptCallIds[What.Id]];
  Record.Runs += 1;
  By.Running += 1;
  this->addTraceLine(By.Identity.Name + " runs " + By.AttemptCallIds[What.Id]);
  if (By.IsDraining)
    this->addViolation(By.Identity.Name + " received new work while draining");
  if (By.AwaitingBody.count(What.Id) != 0)
    this->addViolation(By.AttemptCallIds[What.Id] + " ran without its body");
  if (By.Running > By.Slots)
    this->addViolation("slots exceeded at " + By.Identity.Name);
  FakeRun Run{this->RunTime};
  if (this->Runner)
    Run = this->Runner(By.Identity.Name);
  RunFinished Done;
  Done.Id = What.Id;
  Done.Status = Run.Status;
  Done.End = Run.End;
  Delivery Later;
  Later.To = By.Identity.Name;
  Later.Incarnation = By.LastIncarnation;
  Later.Body = Done;
  this->scheduleDelivery(this->Now + Run.Takes, std::move(Later));
}

void FakeCluster::perform(Instance &By, const SendAnswer &What) {
  wire::CallReply Out;
  Out.Id = What.Id;
  Out.TargetLoad = What.TargetLoad;
  const auto Found = By.FinishedCalls.find(What.Id);
  Out.Outcome = Found == By.FinishedCalls.end() ? wire::CallOutcome::Unknown
                                                : wire::CallOutcome::Finished;
  const auto Status = By.FinishedStatus.find(What.Id);
  Out.Status = Status == By.FinishedStatus.end() ? 200 : Status->second;
  Out.Body = Found == By.FinishedCalls.end() ? "" : Found->second;
  this->sendMessage(By, {What.Address, Out, Channel::Stream}, {});
}

void FakeCluster::perform(Instance &By, const AnswerCaller &What) {
  CallRecord &Record = this->Calls[By.CallIds[What.CallNumber]];
  Record.Answered = true;
  Record.Answers += 1;
  Record.Misdelivered = By.ReplyBodies[What.Id] != By.CallIds[What.CallNumber];
  if (Record.Misdelivered)
    this->addViolation("answer of another call delivered to " +
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
  const auto Found = this->OpenConnections.find(Key);
  if (Found == this->OpenConnections.end())
    return;
  if (this->Connections.at(Found->second).LastReceivedAt > What.SilentSince) {
    Delivery Alive;
    Alive.To = By.Identity.Name;
    Alive.Incarnation = By.LastIncarnation;
    Alive.Body = StreamAlive{
        What.Address, this->Connections.at(Found->second).LastReceivedAt};
    this->scheduleDelivery(this->Now, std::move(Alive));
    return;
  }
  this->notifyStreamLost(By, this->Connections.at(Found->second),
                         StreamEnd::Abandoned, this->Now);
  this->Connections.erase(Found->second);
  this->OpenConnections.erase(Found);
}

void FakeCluster::perform(Instance &By, const DropReceivedAnswer &What) {
  const auto Found =
      this->OpenConnections.find({By.Identity.Name, What.Address});
  if (Found != this->OpenConnections.end())
    this->Connections.at(Found->second).UndecidedAttempts.erase(What.Id);
}

void FakeCluster::perform(Instance &By, const ContinueWork &) {
  Delivery Next;
  Next.To = By.Identity.Name;
  Next.Incarnation = By.LastIncarnation;
  Next.Body = WorkContinued();
  this->scheduleDelivery(this->Now + milliseconds(1), std::move(Next));
}

void FakeCluster::perform(Instance &By, const ReadyToExit &) {
  this->addTraceLine(By.Identity.Name + " exits");
  By.Exited = true;
  const std::string &Name = By.Identity.Name;
  const std::string Stop = "planned stop of " + Name;
  for (const auto &[Id, Record] : this->Calls) {
    std::string Problem = Stop;
    Problem.append(" interrupted ").append(Id);
    if (Record.Entry == Name && Record.Answers == 0)
      this->addViolation(Problem);
  }
  if (By.Running > 0)
    this->addViolation(Stop + " left calls running");
}

} // namespace persimmon
