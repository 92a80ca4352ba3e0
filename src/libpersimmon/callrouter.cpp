#include "callrouter.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t MaxCalls = 4096;
/// Daemons that are tried for one call, refusals included.
constexpr int MaxTries = 4;
/// A service that is full everywhere is not searched through.
constexpr int MaxOverloadTries = 3;
constexpr milliseconds AskInterval{100};
constexpr milliseconds AskTimeout{3000};
/// Most calls end before, so that their answers show that the peer lives.
constexpr milliseconds HeartbeatInterval{150};
/// Longer than a daemon pauses whose share of a core is used up for the rest
/// of a tenth of a second; shorter than the deadlines of interactive calls.
constexpr milliseconds ShortestSilence{350};
/// Part of the time of the most patient call on a connection after which its
/// silence counts: a large body on a thin link holds up what comes behind it,
/// and whoever waits long has time left to try another way.
constexpr int SilencePartOfTime = 4;
constexpr milliseconds LongestSilence{1500};
/// A daemon that has just started is usually ready after this time.
constexpr milliseconds NotReadyRetryAfter{200};
/// Refused callers return after at most a third of the time that they have
/// left; later they could hardly be served any more.
constexpr int RetryAfterMaxPart = 3;
/// Least part of their time after which they return if their answer will be
/// late in any case: the target needs the time to work off what waits.
constexpr int RetryAfterMinPart = 8;
/// Multiple of the usual time to an answer that a caller who returns needs
/// before its time of full value is over.
constexpr double AnswerTimeMargin = 1.5;
/// Least pause before a return; an earlier one meets the same load.
constexpr milliseconds LeastRetryAfter{10};

bool idempotentMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS" ||
         Method == "PUT" || Method == "DELETE";
}

bool repeatable(const RouteSpec &Route, std::string_view Method) {
  if (Route.Repeat == Repeatable::ByMethod)
    return idempotentMethod(Method);
  return Route.Repeat == Repeatable::Always;
}

} // namespace

CallRouter::CallRouter(const Membership &Members, const Distribution &Config,
                       ClaimKeeper Claims, std::uint64_t Seed,
                       const ChoicePolicy &Policy)
    : Members(Members), Config(Config), Claims(std::move(Claims)),
      Chooser(Members.self().Zone, Seed, Policy), Split(Seed + 1),
      Rng(Seed + 2), OwnIncarnation(Members.self().Incarnation) {}

void CallRouter::refuse(std::int64_t CallNumber, Failure Error,
                        Effects &Out) const {
  const bool NotReady = Error.Code == ResultCode::NotCurrent ||
                        Error.Code == ResultCode::Stopping ||
                        Error.Code == ResultCode::TooManyCalls;
  Out.emplace_back(
      RefuseCaller{CallNumber, std::move(Error),
                   NotReady ? NotReadyRetryAfter : milliseconds(0)});
}

void CallRouter::deny(std::int64_t CallNumber, Failure Error,
                      Effects &Out) const {
  // A newer version may allow it.
  if (this->Config.superseded())
    Error = {ResultCode::NotCurrent, {}, {}};
  this->refuse(CallNumber, std::move(Error), Out);
}

