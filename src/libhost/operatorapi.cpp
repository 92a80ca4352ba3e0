#include "operatorapi.h"

#include "libpersimmon/accountkeys.h"

#include "descriptorshares.h"
#include "logging.h"

#include "libwire/jsonfilter.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr std::size_t SaltDigits = 32;
constexpr std::size_t MinTokenBytes = 8;
constexpr std::size_t MaxGrantBytes = 64u << 10;
/// Documents that are read at the same time; operators send few at once.
constexpr std::size_t MaxReadings = 16;
constexpr std::string_view BearerPrefix = "Bearer ";

std::string_view bearerToken(const HttpRequest &Request) {
  const std::string_view Value = Request.header("Authorization");
  if (!Value.starts_with(BearerPrefix))
    return {};
  return Value.substr(BearerPrefix.size());
}

json failureToJson(const Failure &Error) {
  return {{"code", static_cast<int>(Error.Code)},
          {"name", nameOf(Error.Code)},
          {"where", Error.Where},
          {"text",
           Error.What.empty() ? std::string(textOf(Error.Code)) : Error.What}};
}

/// Parses one edit. Its value may be any JSON document.
leaf::result<wire::PathEdit> readEdit(const json &Item) {
  wire::PathEdit Edit;
  if (!Item.is_object() || !Item.contains("path") ||
      !Item.at("path").is_string())
    return fail(ResultCode::ValueInvalid, "edits", "the edit has no path");
  Edit.Path = Item.at("path").get<std::string>();
  Edit.Remove = Item.value("remove", false);
  Edit.ExpectedVersion = Item.value("expectedVersion", std::int64_t{0});
  if (!Edit.Remove && !Item.contains("value"))
    return fail(ResultCode::ValueInvalid, Edit.Path, "the edit has no value");
  if (!Edit.Remove)
    Edit.Value = Item.at("value").dump();
  return Edit;
}

/// Takes the edits out of a change while it is parsed, so that not all of them
/// are in memory as JSON at once. Stops storing at the limits of the store,
/// which refuses what exceeds them.
class EditCollector {
public:
  /// Returns whether a part of the document is to be kept; see JsonFilter.
  bool keep(int Depth, JsonPart Part, json &Item) {
    constexpr int MemberDepth = 1;
    constexpr int EditDepth = 2;
    if (Depth < MemberDepth)
      return true;
    if (Depth == MemberDepth) {
      if (Part == JsonPart::Name)
        this->startMember(Item.get<std::string>());
      return this->InEdits || this->Known;
    }
    // The other members have no parts.
    if (!this->InEdits)
      return false;
    if (Depth > EditDepth)
      return ++this->PartsOfEdit <= MaxPartsOfEdit &&
             this->Edits.size() <= MaxKeptEdits;
    if (Part == JsonPart::Begin || Part == JsonPart::Name)
      this->PartsOfEdit = 0;
    else
      this->addEdit(Item);
    return Part == JsonPart::Begin || Part == JsonPart::Name;
  }

  /// Returns the edits, of which the last stands for all beyond the limit.
  leaf::result<std::vector<wire::PathEdit>> take(const json &Member) {
    // A member that is no list counts as its only edit.
    if (!Member.is_structured() && !Member.is_null())
      this->addEdit(Member);
    if (this->Error.failed())
      return fail(this->Error.Code, this->Error.Where, this->Error.What);
    return std::move(this->Edits);
  }

private:
  /// A value of the largest size has fewer parts.
  static constexpr std::size_t MaxPartsOfEdit = 20'000;
  /// The store takes as many edits.
  static constexpr std::size_t MaxKeptEdits = 20'000;

  void startMember(const std::string &Name) {
    this->InEdits = Name == "edits";
    this->Known = Name == "changeId" || Name == "basedOn" || Name == "team";
    if (!this->InEdits)
      return;
    // The last of several members of one name counts.
    this->Edits.clear();
    this->Error = Failure();
  }

