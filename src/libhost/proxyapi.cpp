#include "proxyapi.h"

#include "descriptorshares.h"
#include "logging.h"
#include "memoryshares.h"
#include "operatorapi.h"
#include "requesttarget.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr milliseconds ProbeTimeout{800};
constexpr milliseconds DiscoveryInterval{50};
/// Retry interval after a health response without the required data. It is
/// longer because a target that is leaving stays unhealthy.
constexpr milliseconds DiscoveryRetryInterval{400};
/// A target that is already running announces itself within this time after
/// the start of the daemon, so that later polls have no use.
constexpr milliseconds DiscoveryDuration{1500};
/// Short, as calls end continually and release the memory of their bodies.
constexpr milliseconds BodyMemoryRetryAfter{200};
constexpr std::size_t CallIdDigits = 8;
constexpr int DefaultConnections = 100;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

std::size_t headerBytes(const HttpRequest &Request) {
  std::size_t TotalBytes = Request.Url.size();
  for (const wire::Header &Item : Request.Headers)
    TotalBytes += Item.Name.size() + Item.Value.size();
  return TotalBytes;
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
    this->Owner.handleCall(std::move(Request));
  }
  void onRequestAborted(std::int64_t Id) override {
    this->Owner.Bodies.removeCallerBody(Id);
    this->Owner.ArrivedAt.erase(Id);
    this->Owner.Sink.submit(CallerDisconnected{Id});
  }
  std::size_t maxBodyBytes() const override {
    return static_cast<std::size_t>(this->Owner.callerLimits().MaxBodyBytes);
  }
  HttpResponse makeRefusal(const HttpRequest &Request,
                           const Failure &Error) override {
    return this->Owner.refuseArriving(Request, Error);
  }

private:
  ProxyApi &Owner;
};

class ProxyApi::LocalHandler : public HttpHandler {
public:
  LocalHandler(ProxyApi &Api, std::unique_ptr<HttpServer> &TheServer)
      : Owner(Api), Server(TheServer) {}

  void onRequest(HttpRequest Request) override {
    this->Owner.handleLocalRequest(*this->Server, Request);
  }
  void onRequestAborted(std::int64_t) override {}

private:
  ProxyApi &Owner;
  std::unique_ptr<HttpServer> &Server;
};

ProxyApi::ProxyApi(asio::io_context &Io, const DaemonSettings &Settings,
                   const Dependencies &Required)
    : Sink(Required.Sink), Bodies(Required.Bodies),
      DaemonMetrics(Required.DaemonMetrics), Protocols(Required.Protocols),
      Client(Io), ProbeTimer(Io), DiscoveryTimer(Io),
      DiscoveryDeadline(std::chrono::steady_clock::now() + DiscoveryDuration),
      CallerHttpHandler(std::make_unique<CallerHandler>(*this)),
      LocalHttpHandler(
          std::make_unique<LocalHandler>(*this, this->LocalServer)),
      ReadinessHttpHandler(
          std::make_unique<LocalHandler>(*this, this->ReadinessServer)),
      ConfiguredService(Settings.Target.Service),
      ConfiguredAddress(Settings.Target.Address),
      TargetAddress(ConfiguredAddress),
      ProbeInterval(Settings.Target.ProbeInterval),
      IdPrefix(randomHexString(CallIdDigits)) {}

ProxyApi::~ProxyApi() = default;

