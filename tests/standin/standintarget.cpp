#include "standintarget.h"

#include "libhost/edgeprotocol.h"

#include <nlohmann/json.hpp>

#include <csignal>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr milliseconds AnnounceInterval{500};
constexpr milliseconds AnnounceTimeout{1000};

} // namespace

StandinTarget::StandinTarget(asio::io_context &Context,
                             const StandinOptions &TheOptions)
    : Io(Context), Options(TheOptions), Client(Context), AnnounceTimer(Context),
      Signals(Context, SIGTERM), Log(TheOptions.LogFile, std::ios::app),
      ServingFrom(std::chrono::steady_clock::now() +
                  milliseconds(TheOptions.ColdStartMs)) {}

leaf::result<std::unique_ptr<StandinTarget>>
StandinTarget::open(asio::io_context &Io, const StandinOptions &Options) {
  std::unique_ptr<StandinTarget> Out(new StandinTarget(Io, Options));
  BOOST_LEAF_AUTO(Listen, Endpoint::parse(Options.Listen, "--listen"));
  BOOST_LEAF_ASSIGN(Out->Port, HttpServer::open(Io, Listen, *Out));
  Out->watchSignals();
  Out->announcePeriodically();
  return Out;
}

void StandinTarget::log(const std::string &Line) {
  if (!this->Options.LogFile.empty())
    this->Log << Line << std::endl;
}

void StandinTarget::onRequest(HttpRequest Request) {
  if (Request.Url.starts_with("/standin"))
    return this->configure(Request);
  if (Request.Url == "/health") {
    HttpResponse Answer;
    constexpr int Unavailable = 503;
    Answer.Status = this->Options.Healthy ? 200 : Unavailable;
    return this->Port->respond(Request.Id, std::move(Answer));
  }
  this->runRequest(std::move(Request));
}

void StandinTarget::runRequest(HttpRequest Request) {
  HttpResponse Answer;
  constexpr int Unavailable = 503;
  if (this->Options.Shedding) {
    Answer.Status = Unavailable;
    Answer.Headers.push_back(makeHeader("Persimmon-Not-Run", "true"));
    return this->Port->respond(Request.Id, std::move(Answer));
  }
  this->log("run " + std::string(Request.header("X-Request-Id")) + " " +
            Request.Method + " " + Request.Url);
  if (this->Options.Crashing) {
    // Simulates a crash during the call.
    std::raise(SIGKILL);
  }
  if (this->Options.DropsConnections)
    return this->Port->sendTruncatedResponse(Request.Id);
  constexpr std::string_view ChainPrefix = "/chain/";
  if (Request.Url.starts_with(ChainPrefix)) {
    const int HopsLeft = std::atoi(Request.Url.c_str() + ChainPrefix.size());
    if (HopsLeft > 0)
      return this->callNextHop(Request, HopsLeft - 1);
  }
  this->Running += 1;
  this->MaxRunning = std::max(this->MaxRunning, this->Running);
  Answer.Status = this->Options.Failing ? 500 : 200;
  Answer.Headers.push_back(makeHeader("X-Target", this->Options.Name));
  Answer.Headers.push_back(
      makeHeader("X-Echo-Id", std::string(Request.header("X-Request-Id"))));
  Answer.Body = Request.Method + " " + Request.Url + "\n" + Request.Body;
  auto Delay = std::make_unique<asio::steady_timer>(this->Io);
  Delay->expires_after(milliseconds(this->Options.DelayMs));
  Delay->async_wait([this, Id = Request.Id,
                     Held = std::move(Answer)](std::error_code Error) mutable {
    if (!Error)
      this->finish(Id, std::move(Held));
  });
  this->Delays.emplace(Request.Id, std::move(Delay));
}