  void addEdit(const json &Item) {
    if (this->Error.failed() || this->Edits.size() > MaxKeptEdits)
      return;
    if (this->PartsOfEdit > MaxPartsOfEdit) {
      this->Error = {ResultCode::LimitExceeded, "edits", "value too large"};
      return;
    }
    try {
      this->Error = handleResult(
          [&] { return readEdit(Item); },
          [&](wire::PathEdit Edit) { this->Edits.push_back(std::move(Edit)); });
    } catch (const json::exception &Wrong) {
      this->Error = {ResultCode::ValueInvalid, "request", Wrong.what()};
    }
  }

  bool InEdits = false;
  bool Known = false;
  std::size_t PartsOfEdit = 0;
  std::vector<wire::PathEdit> Edits;
  Failure Error;
};

leaf::result<wire::Change> readChange(const std::string &Text) {
  EditCollector Collector;
  BOOST_LEAF_AUTO(Document,
                  parseJson(Text, ResultCode::ValueInvalid, "request",
                            [&](int Depth, JsonPart Part, json &Item) {
                              return Collector.keep(Depth, Part, Item);
                            }));
  try {
    wire::Change Out;
    Out.ChangeId = Document.at("changeId").get<std::string>();
    Out.BasedOn = Document.at("basedOn").get<std::int64_t>();
    Out.Team = Document.at("team").get<std::string>();
    BOOST_LEAF_ASSIGN(Out.Edits, Collector.take(Document.at("edits")));
    return Out;
  } catch (const json::exception &Error) {
    return fail(ResultCode::ValueInvalid, "request", Error.what());
  }
}

leaf::result<RolloutOrder> readOrder(const std::string &Text) {
  BOOST_LEAF_AUTO(Document,
                  parseJson(Text, ResultCode::ValueInvalid, "request"));
  std::string Service;
  std::string Version;
  double DurationS = 0;
  try {
    Service = Document.at("service").get<std::string>();
    Version = Document.at("targetVersion").get<std::string>();
    DurationS = Document.at("durationS").get<double>();
  } catch (const json::exception &Error) {
    return fail(ResultCode::ValueInvalid, "request", Error.what());
  }
  if (Service.find('/') == std::string::npos)
    return fail(ResultCode::ValueInvalid, "service", "expected TEAM/SERVICE");
  BOOST_LEAF_CHECK(parseSettingPath(rolloutPath(Service)));
  return makeRolloutOrder(std::move(Service), std::move(Version), DurationS);
}

leaf::result<wire::TeamGrant> makeGrant(std::string Team,
                                        std::string_view Token) {
  if (Token.size() < MinTokenBytes)
    return fail(ResultCode::ValueInvalid, "token",
                "the token must have at least 8 bytes");
  wire::TeamGrant Out;
  Out.Team = std::move(Team);
  Out.Salt = randomHexString(SaltDigits);
  Out.TokenHash = hashToken(Out.Salt, Token);
  return Out;
}

leaf::result<wire::TeamGrant> readGrant(const std::string &Text,
                                        bool ForAdministrator) {
  if (Text.size() > MaxGrantBytes)
    return fail(ResultCode::LimitExceeded, "request", "larger than 64 KiB");
  BOOST_LEAF_AUTO(Document,
                  parseJson(Text, ResultCode::ValueInvalid, "request"));
  if (!Document.is_object())
    return fail(ResultCode::ValueInvalid, "request", "expected an object");
  const char *Key = ForAdministrator ? "adminToken" : "token";
  if (!Document.contains(Key) || !Document.at(Key).is_string())
    return fail(ResultCode::ValueInvalid, Key, "expected a string");
  const std::string Token = Document.at(Key).get<std::string>();
  if (ForAdministrator)
    return makeGrant("", Token);
  if (!Document.contains("team") || !Document.at("team").is_string())
    return fail(ResultCode::ValueInvalid, "team", "expected a string");
  const std::string Team = Document.at("team").get<std::string>();
  BOOST_LEAF_CHECK(parseSettingPath(Team + "/services/name"));
  return makeGrant(Team, Token);
}

} // namespace

std::string randomHexString(std::size_t Digits) {
  constexpr std::string_view HexDigits = "0123456789abcdef";
  std::string Out(Digits, '0');
  std::string Bytes(Digits, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()),
                 static_cast<int>(Bytes.size())) != 1) {
    // Predictable salts and call ids are worse than a process that stops.
    logError("event=random-failed source=openssl");
    flushLog();
    std::abort();
  }
  for (std::size_t I = 0; I < Digits; ++I)
    Out[I] = HexDigits[static_cast<std::uint8_t>(Bytes[I]) % HexDigits.size()];
  return Out;
}