void CallRouter::arrive(const CallArrived &Arrived, bool Serving, Time Now,
                        Effects &Out) {
  const std::int64_t Number = Arrived.CallNumber;
  if (this->Stopping)
    return this->refuse(Number, {ResultCode::Stopping, {}, {}}, Out);
  // Before the first configuration nothing is known of any job.
  if (!Serving || this->Config.version() == 0 || this->Config.outdated(Now))
    return this->refuse(Number, {ResultCode::NotCurrent, {}, {}}, Out);
  if (this->Calls.size() >= MaxCalls)
    return this->refuse(Number, {ResultCode::TooManyCalls, {}, {}}, Out);
  const RouteTable *Table = this->Config.table().get();
  const RouteSpec *Route =
      Table == nullptr ? nullptr : Table->match(Arrived.Job, Arrived.Url);
  if (Route == nullptr) {
    Out.emplace_back(LogDecision{
        "event=route call=" + Arrived.CallId + " job=" + Arrived.Job +
        " route=none version=" + std::to_string(this->Config.version()) +
        " heard=" + std::to_string(this->Config.newestKnownVersion())});
    return this->deny(Number, {ResultCode::NoRoute, Arrived.Job, {}}, Out);
  }
  Call Fresh = this->makeCall(Arrived, *Route, Now);
  const ServiceSpec &Service = *Table->service(Fresh.Service);
  if (Arrived.BodySize > Service.MaxBodyBytes)
    return this->deny(Number, {ResultCode::BodyTooLarge, Service.Name, {}},
                      Out);
  this->Budget.earn(Service.Name, Service.RetryBudgetPercent);
  Call &Stored = this->Calls.emplace(Number, std::move(Fresh)).first->second;
  if (!Stored.Repeat && !Arrived.IdempotencyKey.empty()) {
    Stored.State = Phase::Claiming;
    // Keys of different routes do not collide.
    this->Claims.request(
        Number, Stored.RoutePath + '\n' + Arrived.IdempotencyKey, Now, Out);
    return;
  }
  this->dispatch(Stored, Now, Out);
}

CallRouter::Call CallRouter::makeCall(const CallArrived &Arrived,
                                      const RouteSpec &Route, Time Now) {
  Call Out;
  Out.Number = Arrived.CallNumber;
  Out.CallId = Arrived.CallId;
  Out.Method = Arrived.Method;
  Out.Url = Arrived.Url;
  Out.Headers = Arrived.Headers;
  Out.BodySize = Arrived.BodySize;
  Out.RoutePath = Route.Path;
  Out.Service = this->Split.next(Route).Service;
  Out.Priority = Route.Priority;
  Out.Repeat = repeatable(Route, Arrived.Method);
  Out.MaxSends = Route.MaxAttempts;
  const ServiceSpec &Service = *this->Config.table()->service(Out.Service);
  const milliseconds Limit =
      Route.CallTimeout.count() > 0 ? Route.CallTimeout : Service.CallTimeout;
  Out.Deadline = std::min(Arrived.Deadline, Now + Limit);
  Out.ArrivedAt = Now;
  Out.UsefulUntil = Out.Deadline;
  if (Route.TargetLatency.count() == 0)
    return Out;
  const milliseconds Waited =
      Arrived.Deadline == NoDeadline
          ? milliseconds(0)
          : this->Returns.note(Route.Path, milliseconds(millisecondsUntil(
                                               Arrived.Deadline, Now)));
  Out.Late = Waited >= Route.TargetLatency;
  if (!Out.Late)
    Out.UsefulUntil =
        std::min(Out.Deadline, Now + Route.TargetLatency - Waited);
  return Out;
}

milliseconds CallRouter::retryAfter(const Call &TheCall, ResultCode Code,
                                    Time Now) {
  const milliseconds Left(millisecondsUntil(TheCall.Deadline, Now));
  const milliseconds Least = Left / RetryAfterMinPart;
  if (Code != ResultCode::Overloaded &&
      Code != ResultCode::DeadlineCannotBeMet &&
      Code != ResultCode::NestedOverload && Code != ResultCode::TargetShed)
    return Least;
  const milliseconds Most = Left / RetryAfterMaxPart;
  // Whoever can return while an answer still has its full value is told to;
  // spread, so that those refused together do not return together.
  const milliseconds Needed(static_cast<std::int64_t>(
      AnswerTimeMargin * this->AnswerTimes.expectedMs(TheCall.RoutePath)));
  const milliseconds Room(millisecondsUntil(TheCall.UsefulUntil, Now));
  const milliseconds InTime = std::min(Most, Room - Needed);
  if (!TheCall.Late && InTime > LeastRetryAfter)
    return this->Rng.between(LeastRetryAfter, InTime);
  return this->Rng.between(Least, Most);
}

wire::AttemptId CallRouter::attemptId(const Call &TheCall) const {
  wire::AttemptId Id;
  Id.Sender = this->Members.self().Name;
  Id.SenderIncarnation = this->OwnIncarnation;
  Id.Number = TheCall.AttemptNumber;
  return Id;
}

