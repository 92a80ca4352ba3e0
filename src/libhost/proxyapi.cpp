#include "proxyapi.h"

#include "operatorapi.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr std::size_t MaxBodyBytes = 32u << 20;
constexpr std::size_t MaxHeaderBytes = 32u << 10;
constexpr std::chrono::seconds ProbeInterval{1};
constexpr milliseconds ProbeTimeout{800};
constexpr std::size_t CallIdDigits = 8;
constexpr int DefaultConnections = 100;

/// Headers that concern one connection only, or that the proxy sets itself.
constexpr std::array<std::string_view, 12> HopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "Content-Length",
    "Upgrade",
    "TE",
    "Trailer",
    "Expect",
    "X-Request-Id",
    "Persimmon-Deadline-Ms",
    "Persimmon-Not-Run"};

bool isHopHeader(std::string_view Name) {
  return std::any_of(
      HopHeaders.begin(), HopHeaders.end(),
      [&](std::string_view Hop) { return sameHeader(Name, Hop); });
}

wire::Header makeHeader(std::string Name, std::string Value) {
  wire::Header Out;
  Out.Name = std::move(Name);
  Out.Value = std::move(Value);
  return Out;
}

std::vector<wire::Header> endToEnd(const std::vector<wire::Header> &Headers) {
  std::vector<wire::Header> Out;
  for (const wire::Header &Item : Headers) {
    if (!isHopHeader(Item.Name))
      Out.push_back(Item);
  }
  return Out;
}

std::size_t headerBytes(const HttpRequest &Request) {
  std::size_t Sum = Request.Url.size();
  for (const wire::Header &Item : Request.Headers)
    Sum += Item.Name.size() + Item.Value.size();
  return Sum;
}

/// Returns the job that a request names: its Host without a port.
std::string jobOf(const HttpRequest &Request) {
  const std::string_view Host = Request.header("Host");
  std::string Job(Host.substr(0, Host.find(':')));
  std::transform(Job.begin(), Job.end(), Job.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Job;
}

/// Control characters would split log lines and headers.
bool printable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < '\x7f'; });
}

Failure checkRequest(const HttpRequest &Request, const std::string &Job) {
  if (headerBytes(Request) > MaxHeaderBytes)
    return {ResultCode::HeadersTooLarge, {}, {}};
  if (Request.Body.size() > MaxBodyBytes)
    return {ResultCode::BodyTooLarge, {}, {}};
  if (Job.empty())
    return {ResultCode::RequestMalformed, "Host", "the header is missing"};
  if (!Request.Url.starts_with('/') || !printable(Request.Url) ||
      !printable(Job))
    return {ResultCode::RequestMalformed, "URL", "expected a path"};
  const std::string_view Left = Request.header("Persimmon-Deadline-Ms");
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Left.data(), Left.data() + Left.size(), Value);
  if (!Left.empty() &&
      (Error != std::errc() || End != Left.data() + Left.size() || Value < 0))
    return {ResultCode::RequestMalformed, "Persimmon-Deadline-Ms",
            "expected milliseconds"};
  return {};
}

Time deadlineOf(const HttpRequest &Request, Time Now) {
  const std::string_view Left = Request.header("Persimmon-Deadline-Ms");
  std::int64_t Value = 0;
  std::from_chars(Left.data(), Left.data() + Left.size(), Value);
  constexpr std::int64_t MaxMs = 3'600'000;
  return Left.empty() ? NoDeadline : Now + milliseconds(std::min(Value, MaxMs));
}

/// Whether a failure proves that the call did not run.
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
  void onRequestGone(std::int64_t Id) override {
    this->Owner.Bodies.dropCaller(Id);
    this->Owner.ArrivedAt.erase(Id);
    this->Owner.Sink.submit(CallerGone{Id});
  }

private:
  ProxyApi &Owner;
};

class ProxyApi::LocalHandler : public HttpHandler {
public:
  explicit LocalHandler(ProxyApi &Api) : Owner(Api) {}

  void onRequest(HttpRequest Request) override {
    this->Owner.localRequest(Request);
  }
  void onRequestGone(std::int64_t) override {}

private:
  ProxyApi &Owner;
};

ProxyApi::ProxyApi(asio::io_context &Io, EventSink &TheSink,
                   BodyStore &TheBodies, Metrics &TheNumbers)
    : Sink(TheSink), Bodies(TheBodies), Numbers(TheNumbers), Client(Io),
      ProbeTimer(Io), Callers(std::make_unique<CallerHandler>(*this)),
      Locals(std::make_unique<LocalHandler>(*this)),
      IdPrefix(randomText(CallIdDigits)) {}

ProxyApi::~ProxyApi() = default;