OperatorApi::OperatorApi(asio::io_context &Context,
                         const DaemonSettings &Settings,
                         const OperatorProtocol *TheExternalProtocol,
                         EventSink &TheSink)
    : Io(Context), Sink(TheSink), ExternalProtocol(TheExternalProtocol),
      OperatorPort(Settings.Operators->Port), OpenTeams(Settings.OpenTeams),
      HasRollouts(Settings.Rollouts.has_value()) {}

leaf::result<std::unique_ptr<OperatorApi>>
OperatorApi::open(asio::io_context &Io, const DaemonSettings &Settings,
                  const OperatorProtocol *ExternalProtocol, EventSink &Sink,
                  std::shared_ptr<RequestMemory> Requests) {
  std::unique_ptr<OperatorApi> Out(
      new OperatorApi(Io, Settings, ExternalProtocol, Sink));
  BOOST_LEAF_ASSIGN(
      Out->Server,
      HttpServer::open(Io, *Settings.Operators, *Out,
                       {Settings.Requests,
                        DescriptorShares::ofProcess().maxCallerConnections(),
                        std::move(Requests)}));
  return Out;
}

std::string OperatorApi::leaderUrl(std::string_view LeaderAddress,
                                   const std::string &Url) const {
  if (LeaderAddress.empty())
    return {};
  // All control instances use the same port for operators.
  return "http://" +
         std::string(LeaderAddress.substr(0, LeaderAddress.rfind(':'))) + ":" +
         std::to_string(this->OperatorPort) + Url;
}

bool OperatorApi::handleExternalRequest(const HttpRequest &Request) {
  if (this->ExternalProtocol == nullptr)
    return false;
  auto Decoded = this->ExternalProtocol->decode(Request);
  if (!Decoded)
    return false;
  if (const auto *Query = std::get_if<SubtreeQuery>(&*Decoded)) {
    ExternalRequest &Pending = this->ExternalRequests[Request.Id];
    Pending.Url = Request.Url;
    Pending.QueriedTeam = Query->Team;
    this->Sink.submit(ReadRequested{Request.Id});
    return true;
  }
  if (std::holds_alternative<SubtreeReplacement>(*Decoded)) {
    this->startReading(Request);
    return true;
  }
  if (!this->HasRollouts)
    return false;
  this->handleExternalRollout(Request, *Decoded);
  return true;
}

void OperatorApi::handleExternalRollout(const HttpRequest &Request,
                                        const OperatorRequest &Decoded) {
  if (const auto *Error = std::get_if<Failure>(&Decoded))
    return this->refuseExternal(Request.Id, *Error);
  ExternalRequest &Pending = this->ExternalRequests[Request.Id];
  Pending.Url = Request.Url;
  if (const auto *Query = std::get_if<RolloutQuery>(&Decoded)) {
    Pending.QueriedRollout = Query->Service;
    return this->Sink.submit(ReadRequested{Request.Id});
  }
  this->submitOrder(Request, std::get<RolloutOrder>(Decoded));
}

void OperatorApi::submitOrder(const HttpRequest &Request, RolloutOrder Order) {
  RolloutRequested Event;
  Event.RequestId = Request.Id;
  Event.Token = std::string(bearerToken(Request));
  Event.Trusted = std::find(this->OpenTeams.begin(), this->OpenTeams.end(),
                            Order.Service.substr(0, Order.Service.find('/'))) !=
                  this->OpenTeams.end();
  logInfo("event=rollout-ordered service=" + Order.Service + " version=" +
          Order.Version + " durationMs=" + std::to_string(Order.DurationMs));
  Event.Order = std::move(Order);
  this->Sink.submit(std::move(Event));
}

