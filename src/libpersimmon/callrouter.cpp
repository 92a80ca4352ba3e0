#include "callrouter.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace persimmon {

namespace {

constexpr std::size_t MaxCalls = 4096;
/// Calls that wait for a confirmation of the version in force.
constexpr std::size_t MaxHeld = 256;
/// Time for a control instance to confirm the version: many round trips between
/// availability zones.
constexpr milliseconds ConfirmationTimeout{150};
/// Maximum number of attempts for one call, including refused ones.
constexpr int MaxAttemptsPerCall = 4;
/// Maximum number of attempts if the daemons refuse a call for overload. Avoids
/// trying every target of a service that has no capacity left.
constexpr int MaxOverloadAttempts = 3;
constexpr milliseconds QueryInterval{100};
constexpr milliseconds QueryTimeout{3000};
/// Most calls end within this time, so their answers already show that the peer
/// is alive.
constexpr milliseconds HeartbeatInterval{150};
/// Longer than the pause of a daemon that has used up its CPU quota for the
/// rest of a 100 ms period, and shorter than the deadlines of interactive
/// calls.
constexpr milliseconds MinSilenceTimeout{350};
/// The silence timeout of a connection is the longest timeout among its calls
/// divided by this value. A large body on a slow link delays all messages
/// behind it, and calls with a long timeout have time left for a retry.
constexpr int SilenceTimeoutDivisor = 4;
constexpr milliseconds MaxSilenceTimeout{1500};
/// A daemon is usually ready this long after its start.
constexpr milliseconds NotReadyRetryAfter{200};
/// Refused callers are told to retry after at most a third of their remaining
/// time. A later retry would rarely be served in time.
constexpr int MaxRetryAfterDivisor = 3;
/// Callers whose answer will be late in any case are told to wait at least this
/// fraction of their remaining time, so that the target can work off its queue.
constexpr int MinRetryAfterDivisor = 8;
/// A retry in time leaves this multiple of the route's mean answer time until
/// the answer loses its full value.
constexpr double AnswerTimeFactor = 1.5;
/// An earlier retry would meet the same load.
constexpr milliseconds MinRetryAfter{10};
/// Approximate length of the headers of request and answer between daemons.
constexpr std::int64_t HeaderBytes = 400;

bool isOverload(ResultCode Code) {
  return Code == ResultCode::Overloaded ||
         Code == ResultCode::DeadlineCannotBeMet;
}

bool isIdempotentMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS" ||
         Method == "PUT" || Method == "DELETE";
}

/// Returns the inputs of a placement for the decision log.
std::string describe(const Placement &Chosen, const LinkUse &Use) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(1) << " calls=" << Chosen.Calls
      << " slots=" << Chosen.Slots
      << " reportAgeMs=" << Chosen.ReportAge.count()
      << " waitMs=" << Chosen.WaitMs << std::setprecision(2)
      << " chance=" << Chosen.Chance << " bytes=" << Use.Bytes;
  return Out.str();
}

bool isRepeatable(const RouteSpec &Route, std::string_view Method) {
  if (Route.Repeat == Repeatable::ByMethod)
    return isIdempotentMethod(Method);
  return Route.Repeat == Repeatable::Always;
}

} // namespace

CallRouter::CallRouter(const Membership &Members, const Distribution &Config,
                       ClaimClient Claims, std::uint64_t Seed,
                       const ChoicePolicy &Policy)
    : Members(Members), Config(Config), Claims(std::move(Claims)),
      Allowance(Members.self().Address, Members.self().Incarnation),
      Chooser(Members.self().Zone, Seed, Policy), Split(Seed + 1),
      Versions(Seed + 3), Rng(Seed + 2),
      OwnIncarnation(Members.self().Incarnation) {}

void CallRouter::refuse(std::int64_t CallNumber, Failure Error,
                        Effects &Out) const {
  const bool NotReady = Error.Code == ResultCode::NotCurrent ||
                        Error.Code == ResultCode::Stopping ||
                        Error.Code == ResultCode::TooManyCalls;
  Out.emplace_back(
      RefuseCaller{CallNumber, std::move(Error),
                   NotReady ? NotReadyRetryAfter : milliseconds(0)});
}

void CallRouter::refuseByConfiguration(std::int64_t CallNumber, Failure Error,
                                       Effects &Out) const {
  // A newer configuration version, known but not applied, may allow the call.
  if (this->Config.superseded())
    Error = {ResultCode::NotCurrent, {}, {}};
  this->refuse(CallNumber, std::move(Error), Out);
}

