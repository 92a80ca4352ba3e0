#include "proxyapi.h"

#include "logging.h"
#include "memoryshares.h"
#include "operatorapi.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr milliseconds ProbeTimeout{800};
constexpr milliseconds FindInterval{50};
/// Retry interval after a health response without the required data. It is
/// longer because a target that is leaving stays unhealthy.
constexpr milliseconds FindAgainInterval{400};
/// A target that is already running announces itself within this time after
/// the start of the daemon. Later its address may belong to another target.
constexpr milliseconds FindDuration{1500};
/// Short, as calls end continually and release the memory of their bodies.
constexpr milliseconds RoomRetryAfter{200};
constexpr std::size_t CallIdDigits = 8;
constexpr int DefaultConnections = 100;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

std::size_t headerBytes(const HttpRequest &Request) {
  std::size_t Sum = Request.Url.size();
  for (const wire::Header &Item : Request.Headers)
    Sum += Item.Name.size() + Item.Value.size();
  return Sum;
}

/// Returns the job of a request: the Host header without the port, in lower
/// case.
std::string jobOf(const HttpRequest &Request) {
  const std::string_view Host = Request.header("Host");
  std::string Job(Host.substr(0, Host.find(':')));
  std::transform(Job.begin(), Job.end(), Job.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Job;
}

/// Returns whether a result code guarantees that the call did not run.
bool provesNotRun(ResultCode Code) {
  switch (Code) {
  case ResultCode::OutcomeUnknown:
  case ResultCode::TargetBroke:
  case ResultCode::DeadlinePassed:
  case ResultCode::KeyClaimed:
  case ResultCode::Cancelled:
  case ResultCode::WrongIncarnation:
    return false;
  default:
    return true;
  }
}

} // namespace

class ProxyApi::CallerHandler : public HttpHandler {
public:
  explicit CallerHandler(ProxyApi &Api) : Owner(Api) {}

  void onRequest(HttpRequest Request) override {
    this->Owner.callArrived(std::move(Request));
  }
  void onRequestAborted(std::int64_t Id) override {
    this->Owner.Bodies.dropCaller(Id);
    this->Owner.ArrivedAt.erase(Id);
    this->Owner.Sink.submit(CallerGone{Id});
  }

private:
  ProxyApi &Owner;
};

class ProxyApi::LocalHandler : public HttpHandler {
public:
  LocalHandler(ProxyApi &Api, std::unique_ptr<HttpServer> &ThePort)
      : Owner(Api), Port(ThePort) {}

  void onRequest(HttpRequest Request) override {
    this->Owner.localRequest(*this->Port, Request);
  }
  void onRequestAborted(std::int64_t) override {}

private:
  ProxyApi &Owner;
  std::unique_ptr<HttpServer> &Port;
};

ProxyApi::ProxyApi(asio::io_context &Io, const DaemonSettings &Settings,
                   const Parts &Used)
    : Sink(Used.Sink), Bodies(Used.Bodies), DaemonMetrics(Used.DaemonMetrics),
      Protocols(Used.Protocols), Client(Io), ProbeTimer(Io), FindTimer(Io),
      FindUntil(std::chrono::steady_clock::now() + FindDuration),
      Callers(std::make_unique<CallerHandler>(*this)),
      Locals(std::make_unique<LocalHandler>(*this, this->LocalPort)),
      ReadinessCallers(
          std::make_unique<LocalHandler>(*this, this->ReadinessPort)),
      OwnService(Settings.Target.Service),
      FixedAddress(Settings.Target.Address), TargetAddress(FixedAddress),
      ProbeInterval(Settings.Target.ProbeInterval),
      IdPrefix(randomHexString(CallIdDigits)) {}

ProxyApi::~ProxyApi() = default;

leaf::result<std::unique_ptr<ProxyApi>>
ProxyApi::open(asio::io_context &Io, const DaemonSettings &Settings,
               const Parts &Used) {
  std::unique_ptr<ProxyApi> Out(new ProxyApi(Io, Settings, Used));
  Out->Client.setMaxConnections(DefaultConnections);
  std::ifstream MachineMemory("/proc/meminfo");
  const MemoryShares Shares =
      MemoryShares::of(Settings.MemoryMb, MachineMemory);
  Out->Client.setMaxHeldBytes(Shares.readAnswers());
  Used.Bodies.setMaxCallerBytes(Shares.callerBodies());
  BOOST_LEAF_ASSIGN(Out->CallerPort,
                    HttpServer::open(Io, *Settings.Callers, *Out->Callers));
  BOOST_LEAF_ASSIGN(Out->LocalPort,
                    HttpServer::open(Io, *Settings.Local, *Out->Locals));
  if (Settings.Readiness) {
    BOOST_LEAF_ASSIGN(
        Out->ReadinessPort,
        HttpServer::open(Io, *Settings.Readiness, *Out->ReadinessCallers));
  }
  if (Out->ProbeInterval.count() > 0)
    Out->probeTarget();
  if (!Out->FixedAddress.empty())
    Out->findTarget(FindInterval);
  return Out;
}

