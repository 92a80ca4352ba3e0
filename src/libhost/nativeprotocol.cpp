#include "edgeprotocol.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <iterator>

namespace persimmon {

namespace {

using nlohmann::json;

/// Headers that apply to a single connection and are not forwarded.
constexpr std::array<std::string_view, 9> HopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "Content-Length",
    "Upgrade",
    "TE",
    "Trailer",
    "Expect"};

constexpr std::string_view CallIdHeader = "X-Request-Id";
constexpr std::string_view DeadlineHeader = "Persimmon-Deadline-Ms";
constexpr std::string_view NotRunHeader = "Persimmon-Not-Run";
/// Key of a client account, in callers' requests.
constexpr std::string_view AccountKeyHeader = "Persimmon-Key";
/// Name of the account that a request belongs to, in requests to targets.
constexpr std::string_view AccountHeader = "Persimmon-Account";
/// Calls per second that the target takes, in its responses.
constexpr std::string_view LimitHeader = "Persimmon-Limit";
/// "1" in the responses of a target that shuts down.
constexpr std::string_view LeavingHeader = "Persimmon-Leaving";
constexpr std::array<std::string_view, 3> NativeHeaders = {
    CallIdHeader, DeadlineHeader, NotRunHeader};

bool containsHeader(std::span<const std::string_view> Names,
                    std::string_view Name) {
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Other) {
    return sameHeaderName(Name, Other);
  });
}

/// persimmonwheel's native headers for callers and targets.
class NativeCallProtocol : public CallProtocol {
public:
  leaf::result<CallMetadata> readCall(const HttpRequest &Request,
                                      std::string_view,
                                      Time Now) const override {
    CallMetadata Out;
    BOOST_LEAF_ASSIGN(Out.Deadline, readDeadline(Request, DeadlineHeader, Now));
    Out.CallId = std::string(Request.header(CallIdHeader));
    Out.IdempotencyKey = std::string(Request.header("Idempotency-Key"));
    Out.Headers = endToEndHeaders(Request.Headers, NativeHeaders);
    takeIdentity(Out, AccountKeyHeader, AccountHeader);
    return Out;
  }

  HttpResponse makeErrorResponse(const RefuseCaller &Refusal,
                                 bool NotRun) const override {
    const ResultCode Code = Refusal.Error.Code;
    HttpResponse Out;
    Out.Status = httpStatusOf(Code);
    Out.Headers.push_back(
        makeHeader("Persimmon-Code", std::to_string(static_cast<int>(Code))));
    Out.Headers.push_back(
        makeHeader(std::string(NotRunHeader), NotRun ? "true" : "false"));
    Out.Headers.push_back(makeHeader("Content-Type", "application/json"));
    Out.Body = json{{"code", static_cast<int>(Code)},
                    {"name", nameOf(Code)},
                    {"notRun", NotRun},
                    {"retryAfterMs", Refusal.RetryAfter.count()},
                    {"text", describe(Refusal.Error)}}
                   .dump() +
               "\n";
    return Out;
  }

  std::vector<wire::Header>
  responseHeaders(std::vector<wire::Header> Headers) const override {
    return endToEndHeaders(std::move(Headers), NativeHeaders);
  }

  std::vector<wire::Header> targetHeaders(const wire::CallRequest &Request,
                                          std::string_view,
                                          milliseconds Left) const override {
    std::vector<wire::Header> Out = Request.Headers;
    Out.push_back(makeHeader(std::string(CallIdHeader), Request.CallId));
    Out.push_back(
        makeHeader(std::string(DeadlineHeader), std::to_string(Left.count())));
    if (!Request.Account.empty())
      Out.push_back(makeHeader(std::string(AccountHeader), Request.Account));
    return Out;
  }

  bool isNotRunResponse(const TargetResponse &Answer) const override {
    constexpr int Unavailable = 503;
    return Answer.Status == Unavailable && !Answer.header(NotRunHeader).empty();
  }

  bool isOtherRunResponse(const TargetResponse &) const override {
    // Requests of the native protocol name no run.
    return false;
  }

  std::string readRun(const TargetResponse &) const override { return {}; }

  TargetNotice readNotice(const TargetResponse &Answer) const override {
    return noticeOf(Answer, LimitHeader, LeavingHeader);
  }

  bool matchesCall(const TargetResponse &, std::string_view) const override {
    // Targets of the native protocol are not required to echo the call id.
    return true;
  }

  std::optional<TargetHealth>
  readHealth(const TargetResponse &) const override {
    // Targets of the native protocol announce themselves without being polled.
    return std::nullopt;
  }
};