void CallRouter::handleCall(const CallArrived &Arrived, bool Serving, Time Now,
                            Effects &Out) {
  const std::int64_t Number = Arrived.CallNumber;
  if (this->Stopping)
    return this->refuse(Number, {ResultCode::Stopping, {}, {}}, Out);
  // No job is known before the first configuration has been received.
  if (!Serving || this->Config.version() == 0 || !this->Config.mayServe(Now))
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
    return this->denyRoute(Arrived, Now, Out);
  }
  const bool KeyRequired = Table->requiresKey(Route->team());
  const AccountSpec *Account =
      KeyRequired ? Table->accountOf(Route->team(), Arrived.AccountKey)
                  : nullptr;
  if (KeyRequired && Account == nullptr && !Route->Anonymous)
    return this->denyKey(Arrived, *Route, Now, Out);
  const bool NewVersionInDoubt =
      !this->Validity.OutOfTouch && !this->mayUseNewVersion(Now);
  if (!this->maySend(Now) ||
      (NewVersionInDoubt && this->Versions.needsConfirmation(*Table, *Route)))
    return this->hold(Arrived, Arrived.Deadline, Out);
  if (Account != nullptr && Now >= this->Validity.KeysUntil)
    return this->awaitKeys(Arrived, *Account, Now, Out);
  Call NewCall = this->makeCall(Arrived, *Route, Account, Now);
  if (!KeyRequired)
    NewCall.Headers.insert(NewCall.Headers.end(),
                           Arrived.IdentityHeaders.begin(),
                           Arrived.IdentityHeaders.end());
  const ServiceSpec &Service = *Table->service(NewCall.Service);
  if (Arrived.BodySize > Service.MaxBodyBytes)
    return this->refuseByConfiguration(
        Number, {ResultCode::BodyTooLarge, Service.Name, {}}, Out);
  if (!this->endsInTime(NewCall, Now))
    return this->refuse(Number, {ResultCode::Stopping, {}, {}}, Out);
  this->Budget.deposit(Service.Name, Service.RetryBudgetPercent);
  Call &Stored = this->Calls.emplace(Number, std::move(NewCall)).first->second;
  if (!Stored.MayRepeat && !Arrived.IdempotencyKey.empty()) {
    Stored.State = Phase::AwaitingClaim;
    // The route path keeps equal keys of different routes apart.
    this->Claims.request(
        Number, Stored.RoutePath + '\n' + Arrived.IdempotencyKey, Now, Out);
    return;
  }
  this->dispatch(Stored, Now, Out);
}

bool CallRouter::endsInTime(const Call &NewCall, Time Now) const {
  if (NewCall.Deadline <= this->EndsAt)
    return true;
  const milliseconds AnswerTime(static_cast<std::int64_t>(
      AnswerTimeFactor * this->AnswerTimes.expectedMs(NewCall.RoutePath)));
  return Now + AnswerTime <= this->EndsAt;
}

void CallRouter::denyRoute(const CallArrived &Arrived, Time Now, Effects &Out) {
  this->deny(Arrived, {ResultCode::NoRoute, Arrived.Job, {}}, Now, Out);
}

void CallRouter::denyKey(const CallArrived &Arrived, const RouteSpec &Route,
                         Time Now, Effects &Out) {
  Out.emplace_back(LogDecision{
      "event=key-unknown call=" + Arrived.CallId + " route=" + Route.Path +
      " key=" + (Arrived.AccountKey.empty() ? "none" : "unknown") +
      " version=" + std::to_string(this->Config.version()) +
      " heard=" + std::to_string(this->Config.newestKnownVersion())});
  this->deny(Arrived, {ResultCode::KeyUnknown, Arrived.Job, {}}, Now, Out);
}

void CallRouter::deny(const CallArrived &Arrived, Failure Denied, Time Now,
                      Effects &Out) {
  if (Now < this->Validity.DeniesUntil || this->Config.superseded())
    return this->refuseByConfiguration(Arrived.CallNumber, std::move(Denied),
                                       Out);
  this->hold(Arrived, Now + ConfirmationTimeout, Out);
}

void CallRouter::awaitKeys(const CallArrived &Arrived,
                           const AccountSpec &Account, Time Now, Effects &Out) {
  Out.emplace_back(LogDecision{
      "event=keys-unconfirmed call=" + Arrived.CallId + " account=" +
      Account.Name + " version=" + std::to_string(this->Config.version()) +
      " outOfTouch=" + (this->Validity.OutOfTouch ? "yes" : "no")});
  if (this->Validity.OutOfTouch)
    return this->refuse(Arrived.CallNumber, {ResultCode::NotCurrent, {}, {}},
                        Out);
  this->hold(Arrived, Now + ConfirmationTimeout, Out);
}

bool CallRouter::mayUseNewVersion(Time Now) const {
  return !this->Validity.OutOfTouch && Now < this->Validity.NewVersionUntil;
}

