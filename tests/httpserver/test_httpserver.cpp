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

#include <array>
#include <deque>
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

namespace {

/// Keeps requests until the test responds to them.
class KeepingHandler : public HttpHandler {
public:
  void onRequest(HttpRequest Request) override {
    this->Requests.push_back(std::move(Request));
  }
  void onRequestAborted(std::int64_t Id) override {
    this->Aborted.push_back(Id);
  }

  std::vector<HttpRequest> Requests;
  std::vector<std::int64_t> Aborted;
};

/// A server whose requests the test answers, and one connection to it.
struct KeptServer {
  explicit KeptServer(const HttpServerLimits &Limits = {}) {
    const Endpoint Listen = freeEndpoint();
    const Failure Error = handleResult(
        [&] {
          return HttpServer::open(this->Io, Listen, this->Handler, Limits);
        },
        [&](std::unique_ptr<HttpServer> Opened) {
          this->Server = std::move(Opened);
        });
    REQUIRE(!Error.failed());
    this->Client.connect({asio::ip::make_address(Listen.Ip), Listen.Port});
  }

  void send(const std::string &Bytes) {
    asio::write(this->Client, asio::buffer(Bytes));
    this->run();
  }

  void run() { this->Io.run_for(std::chrono::milliseconds(100)); }

  /// Returns what has arrived; Ended tells whether the server has closed.
  std::string receive() {
    this->run();
    std::string Out;
    this->Client.non_blocking(true);
    std::array<char, 65536> Buffer{};
    std::error_code Error;
    while (!Error) {
      const std::size_t Size =
          this->Client.read_some(asio::buffer(Buffer), Error);
      Out.append(Buffer.data(), Size);
    }
    this->Ended = Error != asio::error::would_block;
    return Out;
  }

  void respond(std::size_t Index, const std::string &Body) {
    HttpResponse Response;
    Response.Headers.push_back(makeHeader("X-Test", "1"));
    Response.Body = Body;
    this->Server->respond(this->Handler.Requests.at(Index).Id,
                          std::move(Response));
  }