void CallRouter::dispatch(Call &TheCall, Time Now, Effects &Out) {
  const TargetChoice Choice = this->Chooser.choose(
      this->Members, TheCall.Service, TheCall.Excluded, Now,
      TheCall.BodySize > static_cast<std::int64_t>(InlineBodyBytes));
  std::string Line = "event=place call=" + TheCall.CallId +
                     " route=" + TheCall.RoutePath +
                     " service=" + TheCall.Service +
                     " version=" + std::to_string(this->Config.version()) +
                     " attempt=" + std::to_string(TheCall.Attempts + 1) +
                     " candidates=" + std::to_string(Choice.Candidates);
  if (Choice.Record == nullptr) {
    Out.emplace_back(LogDecision{Line + " choice=none"});
    this->finish(TheCall.Number, {TheCall.LastRefusal, TheCall.Service, {}},
                 false, Now, Out);
    return;
  }
  Out.emplace_back(LogDecision{Line + " choice=" + Choice.Record->Name +
                               " reason=" + std::string(Choice.Reason)});
  TheCall.State = Phase::Sent;
  TheCall.Attempts += 1;
  TheCall.AttemptNumber = ++this->LastAttempt;
  TheCall.Target = Choice.Record->Name;
  TheCall.Address = Choice.Record->Address;
  TheCall.TargetIncarnation = Choice.Record->Incarnation;
  this->CallOfAttempt[TheCall.AttemptNumber] = TheCall.Number;
  this->Chooser.started(TheCall.Target);
  TheCall.SentAt = Now;
  LinkWatch &Link =
      this->Links
          .try_emplace(TheCall.Address,
                       LinkWatch{Now, Now + HeartbeatInterval, Now})
          .first->second;
  // Another call does not make a silent peer any less silent.
  Link.SilentAt =
      std::max(Link.SilentAt, Link.HeardAt + this->silenceOn(TheCall.Address));
  wire::CallRequest Request;
  Request.Id = this->attemptId(TheCall);
  Request.ReceiverIncarnation = TheCall.TargetIncarnation;
  Request.Service = TheCall.Service;
  Request.Method = TheCall.Method;
  Request.Url = TheCall.Url;
  Request.Headers = TheCall.Headers;
  Request.BodySize = TheCall.BodySize;
  Request.RemainingMs =
      static_cast<std::int32_t>(millisecondsUntil(TheCall.Deadline, Now));
  Request.Priority = TheCall.Priority;
  Request.UsefulMs =
      static_cast<std::int32_t>(millisecondsUntil(TheCall.UsefulUntil, Now));
  Request.Late = TheCall.Late;
  Request.Route = TheCall.RoutePath;
  Request.CallId = TheCall.CallId;
  Request.MayRepeat = TheCall.Repeat;
  Request.BodyFollows =
      TheCall.BodySize > static_cast<std::int64_t>(InlineBodyBytes);
  TheCall.HoldsBody = Request.BodyFollows;
  TheCall.BodySent = 0;
  Out.emplace_back(
      SendCall{TheCall.Number, TheCall.Address, std::move(Request)});
}

void CallRouter::sendBody(Call &TheCall, std::int64_t Granted, Time Now,
                          Effects &Out) {
  // An attempt that is asked after is fenced, so its body would be of no use.
  if (TheCall.State != Phase::Sent || !TheCall.HoldsBody)
    return;
  const std::int64_t End =
      Granted < 0 ? TheCall.BodySize : std::min(Granted, TheCall.BodySize);
  if (End <= TheCall.BodySent)
    return;
  Out.emplace_back(SendBody{
      TheCall.Number, TheCall.Address, this->attemptId(TheCall),
      static_cast<std::int32_t>(millisecondsUntil(TheCall.Deadline, Now)),
      TheCall.BodySent, End});
  TheCall.BodySent = End;
  TheCall.HoldsBody = End < TheCall.BodySize;
}

CallRouter::Call *CallRouter::find(std::int64_t Number) {
  const auto Found = this->Calls.find(Number);
  return Found == this->Calls.end() ? nullptr : &Found->second;
}

