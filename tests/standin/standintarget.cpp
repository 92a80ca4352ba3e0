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
  Out->announceEvery();
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
    Answer.Status = this->Options.Well ? 200 : Unavailable;
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
  if (this->Options.Breaking) {
    // Dies with the call half done, as a crash would.
    std::raise(SIGKILL);
  }
  if (this->Options.HangingUp)
    return this->Port->sendTruncatedResponse(Request.Id);
  constexpr std::string_view ChainPrefix = "/chain/";
  if (Request.Url.starts_with(ChainPrefix)) {
    const int Left = std::atoi(Request.Url.c_str() + ChainPrefix.size());
    if (Left > 0)
      return this->callOnwards(Request, Left - 1);
  }
  this->Running += 1;
  this->MostRunning = std::max(this->MostRunning, this->Running);
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

void StandinTarget::callOnwards(const HttpRequest &Request, int Left) {
  TargetRequest Onwards;
  Onwards.Address = this->Options.Callers;
  Onwards.Url = "/chain/" + std::to_string(Left);
  Onwards.Method = "GET";
  Onwards.Headers = {
      makeHeader("Host", Left == 0 ? "last" : "hop"),
      makeHeader("Persimmon-Deadline-Ms",
                 std::string(Request.header("Persimmon-Deadline-Ms")))};
  this->Client.start(Onwards, [this, Id = Request.Id](TargetAnswer Got) {
    HttpResponse Answer;
    constexpr int BadGateway = 502;
    Answer.Status = Got.End == RunEnd::Answered ? Got.Status : BadGateway;
    Answer.Body = std::move(Got.Body);
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
  const json Wanted = json::parse(Request.Body, nullptr, false);
  if (Wanted.is_object()) {
    this->Options.DelayMs = Wanted.value("delayMs", this->Options.DelayMs);
    this->Options.Well = Wanted.value("well", this->Options.Well);
    this->Options.Failing = Wanted.value("failing", this->Options.Failing);
    this->Options.Breaking = Wanted.value("breaking", this->Options.Breaking);
    this->Options.HangingUp =
        Wanted.value("hangingUp", this->Options.HangingUp);
    this->Options.Shedding = Wanted.value("shedding", this->Options.Shedding);
    this->Draining = Wanted.value("draining", this->Draining);
    this->announce();
  }
  Answer.Body =
      json{{"running", this->Running}, {"mostRunning", this->MostRunning}}
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
  this->Client.start(Request, [Body](const TargetAnswer &) {});
}

void StandinTarget::announceEvery() {
  this->announce();
  this->AnnounceTimer.expires_after(AnnounceInterval);
  this->AnnounceTimer.async_wait([this](std::error_code Error) {
    if (!Error)
      this->announceEvery();
  });
}

void StandinTarget::watchSignals() {
  this->Signals.async_wait([this](std::error_code Error, int) {
    if (Error)
      return;
    this->Draining = true;
    this->announce();
    // The daemon beside it hears of it first, then running calls end.
    auto Grace = std::make_shared<asio::steady_timer>(this->Io);
    Grace->expires_after(AnnounceInterval);
    Grace->async_wait([this, Grace](std::error_code) {
      if (this->Running == 0)
        this->Io.stop();
    });
  });
}

} // namespace persimmon