leaf::result<std::unique_ptr<ProxyApi>>
ProxyApi::open(asio::io_context &Io, const DaemonSettings &Settings,
               const Dependencies &Required) {
  std::unique_ptr<ProxyApi> Out(new ProxyApi(Io, Settings, Required));
  Out->Client.setMaxConnections(DefaultConnections);
  const MemoryShares Shares = MemoryShares::fromSettings(Settings.MemoryMb);
  Out->Client.setMaxHeldBytes(Shares.maxResponseBytes());
  Required.Bodies.setMaxCallerBytes(Shares.maxRequestBytes());
  const DescriptorShares Descriptors = DescriptorShares::ofProcess();
  HttpServerLimits LocalLimits(
      Settings.Requests, Descriptors.maxLocalConnections(), Required.Requests);
  LocalLimits.MaxBodyBytes = MaxAnnouncementBytes;
  BOOST_LEAF_ASSIGN(
      Out->CallerServer,
      HttpServer::open(Io, *Settings.Callers, *Out->CallerHttpHandler,
                       {Settings.Requests, Descriptors.maxCallerConnections(),
                        Required.Requests}));
  BOOST_LEAF_ASSIGN(Out->LocalServer,
                    HttpServer::open(Io, *Settings.Local,
                                     *Out->LocalHttpHandler, LocalLimits));
  if (Settings.Readiness) {
    BOOST_LEAF_ASSIGN(Out->ReadinessServer,
                      HttpServer::open(Io, *Settings.Readiness,
                                       *Out->ReadinessHttpHandler,
                                       LocalLimits));
  }
  if (Out->ProbeInterval.count() > 0)
    Out->scheduleProbe();
  if (!Out->ConfiguredAddress.empty())
    Out->scheduleDiscovery(DiscoveryInterval);
  return Out;
}

CallerLimits ProxyApi::callerLimits() const {
  const auto &Table = this->Sink.node().distribution().table();
  return Table ? Table->limits() : CallerLimits();
}

Failure ProxyApi::checkSize(const HttpRequest &Request,
                            std::size_t BodyBytes) const {
  const Distribution &Config = this->Sink.node().distribution();
  const CallerLimits Limits = this->callerLimits();
  const bool HeadersTooLarge =
      static_cast<std::int64_t>(headerBytes(Request)) > Limits.MaxHeaderBytes;
  const bool BodyTooLarge =
      static_cast<std::int64_t>(BodyBytes) > Limits.MaxBodyBytes;
  // A newer configuration version may have larger limits.
  if ((HeadersTooLarge || BodyTooLarge) && Config.superseded())
    return {ResultCode::NotCurrent, {}, {}};
  if (HeadersTooLarge)
    return {ResultCode::HeadersTooLarge, {}, {}};
  if (BodyTooLarge)
    return {ResultCode::BodyTooLarge, {}, {}};
  return {};
}

void ProxyApi::handleCall(HttpRequest Request) {
  const Time Now = std::chrono::steady_clock::now();
  this->ArrivedAt.emplace(Request.Id, Now);
  std::string Job;
  CallMetadata Metadata;
  Failure Error = this->checkSize(Request, Request.Body.size());
  if (!Error.failed())
    Error = handleResult([&] { return takeJob(Request); },
                         [&](std::string Taken) { Job = std::move(Taken); });
  if (!Error.failed())
    Error = handleResult(
        [&] {
          return this->Protocols.Calls->readCall(Request,
                                                 this->ConfiguredService, Now);
        },
        [&](CallMetadata Read) { Metadata = std::move(Read); });
  if (Error.failed())
    return this->sendError({Request.Id, std::move(Error)});
  CallArrived Call;
  Call.CallNumber = Request.Id;
  Call.CallId = std::move(Metadata.CallId);
  if (Call.CallId.empty() || !isVisibleAscii(Call.CallId))
    Call.CallId = this->IdPrefix + "-" + std::to_string(Request.Id);
  Call.Job = std::move(Job);
  Call.Method = Request.Method;
  Call.Url = Request.Url;
  Call.Headers = std::move(Metadata.Headers);
  Call.BodySize = static_cast<std::int64_t>(Request.Body.size());
  Call.Deadline = Metadata.Deadline;
  Call.IdempotencyKey = std::move(Metadata.IdempotencyKey);
  Call.AccountKey = std::move(Metadata.AccountKey);
  Call.IdentityHeaders = std::move(Metadata.IdentityHeaders);
  if (!this->Bodies.storeCallerBody(Request.Id, std::move(Request.Body),
                                    std::move(Request.Held)))
    return this->sendError({Request.Id,
                            {ResultCode::TooManyCalls, "body",
                             "not enough memory for the request body"},
                            BodyMemoryRetryAfter});
  this->Sink.submit(std::move(Call));
}