CallRouter::Call *CallRouter::findAttempt(const wire::AttemptId &Id) {
  if (Id.Sender != this->Members.self().Name ||
      Id.SenderIncarnation != this->OwnIncarnation)
    return nullptr;
  const auto Found = this->CallOfAttempt.find(Id.Number);
  return Found == this->CallOfAttempt.end() ? nullptr
                                            : this->find(Found->second);
}

void CallRouter::endAttempt(Call &TheCall, bool Failed, Time Now,
                            Effects &Out) {
  Out.emplace_back(
      DropReceivedAnswer{this->attemptId(TheCall), TheCall.Address});
  this->CallOfAttempt.erase(TheCall.AttemptNumber);
  this->Chooser.finished(TheCall.Target, Failed, Now);
}

void CallRouter::finish(std::int64_t CallNumber, Failure Error, bool MayHaveRun,
                        Time Now, Effects &Out) {
  const Call &Ended = this->Calls.at(CallNumber);
  if (Ended.MayHaveRun && !MayHaveRun) {
    // The last attempt was refused, but an earlier one may have run.
    MayHaveRun = true;
    Error = {ResultCode::OutcomeUnknown, Ended.Service, {}};
  }
  if (Ended.Nested)
    this->NestedOutcomes.push_back({Error.failed(), Ended.Shed});
  if (!Error.failed())
    this->AnswerTimes.note(
        Ended.RoutePath,
        static_cast<double>(millisecondsUntil(Now, Ended.ArrivedAt)));
  if (Error.failed()) {
    const milliseconds Later = this->retryAfter(Ended, Error.Code, Now);
    Out.emplace_back(LogDecision{
        "event=give-up call=" + Ended.CallId + " route=" + Ended.RoutePath +
        " service=" + Ended.Service +
        " tries=" + std::to_string(Ended.Attempts) +
        " mayHaveRun=" + (MayHaveRun ? "yes" : "no") +
        " leftMs=" + std::to_string(millisecondsUntil(Ended.Deadline, Now)) +
        " code=" + std::to_string(static_cast<int>(Error.Code))});
    Out.emplace_back(RefuseCaller{CallNumber, std::move(Error), Later});
  }
  this->Claims.finished(CallNumber, MayHaveRun, Now, Out);
  this->Calls.erase(CallNumber);
}

void CallRouter::receive(const wire::CallReply &Reply, Time Now, Effects &Out) {
  Call *Found = this->findAttempt(Reply.Id);
  this->Cancels.answered(Reply.Id);
  if (Found == nullptr) {
    // The answer of an attempt that no one waits for any more.
    Out.emplace_back(DropReceivedAnswer{Reply.Id, {}});
    return;
  }
  Call &TheCall = *Found;
  this->heard(TheCall.Address, Now);
  this->Chooser.reported(TheCall.Target, Reply.TargetLoad, Now);
  const auto Code = static_cast<ResultCode>(Reply.Code);
  TheCall.Nested = Reply.Nested;
  TheCall.Shed = Reply.Shed;
  switch (Reply.Outcome) {
  case wire::CallOutcome::NotRun:
    this->attemptNotRun(TheCall, Code, Now, Out);
    return;
  case wire::CallOutcome::Admitted:
    this->sendBody(TheCall, Reply.BodyGranted, Now, Out);
    return;
  case wire::CallOutcome::Running:
    TheCall.State = Phase::Asking;
    TheCall.NextAsk = Now + AskInterval;
    TheCall.AskUntil = Now + AskTimeout;
    return;
  case wire::CallOutcome::Unknown:
    this->attemptUnknown(TheCall, Code, false, Now, Out);
    return;
  case wire::CallOutcome::Finished:
    break;
  }
  constexpr int FirstServerError = 500;
  Out.emplace_back(AnswerCaller{TheCall.Number, Reply.Id});
  this->endAttempt(TheCall, Reply.Status >= FirstServerError, Now, Out);
  wire::AnswerAck Ack;
  Ack.Id = Reply.Id;
  send(Out, TheCall.Address, std::move(Ack), Channel::Deferred);
  this->finish(TheCall.Number, {}, true, Now, Out);
}