std::vector<wire::VersionAnswers> CallRouter::rolloutCounts() {
  const RouteTable *Table = this->Config.table().get();
  if (Table == nullptr || !this->Versions.enabled())
    return {};
  return this->Versions.counts(*Table);
}

bool CallRouter::maySend(Time Now) const {
  // Once a newer version is known, its own time limit applies.
  return Now < this->Validity.ServesUntil || this->Validity.OutOfTouch ||
         this->Config.superseded();
}

void CallRouter::hold(const CallArrived &Arrived, Time RefuseAt, Effects &Out) {
  if (this->Held.size() >= MaxHeld)
    return this->refuse(Arrived.CallNumber, {ResultCode::NotCurrent, {}, {}},
                        Out);
  this->Held.emplace(Arrived.CallNumber, HeldCall{Arrived, RefuseAt});
}

void CallRouter::routeAgain(bool Serving, Time Now, Effects &Out) {
  for (const auto &[Number, Item] : std::exchange(this->Held, {}))
    this->handleCall(Item.Arrived, Serving, Now, Out);
}

void CallRouter::expireHeld(Time Now, Effects &Out) {
  std::erase_if(this->Held, [&](const auto &Item) {
    if (Now < Item.second.RefuseAt)
      return false;
    this->refuse(Item.first, {ResultCode::NotCurrent, {}, {}}, Out);
    return true;
  });
}

CallRouter::Call CallRouter::makeCall(const CallArrived &Arrived,
                                      const RouteSpec &Route,
                                      const AccountSpec *Account, Time Now) {
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
  if (Account != nullptr) {
    Out.Account = Account->Name;
    Out.AccountPath = Account->Path;
    Out.Priority = Account->Priority.value_or(Route.Priority);
  }
  Out.MayRepeat = isRepeatable(Route, Arrived.Method);
  Out.MaxTargetAttempts = Route.MaxAttempts;
  const ServiceSpec &Service = *this->Config.table()->service(Out.Service);
  const milliseconds Limit =
      Route.CallTimeout.count() > 0 ? Route.CallTimeout : Service.CallTimeout;
  Out.Deadline = std::min(Arrived.Deadline, Now + Limit);
  Out.ArrivedAt = Now;
  Out.UsefulUntil = Out.Deadline;
  if (Route.TargetLatency.count() == 0)
    return Out;
  const milliseconds SinceFirstArrival =
      Arrived.Deadline == NoDeadline
          ? milliseconds(0)
          : this->CallerRetries.timeSinceFirstTry(
                Route.Path,
                milliseconds(millisecondsUntil(Arrived.Deadline, Now)));
  Out.Late = SinceFirstArrival >= Route.TargetLatency;
  if (!Out.Late)
    Out.UsefulUntil =
        std::min(Out.Deadline, Now + Route.TargetLatency - SinceFirstArrival);
  return Out;
}

milliseconds CallRouter::retryAfter(const Call &TheCall, ResultCode Code,
                                    Time Now) {
  const milliseconds Remaining(millisecondsUntil(TheCall.Deadline, Now));
  const milliseconds MinDelay = Remaining / MinRetryAfterDivisor;
  if (TheCall.RateRetryAfter.count() > 0)
    return TheCall.RateRetryAfter;
  if (Code != ResultCode::Overloaded &&
      Code != ResultCode::DeadlineCannotBeMet &&
      Code != ResultCode::NestedOverload && Code != ResultCode::TargetShed)
    return MinDelay;
  const milliseconds MaxDelay = Remaining / MaxRetryAfterDivisor;
  // Nothing is gained by a retry before a link has room for the answer.
  if (TheCall.RoomAt != NoDeadline)
    return std::clamp(milliseconds(millisecondsUntil(TheCall.RoomAt, Now)) +
                          this->Rng.between(milliseconds(0), MinRetryAfter),
                      MinRetryAfter, std::max(MinRetryAfter, MaxDelay));
  // Callers that can still get an answer of full value are told to retry in
  // time for it. The delay is random so that callers refused together do not
  // retry together.
  const milliseconds AnswerTime(static_cast<std::int64_t>(
      AnswerTimeFactor * this->AnswerTimes.expectedMs(TheCall.RoutePath)));
  const milliseconds UsefulTime(millisecondsUntil(TheCall.UsefulUntil, Now));
  const milliseconds MaxUsefulDelay =
      std::min(MaxDelay, UsefulTime - AnswerTime);
  if (!TheCall.Late && MaxUsefulDelay > MinRetryAfter)
    return this->Rng.between(MinRetryAfter, MaxUsefulDelay);
  return this->Rng.between(MinDelay, MaxDelay);
}

wire::AttemptId CallRouter::attemptId(const Call &TheCall) const {
  wire::AttemptId Id;
  Id.Sender = this->Members.self().Name;
  Id.SenderIncarnation = this->OwnIncarnation;
  Id.Number = TheCall.AttemptNumber;
  return Id;
}