Failure ProxyApi::checkCall(const HttpRequest &Request,
                            const std::string &Job) const {
  const Distribution &Config = this->Sink.node().distribution();
  const auto &Table = Config.table();
  const CallerLimits Limits = Table ? Table->limits() : CallerLimits();
  const bool HeadersTooLarge =
      static_cast<std::int64_t>(headerBytes(Request)) > Limits.MaxHeaderBytes;
  const bool BodyTooLarge =
      static_cast<std::int64_t>(Request.Body.size()) > Limits.MaxBodyBytes;
  // A newer configuration version may have larger limits.
  if ((HeadersTooLarge || BodyTooLarge) && Config.superseded())
    return {ResultCode::NotCurrent, {}, {}};
  if (HeadersTooLarge)
    return {ResultCode::HeadersTooLarge, {}, {}};
  if (BodyTooLarge)
    return {ResultCode::BodyTooLarge, {}, {}};
  if (Job.empty())
    return {ResultCode::RequestMalformed, "Host",
            "the header is missing or empty"};
  if (!Request.Url.starts_with('/') || !isVisibleAscii(Request.Url) ||
      !isVisibleAscii(Job))
    return {ResultCode::RequestMalformed, "URL",
            "expected a path of printable characters"};
  return {};
}

void ProxyApi::callArrived(HttpRequest Request) {
  const Time Now = std::chrono::steady_clock::now();
  this->ArrivedAt.emplace(Request.Id, Now);
  const std::string Job = jobOf(Request);
  CallMetadata Metadata;
  Failure Error = this->checkCall(Request, Job);
  if (!Error.failed())
    Error = settle(
        [&] {
          return this->Protocols.Calls->readCall(Request, this->OwnService,
                                                 Now);
        },
        [&](CallMetadata Read) { Metadata = std::move(Read); });
  if (Error.failed())
    return this->refuse({Request.Id, std::move(Error)});
  CallArrived Call;
  Call.CallNumber = Request.Id;
  Call.CallId = std::move(Metadata.CallId);
  if (Call.CallId.empty() || !isVisibleAscii(Call.CallId))
    Call.CallId = this->IdPrefix + "-" + std::to_string(Request.Id);
  Call.Job = Job;
  Call.Method = Request.Method;
  Call.Url = Request.Url;
  Call.Headers = std::move(Metadata.Headers);
  Call.BodySize = static_cast<std::int64_t>(Request.Body.size());
  Call.Deadline = Metadata.Deadline;
  Call.IdempotencyKey = std::move(Metadata.IdempotencyKey);
  if (!this->Bodies.keepCallerBody(Request.Id, std::move(Request.Body)))
    return this->refuse({Request.Id,
                         {ResultCode::TooManyCalls, "body",
                          "not enough memory for the request body"},
                         RoomRetryAfter});
  this->Sink.submit(std::move(Call));
}

void ProxyApi::countCall(std::int64_t CallNumber, ResultCode Code) {
  this->DaemonMetrics.incrementCounter("persimmon_calls_total{result=\"" +
                                       std::string(nameOf(Code)) + "\"}");
  const auto Found = this->ArrivedAt.find(CallNumber);
  if (Found == this->ArrivedAt.end())
    return;
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Found->second;
  this->DaemonMetrics.observe("persimmon_call_seconds", Took.count());
  this->ArrivedAt.erase(Found);
}

void ProxyApi::refuse(const RefuseCaller &Refusal) {
  const ResultCode Code = Refusal.Error.Code;
  this->countCall(Refusal.CallNumber, Code);
  this->Bodies.dropCaller(Refusal.CallNumber);
  HttpResponse Answer =
      this->Protocols.Calls->makeErrorResponse(Refusal, provesNotRun(Code));
  Answer.CloseConnection = this->Sink.node().stopping() ||
                           Code == ResultCode::BodyTooLarge ||
                           Code == ResultCode::HeadersTooLarge;
  this->CallerPort->respond(Refusal.CallNumber, std::move(Answer));
}