void CallRouter::attemptNotRun(Call &TheCall, ResultCode Code, Time Now,
                               Effects &Out) {
  const bool Unreachable = Code == ResultCode::TargetUnreachable;
  this->endAttempt(TheCall, Unreachable, Now, Out);
  if (Unreachable)
    this->Chooser.unreachable(TheCall.Target, Now);
  Out.emplace_back(LogDecision{
      "event=not-run call=" + TheCall.CallId + " choice=" + TheCall.Target +
      " code=" + std::to_string(static_cast<int>(Code))});
  TheCall.Excluded.insert(TheCall.Target);
  TheCall.LastRefusal = Code;
  if (Code == ResultCode::TargetShed)
    TheCall.Sends += 1;
  if (!this->mayRetry(TheCall, Code, Now)) {
    this->finish(TheCall.Number, {Code, TheCall.Service, {}}, false, Now, Out);
    return;
  }
  this->Retries += 1;
  this->dispatch(TheCall, Now, Out);
}

bool CallRouter::mayRetry(const Call &TheCall, ResultCode Code, Time Now) {
  const bool Full =
      Code == ResultCode::Overloaded || Code == ResultCode::DeadlineCannotBeMet;
  // The other daemons of the service know the same shortage.
  if (Code == ResultCode::NestedOverload)
    return false;
  if (TheCall.Attempts >= (Full ? MaxOverloadTries : MaxTries) ||
      Now >= TheCall.Deadline)
    return false;
  // What the target itself refused has cost it work, so it is paid for like a
  // repeat; a refusal by its daemon is free.
  if (Code == ResultCode::TargetShed)
    return TheCall.Sends < TheCall.MaxSends &&
           this->Budget.spend(TheCall.Service);
  return true;
}

bool CallRouter::retryElsewhere(Call &TheCall, bool MayRun, Time Now,
                                Effects &Out) {
  const bool Allowed = TheCall.Repeat && TheCall.Sends + 1 < TheCall.MaxSends &&
                       TheCall.Attempts < MaxTries && Now < TheCall.Deadline &&
                       this->Budget.spend(TheCall.Service);
  if (!Allowed)
    return false;
  TheCall.Sends += 1;
  if (MayRun)
    this->cancelAttempt(TheCall, Channel::Datagram, Now, Out);
  this->endAttempt(TheCall, true, Now, Out);
  TheCall.Excluded.insert(TheCall.Target);
  TheCall.MayHaveRun = true;
  this->Retries += 1;
  this->dispatch(TheCall, Now, Out);
  return true;
}

void CallRouter::attemptUnknown(Call &TheCall, ResultCode Code, bool MayRun,
                                Time Now, Effects &Out) {
  Out.emplace_back(LogDecision{
      "event=outcome-unknown call=" + TheCall.CallId + " choice=" +
      TheCall.Target + " repeatable=" + (TheCall.Repeat ? "yes" : "no") +
      " code=" + std::to_string(static_cast<int>(Code))});
  if (this->retryElsewhere(TheCall, MayRun, Now, Out))
    return;
  this->endAttempt(TheCall, true, Now, Out);
  const ResultCode Told = Code == ResultCode::TargetBroke
                              ? ResultCode::TargetBroke
                              : ResultCode::OutcomeUnknown;
  this->finish(TheCall.Number, {Told, TheCall.Service, {}}, true, Now, Out);
}

void CallRouter::ask(Call &TheCall, Time Now, Effects &Out) {
  TheCall.NextAsk = Now + AskInterval;
  wire::CallQuery Query;
  Query.Id = this->attemptId(TheCall);
  Query.ReceiverIncarnation = TheCall.TargetIncarnation;
  send(Out, TheCall.Address, std::move(Query));
}

void CallRouter::connectionFailed(Call &TheCall, Time Now, Effects &Out) {
  if (TheCall.State != Phase::Sent)
    return;
  // Nothing runs without its whole body, and the rest of this attempt's will
  // never be sent.
  if (TheCall.HoldsBody)
    return this->attemptNotRun(TheCall, ResultCode::TargetUnreachable, Now,
                               Out);
  if (this->retryElsewhere(TheCall, true, Now, Out))
    return;
  TheCall.State = Phase::Asking;
  TheCall.AskUntil = Now + AskTimeout;
  this->ask(TheCall, Now, Out);
}

