#include "attemptscheduler.h"

#include <algorithm>
#include <cmath>

namespace persimmon {

namespace {

constexpr milliseconds KeepFinished{30'000};
constexpr milliseconds KeepRefused{30'000};
constexpr milliseconds KeepAcknowledged{5'000};
constexpr milliseconds SweepInterval{500};
constexpr milliseconds AnswerAckTimeout{2'000};
constexpr std::int64_t MaxHeldAnswerBytes = 64 << 20;
/// The schemas limit the deadline of a call to ten minutes.
constexpr milliseconds KeepWatermark{3'600'000};
/// Share of its useful time within which an answer must be predicted to have
/// left; the rest covers the way to the caller and errors of the prediction.
constexpr double PredictableShare = 0.8;
/// Minimum expected remaining time of a run that exceeds its route's mean, as a
/// share of the mean.
constexpr double LongRunShare = 0.3;
/// Calls that run at once until the target has answered this process. A target
/// in need names its rate in each answer, but a daemon that starts again does
/// not know it.
constexpr int RunsBeforeFirstAnswer = 2;
/// Multiple of a route's mean run time that must be left until the daemon
/// exits. Longer runs are rare.
constexpr int ExitMargin = 2;

} // namespace

std::string_view AttemptScheduler::nameOf(Stage State) {
  switch (State) {
  case Stage::Reserved:
    return "reserved";
  case Stage::Queued:
    return "queued";
  case Stage::Running:
    return "running";
  case Stage::Finished:
    return "finished";
  case Stage::Refused:
    return "refused";
  case Stage::Fenced:
    break;
  }
  return "fenced";
}

int AttemptScheduler::slots(const ServiceSpec *Limits) const {
  const int Announced = std::max(1, this->Target.Slots);
  if (Limits == nullptr || Limits->SlotsLimit == 0)
    return Announced;
  return std::min(Announced, Limits->SlotsLimit);
}

wire::Load AttemptScheduler::load() const {
  wire::Load Out;
  Out.Running = static_cast<std::int32_t>(this->RunningIds.size());
  Out.Queued = static_cast<std::int32_t>(this->Queue.size());
  Out.Slots = this->SlotCount;
  return Out;
}

wire::Load AttemptScheduler::reportedLoad(std::string_view Route,
                                          Time Now) const {
  wire::Load Out = this->load();
  if (this->RateLimit.active()) {
    // As many slots as the calls occupy that the target takes.
    const double Occupied =
        this->RunTimes.expectedMs({}) / this->RateLimit.intervalMs();
    Out.Slots = std::clamp(static_cast<int>(std::ceil(Occupied)), 1, Out.Slots);
  }
  Out.LinkMs = static_cast<std::int32_t>(this->Link.backlog(Now).count());
  Out.PacePercent = this->Pace.percent();
  if (this->EvenPlacement || Out.PacePercent > 0)
    Out.__set_RunMs(static_cast<std::int32_t>(
        std::lround(this->RunTimes.expectedMs(Route))));
  return Out;
}

bool AttemptScheduler::idle() const {
  return std::none_of(
      this->Attempts.begin(), this->Attempts.end(), [](const auto &Item) {
        const Attempt &A = Item.second;
        return A.State == Stage::Reserved || A.State == Stage::Queued ||
               A.State == Stage::Running ||
               (A.State == Stage::Finished && !A.Acknowledged);
      });
}

void AttemptScheduler::setTarget(const TargetAnnounced &Announced, Time Now,
                                 Effects &Out) {
  const bool KnownTarget = !this->Target.InstanceId.empty();
  if (KnownTarget && Announced.InstanceId != this->Target.InstanceId) {
    this->RateLimit.clear();
    this->Pace = {};
  }
  // A target that starts while this process runs has named no rate yet.
  this->TargetAnswered =
      this->TargetAnswered || KnownTarget || Announced.Sequence <= 1;
  this->Target = Announced;
  if (Announced.State == wire::TargetState::Draining)
    this->refuseQueued(ResultCode::Draining, Now, Out);
  if (Announced.State == wire::TargetState::Gone)
    this->refuseQueued(ResultCode::TargetUnreachable, Now, Out);
}

void AttemptScheduler::drain(Time Now, Effects &Out) {
  this->IsDraining = true;
  this->refuseQueued(ResultCode::Draining, Now, Out);
}

void AttemptScheduler::refuseQueued(ResultCode Code, Time Now, Effects &Out) {
  for (const WaitingCall &Call : this->Queue.takeAll())
    this->refuse(this->Attempts.at(Call.Id), Code, Now, Out);
}

void AttemptScheduler::reply(const wire::AttemptId &Id, std::string_view To,
                             wire::CallOutcome::type Outcome, ResultCode Code,
                             Time Now, Effects &Out, Channel Via) const {
  wire::CallReply Reply;
  Reply.Id = Id;
  Reply.Outcome = Outcome;
  Reply.Code = static_cast<std::int32_t>(Code);
  Reply.TargetLoad = this->reportedLoad({}, Now);
  // The mean over all routes tells nothing about the route of the call.
  Reply.TargetLoad.__isset.RunMs = false;
  send(Out, To, std::move(Reply), Via);
}

void AttemptScheduler::sendAnswer(Attempt &Item, Time Now, Effects &Out) {
  Item.AnsweredOn = Item.From;
  Out.emplace_back(SendAnswer{
      Item.Id, Item.From, this->reportedLoad(Item.Route, Now), Item.Nested,
      Item.Nested ? this->ShedLoadMeter.report(Now) : wire::ShedLoad(),
      this->PeerLoads == nullptr
          ? std::vector<wire::PeerLoad>()
          : this->PeerLoads->loadsFor(Item.Id.Sender, Now)});
  constexpr auto InlineBytes = static_cast<std::int64_t>(InlineBodyBytes);
  if (Item.AnswerBytes <= InlineBytes)
    return;
  if (Item.ForLocalDaemon) {
    Out.emplace_back(SendAnswerBody{Item.Id, Item.From, 0, Item.AnswerBytes});
    return;
  }
  this->Link.add(Item.Id, Item.AnswerBytes, Item.UsefulUntil, Now);
  this->sendAnswerParts(Now, Out);
}

void AttemptScheduler::sendAnswerParts(Time Now, Effects &Out) {
  for (const OutgoingLink::Part &Part : this->Link.takeParts(Now)) {
    const Attempt &Item = this->Attempts.at(Part.Id);
    Out.emplace_back(
        SendAnswerBody{Part.Id, Item.AnsweredOn, Part.Begin, Part.End});
    if (Part.Last)
      Out.emplace_back(LogDecision{
          "event=answer-sent call=" + Item.CallId +
          " bytes=" + std::to_string(Part.End) +
          " waitedMs=" + std::to_string(millisecondsUntil(Now, Part.QueuedAt)) +
          " linkMs=" + std::to_string(this->Link.backlog(Now).count())});
  }
}

void AttemptScheduler::reportState(Attempt &Item, Time Now, Effects &Out) {
  if (Item.State == Stage::Finished &&
      Item.Outcome == wire::CallOutcome::Finished) {
    // The answer is already being sent on this connection; a large one takes
    // longer than the interval between two queries.
    if (Item.AnsweredOn == Item.From)
      return this->reply(Item.Id, Item.From, wire::CallOutcome::Running,
                         ResultCode::Ok, Now, Out);
    return this->sendAnswer(Item, Now, Out);
  }
  wire::CallReply Reply;
  Reply.Id = Item.Id;
  Reply.Outcome = Item.Outcome;
  Reply.Code = static_cast<std::int32_t>(Item.Code);
  Reply.TargetLoad = this->reportedLoad(Item.Route, Now);
  if (Item.State == Stage::Refused && this->PeerLoads != nullptr)
    Reply.__set_Peers(this->PeerLoads->loadsFor(Item.Id.Sender, Now));
  Reply.__isset.Peers = !Reply.Peers.empty();
  Reply.Nested = Item.Nested;
  if (Item.Nested)
    Reply.Shed = this->ShedLoadMeter.report(Now);
  if (Item.State == Stage::Reserved)
    Reply.BodyGranted = this->BodyFlow.grantedTo(Item.Id);
  if (Item.RoomAt > Now)
    Reply.RetryAfterMs =
        static_cast<std::int32_t>(millisecondsUntil(Item.RoomAt, Now));
  send(Out, Item.From, std::move(Reply));
}

bool AttemptScheduler::reserveLink(Attempt &Item, std::int64_t BodySize,
                                   Time Now) {
  const std::int64_t Bytes = this->AnswerLengths.expectedBytes(Item.Route);
  if (Item.ForLocalDaemon ||
      Bytes <= static_cast<std::int64_t>(InlineBodyBytes))
    return true;
  const Time BodyAt =
      BodySize > 0 ? this->BodyFlow.completionTime(BodySize, Now) : Now;
  const Time ReadyAt = BodyAt + milliseconds(static_cast<std::int64_t>(
                                    this->RunTimes.expectedMs(Item.Route)));
  const Time CompleteAt = this->Link.completionTime(Bytes, ReadyAt, Now);
  const Time Latest = Now + std::chrono::duration_cast<Time::duration>(
                                (Item.UsefulUntil - Now) * PredictableShare);
  if (CompleteAt > Latest) {
    Item.RoomAt = Now + (CompleteAt - Latest);
    this->RefusedByLink += 1;
    return false;
  }
  Item.ReservedBytes = Bytes;
  this->Link.reserve(Bytes);
  return true;
}

void AttemptScheduler::releaseLink(Attempt &Item) {
  this->Link.release(Item.ReservedBytes);
  Item.ReservedBytes = 0;
}

bool AttemptScheduler::wasRemoved(const wire::AttemptId &Id) const {
  const auto Found = this->RemovedUpTo.find({Id.Sender, Id.SenderIncarnation});
  return Found != this->RemovedUpTo.end() && Id.Number <= Found->second.UpTo;
}

ResultCode AttemptScheduler::checkAdmission(const wire::CallRequest &Request,
                                            Time Now) {
  if (this->IsDraining || this->Target.State == wire::TargetState::Draining)
    return ResultCode::Draining;
  if (this->Target.State == wire::TargetState::Starting)
    return ResultCode::Starting;
  if (this->Target.State != wire::TargetState::Serving)
    return ResultCode::TargetUnreachable;
  if (Request.Service != this->Target.Service)
    return ResultCode::NoTarget;
  if (Request.RemainingMs <= 0)
    return ResultCode::DeadlineCannotBeMet;
  const milliseconds RunTime(
      static_cast<std::int64_t>(this->RunTimes.expectedMs(Request.Route)));
  if (Now + milliseconds(Request.RemainingMs) > this->EndsAt &&
      Now + RunTime * ExitMargin > this->EndsAt)
    return ResultCode::Draining;
  const auto ShareOfAccount = [&](double OfAll) {
    return this->Queue.admittedShare(Request.Priority, Request.Account, OfAll,
                                     Now);
  };
  if (!this->NestedLimiter.admit(Request.Route, Request.Priority, Now,
                                 ShareOfAccount))
    return ResultCode::NestedOverload;
  return ResultCode::Ok;
}

SlotState AttemptScheduler::slotState(Time Now) const {
  SlotState Out;
  Out.Slots = this->SlotCount;
  Out.Free = this->freeSlots();
  Out.StartIntervalMs = this->RateLimit.intervalMs();
  Out.NextStartMs = this->RateLimit.nextStartMs(Now);
  for (const wire::AttemptId &Id : this->RunningIds) {
    const Attempt &Item = this->Attempts.at(Id);
    const double MeanMs = this->RunTimes.expectedMs(Item.Route);
    const std::chrono::duration<double, std::milli> Ran = Now - Item.StartedAt;
    // A run that exceeds the mean is not expected to end immediately.
    Out.RunningMs += std::max(MeanMs - Ran.count(), MeanMs * LongRunShare);
  }
  return Out;
}

int AttemptScheduler::freeSlots() const {
  return std::max(0,
                  this->SlotCount - static_cast<int>(this->RunningIds.size()));
}

int AttemptScheduler::startableCalls(Time Now) const {
  const int Free = this->RateLimit.available(this->freeSlots(), Now);
  if (this->TargetAnswered)
    return Free;
  const int Running = static_cast<int>(this->RunningIds.size());
  return std::clamp(RunsBeforeFirstAnswer - Running, 0, Free);
}

void AttemptScheduler::noticed(const TargetNotice &Notice, Time SentAt,
                               Time Now, Effects &Out) {
  const double Before = this->RateLimit.intervalMs();
  this->TargetAnswered = true;
  if (Notice.PacePercent > 0)
    this->Pace.stated(Notice.PacePercent, Now);
  if (Notice.CallsPerSecond)
    this->RateLimit.setRate(*Notice.CallsPerSecond, Now);
  else
    this->RateLimit.rateNotNamed(SentAt);
  if (this->RateLimit.intervalMs() != Before)
    Out.emplace_back(
        LogDecision{"event=target-limit id=" + this->Target.InstanceId +
                    " perSecond=" + std::to_string(this->callsPerSecond()) +
                    " running=" + std::to_string(this->RunningIds.size()) +
                    " queued=" + std::to_string(this->Queue.size())});
}

double AttemptScheduler::callsPerSecond() const {
  constexpr double MsPerSecond = 1000.0;
  return this->RateLimit.active() ? MsPerSecond / this->RateLimit.intervalMs()
                                  : 0;
}

WaitingCall AttemptScheduler::waitingCall(const Attempt &Item) const {
  WaitingCall Call;
  Call.Id = Item.Id;
  Call.Route = Item.Route;
  Call.Account = Item.Account;
  Call.AccountWeight = Item.AccountWeight;
  Call.Priority = Item.Priority;
  Call.UsefulUntil = Item.UsefulUntil;
  Call.Deadline = Item.Deadline;
  Call.Nested = Item.Nested;
  Call.Late = Item.Late;
  Call.Ready = Item.State != Stage::Reserved;
  return Call;
}

bool AttemptScheduler::linkCanDeliver(const Attempt &Item,
                                      std::int64_t BodySize, Time Now) const {
  const Time CompleteAt = this->BodyFlow.completionTime(BodySize, Now);
  if (CompleteAt == Now)
    return true;
  const milliseconds Run(
      static_cast<std::int64_t>(this->RunTimes.expectedMs(Item.Route)));
  return CompleteAt + Run <= Item.UsefulUntil;
}

ResultCode AttemptScheduler::reserve(Attempt &Item, std::int64_t BodySize,
                                     const CallContext &Context, Time Now,
                                     Effects &Out) {
  if (!Context.FromLocalDaemon && !this->linkCanDeliver(Item, BodySize, Now))
    return ResultCode::DeadlineCannotBeMet;
  Item.State = Stage::Reserved;
  Item.Outcome = wire::CallOutcome::Admitted;
  // A call that finds a free slot does not wait, so canServe() is not checked.
  if (static_cast<int>(this->Queue.size()) >= this->startableCalls(Now)) {
    const ResultCode Code = this->enqueue(Item, Context.Limits, Now, Out);
    if (Code != ResultCode::Ok)
      return Code;
  } else {
    this->Queue.add(this->waitingCall(Item));
  }
  this->BodyFlow.add(Item.Id, BodySize, !Context.FromLocalDaemon);
  this->Bodies.add(Item.Id, BodySize);
  return ResultCode::Ok;
}

void AttemptScheduler::grantBodies(Time Now, Effects &Out) {
  for (const BodyFlowControl::Grant &Granted : this->BodyFlow.grant(Now))
    this->reportState(this->Attempts.at(Granted.Id), Now, Out);
}

ResultCode AttemptScheduler::enqueue(const Attempt &Item,
                                     const ServiceSpec *Limits, Time Now,
                                     Effects &Out) {
  WaitingCall Call = this->waitingCall(Item);
  if (!this->Queue.canServe(Call, this->slotState(Now), Now))
    return ResultCode::DeadlineCannotBeMet;
  if (!this->makeRoom(Call, Limits, Now, Out))
    return ResultCode::Overloaded;
  this->Queue.add(std::move(Call));
  return ResultCode::Ok;
}

void AttemptScheduler::refuseUnservable(Time Now, Effects &Out) {
  if (this->Queue.empty())
    return;
  for (const WaitingCall &Call :
       this->Queue.takeUnservable(this->slotState(Now), Now)) {
    Attempt &Item = this->Attempts.at(Call.Id);
    this->recordShedding(Item, ResultCode::DeadlineCannotBeMet, Now);
    this->refuse(Item, ResultCode::DeadlineCannotBeMet, Now, Out);
  }
}

void AttemptScheduler::recordShedding(const Attempt &Item, ResultCode Code,
                                      Time Now) {
  // No capacity is freed for late calls, so they do not count as shed.
  if (Item.Nested || Item.Late)
    return;
  const bool IsShed =
      Code == ResultCode::DeadlineCannotBeMet || Code == ResultCode::Overloaded;
  if (IsShed || Code == ResultCode::Ok)
    this->ShedLoadMeter.countCall(Item.Priority, IsShed, Now);
}

AttemptScheduler::Attempt &
AttemptScheduler::add(const wire::CallRequest &Request, std::string_view From,
                      const CallContext &Context, Time Now) {
  const bool Nested = Context.Nested;
  Attempt Item;
  Item.Id = Request.Id;
  Item.From = std::string(From);
  Item.Deadline = Now + milliseconds(Request.RemainingMs);
  Item.Route = Request.Route;
  Item.Account = Request.Account;
  Item.AccountWeight = Context.AccountWeight;
  Item.CallId = Request.CallId;
  Item.ForLocalDaemon = Context.FromLocalDaemon;
  Item.Nested = Nested;
  Item.Late = Request.Late;
  // Refusing a nested call would waste the work of the call that waits for it,
  // so nested calls go first and stay useful until that call's deadline.
  Item.Priority = Request.Priority;
  Item.UsefulUntil = Request.UsefulMs > 0 && !Nested
                         ? Now + milliseconds(Request.UsefulMs)
                         : Item.Deadline;
  return this->Attempts.emplace(Request.Id, std::move(Item)).first->second;
}

bool AttemptScheduler::makeRoom(const WaitingCall &Call,
                                const ServiceSpec *Limits, Time Now,
                                Effects &Out) {
  // Calls whose bodies are in transit may occupy one place per free slot.
  const std::size_t Bound =
      static_cast<std::size_t>(this->startableCalls(Now)) +
      (Limits == nullptr ? 0 : static_cast<std::size_t>(Limits->Queue));
  const int MinPriority = Limits == nullptr ? 0 : Limits->ShedBelowPriority;
  if (this->Queue.size() * 2 >= Bound && Call.Priority < MinPriority)
    return false;
  if (this->Queue.size() < Bound)
    return true;
  if (!this->Queue.displacesLast(Call))
    return false;
  this->refuse(this->Attempts.at(this->Queue.takeLast().Id),
               ResultCode::Overloaded, Now, Out);
  return true;
}

bool AttemptScheduler::reportIfKnown(const wire::AttemptId &Id,
                                     std::string_view From, Time Now,
                                     Effects &Out) {
  const auto Known = this->Attempts.find(Id);
  if (Known != this->Attempts.end()) {
    Known->second.From = std::string(From);
    this->reportState(Known->second, Now, Out);
    return true;
  }
  if (!this->wasRemoved(Id))
    return false;
  this->reply(Id, From, wire::CallOutcome::Unknown, ResultCode::OutcomeUnknown,
              Now, Out);
  Out.emplace_back(DropAttempt{Id});
  return true;
}

void AttemptScheduler::receive(const wire::CallRequest &Request,
                               std::string_view From,
                               const CallContext &Context, Time Now,
                               Effects &Out) {
  if (this->reportIfKnown(Request.Id, From, Now, Out))
    return;
  Attempt &Item = this->add(Request, From, Context, Now);
  this->Queue.arrived(this->waitingCall(Item), Now);
  const ServiceSpec *Limits = Context.Limits;
  this->SlotCount = this->slots(Limits);
  this->Queue.setSlots(this->SlotCount);
  ResultCode Code = Context.ForThisIncarnation
                        ? this->checkAdmission(Request, Now)
                        : ResultCode::Fenced;
  const bool LinkFull =
      Code == ResultCode::Ok &&
      !this->reserveLink(Item, Request.BodyFollows ? Request.BodySize : 0, Now);
  if (LinkFull)
    Code = ResultCode::DeadlineCannotBeMet;
  const bool MemoryFull = Code == ResultCode::Ok && Request.BodyFollows &&
                          !this->Bodies.hasRoomFor(Request.BodySize);
  if (MemoryFull) {
    Code = ResultCode::Overloaded;
    this->RefusedByMemory += 1;
  }
  // Calls that wait for the target's rate go first.
  const bool SlotFree =
      this->startableCalls(Now) > 0 && !this->Queue.hasReady();
  if (Code == ResultCode::Ok && Request.BodyFollows)
    Code = this->reserve(Item, Request.BodySize, Context, Now, Out);
  else if (Code == ResultCode::Ok && !SlotFree)
    Code = this->enqueue(Item, Limits, Now, Out);
  // A full link or memory says nothing about the slots that nested calls need.
  if (!LinkFull && !MemoryFull)
    this->recordShedding(Item, Code, Now);
  this->logAdmission(Request, Context.Nested,
                     LinkFull                 ? "refuse-link"
                     : MemoryFull             ? "refuse-memory"
                     : Code != ResultCode::Ok ? "refuse"
                     : Request.BodyFollows    ? "reserve"
                     : SlotFree               ? "run"
                                              : "queue",
                     Code, Now, Out);
  if (Code != ResultCode::Ok)
    return this->refuse(Item, Code, Now, Out);
  if (Request.BodyFollows)
    this->grantBodies(Now, Out);
  else if (SlotFree)
    return this->run(Item, Now, Out);
  this->refuseUnservable(Now, Out);
}

void AttemptScheduler::logAdmission(const wire::CallRequest &Request,
                                    bool Nested, std::string_view Choice,
                                    ResultCode Code, Time Now,
                                    Effects &Out) const {
  Out.emplace_back(LogDecision{
      "event=admit call=" + Request.CallId + " service=" + Request.Service +
      " route=" + Request.Route +
      (Request.Account.empty() ? std::string()
                               : " account=" + Request.Account) +
      " running=" + std::to_string(this->RunningIds.size()) +
      " queued=" + std::to_string(this->Queue.size()) +
      " slots=" + std::to_string(this->SlotCount) +
      " linkMs=" + std::to_string(this->Link.backlog(Now).count()) +
      " perSecond=" + std::to_string(this->callsPerSecond()) +
      " usefulMs=" + std::to_string(Request.UsefulMs) +
      " nested=" + (Nested ? "yes" : "no") + " choice=" + std::string(Choice) +
      " code=" + std::to_string(static_cast<int>(Code))});
}

void AttemptScheduler::bodyProgress(const BodyProgress &Body, Time Now,
                                    Effects &Out) {
  this->BodyFlow.received(Body.Id, Body.Received, Now);
  this->grantBodies(Now, Out);
}

void AttemptScheduler::bodyArrived(const BodyArrived &Body, Time Now,
                                   Effects &Out) {
  const auto Found = this->Attempts.find(Body.Id);
  if (Found == this->Attempts.end() || Found->second.State != Stage::Reserved)
    return;
  Attempt &Item = Found->second;
  this->BodyFlow.remove(Body.Id);
  this->grantBodies(Now, Out);
  Item.State = Stage::Queued;
  Item.Outcome = wire::CallOutcome::Running;
  Item.Deadline = std::min(Item.Deadline, Body.Deadline);
  Item.UsefulUntil = std::min(Item.UsefulUntil, Item.Deadline);
  const bool SlotFree =
      this->startableCalls(Now) > 0 && !this->Queue.hasReady();
  Out.emplace_back(LogDecision{
      "event=body-arrived call=" + Body.CallId +
      " running=" + std::to_string(this->RunningIds.size()) +
      " queued=" + std::to_string(this->Queue.size()) +
      " leftMs=" + std::to_string(millisecondsUntil(Item.Deadline, Now)) +
      " choice=" + (SlotFree ? "run" : "queue")});
  this->Queue.setReady(Item.Id, Item.Deadline);
  if (!SlotFree || Now >= Item.Deadline)
    return this->refuseUnservable(Now, Out);
  this->Queue.remove(Item.Id);
  this->run(Item, Now, Out);
}

void AttemptScheduler::bodyLost(const BodyLost &Body, Time Now, Effects &Out) {
  const auto Found = this->Attempts.find(Body.Id);
  if (Found == this->Attempts.end() || Found->second.State != Stage::Reserved)
    return;
  this->Queue.remove(Body.Id);
  this->refuse(Found->second, ResultCode::Fenced, Now, Out);
}

void AttemptScheduler::run(Attempt &Item, Time Now, Effects &Out) {
  Item.State = Stage::Running;
  Item.StartedAt = Now;
  Item.NestedAtStart = this->NestedLimiter.nestedCount();
  this->RunningIds.insert(Item.Id);
  this->Queue.started(this->waitingCall(Item), Now);
  this->RateLimit.take(Now);
  Out.emplace_back(RunOnTarget{Item.Id, Item.Deadline});
}

void AttemptScheduler::refuse(Attempt &Item, ResultCode Code, Time Now,
                              Effects &Out) {
  this->BodyFlow.remove(Item.Id);
  this->Bodies.remove(Item.Id);
  this->releaseLink(Item);
  Item.State = Stage::Refused;
  Item.Outcome = wire::CallOutcome::NotRun;
  Item.Code = Code;
  Item.KeepUntil = Now + KeepRefused;
  this->reportState(Item, Now, Out);
  Out.emplace_back(DropAttempt{Item.Id});
}

void AttemptScheduler::startQueued(Time Now, Effects &Out) {
  this->refuseUnservable(Now, Out);
  while (this->Queue.hasReady() && this->startableCalls(Now) > 0)
    this->run(this->Attempts.at(this->Queue.takeNext().Id), Now, Out);
}

void AttemptScheduler::finished(const RunFinished &Run, Time Now,
                                Effects &Out) {
  const auto Found = this->Attempts.find(Run.Id);
  if (Found == this->Attempts.end() || Found->second.State != Stage::Running)
    return;
  Attempt &Item = Found->second;
  this->TargetAnswered = this->TargetAnswered || Run.End == RunEnd::Answered ||
                         Run.End == RunEnd::Shed;
  // A refusal need not tell all that an answer tells.
  if (Run.End == RunEnd::Answered || Run.Notice.CallsPerSecond)
    this->noticed(Run.Notice, Item.StartedAt, Now, Out);
  const std::chrono::duration<double, std::milli> Took = Now - Item.StartedAt;
  if (Run.End == RunEnd::Answered) {
    this->RunTimes.addSample(Item.Route, Took.count());
    this->NestedLimiter.runEnded(Item.Route, Item.NestedAtStart,
                                 std::chrono::duration_cast<milliseconds>(Took),
                                 static_cast<int>(this->RunningIds.size()),
                                 Now);
  }
  this->RunningIds.erase(Run.Id);
  this->Bodies.remove(Run.Id);
  this->releaseLink(Item);
  switch (Run.End) {
  case RunEnd::NotConnected:
  case RunEnd::NotSent:
    this->refuse(Item, ResultCode::TargetUnreachable, Now, Out);
    break;
  case RunEnd::Shed:
    this->refuse(Item, ResultCode::TargetShed, Now, Out);
    break;
  case RunEnd::Broken:
    Item.State = Stage::Finished;
    Item.Outcome = wire::CallOutcome::Unknown;
    Item.Code = ResultCode::TargetBroke;
    Item.Acknowledged = true;
    Item.KeepUntil = Now + KeepFinished;
    this->reportState(Item, Now, Out);
    Out.emplace_back(DropAttempt{Item.Id});
    break;
  case RunEnd::Answered:
    this->AnswerLengths.addSample(Item.Route, Run.AnswerBytes);
    this->answered(Item, Run, Now, Out);
    break;
  }
  this->startQueued(Now, Out);
  this->dropOldestAnswer(Out);
}

void AttemptScheduler::answered(Attempt &Item, const RunFinished &Run, Time Now,
                                Effects &Out) {
  const bool Cancelled = Item.Acknowledged;
  Item.State = Stage::Finished;
  Item.KeepUntil = Now + KeepFinished;
  if (Cancelled) {
    // The target answered before its connection was closed; nobody waits.
    Item.Outcome = wire::CallOutcome::Unknown;
    Item.Code = ResultCode::Cancelled;
    Out.emplace_back(DropAttempt{Item.Id});
    return;
  }
  Item.Outcome = wire::CallOutcome::Finished;
  Item.AnswerBytes = Run.AnswerBytes;
  this->HeldAnswerBytes += Run.AnswerBytes;
  this->sendAnswer(Item, Now, Out);
}

void AttemptScheduler::dropOldestAnswer(Effects &Out) {
  if (this->HeldAnswerBytes <= MaxHeldAnswerBytes)
    return;
  auto Oldest = this->Attempts.end();
  for (auto Item = this->Attempts.begin(); Item != this->Attempts.end();
       ++Item) {
    if (Item->second.AnswerBytes == 0 || Item->second.Acknowledged)
      continue;
    if (Oldest == this->Attempts.end() ||
        Item->second.KeepUntil < Oldest->second.KeepUntil)
      Oldest = Item;
  }
  if (Oldest == this->Attempts.end())
    return;
  Attempt &Dropped = Oldest->second;
  this->Link.remove(Dropped.Id);
  this->HeldAnswerBytes -= Dropped.AnswerBytes;
  Dropped.AnswerBytes = 0;
  Dropped.Acknowledged = true;
  Dropped.Outcome = wire::CallOutcome::Unknown;
  Dropped.Code = ResultCode::OutcomeUnknown;
  Out.emplace_back(DropAttempt{Dropped.Id});
}

void AttemptScheduler::receive(const wire::CallQuery &Query,
                               std::string_view From, bool ForThisIncarnation,
                               Time Now, Effects &Out) {
  if (!ForThisIncarnation) {
    this->reply(Query.Id, From, wire::CallOutcome::Unknown,
                ResultCode::WrongIncarnation, Now, Out);
    return;
  }
  const auto Known = this->Attempts.find(Query.Id);
  if (Known != this->Attempts.end() && Known->second.State == Stage::Reserved) {
    // The querying sender may have abandoned the body, so the attempt must not
    // run later.
    Known->second.From = std::string(From);
    return this->bodyLost({Query.Id}, Now, Out);
  }
  if (this->reportIfKnown(Query.Id, From, Now, Out))
    return;
  this->reportState(this->fence(Query.Id, From, Now), Now, Out);
}

AttemptScheduler::Attempt &AttemptScheduler::fence(const wire::AttemptId &Id,
                                                   std::string_view From,
                                                   Time Now) {
  Attempt Fence;
  Fence.Id = Id;
  Fence.From = std::string(From);
  Fence.State = Stage::Fenced;
  Fence.Outcome = wire::CallOutcome::NotRun;
  Fence.Code = ResultCode::Fenced;
  Fence.KeepUntil = Now + KeepRefused;
  return this->Attempts.emplace(Id, std::move(Fence)).first->second;
}

void AttemptScheduler::receive(const wire::CallCancel &Cancel,
                               std::string_view From, Time Now, Effects &Out) {
  const auto Found = this->Attempts.find(Cancel.Id);
  Out.emplace_back(LogDecision{"event=cancel sender=" + Cancel.Id.Sender +
                               " number=" + std::to_string(Cancel.Id.Number) +
                               " state=" +
                               std::string(Found == this->Attempts.end()
                                               ? "unknown"
                                               : nameOf(Found->second.State))});
  // The sender of a cancellation does not query the outcome of the attempt.
  this->reply(Cancel.Id, From, wire::CallOutcome::Unknown,
              ResultCode::Cancelled, Now, Out, Channel::Datagram);
  if (Found == this->Attempts.end()) {
    if (this->wasRemoved(Cancel.Id))
      return;
    this->fence(Cancel.Id, {}, Now);
    Out.emplace_back(DropAttempt{Cancel.Id});
    return;
  }
  Attempt &Item = Found->second;
  if (Item.State == Stage::Running) {
    Item.Acknowledged = true;
    Out.emplace_back(CancelOnTarget{Item.Id});
    return;
  }
  const bool Waits =
      Item.State == Stage::Reserved || Item.State == Stage::Queued;
  if (Waits)
    this->Queue.remove(Found->first);
  if (Waits || Item.State == Stage::Finished)
    this->removeAttempt(Found, Now, Out);
}

void AttemptScheduler::receive(const wire::AnswerAck &Ack, Time Now,
                               Effects &Out) {
  const auto Found = this->Attempts.find(Ack.Id);
  if (Found == this->Attempts.end() || Found->second.State != Stage::Finished)
    return;
  Attempt &Item = Found->second;
  this->Link.remove(Item.Id);
  this->HeldAnswerBytes -= Item.AnswerBytes;
  Item.AnswerBytes = 0;
  Item.Acknowledged = true;
  Item.Outcome = wire::CallOutcome::Unknown;
  Item.Code = ResultCode::OutcomeUnknown;
  Item.KeepUntil = Now + KeepAcknowledged;
  Out.emplace_back(DropAttempt{Item.Id});
}

void AttemptScheduler::removeAttempt(AttemptMap::iterator Item, Time Now,
                                     Effects &Out) {
  // Attempts up to a removed number are never again reported as "not run".
  Watermark &Mark =
      this->RemovedUpTo[{Item->first.Sender, Item->first.SenderIncarnation}];
  Mark.UpTo = std::max(Mark.UpTo, Item->first.Number);
  Mark.KeepUntil = Now + KeepWatermark;
  this->HeldAnswerBytes -= Item->second.AnswerBytes;
  this->BodyFlow.remove(Item->second.Id);
  this->Bodies.remove(Item->second.Id);
  this->Link.remove(Item->second.Id);
  this->releaseLink(Item->second);
  Out.emplace_back(DropAttempt{Item->second.Id});
  this->Attempts.erase(Item);
}

void AttemptScheduler::tick(Time Now, Effects &Out) {
  this->startQueued(Now, Out);
  this->grantBodies(Now, Out);
  this->sendAnswerParts(Now, Out);
  if (Now < this->NextSweep)
    return;
  this->NextSweep = Now + SweepInterval;
  for (auto Item = this->Attempts.begin(); Item != this->Attempts.end();) {
    const auto Next = std::next(Item);
    Attempt &A = Item->second;
    // An answer that its sender never acknowledged must not delay a planned
    // stop.
    if (this->IsDraining && A.State == Stage::Finished &&
        !this->Link.contains(A.Id) &&
        Now >= A.KeepUntil - KeepFinished + AnswerAckTimeout)
      A.Acknowledged = true;
    if (Now >= A.KeepUntil)
      this->removeAttempt(Item, Now, Out);
    Item = Next;
  }
  std::erase_if(this->RemovedUpTo,
                [&](const auto &Item) { return Now >= Item.second.KeepUntil; });
}

} // namespace persimmon