leaf::result<std::unique_ptr<ProxyApi>>
ProxyApi::open(asio::io_context &Io, const DaemonSettings &Settings,
               EventSink &Sink, BodyStore &Bodies, Metrics &Numbers) {
  std::unique_ptr<ProxyApi> Out(new ProxyApi(Io, Sink, Bodies, Numbers));
  Out->Client.setMaxConnections(DefaultConnections);
  BOOST_LEAF_ASSIGN(Out->CallerPort,
                    HttpPort::open(Io, *Settings.Callers, *Out->Callers));
  BOOST_LEAF_ASSIGN(Out->LocalPort,
                    HttpPort::open(Io, *Settings.Local, *Out->Locals));
  Out->probeTarget();
  return Out;
}

void ProxyApi::callArrived(HttpRequest Request) {
  const Time Now = std::chrono::steady_clock::now();
  this->ArrivedAt.emplace(Request.Id, Now);
  const std::string Job = jobOf(Request);
  Failure Error = checkRequest(Request, Job);
  if (Error.failed())
    return this->refuse({Request.Id, std::move(Error)});
  CallArrived Call;
  Call.CallNumber = Request.Id;
  Call.CallId = std::string(Request.header("X-Request-Id"));
  if (Call.CallId.empty() || !printable(Call.CallId))
    Call.CallId = this->IdPrefix + "-" + std::to_string(Request.Id);
  Call.Job = Job;
  Call.Method = Request.Method;
  Call.Url = Request.Url;
  Call.Headers = endToEnd(Request.Headers);
  Call.BodySize = static_cast<std::int64_t>(Request.Body.size());
  Call.Deadline = deadlineOf(Request, Now);
  Call.IdempotencyKey = std::string(Request.header("Idempotency-Key"));
  this->Bodies.keepCallerBody(Request.Id, std::move(Request.Body));
  this->Sink.submit(std::move(Call));
}

void ProxyApi::countCall(std::int64_t CallNumber, ResultCode Code) {
  this->Numbers.add("persimmon_calls_total{result=\"" +
                    std::string(nameOf(Code)) + "\"}");
  const auto Found = this->ArrivedAt.find(CallNumber);
  if (Found == this->ArrivedAt.end())
    return;
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Found->second;
  this->Numbers.observe("persimmon_call_seconds", Took.count());
  this->ArrivedAt.erase(Found);
}

void ProxyApi::refuse(const RefuseCaller &Refusal) {
  const ResultCode Code = Refusal.Error.Code;
  this->countCall(Refusal.CallNumber, Code);
  this->Bodies.dropCaller(Refusal.CallNumber);
  const bool NotRun = provesNotRun(Code);
  HttpAnswer Answer;
  Answer.Status = httpStatusOf(Code);
  Answer.Headers.push_back(
      makeHeader("Persimmon-Code", std::to_string(static_cast<int>(Code))));
  Answer.Headers.push_back(
      makeHeader("Persimmon-Not-Run", NotRun ? "true" : "false"));
  Answer.Headers.push_back(makeHeader("Content-Type", "application/json"));
  Answer.Body = json{{"code", static_cast<int>(Code)},
                     {"name", nameOf(Code)},
                     {"notRun", NotRun},
                     {"text", describe(Refusal.Error)}}
                    .dump() +
                "\n";
  Answer.CloseConnection = Code == ResultCode::Stopping ||
                           Code == ResultCode::BodyTooLarge ||
                           Code == ResultCode::HeadersTooLarge;
  this->CallerPort->answer(Refusal.CallNumber, std::move(Answer));
}

void ProxyApi::answer(const AnswerCaller &Told) {
  auto Arrived = this->Bodies.takeArrived(Told.Id);
  if (!Arrived)
    return this->refuse({Told.CallNumber, {ResultCode::TargetBroke, {}, {}}});
  this->countCall(Told.CallNumber, ResultCode::Ok);
  this->Bodies.dropCaller(Told.CallNumber);
  HttpAnswer Answer;
  Answer.Status = Arrived->Status;
  Answer.Headers = std::move(Arrived->Headers);
  Answer.Body = std::move(Arrived->Body);
  Answer.CloseConnection = this->Sink.node().stopping();
  this->CallerPort->answer(Told.CallNumber, std::move(Answer));
}