void StandinTarget::callNextHop(const HttpRequest &Request, int HopsLeft) {
  TargetRequest NextCall;
  NextCall.Address = this->Options.Callers;
  NextCall.Url = "/chain/" + std::to_string(HopsLeft);
  NextCall.Method = "GET";
  NextCall.Headers = {
      makeHeader("Host", HopsLeft == 0 ? "last" : "hop"),
      makeHeader("Persimmon-Deadline-Ms",
                 std::string(Request.header("Persimmon-Deadline-Ms")))};
  this->Client.start(
      NextCall, [this, Id = Request.Id](TargetResponse Response) {
        HttpResponse Answer;
        constexpr int BadGateway = 502;
        Answer.Status =
            Response.End == RunEnd::Answered ? Response.Status : BadGateway;
        Answer.Body = std::move(Response.Body);
        this->Port->respond(Id, std::move(Answer));
      });
}

void StandinTarget::finish(std::int64_t Id, HttpResponse Answer) {
  this->Delays.erase(Id);
  this->Running -= 1;
  this->Port->respond(Id, std::move(Answer));
  if (this->Draining && this->Running == 0)
    this->Io.stop();
}

void StandinTarget::onRequestAborted(std::int64_t Id) {
  const auto Found = this->Delays.find(Id);
  if (Found == this->Delays.end())
    return;
  this->log("cancelled");
  this->Delays.erase(Found);
  this->Running -= 1;
}

void StandinTarget::configure(const HttpRequest &Request) {
  HttpResponse Answer;
  const json NewBehavior = json::parse(Request.Body, nullptr, false);
  if (NewBehavior.is_object()) {
    this->Options.DelayMs = NewBehavior.value("delayMs", this->Options.DelayMs);
    this->Options.Healthy = NewBehavior.value("well", this->Options.Healthy);
    this->Options.Failing = NewBehavior.value("failing", this->Options.Failing);
    this->Options.Crashing =
        NewBehavior.value("breaking", this->Options.Crashing);
    this->Options.DropsConnections =
        NewBehavior.value("hangingUp", this->Options.DropsConnections);
    this->Options.Shedding =
        NewBehavior.value("shedding", this->Options.Shedding);
    this->Draining = NewBehavior.value("draining", this->Draining);
    this->announce();
  }
  Answer.Body =
      json{{"running", this->Running}, {"mostRunning", this->MaxRunning}}
          .dump();
  this->Port->respond(Request.Id, std::move(Answer));
}

void StandinTarget::announce() {
  if (this->Options.Daemon.empty())
    return;
  const bool Starting = std::chrono::steady_clock::now() < this->ServingFrom;
  this->AnnouncementBody = json{
      {"service", this->Options.Service},
      {"address", this->Options.Listen},
      {"slots", this->Options.Slots},
      {"connections", this->Options.Connections},
      {"state",
       this->Draining ? "draining"
       : Starting     ? "starting"
                      : "serving"}}.dump();
  auto Body = std::make_shared<std::string>(this->AnnouncementBody);
  TargetRequest Request;
  Request.Address = this->Options.Daemon;
  Request.Url = "/v1/target";
  Request.Headers = {makeHeader("Host", this->Options.Daemon)};
  Request.Method = "POST";
  Request.Body = *Body;
  Request.Deadline = std::chrono::steady_clock::now() + AnnounceTimeout;
  this->Client.start(Request, [Body](const TargetResponse &) {});
}

void StandinTarget::announcePeriodically() {
  this->announce();
  this->AnnounceTimer.expires_after(AnnounceInterval);
  this->AnnounceTimer.async_wait([this](std::error_code Error) {
    if (!Error)
      this->announcePeriodically();
  });
}

void StandinTarget::watchSignals() {
  this->Signals.async_wait([this](std::error_code Error, int) {
    if (Error)
      return;
    this->Draining = true;
    this->announce();
    // Give the daemon time to learn of the drain before the process ends.
    auto NoticeTimer = std::make_shared<asio::steady_timer>(this->Io);
    NoticeTimer->expires_after(AnnounceInterval);
    NoticeTimer->async_wait([this, NoticeTimer](std::error_code) {
      if (this->Running == 0)
        this->Io.stop();
    });
  });
}

} // namespace persimmon