bool CallRouter::takeAllowance(Call &TheCall, Time Now, Effects &Out) {
  if (TheCall.AccountPath.empty() || TheCall.HasToken)
    return true;
  const AccountSpec *Account =
      this->Config.table()->account(TheCall.AccountPath);
  if (Account == nullptr ||
      !AccountRate{Account->RatePerSecond, Account->Burst}.limited())
    return true;
  const AccountAllowance::Decision Result =
      this->Allowance.take(TheCall.Number, TheCall.AccountPath, Now, Out);
  switch (Result.Result) {
  case AccountAllowance::Verdict::Granted:
    TheCall.HasToken = true;
    TheCall.TokenAt = Now;
    return true;
  case AccountAllowance::Verdict::Held:
    TheCall.State = Phase::AwaitingAllowance;
    return false;
  case AccountAllowance::Verdict::Exceeded:
  case AccountAllowance::Verdict::OutOfTouch:
    break;
  }
  this->refuseByRate(TheCall, Result, Now, Out);
  return false;
}

void CallRouter::refuseByRate(Call &TheCall,
                              const AccountAllowance::Decision &Refused,
                              Time Now, Effects &Out) {
  TheCall.RateRetryAfter = Refused.RetryAfter;
  const ResultCode Code =
      Refused.Result == AccountAllowance::Verdict::OutOfTouch
          ? ResultCode::NotCurrent
          : ResultCode::RateExceeded;
  this->finish(TheCall.Number, {Code, TheCall.Account, {}}, false, Now, Out);
}

void CallRouter::applyAllowance(Time Now, Effects &Out) {
  for (const AccountAllowance::Decision &Item : this->Allowance.takeDecided()) {
    Call *Waiting = this->find(Item.CallNumber);
    if (Waiting == nullptr || Waiting->State != Phase::AwaitingAllowance)
      continue;
    if (Item.Result == AccountAllowance::Verdict::Granted) {
      Waiting->HasToken = true;
      Waiting->TokenAt = Now;
      this->dispatch(*Waiting, Now, Out);
    } else {
      this->refuseByRate(*Waiting, Item, Now, Out);
    }
  }
}

void CallRouter::receive(const wire::AllowanceReply &Reply,
                         std::string_view From, Time Now, Effects &Out) {
  this->Allowance.receive(Reply, From, Now, Out);
  this->applyAllowance(Now, Out);
}

void CallRouter::dispatch(Call &TheCall, Time Now, Effects &Out) {
  if (!this->takeAllowance(TheCall, Now, Out))
    return;
  LinkUse Use;
  Use.LargeBody = TheCall.BodySize > static_cast<std::int64_t>(InlineBodyBytes);
  Use.LargeAnswer = this->AnswerLengths.large(TheCall.RoutePath);
  Use.UsefulUntil = TheCall.UsefulUntil;
  Use.Route = TheCall.RoutePath;
  Use.Bytes = TheCall.BodySize + HeaderBytes +
              this->AnswerLengths.expectedBytes(TheCall.RoutePath);
  Use.Refusals = isOverload(TheCall.LastRefusal) ? TheCall.Attempts : 0;
  const RouteTable &Table = *this->Config.table();
  const VersionRule Rule =
      this->Versions.ruleFor(this->Members, Table, TheCall.Service,
                             TheCall.Attempts > 0, this->mayUseNewVersion(Now));
  const TargetChoice Choice = this->Chooser.choose(
      this->Members, TheCall.Service, TheCall.Excluded, Now, Use, Rule);
  std::string Line = "event=place call=" + TheCall.CallId +
                     " route=" + TheCall.RoutePath +
                     (TheCall.Account.empty() ? std::string()
                                              : " account=" + TheCall.Account) +
                     " service=" + TheCall.Service +
                     " version=" + std::to_string(this->Config.version()) +
                     " attempt=" + std::to_string(TheCall.Attempts + 1) +
                     " candidates=" + std::to_string(Choice.Candidates);
  if (Choice.Record == nullptr) {
    Out.emplace_back(LogDecision{
        Line + " choice=none" +
        (Choice.Even ? " reason=" + std::string(Choice.Reason) : "")});
    this->finish(TheCall.Number, {TheCall.LastRefusal, TheCall.Service, {}},
                 false, Now, Out);
    return;
  }
  Line += " choice=" + Choice.Record->Name +
          " reason=" + std::string(Choice.Reason);
  Out.emplace_back(LogDecision{Choice.Even ? Line + describe(*Choice.Even, Use)
                                           : std::move(Line)});
  TheCall.State = Phase::Sent;
  TheCall.Attempts += 1;
  TheCall.AttemptNumber = ++this->LastAttemptNumber;
  TheCall.Target = Choice.Record->Name;
  TheCall.Address = Choice.Record->Address;
  TheCall.TargetIncarnation = Choice.Record->Incarnation;
  this->CallByAttempt[TheCall.AttemptNumber] = TheCall.Number;
  this->Chooser.started(TheCall.Target);
  TheCall.Counted = this->Versions.started(Table, TheCall.Service,
                                           TheCall.RoutePath, *Choice.Record);
  TheCall.SentAt = Now;
  ConnectionHealth &Health =
      this->HealthByAddress
          .try_emplace(TheCall.Address,
                       ConnectionHealth{Now, Now + HeartbeatInterval, Now})
          .first->second;
  // A new call is not a sign of peer activity, so its silence timeout also
  // starts at the last activity.
  Health.SilenceDeadline =
      std::max(Health.SilenceDeadline,
               Health.LastHeardAt + this->silenceTimeout(TheCall.Address));
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
  Request.Account = TheCall.Account;
  Request.UsefulMs =
      static_cast<std::int32_t>(millisecondsUntil(TheCall.UsefulUntil, Now));
  Request.Late = TheCall.Late;
  Request.Route = TheCall.RoutePath;
  Request.CallId = TheCall.CallId;
  Request.MayRepeat = TheCall.MayRepeat;
  Request.BodyFollows =
      TheCall.BodySize > static_cast<std::int64_t>(InlineBodyBytes);
  TheCall.BodyPending = Request.BodyFollows;
  TheCall.BodySent = 0;
  Out.emplace_back(
      SendCall{TheCall.Number, TheCall.Address, std::move(Request)});
}