void ProxyApi::run(const RunOnTarget &Run) {
  const BodyStore::Request *Held = this->Bodies.request(Run.Id);
  if (Held == nullptr)
    return this->runEnded(Run.Id, TargetAnswer());
  const Time Now = std::chrono::steady_clock::now();
  TargetRequest Request;
  Request.Url = "http://" + this->TargetAddress + Held->Header.Url;
  Request.Method = Held->Header.Method;
  Request.Headers = Held->Header.Headers;
  Request.Headers.push_back(makeHeader("X-Request-Id", Held->Header.CallId));
  Request.Headers.push_back(
      makeHeader("Persimmon-Deadline-Ms",
                 std::to_string(millisecondsUntil(Run.Deadline, Now))));
  Request.Body = Held->Body;
  Request.Deadline = Run.Deadline;
  Request.MayRepeat = Held->Header.MayRepeat;
  this->Running[Run.Id] =
      this->Client.start(Request, [this, Id = Run.Id](TargetAnswer Answer) {
        this->runEnded(Id, std::move(Answer));
      });
}

void ProxyApi::runEnded(const wire::AttemptId &Id, TargetAnswer Answer) {
  this->Running.erase(Id);
  RunFinished Event;
  Event.Id = Id;
  Event.End = Answer.End;
  Event.Status = Answer.Status;
  Event.AnswerBytes = static_cast<std::int64_t>(Answer.Body.size());
  if (Answer.End == RunEnd::Answered)
    this->Bodies.holdAnswer(
        Id, {Answer.Status, endToEnd(Answer.Headers), std::move(Answer.Body)});
  this->Sink.submit(std::move(Event));
}

void ProxyApi::cancel(const CancelOnTarget &Cancel) {
  const auto Found = this->Running.find(Cancel.Id);
  if (Found != this->Running.end())
    this->Client.cancel(Found->second);
}

void ProxyApi::localRequest(const HttpRequest &Request) {
  const std::string Route = Request.Method + " " + Request.Url;
  if (Route == "POST /v1/target")
    return this->targetAnnounced(Request);
  HttpAnswer Answer;
  if (Route == "GET /health") {
    Answer.Body = "{\"healthy\":true}\n";
  } else if (Route == "GET /ready") {
    const Node &Daemon = this->Sink.node();
    const bool Ready = Daemon.serving() && !Daemon.stopping();
    constexpr int Unavailable = 503;
    Answer.Status = Ready ? 200 : Unavailable;
    Answer.Body = json{{"ready", Ready}}.dump() + "\n";
  } else if (Route == "GET /v1/status") {
    Answer.Body = this->statusText();
  } else if (Route == "GET /metrics") {
    Answer.Body = this->Sink.metricsText();
  } else {
    Answer.Status = httpStatusOf(ResultCode::PathUnknown);
    Answer.Body = describe({ResultCode::PathUnknown, Request.Url, {}}) + "\n";
  }
  this->LocalPort->answer(Request.Id, std::move(Answer));
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

void ProxyApi::targetAnnounced(const HttpRequest &Request) {
  HttpAnswer Answer;
  try {
    const json Document = json::parse(Request.Body);
    TargetAnnounced Event;
    Event.Service = Document.at("service").get<std::string>();
    Event.Slots = Document.at("slots").get<int>();
    const std::string State = Document.value("state", "serving");
    Event.State = State == "starting"   ? wire::TargetState::Starting
                  : State == "draining" ? wire::TargetState::Draining
                  : State == "gone"     ? wire::TargetState::Gone
                                        : wire::TargetState::Serving;
    const std::string Address = Document.at("address").get<std::string>();
    const Failure Error = settle(
        [&] { return Endpoint::parse(Address, "address"); },
        [&](const Endpoint &Valid) { this->TargetAddress = Valid.text(); });
    if (Error.failed() || Event.Slots < 1)
      throw std::invalid_argument(describe(Error));
    this->Client.setMaxConnections(
        Document.value("connections", DefaultConnections));
    this->Sink.submit(std::move(Event));
    Answer.Body = "{\"code\":0}\n";
  } catch (const std::exception &Error) {
    Answer.Status = httpStatusOf(ResultCode::RequestMalformed);
    Answer.Body =
        describe({ResultCode::RequestMalformed, "target", Error.what()}) + "\n";
  }
  this->LocalPort->answer(Request.Id, std::move(Answer));
}

void ProxyApi::probeTarget() {
  this->ProbeTimer.expires_after(ProbeInterval);
  this->ProbeTimer.async_wait([this](std::error_code Error) {
    if (Error)
      return;
    if (!this->TargetAddress.empty()) {
      TargetRequest Request;
      Request.Url = "http://" + this->TargetAddress + "/health";
      Request.Method = "GET";
      Request.Deadline = std::chrono::steady_clock::now() + ProbeTimeout;
      Request.MayRepeat = true;
      this->Client.start(Request, [this](const TargetAnswer &Answer) {
        TargetProbed Event;
        Event.Reachable = Answer.End != RunEnd::NotConnected;
        Event.Well = Answer.End == RunEnd::Answered && Answer.Status == 200;
        this->Sink.submit(Event);
      });
    }
    this->probeTarget();
  });
}

} // namespace persimmon