std::vector<std::int64_t> CallRouter::callNumbers() const {
  std::vector<std::int64_t> Out;
  Out.reserve(this->Calls.size());
  for (const auto &[Number, TheCall] : this->Calls)
    Out.push_back(Number);
  return Out;
}

void CallRouter::notSent(std::span<const wire::AttemptId> Ids, Time Now,
                         Effects &Out) {
  for (const wire::AttemptId &Id : Ids) {
    Call *TheCall = this->findAttempt(Id);
    if (TheCall != nullptr)
      this->attemptNotRun(*TheCall, ResultCode::TargetUnreachable, Now, Out);
  }
}

void CallRouter::streamLost(const StreamLost &Lost, Time Now, Effects &Out) {
  this->notSent(Lost.NotSent, Now, Out);
  for (const wire::AttemptId &Id : Lost.Sent) {
    Call *TheCall = this->findAttempt(Id);
    if (TheCall == nullptr)
      continue;
    if (Lost.End == StreamEnd::Abandoned)
      this->Chooser.unreachable(TheCall->Target, Now);
    this->connectionFailed(*TheCall, Now, Out);
  }
}

void CallRouter::receive(const wire::Heartbeat &Message, std::string_view From,
                         Time Now, Effects &Out) {
  if (!Message.IsReply) {
    wire::Heartbeat Reply;
    Reply.IsReply = true;
    send(Out, From, Reply);
    return;
  }
  this->heard(From, Now);
}

void CallRouter::heard(std::string_view Address, Time Now) {
  const auto Link = this->Links.find(Address);
  if (Link != this->Links.end())
    Link->second = {Now, Now + HeartbeatInterval,
                    Now + this->silenceOn(Address)};
}

milliseconds CallRouter::silenceOn(std::string_view Address) const {
  milliseconds Out = ShortestSilence;
  for (const auto &[Number, TheCall] : this->Calls) {
    if (!TheCall.dispatched() || TheCall.Address != Address)
      continue;
    const milliseconds Had(millisecondsUntil(TheCall.Deadline, TheCall.SentAt));
    Out = std::max(Out, Had / SilencePartOfTime);
  }
  return std::min(Out, LongestSilence);
}

void CallRouter::watchLinks(Time Now, Effects &Out) {
  std::set<std::string_view> Busy;
  for (const auto &[Number, TheCall] : this->Calls) {
    if (TheCall.dispatched())
      Busy.insert(TheCall.Address);
  }
  std::erase_if(this->Links,
                [&](const auto &Item) { return Busy.count(Item.first) == 0; });
  for (auto &[Address, Link] : this->Links) {
    if (Now >= Link.SilentAt) {
      Out.emplace_back(RenewConnection{Address, "silent", Link.HeardAt});
      Link.HeardAt = Now;
      Link.SilentAt = Now + this->silenceOn(Address);
    } else if (Now >= Link.NextHeartbeat) {
      Link.NextHeartbeat = Now + HeartbeatInterval;
      send(Out, Address, wire::Heartbeat());
    }
  }
}

void CallRouter::deadlinePassed(Call &TheCall, Time Now, Effects &Out) {
  if (!TheCall.dispatched()) {
    this->finish(TheCall.Number,
                 {ResultCode::ClaimUnavailable, TheCall.Service, {}}, false,
                 Now, Out);
    return;
  }
  this->cancelAttempt(TheCall, Channel::Stream, Now, Out);
  this->endAttempt(TheCall, true, Now, Out);
  this->finish(TheCall.Number,
               {ResultCode::DeadlinePassed, TheCall.Service, {}}, true, Now,
               Out);
}