  asio::io_context Io;
  KeepingHandler Handler;
  std::unique_ptr<HttpServer> Server;
  tcp::socket Client{this->Io};
  bool Ended = false;
};

std::string get(const std::string &Url) {
  return "GET " + Url + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string answer(const std::string &Body, const std::string &Connection) {
  return "HTTP/1.1 200 \r\nConnection: " + Connection +
         "\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\nX-Test: 1\r\n\r\n" + Body;
}

} // namespace

// Guards against changes of what ordinary clients see.
TEST_CASE("up to four requests are read ahead and answered in their order") {
  KeptServer Test;
  std::string All;
  for (int I = 0; I < 6; ++I)
    All += get("/" + std::to_string(I));
  Test.send(All);
  REQUIRE(Test.Handler.Requests.size() == 4);
  CHECK(Test.Server->pendingResponses() == 4);
  Test.respond(1, "second");
  CHECK(Test.receive().empty());
  Test.respond(0, "first");
  CHECK(Test.receive() ==
        answer("first", "keep-alive") + answer("second", "keep-alive"));
  REQUIRE(Test.Handler.Requests.size() == 6);
  CHECK(Test.Handler.Requests[5].Url == "/5");
  CHECK(!Test.Ended);
  for (std::size_t I = 2; I < 6; ++I)
    Test.respond(I, "x");
  Test.receive();
  CHECK(Test.Server->pendingResponses() == 0);
  CHECK(Test.Handler.Aborted.empty());
}

TEST_CASE("a request that arrives in single bytes is read whole") {
  KeptServer Test;
  const std::string Bytes =
      "PUT /a%20b?c HTTP/1.1\r\nHost: a\r\nX-Empty:\r\nx-case:  v w \r\n"
      "Transfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n2\r\nde\r\n0\r\n"
      "X-Trailer: t\r\n\r\n";
  for (const char C : Bytes) {
    asio::write(Test.Client, asio::buffer(&C, 1));
    Test.Io.run_for(std::chrono::milliseconds(2));
  }
  Test.run();
  REQUIRE(Test.Handler.Requests.size() == 1);
  const HttpRequest &Request = Test.Handler.Requests.front();
  CHECK(Request.Method == "PUT");
  CHECK(Request.Url == "/a%20b?c");
  CHECK(Request.Body == "abcde");
  REQUIRE(Request.Headers.size() == 4);
  CHECK(Request.Headers[1].Name == "X-Empty");
  CHECK(Request.Headers[1].Value.empty());
  CHECK(Request.Headers[2].Name == "x-case");
  CHECK(Request.header("X-Case") == "v w ");
  CHECK(Request.header("X-Trailer").empty());
}

TEST_CASE("a connection is closed after the answer if the client asks for it") {
  for (const std::string &Request :
       {std::string("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"),
        std::string("GET / HTTP/1.0\r\n\r\n")}) {
    KeptServer Test;
    Test.send(Request);
    REQUIRE(Test.Handler.Requests.size() == 1);
    Test.respond(0, "last");
    CHECK(Test.receive() == answer("last", "close"));
    CHECK(Test.Ended);
    CHECK(Test.Handler.Aborted.empty());
  }
}

TEST_CASE("the requests of a client that leaves are reported") {
  KeptServer Test;
  Test.send(get("/1") + get("/2"));
  REQUIRE(Test.Handler.Requests.size() == 2);
  Test.respond(1, "second");
  Test.Client.close();
  Test.run();
  CHECK(Test.Handler.Aborted ==
        std::vector<std::int64_t>{Test.Handler.Requests[0].Id});
  Test.respond(0, "first");
  Test.run();
  CHECK(Test.Handler.Aborted.size() == 1);
}

TEST_CASE("what is not HTTP closes the connection without an answer") {
  for (const std::string &Bytes :
       {std::string("\x16\x03\x01\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nno colon\r\n\r\n"),
        "GET / HTTP/1.1\r\nX: " + std::string(70'000, 'a') + "\r\n\r\n",
        "GET /" + std::string(17'000, 'a') + " HTTP/1.1\r\n\r\n"}) {
    KeptServer Test;
    Test.send(Bytes);
    CHECK(Test.receive().empty());
    CHECK(Test.Ended);
    CHECK(Test.Handler.Requests.empty());
  }
}

TEST_CASE("a large body is passed on as it was sent") {
  KeptServer Test;
  const std::string Body(3'000'000, 'z');
  auto Sent = std::async(std::launch::async, [&] {
    asio::write(Test.Client,
                asio::buffer("POST / HTTP/1.1\r\nHost: a\r\nExpect: "
                             "100-continue\r\nContent-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body));
  });
  for (int I = 0; I < 100 && Test.Handler.Requests.empty(); ++I)
    Test.run();
  Sent.get();
  REQUIRE(Test.Handler.Requests.size() == 1);
  CHECK(Test.Handler.Requests.front().Body == Body);
  Test.respond(0, "");
  CHECK(Test.receive() == answer("", "keep-alive"));
}

// Guards against bodies that are read before they are refused.
TEST_CASE("a body over the limit is refused before it has arrived") {
  HttpServerLimits Limits;
  Limits.MaxBodyBytes = 100;
  for (const std::string &Request :
       {std::string(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n"),
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
            std::string("65\r\n") + std::string(101, 'x')}) {
    KeptServer Test(Limits);
    // The answers to earlier requests come first.
    Test.send(get("/1") + Request);
    CHECK(Test.receive().empty());
    Test.respond(0, "first");
    const std::string Answer = Test.receive();
    INFO(Answer);
    const std::string First = answer("first", "keep-alive");
    REQUIRE(Answer.starts_with(First + "HTTP/1.1 413"));
    CHECK(Answer.find("Connection: close", First.size()) != std::string::npos);
    CHECK(Test.Ended);
    CHECK(Test.Handler.Requests.size() == 1);
    CHECK(Test.Handler.Aborted.empty());
    CHECK(Test.Server->pendingResponses() == 0);
  }
}

// Guards against refusals that a client cannot read because the connection was
// reset while it was still sending.
TEST_CASE("the rest of a refused body is read and dropped") {
  HttpServerLimits Limits;
  Limits.MaxBodyBytes = 100;
  KeptServer Test(Limits);
  const std::string Body(5'000'000, 'z');
  auto Sent = std::async(std::launch::async, [&] {
    asio::write(Test.Client,
                asio::buffer("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body));
  });
  while (Sent.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
    Test.run();
  Sent.get();
  CHECK(Test.receive().starts_with("HTTP/1.1 413"));
  CHECK(Test.Ended);
}

// Guards against clients that hold connections and memory without sending.
TEST_CASE("a request that makes no progress closes its connection") {
  for (const std::string &Bytes :
       {std::string("GET / HT"),
        std::string("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n1234")}) {
    HttpServerLimits Limits;
    Limits.Requests.HeaderTimeout = milliseconds(300);
    Limits.Requests.BodyTimeout = milliseconds(300);
    Limits.Memory = RequestMemory::make({1'000'000, 1'000'000});
    KeptServer Test(Limits);
    Test.send(Bytes);
    CHECK(Limits.Memory->bytes() > 0);
    for (int I = 0; I < 50 && !Test.Ended; ++I)
      CHECK(Test.receive().empty());
    CHECK(Test.Ended);
    CHECK(Limits.Memory->bytes() == 0);
    CHECK(Limits.Memory->counted(RequestEnd::HeadersLate) +
              Limits.Memory->counted(RequestEnd::BodyLate) ==
          1);
  }
}

// Guards against idle connections that keep others out.
TEST_CASE("an idle connection is closed when others wait for one") {
  HttpServerLimits Limits;
  Limits.MaxConnections = 1;
  Limits.Requests.IdleTimeout = milliseconds(300);
  Limits.Memory = RequestMemory::make({1'000'000, 1'000'000});
  KeptServer Test(Limits);
  Test.run();
  tcp::socket Second(Test.Io);
  Second.connect(Test.Client.remote_endpoint());
  asio::write(Second, asio::buffer(get("/second")));
  for (int I = 0; I < 50 && Test.Handler.Requests.empty(); ++I)
    Test.run();
  REQUIRE(Test.Handler.Requests.size() == 1);
  CHECK(Limits.Memory->counted(RequestEnd::Idle) == 1);
  Test.receive();
  CHECK(Test.Ended);
}

// Guards against large open bodies that keep small requests out.
TEST_CASE("a small request is served while large bodies stay open") {
  HttpServerLimits Limits;
  Limits.Memory = RequestMemory::make({400'000, 500'000});
  KeptServer Test(Limits);
  std::deque<tcp::socket> Large;
  const std::string Open =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 150000\r\n\r\n" +
      std::string(149'999, 'x');
  for (int I = 0; I < 12; ++I) {
    Large.emplace_back(Test.Io);
    Large.back().connect(Test.Client.remote_endpoint());
    asio::write(Large.back(), asio::buffer(Open));
    Test.run();
  }
  CHECK(Limits.Memory->counted(RequestEnd::NoMemory) > 0);
  CHECK(Limits.Memory->bytes() <= 400'000 + 150'500);
  Test.send("POST /small HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" +
            std::string(20'000, 's'));
  REQUIRE(Test.Handler.Requests.size() == 1);
  CHECK(Test.Handler.Requests.front().Url == "/small");
}