void CallRouter::sendBody(Call &TheCall, std::int64_t Granted, Time Now,
                          Effects &Out) {
  // The target fences an attempt whose outcome is queried before its body is
  // complete, so the rest of the body would be useless.
  if (TheCall.State != Phase::Sent || !TheCall.BodyPending)
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
  TheCall.BodyPending = End < TheCall.BodySize;
}

CallRouter::Call *CallRouter::find(std::int64_t Number) {
  const auto Found = this->Calls.find(Number);
  return Found == this->Calls.end() ? nullptr : &Found->second;
}

CallRouter::Call *CallRouter::findAttempt(const wire::AttemptId &Id) {
  if (Id.Sender != this->Members.self().Name ||
      Id.SenderIncarnation != this->OwnIncarnation)
    return nullptr;
  const auto Found = this->CallByAttempt.find(Id.Number);
  return Found == this->CallByAttempt.end() ? nullptr
                                            : this->find(Found->second);
}

void CallRouter::endAttempt(Call &TheCall, bool Failed, Time Now,
                            Effects &Out) {
  Out.emplace_back(
      DropReceivedAnswer{this->attemptId(TheCall), TheCall.Address});
  this->CallByAttempt.erase(TheCall.AttemptNumber);
  this->Chooser.finished(TheCall.Target, Failed, Now);
  this->countEnd(TheCall, VersionFilter::CallEnd::Abandoned, Now);
}

void CallRouter::countEnd(Call &TheCall, VersionFilter::CallEnd End, Time Now) {
  // The run times of targets that are slow after their start tell nothing.
  const milliseconds RunTime =
      this->Chooser.warmingUp(TheCall.Target, Now)
          ? milliseconds(-1)
          : std::chrono::duration_cast<milliseconds>(Now - TheCall.SentAt);
  this->Versions.ended(std::exchange(TheCall.Counted, {}), End, RunTime);
}

void CallRouter::finish(std::int64_t CallNumber, Failure Error, bool MayHaveRun,
                        Time Now, Effects &Out) {
  const Call &Ended = this->Calls.at(CallNumber);
  if (!Ended.HasToken && Ended.State == Phase::AwaitingAllowance)
    this->Allowance.cancel(CallNumber);
  if (Ended.HasToken && !MayHaveRun)
    this->Allowance.giveBack(Ended.AccountPath, Ended.TokenAt, Now);
  if (Ended.MayHaveRun && !MayHaveRun) {
    // The last attempt did not run, but an earlier one may have.
    MayHaveRun = true;
    Error = {ResultCode::OutcomeUnknown, Ended.Service, {}};
  }
  if (Ended.Nested)
    this->NestedOutcomes.push_back({Error.failed(), Ended.Shed});
  if (!Error.failed())
    this->AnswerTimes.addSample(
        Ended.RoutePath,
        static_cast<double>(millisecondsUntil(Now, Ended.ArrivedAt)));
  if (Error.failed()) {
    const milliseconds RetryDelay = this->retryAfter(Ended, Error.Code, Now);
    Out.emplace_back(LogDecision{
        "event=give-up call=" + Ended.CallId + " route=" + Ended.RoutePath +
        " service=" + Ended.Service +
        " tries=" + std::to_string(Ended.Attempts) +
        " mayHaveRun=" + (MayHaveRun ? "yes" : "no") +
        " leftMs=" + std::to_string(millisecondsUntil(Ended.Deadline, Now)) +
        " code=" + std::to_string(static_cast<int>(Error.Code))});
    Out.emplace_back(RefuseCaller{CallNumber, std::move(Error), RetryDelay});
  }
  this->Claims.callFinished(CallNumber, MayHaveRun, Now, Out);
  this->Calls.erase(CallNumber);
}