HttpResponse ProxyApi::refuseArriving(const HttpRequest &Request,
                                      Failure Error) {
  RefuseCaller Refusal;
  if (Error.Code == ResultCode::BodyTooLarge) {
    const Failure Checked =
        this->checkSize(Request, std::numeric_limits<std::int64_t>::max());
    if (Checked.failed())
      Error = Checked;
  } else {
    Refusal.RetryAfter = BodyMemoryRetryAfter;
  }
  this->DaemonMetrics.incrementCounter("persimmon_calls_total{result=\"" +
                                       std::string(nameOf(Error.Code)) + "\"}");
  Refusal.Error = std::move(Error);
  return this->Protocols.Calls->makeErrorResponse(Refusal, true);
}

void ProxyApi::recordCall(std::int64_t CallNumber, ResultCode Code) {
  this->DaemonMetrics.incrementCounter("persimmon_calls_total{result=\"" +
                                       std::string(nameOf(Code)) + "\"}");
  const auto Found = this->ArrivedAt.find(CallNumber);
  if (Found == this->ArrivedAt.end())
    return;
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Found->second;
  this->DaemonMetrics.observe("persimmon_call_seconds", Elapsed.count());
  this->ArrivedAt.erase(Found);
}

void ProxyApi::sendError(const RefuseCaller &Refusal) {
  const ResultCode Code = Refusal.Error.Code;
  this->recordCall(Refusal.CallNumber, Code);
  this->Bodies.removeCallerBody(Refusal.CallNumber);
  HttpResponse Response =
      this->Protocols.Calls->makeErrorResponse(Refusal, provesNotRun(Code));
  Response.CloseConnection = this->Sink.node().stopping() ||
                             Code == ResultCode::BodyTooLarge ||
                             Code == ResultCode::HeadersTooLarge;
  this->CallerServer->respond(Refusal.CallNumber, std::move(Response));
}

void ProxyApi::forwardResponse(const AnswerCaller &Answer) {
  auto Received = this->Bodies.takeReceivedResponse(Answer.Id);
  if (!Received)
    return this->sendError(
        {Answer.CallNumber, {ResultCode::TargetBroke, {}, {}}});
  this->recordCall(Answer.CallNumber, ResultCode::Ok);
  this->Bodies.removeCallerBody(Answer.CallNumber);
  HttpResponse Response;
  Response.Status = Received->Status;
  Response.Headers =
      this->Protocols.Calls->responseHeaders(std::move(Received->Headers));
  Response.Body = std::move(Received->Body);
  Response.CloseConnection = this->Sink.node().stopping();
  this->CallerServer->respond(Answer.CallNumber, std::move(Response));
}

void ProxyApi::runOnTarget(const RunOnTarget &Run) {
  const BodyStore::Request *Stored = this->Bodies.request(Run.Id);
  if (Stored == nullptr)
    return this->onTargetFinished(Run.Id, {}, TargetResponse());
  this->applyConnectionLimit();
  const Time Now = std::chrono::steady_clock::now();
  const CallProtocol &Calls = *this->Protocols.Calls;
  TargetRequest Request;
  Request.Address = this->TargetAddress;
  Request.Url = Stored->Header.Url;
  Request.Method = Stored->Header.Method;
  Request.Headers =
      Calls.targetHeaders(Stored->Header, this->Sink.node().target().InstanceId,
                          milliseconds(millisecondsUntil(Run.Deadline, Now)));
  Request.Body = this->Bodies.takeBody(Run.Id);
  Request.Deadline = Run.Deadline;
  std::string TargetRun = this->Sink.node().target().InstanceId;
  Request.ResponseMatches =
      [&Calls, Id = Stored->Header.CallId](const TargetResponse &Answer) {
        return Calls.matchesCall(Answer, Id);
      };
  this->Running[Run.Id] = this->Client.start(
      std::move(Request),
      [this, Id = Run.Id, TargetRun](TargetResponse Answer) {
        this->onTargetFinished(Id, TargetRun, std::move(Answer));
      });
}

void ProxyApi::applyConnectionLimit() {
  const auto &Table = this->Sink.node().distribution().table();
  const ServiceSpec *Service =
      Table ? Table->service(this->Sink.node().target().Service) : nullptr;
  if (Service != nullptr && Service->Connections > 0)
    this->Client.setMaxConnections(Service->Connections);
}

