#include "libhost/targetclient.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <thread>

using namespace persimmon;

namespace {

using asio::ip::tcp;

/// What the target does once the headers of a request have arrived.
struct Step {
  std::string Bytes;
  enum class Ending { KeepOpen, Close, Reset } End = Ending::KeepOpen;
  /// Blocks the event loop before the bytes are written.
  milliseconds BlockFor{0};
};

std::string response(const std::string &Id, const std::string &Body,
                     const std::string &ExtraHeaders = {}) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id + "\r\n" + ExtraHeaders +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A target that handles each request by the next step of a script.
class ScriptedTarget {
public:
  ScriptedTarget(asio::io_context &Context, std::deque<Step> TheScript)
      : Acceptor(Context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        Script(std::move(TheScript)) {
    this->accept();
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  int Connections = 0;
  int Requests = 0;

private:
  struct Peer {
    explicit Peer(tcp::socket TheSocket) : Socket(std::move(TheSocket)) {}
    tcp::socket Socket;
    std::string Buffer;
  };

  void accept() {
    this->Acceptor.async_accept(
        [this](std::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          this->Connections += 1;
          this->serve(std::make_shared<Peer>(std::move(Socket)));
          this->accept();
        });
  }

  void serve(const std::shared_ptr<Peer> &From) {
    asio::async_read_until(
        From->Socket, asio::dynamic_buffer(From->Buffer), "\r\n\r\n",
        [this, From](std::error_code Error, std::size_t Size) {
          if (Error || this->Script.empty())
            return;
          From->Buffer.erase(0, Size);
          this->Requests += 1;
          this->performStep(From);
        });
  }

  void performStep(const std::shared_ptr<Peer> &From) {
    const Step Current = this->Script.front();
    this->Script.pop_front();
    std::this_thread::sleep_for(Current.BlockFor);
    std::error_code Ignored;
    asio::write(From->Socket, asio::buffer(Current.Bytes), Ignored);
    if (Current.End == Step::Ending::KeepOpen)
      return this->serve(From);
    if (Current.End == Step::Ending::Reset)
      From->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    From->Socket.close(Ignored);
  }

  tcp::acceptor Acceptor;
  std::deque<Step> Script;
};

struct Fixture {
  asio::io_context Io;
  ScriptedTarget Target;
  TargetClient Client{Io};

  explicit Fixture(std::deque<Step> Script) : Target(Io, std::move(Script)) {}

  TargetRequest request(const std::string &Id, std::string_view Body = {}) {
    TargetRequest Out;
    Out.Address = this->Target.address();
    Out.Method = Body.empty() ? "GET" : "POST";
    Out.Url = "/x";
    Out.Body = Body;
    Out.Deadline = std::chrono::steady_clock::now() + milliseconds(1000);
    Out.ResponseMatches = [Id](const TargetResponse &Got) {
      return Got.header("X-Id") == Id;
    };
    return Out;
  }

  TargetResponse run(const TargetRequest &Request) {
    std::optional<TargetResponse> Got;
    this->Client.start(
        Request, [&](TargetResponse Response) { Got = std::move(Response); });
    this->Io.restart();
    while (!Got && this->Io.run_one() > 0)
      ;
    REQUIRE(Got);
    return *Got;
  }

  TargetResponse run(const std::string &Id, std::string_view Body = {}) {
    return this->run(this->request(Id, Body));
  }

  void runFor(milliseconds Duration) {
    this->Io.restart();
    this->Io.run_for(Duration);
  }
};

} // namespace

TEST_CASE("a connection is reused after a complete response") {
  Fixture F({{response("1", "one")}, {response("2", "two")}});
  CHECK(F.run("1").Body == "one");
  CHECK(F.run("2").Body == "two");
  CHECK(F.Target.Connections == 1);
}

TEST_CASE("bytes after a response close the connection") {
  Fixture F({{response("1", "one") + "HTTP/1.1 200"}, {response("2", "two")}});
  CHECK(F.run("1").Body == "one");
  CHECK(F.run("2").Body == "two");
  CHECK(F.Target.Connections == 2);
}

TEST_CASE("an extra response is not used for the next request") {
  Fixture F({{response("1", "one") + response("1", "again")},
             {response("2", "two")}});
  CHECK(F.run("1").Body == "one");
  CHECK(F.run("2").Body == "two");
}

TEST_CASE("a late response to another request is skipped") {
  Fixture F(
      {{response("1", "one")}, {response("1", "late") + response("2", "two")}});
  CHECK(F.run("1").Body == "one");
  const TargetResponse Second = F.run("2");
  CHECK(Second.End == RunEnd::Answered);
  CHECK(Second.Body == "two");
}

TEST_CASE(
    "a second copy of a rejection is not the answer to the next request") {
  const std::string Rejection = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
  // The copy is written when the next request has arrived.
  Fixture F({{Rejection}, {Rejection + response("b", "two")}});
  const auto Matches = [](const std::string &Id) {
    return [Id](const TargetResponse &Got) {
      return Got.header("X-Id").empty()
                 ? Got.Status >= 400 && !Got.OnUsedConnection
                 : Got.header("X-Id") == Id;
    };
  };
  TargetRequest First = F.request("a");
  First.ResponseMatches = Matches("a");
  CHECK(F.run(First).Status == 503);
  TargetRequest Second = F.request("b");
  Second.ResponseMatches = Matches("b");
  const TargetResponse Got = F.run(Second);
  CHECK(F.Target.Connections == 1);
  CHECK(Got.Status == 200);
  CHECK(Got.Body == "two");
}

TEST_CASE("a truncated response is reported as broken") {
  Fixture F({{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\ncut",
              Step::Ending::Close}});
  CHECK(F.run("1").End == RunEnd::Broken);
}

TEST_CASE("a response whose head breaks off is broken") {
  const std::string Whole = response("a", "body", "X-Seal: 1\r\n");
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::string &Before : {std::string(), Interim}) {
    const std::string Bytes = Before + Whole;
    const std::size_t HeadEnd = Bytes.find("\r\n\r\n", Before.size()) + 4;
    for (std::size_t Length = 0; Length < HeadEnd; ++Length) {
      Fixture F({{Bytes.substr(0, Length), Step::Ending::Close}});
      INFO(Bytes.substr(0, Length));
      CHECK(F.run("a").End == RunEnd::Broken);
    }
  }
}

TEST_CASE("a response without a length ends with its connection") {
  Fixture F(
      {{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it", Step::Ending::Close}});
  const TargetResponse Got = F.run("1");
  CHECK(Got.End == RunEnd::Answered);
  CHECK(Got.Body == "all of it");
}

TEST_CASE("a response without a length is broken if the connection is reset") {
  Fixture F({{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nsome", Step::Ending::Reset}});
  CHECK(F.run("1").End == RunEnd::Broken);
}

TEST_CASE("a request on a closed connection is not sent again") {
  Fixture F({{response("1", "one")},
             {"", Step::Ending::Close},
             {response("2", "x")}});
  CHECK(F.run("1").Body == "one");
  CHECK(F.run("2").End == RunEnd::Broken);
  CHECK(F.Target.Requests == 2);
}

TEST_CASE("a connection that the target closed while idle is not reused") {
  Fixture F(
      {{response("1", "one"), Step::Ending::Close}, {response("2", "two")}});
  CHECK(F.run("1").Body == "one");
  F.runFor(milliseconds(20));
  CHECK(F.run("2").Body == "two");
  CHECK(F.Target.Connections == 2);
}

TEST_CASE("a connection is not reused after Connection: close") {
  Fixture F({{response("1", "one", "Connection: close\r\n")},
             {response("2", "two")}});
  CHECK(F.run("1").Body == "one");
  CHECK(F.run("2").Body == "two");
  CHECK(F.Target.Connections == 2);
}

TEST_CASE("a connection is not reused close to the target's idle timeout") {
  Fixture F({{response("1", "one", "Keep-Alive: timeout=1\r\n")},
             {response("2", "two")}});
  CHECK(F.run("1").Body == "one");
  F.runFor(milliseconds(800));
  CHECK(F.run("2").Body == "two");
  CHECK(F.Target.Connections == 2);
}

TEST_CASE("a response that arrives before a long body is sent closes its "
          "connection") {
  const std::string Body(8u << 20, 'x');
  Fixture F({{response("1", "no")}, {response("2", "two")}});
  CHECK(F.run("1", Body).Body == "no");
  CHECK(F.run("2").Body == "two");
  CHECK(F.Target.Connections == 2);
}

TEST_CASE("a refused connection is reported as not connected") {
  Fixture F({});
  TargetRequest Request = F.request("1");
  Request.Address = "127.0.0.1:1";
  CHECK(F.run(Request).End == RunEnd::NotConnected);
}

TEST_CASE("a cancelled request closes its connection") {
  Fixture F({{""}, {response("2", "two")}});
  std::optional<TargetResponse> Got;
  const std::int64_t Number = F.Client.start(
      F.request("1"), [&](TargetResponse A) { Got = std::move(A); });
  F.runFor(milliseconds(50));
  F.Client.cancel(Number);
  F.runFor(milliseconds(20));
  REQUIRE(Got);
  CHECK(Got->End == RunEnd::Broken);
  CHECK(F.run("2").Body == "two");
}

TEST_CASE("no more connections are opened than the target accepts") {
  Fixture F({{""}, {""}});
  F.Client.setMaxConnections(1);
  F.Client.start(F.request("1"), [](const TargetResponse &) {});
  CHECK(F.run("2").End == RunEnd::Shed);
  CHECK(F.Target.Connections <= 1);
}

TEST_CASE("the deadline of one request does not end the next one") {
  // The response and the deadline are both due in the same iteration of the
  // event loop: the timer has expired although the response is handled first.
  Fixture F(
      {{response("1", "one"), Step::Ending::KeepOpen, milliseconds(80)}, {""}});
  TargetRequest First = F.request("1");
  First.Deadline = std::chrono::steady_clock::now() + milliseconds(60);
  std::optional<TargetResponse> Second;
  bool Answered = false;
  F.Client.start(First, [&](const TargetResponse &Got) {
    Answered = Got.End == RunEnd::Answered;
    F.Client.start(F.request("2"),
                   [&](TargetResponse A) { Second = std::move(A); });
  });
  F.runFor(milliseconds(200));
  CHECK(Answered);
  CHECK(!Second);
}