void CallRouter::receive(const wire::CallReply &Reply, Time Now, Effects &Out) {
  Call *Found = this->findAttempt(Reply.Id);
  this->Cancellations.answered(Reply.Id);
  if (Found == nullptr) {
    // No caller waits for this attempt any more.
    Out.emplace_back(DropReceivedAnswer{Reply.Id, {}});
    return;
  }
  Call &TheCall = *Found;
  this->recordActivity(TheCall.Address, Now);
  this->Chooser.reported(TheCall.Target, TheCall.RoutePath, Reply, Now);
  const auto Code = static_cast<ResultCode>(Reply.Code);
  TheCall.Nested = Reply.Nested;
  TheCall.Shed = Reply.Shed;
  switch (Reply.Outcome) {
  case wire::CallOutcome::NotRun:
    if (Reply.RetryAfterMs > 0)
      TheCall.RoomAt =
          std::min(TheCall.RoomAt, Now + milliseconds(Reply.RetryAfterMs));
    this->attemptNotRun(TheCall, Code, Now, Out);
    return;
  case wire::CallOutcome::Admitted:
    this->sendBody(TheCall, Reply.BodyGranted, Now, Out);
    return;
  case wire::CallOutcome::Running:
    TheCall.State = Phase::Querying;
    TheCall.NextQueryAt = Now + QueryInterval;
    TheCall.QueryUntil = Now + QueryTimeout;
    return;
  case wire::CallOutcome::Unknown:
    this->attemptUnknown(TheCall, Code, false, Now, Out);
    return;
  case wire::CallOutcome::Finished:
    break;
  }
  this->AnswerLengths.addSample(TheCall.RoutePath, Reply.BodySize);
  constexpr int FirstServerError = 500;
  this->countEnd(TheCall,
                 Reply.Status >= FirstServerError
                     ? VersionFilter::CallEnd::Failed
                     : VersionFilter::CallEnd::Answered,
                 Now);
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
  // A refusal by the target itself was a request to it.
  this->countEnd(TheCall,
                 Code == ResultCode::TargetShed
                     ? VersionFilter::CallEnd::Abandoned
                     : VersionFilter::CallEnd::NotRun,
                 Now);
  this->endAttempt(TheCall, Unreachable, Now, Out);
  if (Unreachable)
    this->Chooser.unreachable(TheCall.Target, Now);
  Out.emplace_back(LogDecision{
      "event=not-run call=" + TheCall.CallId + " choice=" + TheCall.Target +
      " code=" + std::to_string(static_cast<int>(Code))});
  TheCall.Excluded.insert(TheCall.Target);
  TheCall.LastRefusal = Code;
  if (Code == ResultCode::TargetShed) {
    TheCall.TargetAttempts += 1;
    // The attempt reached the target, so it counts.
    TheCall.HasToken = false;
  }
  if (!this->mayRetry(TheCall, Code, Now)) {
    this->finish(TheCall.Number, {Code, TheCall.Service, {}}, false, Now, Out);
    return;
  }
  this->Retries += 1;
  this->dispatch(TheCall, Now, Out);
}

std::vector<wire::PeerLoad> CallRouter::loadsFor(std::string_view Receiver,
                                                 Time Now) const {
  const wire::MemberRecord *Record = this->Members.find(Receiver);
  return Record == nullptr ? std::vector<wire::PeerLoad>()
                           : this->Chooser.loadsFor(*Record, Now);
}

bool CallRouter::mayRetry(const Call &TheCall, ResultCode Code, Time Now) {
  const bool IsOverload = isOverload(Code);
  // The shortage is in a service that the call's run would call, so it affects
  // all daemons of this service alike.
  if (Code == ResultCode::NestedOverload)
    return false;
  // The refusal of a nested call wastes the run that made it.
  const bool Persistent =
      TheCall.Nested && this->Chooser.placesEvenly(TheCall.Service);
  if (TheCall.Attempts >= (IsOverload && !Persistent ? MaxOverloadAttempts
                                                     : MaxAttemptsPerCall) ||
      Now >= TheCall.Deadline)
    return false;
  // A refusal by the target itself has cost it work, so the retry counts
  // against the limit and the budget. A refusal by its daemon does not.
  if (Code == ResultCode::TargetShed)
    return TheCall.TargetAttempts < TheCall.MaxTargetAttempts &&
           this->Budget.tryWithdraw(TheCall.Service);
  return true;
}