leaf::result<TargetAnnouncement> readAnnouncement(const std::string &Text) {
  TargetAnnouncement Out;
  if (Text.size() > MaxAnnouncementBytes)
    return fail(ResultCode::RequestMalformed, "target", "too many bytes");
  BOOST_LEAF_AUTO(Document,
                  parseJson(Text, ResultCode::RequestMalformed, "target"));
  BOOST_LEAF_AUTO(Slots, readWholeNumber(Document, "slots", 1, MaxTargetSlots));
  Out.Announced.Slots = static_cast<int>(Slots);
  if (Document.contains("connections")) {
    BOOST_LEAF_AUTO(Connections, readWholeNumber(Document, "connections", 0,
                                                 MaxTargetConnections));
    Out.Connections = static_cast<int>(Connections);
  }
  try {
    Out.Announced.Service = Document.at("service").get<std::string>();
    const std::string State = Document.value("state", "serving");
    Out.Announced.State = State == "starting"   ? wire::TargetState::Starting
                          : State == "draining" ? wire::TargetState::Draining
                          : State == "gone"     ? wire::TargetState::Gone
                                                : wire::TargetState::Serving;
    Out.Address = Document.at("address").get<std::string>();
    Out.Announced.Version = Document.value("version", "");
    if (!Out.Announced.Version.empty() &&
        !isValidTargetVersion(Out.Announced.Version))
      return fail(ResultCode::RequestMalformed, "version",
                  "a version has 1 to 100 visible ASCII characters");
  } catch (const json::exception &Error) {
    return fail(ResultCode::RequestMalformed, "target", Error.what());
  }
  return Out;
}

/// persimmonwheel's native format of target announcements.
class NativeLocalProtocol : public LocalProtocol {
public:
  std::optional<LocalRequest>
  decode(const HttpRequest &Request) const override {
    const std::string Route = Request.Method + " " + Request.Url;
    if (Route == "GET /ready")
      return ReadinessQuery{};
    if (Route != "POST /v1/target")
      return std::nullopt;
    LocalRequest Out;
    Failure Error =
        handleResult([&] { return readAnnouncement(Request.Body); },
                     [&](TargetAnnouncement Read) { Out = std::move(Read); });
    if (Error.failed())
      Out = std::move(Error);
    return Out;
  }

  HttpResponse makeSuccessResponse() const override {
    HttpResponse Out;
    Out.Body = "{\"code\":0}\n";
    return Out;
  }

  HttpResponse makeErrorResponse(const Failure &Error) const override {
    HttpResponse Out;
    Out.Status = httpStatusOf(Error.Code);
    Out.Body = describe(Error) + "\n";
    return Out;
  }
};

} // namespace

wire::Header makeHeader(std::string Name, std::string Value) {
  wire::Header Out;
  Out.Name = std::move(Name);
  Out.Value = std::move(Value);
  return Out;
}

std::vector<wire::Header>
endToEndHeaders(std::vector<wire::Header> Headers,
                std::span<const std::string_view> Excluded) {
  std::erase_if(Headers, [&](const wire::Header &Item) {
    return containsHeader(HopByHopHeaders, Item.Name) ||
           containsHeader(Excluded, Item.Name);
  });
  return Headers;
}

leaf::result<Time> readDeadline(const HttpRequest &Request,
                                std::string_view Name, Time Now) {
  const std::string_view Left = Request.header(Name);
  if (Left.empty())
    return NoDeadline;
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Left.data(), Left.data() + Left.size(), Value);
  if (Error != std::errc() || End != Left.data() + Left.size() || Value < 0)
    return fail(ResultCode::RequestMalformed, std::string(Name),
                "expected a whole number of milliseconds");
  constexpr std::int64_t MaxMs = 3'600'000;
  return Now + milliseconds(std::min(Value, MaxMs));
}

void takeIdentity(CallMetadata &Out, std::string_view KeyName,
                  std::string_view AccountName) {
  const auto First = std::stable_partition(
      Out.Headers.begin(), Out.Headers.end(), [&](const wire::Header &Item) {
        return !sameHeaderName(Item.Name, KeyName) &&
               !sameHeaderName(Item.Name, AccountName);
      });
  Out.IdentityHeaders.assign(std::make_move_iterator(First),
                             std::make_move_iterator(Out.Headers.end()));
  Out.Headers.erase(First, Out.Headers.end());
  int Keys = 0;
  for (const wire::Header &Item : Out.IdentityHeaders) {
    if (!sameHeaderName(Item.Name, KeyName))
      continue;
    Out.AccountKey = Item.Value;
    ++Keys;
  }
  // Which of several keys counts would depend on their order.
  if (Keys > 1)
    Out.AccountKey.clear();
}

TargetNotice noticeOf(const TargetResponse &Answer, std::string_view LimitName,
                      std::string_view LeavingName) {
  TargetNotice Out;
  const std::string_view Limit = Answer.header(LimitName);
  double PerSecond = 0;
  const auto [End, Error] =
      std::from_chars(Limit.data(), Limit.data() + Limit.size(), PerSecond);
  if (Error == std::errc() && End == Limit.data() + Limit.size() &&
      PerSecond >= 0 && std::isfinite(PerSecond))
    Out.CallsPerSecond = PerSecond;
  Out.Leaving = Answer.header(LeavingName) == "1";
  return Out;
}

bool isVisibleAscii(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < '\x7f'; });
}

EdgeProtocols makeNativeProtocols() {
  EdgeProtocols Out;
  Out.Calls = std::make_unique<NativeCallProtocol>();
  Out.Locals = std::make_unique<NativeLocalProtocol>();
  return Out;
}

} // namespace persimmon