void OperatorApi::startReading(const HttpRequest &Request) {
  ReplaceRequested Event;
  Event.RequestId = Request.Id;
  Event.Token = std::string(bearerToken(Request));
  // An instance that is not the leader rejects the request without reading the
  // document.
  if (!this->Sink.node().control()->consensus().ready())
    return this->submitReplacement(std::move(Event), Request.Url);
  if (this->Readings.size() >= MaxReadings)
    return this->refuseExternal(Request.Id, {ResultCode::Busy, {}, {}});
  const Failure Error = handleResult(
      [&] { return this->ExternalProtocol->openDocument(Request); },
      [&](std::unique_ptr<DocumentReader> Reader) {
        this->Readings.emplace(Request.Id,
                               Reading{std::move(Reader), std::move(Event),
                                       Request.Url, Request.Held});
      });
  if (Error.failed())
    return this->refuseExternal(Request.Id, Error);
  this->continueReading(Request.Id);
}

void OperatorApi::continueReading(std::int64_t Id) {
  const auto Found = this->Readings.find(Id);
  if (Found == this->Readings.end())
    return;
  bool Complete = false;
  const Failure Error =
      handleResult([&] { return Found->second.Reader->step(); },
                   [&](bool Done) { Complete = Done; });
  if (!Error.failed() && !Complete) {
    this->postStep(Id, &OperatorApi::continueReading);
    return;
  }
  Reading Done = std::move(Found->second);
  this->Readings.erase(Found);
  if (Error.failed())
    return this->refuseExternal(Id, Error);
  Done.Event.Document = Done.Reader->take();
  this->submitReplacement(std::move(Done.Event), Done.Url);
}

void OperatorApi::postStep(std::int64_t Id,
                           void (OperatorApi::*Step)(std::int64_t)) {
  asio::post(this->Io, [this, Id, Step] {
    try {
      (this->*Step)(Id);
    } catch (const std::exception &Error) {
      this->onRequestAborted(Id);
      this->refuseExternal(
          Id, {ResultCode::InternalError, "document", Error.what()});
    }
  });
}

void OperatorApi::submitReplacement(ReplaceRequested Event,
                                    const std::string &Url) {
  Event.Trusted = std::find(this->OpenTeams.begin(), this->OpenTeams.end(),
                            Event.Document.Team) != this->OpenTeams.end();
  this->ExternalRequests[Event.RequestId].Url = Url;
  this->Sink.submit(std::move(Event));
}

void OperatorApi::refuseExternal(std::int64_t Id, const Failure &Error) {
  logWarning("event=operator-refused " + describe(Error));
  this->Server->respond(Id,
                        this->ExternalProtocol->makeErrorResponse(Error, {}));
}

void OperatorApi::continueWriting(std::int64_t Id) {
  const auto Found = this->Writings.find(Id);
  if (Found == this->Writings.end())
    return;
  if (!Found->second->step()) {
    this->postStep(Id, &OperatorApi::continueWriting);
    return;
  }
  HttpResponse Response = Found->second->take();
  this->Writings.erase(Found);
  this->Server->respond(Id, std::move(Response));
}

void OperatorApi::respondExternal(const ExternalRequest &Request,
                                  const AnswerOperator &Answer) {
  logInfo("event=operator-answered url=" + Request.Url +
          " code=" + std::to_string(static_cast<int>(Answer.Error.Code)) +
          " where=" + Answer.Error.Where + " version=" +
          std::to_string(Answer.Version) + " leader=" + Answer.LeaderAddress);
  HttpResponse Response;
  if (Answer.Error.failed())
    Response = this->ExternalProtocol->makeErrorResponse(
        Answer.Error, this->leaderUrl(Answer.LeaderAddress, Request.Url));
  else if (!Request.QueriedRollout.empty()) {
    const auto Found =
        findRollout(this->Sink.node().control()->store().settings(),
                    Request.QueriedRollout);
    Response =
        Found
            ? this->ExternalProtocol->makeRolloutResponse(*Found)
            : this->ExternalProtocol->makeErrorResponse(
                  {ResultCode::RolloutUnknown, Request.QueriedRollout, {}}, {});
  } else if (Request.QueriedTeam.empty())
    Response = this->ExternalProtocol->makeAcceptedResponse();
  else {
    this->Writings.emplace(Answer.RequestId,
                           this->ExternalProtocol->writeSubtree(
                               this->Sink.node().control()->store().settings(),
                               Request.QueriedTeam));
    return this->continueWriting(Answer.RequestId);
  }
  this->Server->respond(Answer.RequestId, std::move(Response));
}