bool CallRouter::retryOnOtherTarget(Call &TheCall, bool MayRun, Time Now,
                                    Effects &Out) {
  const bool Allowed = TheCall.MayRepeat &&
                       TheCall.TargetAttempts + 1 < TheCall.MaxTargetAttempts &&
                       TheCall.Attempts < MaxAttemptsPerCall &&
                       Now < TheCall.Deadline &&
                       this->Budget.tryWithdraw(TheCall.Service);
  if (!Allowed)
    return false;
  TheCall.TargetAttempts += 1;
  if (MayRun)
    this->cancelAttempt(TheCall, Channel::Datagram, Now, Out);
  this->endAttempt(TheCall, true, Now, Out);
  TheCall.Excluded.insert(TheCall.Target);
  TheCall.MayHaveRun = true;
  TheCall.HasToken = false;
  this->Retries += 1;
  this->dispatch(TheCall, Now, Out);
  return true;
}

void CallRouter::attemptUnknown(Call &TheCall, ResultCode Code, bool MayRun,
                                Time Now, Effects &Out) {
  Out.emplace_back(LogDecision{
      "event=outcome-unknown call=" + TheCall.CallId + " choice=" +
      TheCall.Target + " repeatable=" + (TheCall.MayRepeat ? "yes" : "no") +
      " code=" + std::to_string(static_cast<int>(Code))});
  if (Code == ResultCode::TargetBroke)
    this->countEnd(TheCall, VersionFilter::CallEnd::Failed, Now);
  if (this->retryOnOtherTarget(TheCall, MayRun, Now, Out))
    return;
  this->endAttempt(TheCall, true, Now, Out);
  const ResultCode ReportedCode = Code == ResultCode::TargetBroke
                                      ? ResultCode::TargetBroke
                                      : ResultCode::OutcomeUnknown;
  this->finish(TheCall.Number, {ReportedCode, TheCall.Service, {}}, true, Now,
               Out);
}

void CallRouter::queryOutcome(Call &TheCall, Time Now, Effects &Out) {
  TheCall.NextQueryAt = Now + QueryInterval;
  wire::CallQuery Query;
  Query.Id = this->attemptId(TheCall);
  Query.ReceiverIncarnation = TheCall.TargetIncarnation;
  send(Out, TheCall.Address, std::move(Query));
}

void CallRouter::connectionFailed(Call &TheCall, Time Now, Effects &Out) {
  if (TheCall.State != Phase::Sent)
    return;
  // A call runs only once its body is complete, and the rest of this attempt's
  // body will not be sent.
  if (TheCall.BodyPending)
    return this->attemptNotRun(TheCall, ResultCode::TargetUnreachable, Now,
                               Out);
  if (this->retryOnOtherTarget(TheCall, true, Now, Out))
    return;
  TheCall.State = Phase::Querying;
  TheCall.QueryUntil = Now + QueryTimeout;
  this->queryOutcome(TheCall, Now, Out);
}

std::vector<std::int64_t> CallRouter::callNumbers() const {
  std::vector<std::int64_t> Out;
  Out.reserve(this->Calls.size());
  for (const auto &[Number, TheCall] : this->Calls)
    Out.push_back(Number);
  return Out;
}

void CallRouter::attemptsNotSent(std::span<const wire::AttemptId> Ids, Time Now,
                                 Effects &Out) {
  for (const wire::AttemptId &Id : Ids) {
    Call *TheCall = this->findAttempt(Id);
    if (TheCall != nullptr)
      this->attemptNotRun(*TheCall, ResultCode::TargetUnreachable, Now, Out);
  }
}

void CallRouter::streamLost(const StreamLost &Lost, Time Now, Effects &Out) {
  this->attemptsNotSent(Lost.NotSent, Now, Out);
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
  this->recordActivity(From, Now);
}

void CallRouter::recordActivity(std::string_view Address, Time Now) {
  const auto Health = this->HealthByAddress.find(Address);
  if (Health != this->HealthByAddress.end())
    Health->second = {Now, Now + HeartbeatInterval,
                      Now + this->silenceTimeout(Address)};
}

milliseconds CallRouter::silenceTimeout(std::string_view Address) const {
  milliseconds Out = MinSilenceTimeout;
  for (const auto &[Number, TheCall] : this->Calls) {
    if (!TheCall.dispatched() || TheCall.Address != Address)
      continue;
    const milliseconds TimeAllowed(
        millisecondsUntil(TheCall.Deadline, TheCall.SentAt));
    Out = std::max(Out, TimeAllowed / SilenceTimeoutDivisor);
  }
  return std::min(Out, MaxSilenceTimeout);
}