void ProxyApi::onTargetFinished(const wire::AttemptId &Id,
                                const std::string &TargetRun,
                                TargetResponse Answer) {
  this->Running.erase(Id);
  RunFinished Event;
  Event.Id = Id;
  Event.End = Answer.End;
  if (Answer.End == RunEnd::Answered &&
      this->Protocols.Calls->isNotRunResponse(Answer))
    Event.End = RunEnd::Shed;
  Event.Status = Answer.Status;
  if (Answer.End == RunEnd::Answered)
    Event.Notice = this->Protocols.Calls->readNotice(Answer);
  Event.TargetRun = TargetRun;
  Event.IsOtherRun = Answer.End == RunEnd::Answered &&
                     this->Protocols.Calls->isOtherRunResponse(Answer);
  Event.AnswerBytes = static_cast<std::int64_t>(Answer.Body.size());
  if (Event.End == RunEnd::Answered)
    this->Bodies.storeResponse(
        Id, {Answer.Status, std::move(Answer.Headers), std::move(Answer.Body)});
  this->Sink.submit(std::move(Event));
}

void ProxyApi::cancelOnTarget(const CancelOnTarget &Cancel) {
  const auto Found = this->Running.find(Cancel.Id);
  if (Found != this->Running.end())
    this->Client.cancel(Found->second);
}

void ProxyApi::handleLocalRequest(HttpServer &Server,
                                  const HttpRequest &Request) {
  Server.respond(Request.Id, this->dispatchLocalRequest(Request));
}

HttpResponse ProxyApi::dispatchLocalRequest(const HttpRequest &Request) {
  if (const auto Decoded = this->Protocols.Locals->decode(Request))
    return std::visit([this](const auto &Item) { return this->execute(Item); },
                      *Decoded);
  const std::string Route = Request.Method + " " + Request.Url;
  HttpResponse Response;
  if (Route == "GET /health") {
    Response.Body = "{\"healthy\":true}\n";
  } else if (Route == "GET /v1/status") {
    Response.Body = this->statusJson();
  } else if (Route == "GET /metrics") {
    Response.Body = this->Sink.metricsText();
  } else {
    Response.Status = httpStatusOf(ResultCode::PathUnknown);
    Response.Body = describe({ResultCode::PathUnknown, Request.Url, {}}) + "\n";
  }
  return Response;
}

HttpResponse ProxyApi::execute(const Failure &Error) {
  logWarning("event=announcement-refused " + describe(Error));
  return this->Protocols.Locals->makeErrorResponse(Error);
}

HttpResponse ProxyApi::execute(const ReadinessQuery &) {
  const Node &LocalNode = this->Sink.node();
  const bool Ready = LocalNode.serving() && !LocalNode.stopping() &&
                     LocalNode.distribution().version() > 0;
  HttpResponse Out;
  Out.Status = Ready ? StatusOk : StatusUnavailable;
  Out.Body = json{{"ready", Ready}}.dump() + "\n";
  return Out;
}

HttpResponse ProxyApi::execute(const TargetAnnouncement &Announcement) {
  std::string Address;
  const Failure Error = handleResult(
      [&] { return Endpoint::parse(Announcement.Address, "address"); },
      [&](const Endpoint &Valid) { Address = Valid.toString(); });
  if (Error.failed())
    return this->execute(Error);
  if (!this->ConfiguredAddress.empty() &&
      (Address != this->ConfiguredAddress ||
       Announcement.Announced.Service != this->ConfiguredService)) {
    if (Address == this->ConfiguredAddress)
      this->Sink.submit(TargetDisowned{Announcement.Announced.InstanceId,
                                       Announcement.Announced.Service,
                                       Announcement.Announced.Born});
    return this->execute(Failure{ResultCode::NotOwnTarget, Address,
                                 "service " + Announcement.Announced.Service});
  }
  if (this->TargetAddress != Address || this->Sink.node().target().InstanceId !=
                                            Announcement.Announced.InstanceId)
    this->Client.closeIdleConnections();
  this->TargetAddress = Address;
  if (Announcement.Connections > 0)
    this->Client.setMaxConnections(Announcement.Connections);
  this->Sink.submit(Announcement.Announced);
  if (!this->ConfiguredService.empty() &&
      this->Sink.node().holdsAnnouncement(std::chrono::steady_clock::now()))
    this->scheduleDiscovery(milliseconds(0));
  return this->Protocols.Locals->makeSuccessResponse();
}