void OperatorApi::sendJson(std::int64_t Id, int Status, const json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  wire::Header Type;
  Type.Name = "Content-Type";
  Type.Value = "application/json";
  Response.Headers.push_back(std::move(Type));
  Response.Body = toText(Body) + "\n";
  this->Server->respond(Id, std::move(Response));
}

void OperatorApi::sendError(std::int64_t Id, const Failure &Error) {
  const int Status = httpStatusOf(Error.Code);
  this->sendJson(Id, Status, failureToJson(Error));
}

void OperatorApi::onRequest(HttpRequest Request) {
  if (this->handleExternalRequest(Request))
    return;
  const std::string Route = Request.Method + " " + Request.Url;
  if (Route == "POST /v1/changes")
    return this->handleChange(Request);
  if (Route == "POST /v1/rollouts" && this->HasRollouts)
    return this->handleRollout(Request);
  if (Route == "POST /v1/teams")
    return this->handleTeam(Request);
  if (Route == "POST /v1/init")
    return this->handleInit(Request);
  if (Route == "POST /v1/recover")
    return this->handleRecover(Request);
  if (Route == "GET /v1/settings") {
    this->PendingReads.insert(Request.Id);
    return this->Sink.submit(ReadRequested{Request.Id});
  }
  if (Route == "GET /v1/status")
    return this->sendJson(Request.Id, 200, this->statusJson());
  if (Route == "GET /v1/members")
    return this->sendJson(Request.Id, 200, this->membersJson());
  if (Route == "GET /health")
    return this->sendJson(Request.Id, 200, json{{"healthy", true}});
  if (Route == "GET /ready") {
    const bool Ready =
        !this->Sink.node().control()->consensus().leaderAddress().empty();
    constexpr int Unavailable = 503;
    return this->sendJson(Request.Id, Ready ? 200 : Unavailable,
                          json{{"ready", Ready}});
  }
  if (Route == "GET /metrics") {
    HttpResponse Response;
    Response.Body = this->Sink.metricsText();
    return this->Server->respond(Request.Id, std::move(Response));
  }
  this->sendError(Request.Id, {ResultCode::PathUnknown, Request.Url,
                               "unknown method or path"});
}

void OperatorApi::onRequestAborted(std::int64_t Id) {
  this->PendingReads.erase(Id);
  this->ExternalRequests.erase(Id);
  this->Readings.erase(Id);
  this->Writings.erase(Id);
}

HttpResponse OperatorApi::makeRefusal(const HttpRequest &Request,
                                      const Failure &Error) {
  // The codes of refused calls say nothing to operators.
  const bool TooLarge = Error.Code == ResultCode::BodyTooLarge;
  const Failure Reason{TooLarge ? ResultCode::LimitExceeded : ResultCode::Busy,
                       "body", Error.What};
  HttpResponse Out;
  if (this->ExternalProtocol != nullptr &&
      this->ExternalProtocol->decode(Request))
    Out = this->ExternalProtocol->makeErrorResponse(Reason, {});
  else
    Out.Body = toText(failureToJson(Reason)) + "\n";
  Out.Status = httpStatusOf(Reason.Code);
  return Out;
}

void OperatorApi::handleChange(const HttpRequest &Request) {
  const Failure Error = handleResult(
      [&] { return readChange(Request.Body); },
      [&](wire::Change TheChange) {
        this->Sink.submit(ChangeRequested{Request.Id, std::move(TheChange),
                                          std::string(bearerToken(Request))});
      });
  if (Error.failed())
    this->sendError(Request.Id, Error);
}

void OperatorApi::handleRollout(const HttpRequest &Request) {
  const Failure Error =
      handleResult([&] { return readOrder(Request.Body); },
                   [&](RolloutOrder Order) {
                     this->submitOrder(Request, std::move(Order));
                   });
  if (Error.failed())
    this->sendError(Request.Id, Error);
}