void CallRouter::tick(Time Now, Effects &Out) {
  this->Budget.setBurst(this->RetryBurst, this->Members.proxyCount());
  for (const std::int64_t Number : this->Claims.tick(Now, Out))
    this->finish(Number, {ResultCode::ClaimUnavailable, {}, {}}, false, Now,
                 Out);
  this->Cancels.tick(Now, Out);
  this->watchLinks(Now, Out);
  for (const std::int64_t Number : this->callNumbers()) {
    Call *TheCall = this->find(Number);
    if (TheCall == nullptr)
      continue;
    if (Now >= TheCall->Deadline) {
      this->deadlinePassed(*TheCall, Now, Out);
      continue;
    }
    if (TheCall->State == Phase::KeyTaken && Now >= TheCall->AskUntil) {
      this->finish(Number,
                   {ResultCode::KeyClaimed,
                    {},
                    "the daemon of the first call does not answer"},
                   false, Now, Out);
      continue;
    }
    if (TheCall->State != Phase::Asking)
      continue;
    const wire::MemberRecord *Record = this->Members.find(TheCall->Target);
    const bool Dead = Record == nullptr || !isAlive(*Record) ||
                      Record->Incarnation != TheCall->TargetIncarnation;
    if (Now >= TheCall->AskUntil || Dead)
      this->attemptUnknown(*TheCall, ResultCode::OutcomeUnknown, true, Now,
                           Out);
    else if (Now >= TheCall->NextAsk)
      this->ask(*TheCall, Now, Out);
  }
}

void CallRouter::callerGone(std::int64_t CallNumber, Time Now, Effects &Out) {
  Call *TheCall = this->find(CallNumber);
  if (TheCall == nullptr)
    return;
  bool MayHaveRun = false;
  if (TheCall->dispatched()) {
    this->cancelAttempt(*TheCall, Channel::Stream, Now, Out);
    this->endAttempt(*TheCall, false, Now, Out);
    MayHaveRun = true;
  }
  this->finish(CallNumber, {ResultCode::Cancelled, {}, {}}, MayHaveRun, Now,
               Out);
}

void CallRouter::receive(const wire::ClaimReply &Reply, Time Now,
                         Effects &Out) {
  Call *TheCall = this->find(Reply.CallNumber);
  if (TheCall == nullptr || TheCall->State != Phase::Claiming)
    return;
  switch (this->Claims.receive(Reply)) {
  case ClaimKeeper::Verdict::Waiting:
    return;
  case ClaimKeeper::Verdict::Granted:
    this->dispatch(*TheCall, Now, Out);
    return;
  case ClaimKeeper::Verdict::Unavailable:
    this->finish(TheCall->Number, {ResultCode::ClaimUnavailable, {}, {}}, false,
                 Now, Out);
    return;
  case ClaimKeeper::Verdict::Taken:
    break;
  }
  if (Reply.Holder.Owner == this->Members.self().Name) {
    const auto First = this->Claims.outcomeOf(Reply.Holder.OwnerIncarnation,
                                              Reply.Holder.CallNumber);
    this->finish(TheCall->Number,
                 {ResultCode::KeyClaimed,
                  {},
                  "the first call is " + wire::to_string(First)},
                 false, Now, Out);
    return;
  }
  // The holder says what became of the first call, if it still lives.
  wire::OutcomeQuery Query;
  Query.RequestId = TheCall->Number;
  Query.OwnerIncarnation = Reply.Holder.OwnerIncarnation;
  Query.CallNumber = Reply.Holder.CallNumber;
  send(Out, Reply.Holder.OwnerAddress, std::move(Query), Channel::Datagram);
  TheCall->State = Phase::KeyTaken;
  TheCall->AskUntil = Now + AskInterval;
}

void CallRouter::receive(const wire::OutcomeQuery &Query, std::string_view From,
                         Effects &Out) const {
  wire::OutcomeReply Reply;
  Reply.RequestId = Query.RequestId;
  Reply.Outcome =
      this->Claims.outcomeOf(Query.OwnerIncarnation, Query.CallNumber);
  send(Out, From, std::move(Reply), Channel::Datagram);
}

void CallRouter::receive(const wire::OutcomeReply &Reply, Time Now,
                         Effects &Out) {
  Call *TheCall = this->find(Reply.RequestId);
  if (TheCall == nullptr || TheCall->State != Phase::KeyTaken)
    return;
  this->finish(TheCall->Number,
               {ResultCode::KeyClaimed,
                {},
                "the first call is " + wire::to_string(Reply.Outcome)},
               false, Now, Out);
}

} // namespace persimmon