HttpResponse ProxyApi::execute(const TargetLeaving &Leave) {
  this->Sink.submit(Leave);
  return this->Protocols.Locals->makeSuccessResponse();
}

std::string ProxyApi::statusJson() const {
  const Node &LocalNode = this->Sink.node();
  const Time Now = std::chrono::steady_clock::now();
  const wire::Load Load = LocalNode.scheduler().load();
  return json{{"name", LocalNode.members().self().Name},
              {"version", LocalNode.distribution().version()},
              {"serving", LocalNode.serving()},
              {"stopping", LocalNode.stopping()},
              {"stale", LocalNode.members().stale(Now)},
              {"members", LocalNode.members().records().size()},
              {"running", Load.Running},
              {"queued", Load.Queued},
              {"slots", Load.Slots}}
             .dump() +
         "\n";
}

void ProxyApi::requestHealth(
    std::string_view Path,
    std::function<void(const TargetResponse &)> OnResponse) {
  TargetRequest Request;
  Request.Address = this->TargetAddress;
  Request.Url = std::string(Path);
  Request.Method = "GET";
  Request.Headers = {makeHeader("Host", this->TargetAddress)};
  Request.Deadline = std::chrono::steady_clock::now() + ProbeTimeout;
  this->Client.start(std::move(Request), std::move(OnResponse));
}

void ProxyApi::scheduleDiscovery(milliseconds Pause) {
  this->DiscoveryTimer.expires_after(Pause);
  this->DiscoveryTimer.async_wait([this](std::error_code Error) {
    const Node &LocalNode = this->Sink.node();
    const Time Now = std::chrono::steady_clock::now();
    if (Error || this->HealthRequested || !LocalNode.needsTargetHealth(Now) ||
        (Now >= this->DiscoveryDeadline && !LocalNode.holdsAnnouncement(Now)))
      return;
    const auto &Table = LocalNode.distribution().table();
    const ServiceSpec *Service =
        Table ? Table->service(this->ConfiguredService) : nullptr;
    if (Service == nullptr)
      return this->scheduleDiscovery(DiscoveryInterval);
    this->HealthRequested = true;
    this->requestHealth(Service->HealthPath,
                        [this](const TargetResponse &Answer) {
                          this->HealthRequested = false;
                          this->handleDiscovery(Answer);
                        });
  });
}

void ProxyApi::handleDiscovery(const TargetResponse &Answer) {
  const CallProtocol &Calls = *this->Protocols.Calls;
  const auto Health =
      Answer.End == RunEnd::Answered ? Calls.readHealth(Answer) : std::nullopt;
  if (Health)
    this->Sink.submit(TargetFound{this->ConfiguredService, Health->InstanceId,
                                  Health->Slots, Calls.readNotice(Answer)});
  this->scheduleDiscovery(DiscoveryRetryInterval);
}

void ProxyApi::scheduleProbe() {
  this->ProbeTimer.expires_after(this->ProbeInterval);
  this->ProbeTimer.async_wait([this](std::error_code Error) {
    if (Error)
      return;
    if (!this->TargetAddress.empty()) {
      this->requestHealth(
          "/health", [this, Expected = this->Sink.node().target().InstanceId](
                         const TargetResponse &Answer) {
            TargetProbed Event;
            Event.ExpectedRun = Expected;
            if (Answer.End == RunEnd::Answered)
              Event.RespondedRun = this->Protocols.Calls->readRun(Answer);
            Event.Reachable = Answer.End != RunEnd::NotConnected &&
                              Answer.End != RunEnd::NotSent;
            Event.Healthy =
                Answer.End == RunEnd::Answered && Answer.Status == StatusOk;
            if (Answer.End == RunEnd::Answered)
              Event.Notice = this->Protocols.Calls->readNotice(Answer);
            this->Sink.submit(Event);
          });
    }
    this->scheduleProbe();
  });
}

} // namespace persimmon