void OperatorApi::handleTeam(const HttpRequest &Request) {
  const Failure Error = handleResult(
      [&] { return readGrant(Request.Body, false); },
      [&](wire::TeamGrant Grant) {
        this->Sink.submit(TeamRequested{Request.Id, std::move(Grant),
                                        std::string(bearerToken(Request))});
      });
  if (Error.failed())
    this->sendError(Request.Id, Error);
}

void OperatorApi::handleInit(const HttpRequest &Request) {
  const Failure Error = handleResult(
      [&] { return readGrant(Request.Body, true); },
      [&](wire::TeamGrant Grant) {
        this->Sink.submit(InitRequested{Request.Id, std::move(Grant)});
      });
  if (Error.failed())
    this->sendError(Request.Id, Error);
}

void OperatorApi::handleRecover(const HttpRequest &Request) {
  this->Sink.submit(
      RecoverRequested{Request.Id, std::string(bearerToken(Request))});
}

void OperatorApi::respond(const AnswerOperator &Answer) {
  const auto Found = this->ExternalRequests.find(Answer.RequestId);
  if (Found != this->ExternalRequests.end()) {
    const ExternalRequest Request = std::move(Found->second);
    this->ExternalRequests.erase(Found);
    return this->respondExternal(Request, Answer);
  }
  const bool Read = this->PendingReads.erase(Answer.RequestId) != 0;
  if (Answer.Error.failed()) {
    json Body = failureToJson(Answer.Error);
    Body["leader"] = Answer.LeaderAddress;
    this->sendJson(Answer.RequestId, httpStatusOf(Answer.Error.Code), Body);
    return;
  }
  json Body = Read ? this->settingsJson() : json::object();
  Body["code"] = 0;
  Body["version"] = Answer.Version;
  this->sendJson(Answer.RequestId, 200, Body);
}

json OperatorApi::settingsJson() const {
  json Items = json::array();
  for (const auto &[Path, Entry] :
       this->Sink.node().control()->store().settings())
    Items.push_back(
        {{"path", Path},
         {"version", Entry.Version},
         {"value",
          maskAccountKeys(Path, json::parse(Entry.Value, nullptr, false))}});
  return {{"settings", std::move(Items)}};
}

json OperatorApi::statusJson() const {
  const Node &LocalNode = this->Sink.node();
  const ControlService &Control = *LocalNode.control();
  const Time Now = std::chrono::steady_clock::now();
  const auto Summary = LocalNode.reports().summary(LocalNode.members(), Now);
  json Voters = json::array();
  for (const wire::Replica &Voter : Control.consensus().voters())
    Voters.push_back({{"instance", Voter.Instance},
                      {"disk", std::to_string(Voter.DiskId)},
                      {"address", Voter.Address}});
  json Laggards = json::array();
  for (const wire::Laggard &Item : Summary.Laggards) {
    if (Item.Version < Control.store().version())
      Laggards.push_back({{"name", Item.Name}, {"version", Item.Version}});
  }
  const std::string Leader = Control.consensus().leaderAddress();
  return {{"instance", LocalNode.members().self().Name},
          {"formed", Control.consensus().formed()},
          {"leader", Leader},
          {"leading", Control.consensus().leader()},
          {"term", Control.consensus().term()},
          {"commitIndex", Control.consensus().commitIndex()},
          {"version", Control.store().version()},
          {"stale", LocalNode.members().stale(Now)},
          {"voters", std::move(Voters)},
          {"inForce",
           {{"leastVersion", Summary.LeastVersion},
            {"reported", Summary.Reported},
            {"expected", Summary.Expected},
            {"complete", Summary.Complete},
            {"laggards", std::move(Laggards)}}}};
}

json OperatorApi::membersJson() const {
  json Items = json::array();
  for (const auto &[Name, Record] : this->Sink.node().members().records())
    Items.push_back({{"name", Name},
                     {"address", Record.Address},
                     {"availabilityZone", Record.Zone},
                     {"control", Record.Control},
                     {"state", wire::to_string(Record.State)},
                     {"service", Record.Service},
                     {"target", wire::to_string(Record.Target)},
                     {"unwell", Record.Unwell},
                     {"slots", Record.Slots},
                     {"targetVersion", Record.TargetVersion}});
  return {{"members", std::move(Items)}};
}

} // namespace persimmon