void CallRouter::checkConnections(Time Now, Effects &Out) {
  std::set<std::string_view> InUse;
  for (const auto &[Number, TheCall] : this->Calls) {
    if (TheCall.dispatched())
      InUse.insert(TheCall.Address);
  }
  std::erase_if(this->HealthByAddress,
                [&](const auto &Item) { return InUse.count(Item.first) == 0; });
  for (auto &[Address, Health] : this->HealthByAddress) {
    if (Now >= Health.SilenceDeadline) {
      Out.emplace_back(RenewConnection{Address, "silent", Health.LastHeardAt});
      Health.LastHeardAt = Now;
      Health.SilenceDeadline = Now + this->silenceTimeout(Address);
    } else if (Now >= Health.NextHeartbeat) {
      Health.NextHeartbeat = Now + HeartbeatInterval;
      send(Out, Address, wire::Heartbeat());
    }
  }
}

void CallRouter::deadlinePassed(Call &TheCall, Time Now, Effects &Out) {
  if (!TheCall.dispatched()) {
    const ResultCode Code = TheCall.State == Phase::AwaitingAllowance
                                ? ResultCode::RateExceeded
                                : ResultCode::ClaimUnavailable;
    this->finish(TheCall.Number, {Code, TheCall.Service, {}}, false, Now, Out);
    return;
  }
  this->cancelAttempt(TheCall, Channel::Stream, Now, Out);
  this->countEnd(TheCall, VersionFilter::CallEnd::Failed, Now);
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
  this->Cancellations.tick(Now, Out);
  this->Allowance.tick(Now, Out);
  this->applyAllowance(Now, Out);
  this->expireHeld(Now, Out);
  this->checkConnections(Now, Out);
  for (const std::int64_t Number : this->callNumbers()) {
    Call *TheCall = this->find(Number);
    if (TheCall == nullptr)
      continue;
    if (Now >= TheCall->Deadline) {
      this->deadlinePassed(*TheCall, Now, Out);
      continue;
    }
    if (TheCall->State == Phase::AwaitingHolder && Now >= TheCall->QueryUntil) {
      this->finish(Number,
                   {ResultCode::KeyClaimed,
                    {},
                    "no reply from the daemon that handles the first call"},
                   false, Now, Out);
      continue;
    }
    if (TheCall->State != Phase::Querying)
      continue;
    const wire::MemberRecord *Record = this->Members.find(TheCall->Target);
    // A daemon that only stopped responding may still run the call.
    const bool TargetLost = Record == nullptr ||
                            Record->State == wire::Liveness::Left ||
                            Record->Incarnation != TheCall->TargetIncarnation;
    if (Now >= TheCall->QueryUntil || TargetLost)
      this->attemptUnknown(*TheCall, ResultCode::OutcomeUnknown, true, Now,
                           Out);
    else if (Now >= TheCall->NextQueryAt)
      this->queryOutcome(*TheCall, Now, Out);
  }
}

void CallRouter::callerDisconnected(std::int64_t CallNumber, Time Now,
                                    Effects &Out) {
  this->Held.erase(CallNumber);
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
  if (TheCall == nullptr || TheCall->State != Phase::AwaitingClaim)
    return;
  switch (this->Claims.receive(Reply)) {
  case ClaimClient::ClaimStatus::Pending:
    return;
  case ClaimClient::ClaimStatus::Granted:
    this->dispatch(*TheCall, Now, Out);
    return;
  case ClaimClient::ClaimStatus::Unavailable:
    this->finish(TheCall->Number, {ResultCode::ClaimUnavailable, {}, {}}, false,
                 Now, Out);
    return;
  case ClaimClient::ClaimStatus::Taken:
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
  // Query the holder of the claim, if it still runs, for the outcome of the
  // first call.
  wire::OutcomeQuery Query;
  Query.RequestId = TheCall->Number;
  Query.OwnerIncarnation = Reply.Holder.OwnerIncarnation;
  Query.CallNumber = Reply.Holder.CallNumber;
  send(Out, Reply.Holder.OwnerAddress, std::move(Query), Channel::Datagram);
  TheCall->State = Phase::AwaitingHolder;
  TheCall->QueryUntil = Now + QueryInterval;
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
  if (TheCall == nullptr || TheCall->State != Phase::AwaitingHolder)
    return;
  this->finish(TheCall->Number,
               {ResultCode::KeyClaimed,
                {},
                "the first call is " + wire::to_string(Reply.Outcome)},
               false, Now, Out);
}

} // namespace persimmon
