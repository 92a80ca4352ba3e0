#include "libhost/eventsink.h"
#include "libhost/operatorapi.h"
#include "support/lonecontrol.h"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

using namespace persimmon;

namespace {

using asio::ip::tcp;

/// Returns an address of this machine with a free port.
Endpoint freeEndpoint() {
  asio::io_context Io;
  const tcp::acceptor Probe(
      Io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  Endpoint Out;
  Out.Ip = "127.0.0.1";
  Out.Port = Probe.local_endpoint().port();
  return Out;
}

/// Sends one request on a new connection and returns the whole answer.
std::string ask(const Endpoint &Server, const std::string &Url,
                const std::string &Body = {}) {
  asio::io_context Io;
  tcp::socket Socket(Io);
  Socket.connect({asio::ip::make_address(Server.Ip), Server.Port});
  const std::string Request =
      "POST " + Url + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
      "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  asio::write(Socket, asio::buffer(Request));
  std::string Answer;
  std::error_code Error;
  asio::read(Socket, asio::dynamic_buffer(Answer), Error);
  return Answer;
}

/// Runs \p Io while a client calls \p Client; returns the client's result.
std::string runWith(asio::io_context &Io,
                    const std::function<std::string()> &Client) {
  auto Result = std::async(std::launch::async, Client);
  while (Result.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
    Io.run_for(std::chrono::milliseconds(10));
  return Result.get();
}

class FailingHandler : public HttpHandler {
public:
  void onRequest(HttpRequest Request) override {
    if (Request.Url == "/fails")
      throw std::runtime_error("handler");
    this->Server->respond(Request.Id, HttpResponse());
  }
  void onRequestAborted(std::int64_t) override {}

  std::unique_ptr<HttpServer> Server;
};

class FailingWriter : public DocumentWriter {
public:
  bool step() override {
    if (++this->Steps > 1)
      throw std::runtime_error("writer");
    return false;
  }
  HttpResponse take() override { return {}; }

private:
  int Steps = 0;
};

/// Takes every request for a query whose document cannot be written.
class FailingProtocol : public OperatorProtocol {
public:
  std::optional<OperatorRequest> decode(const HttpRequest &) const override {
    return SubtreeQuery{"mesh"};
  }
  leaf::result<std::unique_ptr<DocumentReader>>
  openDocument(const HttpRequest &) const override {
    return fail(ResultCode::ValueInvalid);
  }
  std::unique_ptr<DocumentWriter>
  writeSubtree(const SettingsMap &, std::string_view) const override {
    return std::make_unique<FailingWriter>();
  }
  HttpResponse makeRolloutResponse(const Rollout &) const override {
    return {};
  }
  HttpResponse makeAcceptedResponse() const override { return {}; }
  HttpResponse makeErrorResponse(const Failure &Error,
                                 std::string_view) const override {
    HttpResponse Out;
    Out.Status = httpStatusOf(Error.Code);
    return Out;
  }
};

/// A control instance that leads without others.
class LeadingSink : public EventSink {
public:
  LeadingSink() {
    const std::string Address = "127.0.0.1:7380";
    this->Daemon = makeLoneControl(
        Address, {}, {this->Choice, this->VersionTopology}, this->Now);
    this->submit(BootstrapRequested{{Address}});
    for (int I = 0; I < 200; ++I) {
      this->Now += milliseconds(20);
      this->submit(Tick());
    }
    REQUIRE(this->Daemon->control()->consensus().ready());
  }

  void submit(EventBody Body) override {
    for (const Effect &Item :
         this->Daemon->reduce({this->Now, 0, std::move(Body)})) {
      const auto *Answer = std::get_if<AnswerOperator>(&Item);
      if (Answer != nullptr && this->Api != nullptr)
        this->Api->respond(*Answer);
    }
  }
  const Node &node() const override { return *this->Daemon; }
  std::string metricsText() override { return {}; }

  /// Receives the answers to operators.
  OperatorApi *Api = nullptr;

private:
  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  Time Now = Time() + std::chrono::hours(1);
  std::unique_ptr<Node> Daemon;
};

} // namespace

// Guards against requests whose handler fails and that get no answer (Fault).
TEST_CASE("a request whose handler fails is answered") {
  asio::io_context Io;
  const Endpoint Listen = freeEndpoint();
  FailingHandler Handler;
  const Failure Error =
      handleResult([&] { return HttpServer::open(Io, Listen, Handler); },
                   [&](std::unique_ptr<HttpServer> Opened) {
                     Handler.Server = std::move(Opened);
                   });
  REQUIRE(!Error.failed());
  const std::string Failed = runWith(Io, [&] { return ask(Listen, "/fails"); });
  CHECK(Failed.starts_with("HTTP/1.1 500"));
  const std::string Served = runWith(Io, [&] { return ask(Listen, "/"); });
  CHECK(Served.starts_with("HTTP/1.1 200"));
}

// Guards against processes that end because writing a document fails (Fault).
TEST_CASE("a document whose writer fails is refused") {
  asio::io_context Io;
  LeadingSink Sink;
  const FailingProtocol Protocol;
  DaemonSettings Settings;
  Settings.Role = DaemonRole::Control;
  Settings.Operators = freeEndpoint();
  std::unique_ptr<OperatorApi> Api;
  const Failure Error = handleResult(
      [&] { return OperatorApi::open(Io, Settings, &Protocol, Sink); },
      [&](std::unique_ptr<OperatorApi> Opened) { Api = std::move(Opened); });
  REQUIRE(!Error.failed());
  Sink.Api = Api.get();
  const std::string Answer =
      runWith(Io, [&] { return ask(*Settings.Operators, "/", "{}"); });
  INFO(Answer);
  CHECK(Answer.starts_with("HTTP/1.1 500"));
}