void ProxyApi::answer(const AnswerCaller &Told) {
  auto Arrived = this->Bodies.takeArrived(Told.Id);
  if (!Arrived)
    return this->refuse({Told.CallNumber, {ResultCode::TargetBroke, {}, {}}});
  this->countCall(Told.CallNumber, ResultCode::Ok);
  this->Bodies.dropCaller(Told.CallNumber);
  HttpResponse Answer;
  Answer.Status = Arrived->Status;
  Answer.Headers =
      this->Protocols.Calls->responseHeaders(std::move(Arrived->Headers));
  Answer.Body = std::move(Arrived->Body);
  Answer.CloseConnection = this->Sink.node().stopping();
  this->CallerPort->respond(Told.CallNumber, std::move(Answer));
}

void ProxyApi::run(const RunOnTarget &Run) {
  const BodyStore::Request *Held = this->Bodies.request(Run.Id);
  if (Held == nullptr)
    return this->runEnded(Run.Id, TargetAnswer());
  this->applyConnectionLimit();
  const Time Now = std::chrono::steady_clock::now();
  const CallProtocol &Calls = *this->Protocols.Calls;
  TargetRequest Request;
  Request.Address = this->TargetAddress;
  Request.Url = Held->Header.Url;
  Request.Method = Held->Header.Method;
  Request.Headers =
      Calls.targetHeaders(Held->Header, this->Sink.node().target().InstanceId,
                          milliseconds(millisecondsUntil(Run.Deadline, Now)));
  Request.Body = Held->Body;
  Request.Deadline = Run.Deadline;
  Request.Belongs = [&Calls,
                     Id = Held->Header.CallId](const TargetAnswer &Answer) {
    return Calls.matchesCall(Answer, Id);
  };
  this->Running[Run.Id] =
      this->Client.start(Request, [this, Id = Run.Id](TargetAnswer Answer) {
        this->runEnded(Id, std::move(Answer));
      });
}

void ProxyApi::applyConnectionLimit() {
  const auto &Table = this->Sink.node().distribution().table();
  const ServiceSpec *Service =
      Table ? Table->service(this->Sink.node().target().Service) : nullptr;
  if (Service != nullptr && Service->Connections > 0)
    this->Client.setMaxConnections(Service->Connections);
}

void ProxyApi::runEnded(const wire::AttemptId &Id, TargetAnswer Answer) {
  this->Running.erase(Id);
  RunFinished Event;
  Event.Id = Id;
  Event.End = Answer.End;
  if (Answer.End == RunEnd::Answered &&
      this->Protocols.Calls->isNotRunResponse(Answer))
    Event.End = RunEnd::Shed;
  Event.Status = Answer.Status;
  Event.AnswerBytes = static_cast<std::int64_t>(Answer.Body.size());
  if (Event.End == RunEnd::Answered)
    this->Bodies.holdAnswer(
        Id, {Answer.Status, std::move(Answer.Headers), std::move(Answer.Body)});
  this->Sink.submit(std::move(Event));
}

void ProxyApi::cancel(const CancelOnTarget &Cancel) {
  const auto Found = this->Running.find(Cancel.Id);
  if (Found != this->Running.end())
    this->Client.cancel(Found->second);
}

void ProxyApi::localRequest(HttpServer &Port, const HttpRequest &Request) {
  Port.respond(Request.Id, this->answerLocal(Request));
}

HttpResponse ProxyApi::answerLocal(const HttpRequest &Request) {
  if (const auto Call = this->Protocols.Locals->decode(Request))
    return std::visit([this](const auto &Item) { return this->carryOut(Item); },
                      *Call);
  const std::string Route = Request.Method + " " + Request.Url;
  HttpResponse Answer;
  if (Route == "GET /health") {
    Answer.Body = "{\"healthy\":true}\n";
  } else if (Route == "GET /v1/status") {
    Answer.Body = this->statusText();
  } else if (Route == "GET /metrics") {
    Answer.Body = this->Sink.metricsText();
  } else {
    Answer.Status = httpStatusOf(ResultCode::PathUnknown);
    Answer.Body = describe({ResultCode::PathUnknown, Request.Url, {}}) + "\n";
  }
  return Answer;
}

HttpResponse ProxyApi::carryOut(const Failure &Error) {
  logWarning("event=announcement-refused " + describe(Error));
  return this->Protocols.Locals->makeErrorResponse(Error);
}

HttpResponse ProxyApi::carryOut(const ReadinessQuery &) {
  const Node &Daemon = this->Sink.node();
  const bool Ready = Daemon.serving() && !Daemon.stopping() &&
                     Daemon.distribution().version() > 0;
  HttpResponse Out;
  Out.Status = Ready ? StatusOk : StatusUnavailable;
  Out.Body = json{{"ready", Ready}}.dump() + "\n";
  return Out;
}

HttpResponse ProxyApi::carryOut(const TargetAnnouncement &Announcement) {
  std::string Address;
  const Failure Error =
      settle([&] { return Endpoint::parse(Announcement.Address, "address"); },
             [&](const Endpoint &Valid) { Address = Valid.toString(); });
  if (Error.failed())
    return this->carryOut(Error);
  if (!this->FixedAddress.empty() &&
      (Address != this->FixedAddress ||
       Announcement.Announced.Service != this->OwnService))
    return this->carryOut(Failure{ResultCode::NotOwnTarget, Address,
                                  "service " + Announcement.Announced.Service});
  if (this->TargetAddress != Address || this->Sink.node().target().InstanceId !=
                                            Announcement.Announced.InstanceId)
    this->Client.forgetIdle();
  this->TargetAddress = Address;
  if (Announcement.Connections > 0)
    this->Client.setMaxConnections(Announcement.Connections);
  this->Sink.submit(Announcement.Announced);
  return this->Protocols.Locals->makeSuccessResponse();
}

HttpResponse ProxyApi::carryOut(const TargetLeaves &Leave) {
  this->Sink.submit(Leave);
  return this->Protocols.Locals->makeSuccessResponse();
}

std::string ProxyApi::statusText() const {
  const Node &Daemon = this->Sink.node();
  const Time Now = std::chrono::steady_clock::now();
  const wire::Load Load = Daemon.ledger().load();
  return json{{"name", Daemon.members().self().Name},
              {"version", Daemon.distribution().version()},
              {"serving", Daemon.serving()},
              {"stopping", Daemon.stopping()},
              {"stale", Daemon.members().stale(Now)},
              {"members", Daemon.members().records().size()},
              {"running", Load.Running},
              {"queued", Load.Queued},
              {"slots", Load.Slots}}
             .dump() +
         "\n";
}

void ProxyApi::askHealth(std::string_view Path,
                         std::function<void(const TargetAnswer &)> Then) {
  TargetRequest Request;
  Request.Address = this->TargetAddress;
  Request.Url = std::string(Path);
  Request.Method = "GET";
  Request.Headers = {makeHeader("Host", this->TargetAddress)};
  Request.Deadline = std::chrono::steady_clock::now() + ProbeTimeout;
  this->Client.start(Request, std::move(Then));
}

void ProxyApi::findTarget(milliseconds Pause) {
  this->FindTimer.expires_after(Pause);
  this->FindTimer.async_wait([this](std::error_code Error) {
    const Node &Daemon = this->Sink.node();
    if (Error || Daemon.target().State != wire::TargetState::None ||
        std::chrono::steady_clock::now() >= this->FindUntil)
      return;
    const auto &Table = Daemon.distribution().table();
    const ServiceSpec *Service =
        Table ? Table->service(this->OwnService) : nullptr;
    if (Service == nullptr)
      return this->findTarget(FindInterval);
    this->askHealth(Service->HealthPath, [this](const TargetAnswer &Answer) {
      const auto Health = Answer.End == RunEnd::Answered
                              ? this->Protocols.Calls->readHealth(Answer)
                              : std::nullopt;
      if (!Health)
        return this->findTarget(FindAgainInterval);
      this->Sink.submit(
          TargetFound{this->OwnService, Health->InstanceId, Health->Slots});
    });
  });
}

void ProxyApi::probeTarget() {
  this->ProbeTimer.expires_after(this->ProbeInterval);
  this->ProbeTimer.async_wait([this](std::error_code Error) {
    if (Error)
      return;
    if (!this->TargetAddress.empty()) {
      this->askHealth("/health", [this](const TargetAnswer &Answer) {
        TargetProbed Event;
        Event.Reachable =
            Answer.End != RunEnd::NotConnected && Answer.End != RunEnd::NotSent;
        Event.Well =
            Answer.End == RunEnd::Answered && Answer.Status == StatusOk;
        this->Sink.submit(Event);
      });
    }
    this->probeTarget();
  });
}

} // namespace persimmon
