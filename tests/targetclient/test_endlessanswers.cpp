#include "libhost/targetclient.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

using namespace persimmon;

namespace {

using asio::ip::tcp;

constexpr std::size_t MiB = 1u << 20;
/// Socket buffers may contain some MiB of unread data. Without a limit, a run
/// transfers hundreds of MiB until its deadline.
constexpr std::size_t MaxSocketBytes = 32 * MiB;

/// What a target sends once the head of a request has arrived.
struct EndlessResponse {
  std::string Start;
  /// Sent repeatedly until the connection is closed, if not empty.
  std::string Repeated;
  milliseconds Pause{0};
};

/// A target that responds to a request with an endless response. The path
/// "/whole" gets a small complete response.
class EndlessTarget {
public:
  EndlessTarget(asio::io_context &Context, EndlessResponse TheResponse)
      : Acceptor(Context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        Response(std::move(TheResponse)) {
    this->accept();
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  /// Bytes written to all connections.
  std::size_t BytesSent = 0;

private:
  struct Peer {
    explicit Peer(tcp::socket TheSocket)
        : Socket(std::move(TheSocket)), Timer(this->Socket.get_executor()) {}
    tcp::socket Socket;
    asio::steady_timer Timer;
    std::string Buffer;
    std::string Outgoing;
  };

  void accept() {
    this->Acceptor.async_accept(
        [this](std::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          Socket.set_option(tcp::no_delay(true));
          this->serve(std::make_shared<Peer>(std::move(Socket)));
          this->accept();
        });
  }

  void serve(const std::shared_ptr<Peer> &From) {
    asio::async_read_until(
        From->Socket, asio::dynamic_buffer(From->Buffer), "\r\n\r\n",
        [this, From](std::error_code Error, std::size_t Size) {
          if (Error)
            return;
          const bool Complete = From->Buffer.find(" /whole ") < Size;
          From->Buffer.erase(0, Size);
          From->Outgoing = Complete
                               ? "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
                                 "all"
                               : this->Response.Start;
          this->send(From, !Complete);
        });
  }

  void send(const std::shared_ptr<Peer> &To, bool Repeat) {
    asio::async_write(
        To->Socket, asio::buffer(To->Outgoing),
        [this, To, Repeat](std::error_code Error, std::size_t Size) {
          this->BytesSent += Size;
          if (Error)
            return;
          if (!Repeat || this->Response.Repeated.empty())
            return this->serve(To);
          this->sendRepeated(To);
        });
  }

  void sendRepeated(const std::shared_ptr<Peer> &To) {
    To->Outgoing = this->Response.Repeated;
    if (this->Response.Pause.count() == 0)
      return this->send(To, true);
    To->Timer.expires_after(this->Response.Pause);
    To->Timer.async_wait([this, To](std::error_code Error) {
      if (!Error)
        this->send(To, true);
    });
  }

  tcp::acceptor Acceptor;
  EndlessResponse Response;
};

/// Returns the resident memory of this process in bytes.
std::int64_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::int64_t Size = 0;
  std::int64_t Resident = 0;
  In >> Size >> Resident;
  return Resident * ::sysconf(_SC_PAGESIZE);
}

std::string repeat(std::string_view Text, std::size_t Count) {
  std::string Out;
  Out.reserve(Text.size() * Count);
  for (std::size_t I = 0; I < Count; ++I)
    Out += Text;
  return Out;
}

struct EndlessFixture {
  static constexpr milliseconds RequestTimeout{4000};

  asio::io_context Io;
  EndlessTarget Target;
  TargetClient Client{Io};

  explicit EndlessFixture(EndlessResponse TheResponse)
      : Target(Io, std::move(TheResponse)) {}

  TargetRequest request(const std::string &Url = "/x") const {
    TargetRequest Out;
    Out.Address = this->Target.address();
    Out.Method = "GET";
    Out.Url = Url;
    Out.Deadline = std::chrono::steady_clock::now() + RequestTimeout;
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

  /// Checks that the response to a request is aborted for its size, before its
  /// deadline, and that the next request succeeds.
  void checkAbortedBySize(const TargetRequest &Request) {
    CHECK(this->run(Request).End == RunEnd::Broken);
    CHECK(std::chrono::steady_clock::now() < Request.Deadline);
    CHECK(this->Target.BytesSent < MaxSocketBytes);
    CHECK(this->run(this->request("/whole")).Body == "all");
  }
};

} // namespace

TEST_CASE("an endless head closes its connection") {
  EndlessFixture F({"HTTP/1.1 200 OK\r\nX-A: ", repeat("a", 4096)});
  F.checkAbortedBySize(F.request());
}

TEST_CASE("an endless reason phrase closes its connection") {
  EndlessFixture F({"HTTP/1.1 200 ", repeat("a", 4096)});
  F.checkAbortedBySize(F.request());
}

TEST_CASE("data that never forms a head closes its connection") {
  EndlessFixture F({"", std::string(4096, '\0')});
  F.checkAbortedBySize(F.request());
}

TEST_CASE("an endless head sent line by line closes its connection") {
  // Each read ends with the first letter of the next line, so a parser that
  // limits only the data that it has not consumed yet sees only short lines. A
  // read has room for 32 of them, so lines that arrive together are not split.
  EndlessFixture F({"HTTP/1.1 200 OK\r\nX", ": " + repeat("a", 500) + "\r\nX",
                    milliseconds(1)});
  F.checkAbortedBySize(F.request());
}

TEST_CASE("endless informational responses close their connection") {
  EndlessFixture F({"", repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)});
  F.checkAbortedBySize(F.request());
}

TEST_CASE(
    "endless informational responses sent slowly close their connection") {
  EndlessFixture F({"", "HTTP/1.1 102 Processing\r\n\r\n", milliseconds(1)});
  F.checkAbortedBySize(F.request());
}

TEST_CASE("some informational responses may come before the final one") {
  EndlessFixture F(
      {repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 20) +
           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
       ""});
  const TargetResponse Got = F.run(F.request());
  CHECK(Got.End == RunEnd::Answered);
  CHECK(Got.Body == "ok");
}

TEST_CASE("an endless chunk extension closes its connection") {
  EndlessFixture F({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1;a=",
                    repeat("a", 4096)});
  F.checkAbortedBySize(F.request());
}

TEST_CASE("chunks that are mostly extension close their connection") {
  EndlessFixture F({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "1;a=" + repeat("a", 4096) + "\r\nx\r\n"});
  F.checkAbortedBySize(F.request());
}

TEST_CASE("endless trailers close their connection") {
  EndlessFixture F({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "0\r\n",
                    "X-A: " + repeat("a", 4096) + "\r\n"});
  F.checkAbortedBySize(F.request());
}

TEST_CASE("a body in chunks of one byte is read completely") {
  constexpr std::size_t Count = 100'000;
  EndlessFixture F({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                        repeat("1\r\nx\r\n", Count) + "0\r\nX-T: t\r\n\r\n",
                    ""});
  const TargetResponse Got = F.run(F.request());
  CHECK(Got.End == RunEnd::Answered);
  CHECK(Got.Body.size() == Count);
}

TEST_CASE("endless unmatched responses close their connection") {
  EndlessFixture F(
      {"", repeat("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 100)});
  TargetRequest Request = F.request();
  Request.ResponseMatches = [](const TargetResponse &Response) {
    return Response.Body == "all";
  };
  F.checkAbortedBySize(Request);
}

TEST_CASE("an endless body closes its connection") {
  EndlessFixture F({"HTTP/1.1 200 OK\r\n\r\n", repeat("a", 65536)});
  CHECK(F.run(F.request()).End == RunEnd::Broken);
  CHECK(F.Target.BytesSent < 32 * MiB + MaxSocketBytes);
}

TEST_CASE("a response sent byte by byte ends at the request's deadline") {
  EndlessFixture F({"HTTP/1.1 200 OK\r\nX-A: ", "a", milliseconds(100)});
  TargetRequest Request = F.request();
  Request.Deadline = std::chrono::steady_clock::now() + milliseconds(500);
  CHECK(F.run(Request).End == RunEnd::Broken);
  CHECK(std::chrono::steady_clock::now() >= Request.Deadline);
  CHECK(std::chrono::steady_clock::now() <
        Request.Deadline + milliseconds(500));
}

TEST_CASE("concurrent endless responses are limited together") {
  // A process of 88 MB, of which a quarter is for responses that are being read
  // and 20 MB are for the daemon itself.
  constexpr std::size_t Limit = 22'000'000;
  constexpr std::int64_t MaxGrowth = 68'000'000;
  constexpr int Runs = 14;
  EndlessFixture F({"HTTP/1.1 200 OK\r\n\r\n", repeat("a", 16384)});
  F.Client.setMaxHeldBytes(Limit);
  const std::int64_t Before = residentBytes();
  std::int64_t Peak = 0;
  std::size_t PeakHeldBytes = 0;
  std::vector<RunEnd> Ends;
  for (int I = 0; I < Runs; ++I)
    F.Client.start(F.request(),
                   [&](const TargetResponse &A) { Ends.push_back(A.End); });
  for (int Events = 0; Ends.size() < Runs && F.Io.run_one() > 0; ++Events) {
    PeakHeldBytes = std::max(PeakHeldBytes, F.Client.heldBytes());
    if (Events % 64 == 0)
      Peak = std::max(Peak, residentBytes());
  }
  CHECK(Ends == std::vector<RunEnd>(Runs, RunEnd::Broken));
  CHECK(PeakHeldBytes <= Limit);
  CHECK(PeakHeldBytes > Limit / 2);
  CHECK(Peak - Before < MaxGrowth);
  CHECK(F.Client.heldBytes() == 0);
  CHECK(F.run(F.request("/whole")).Body == "all");
}

TEST_CASE("the largest response is aborted and the others continue") {
  constexpr std::size_t Limit = 8 * MiB;
  constexpr std::size_t InitialBytes = 1'000'000;
  constexpr std::size_t PartBytes = 100'000;
  constexpr std::size_t TotalBytes = InitialBytes + 10 * PartBytes;
  EndlessFixture F({"HTTP/1.1 200 OK\r\n\r\n", repeat("a", 65536)});
  EndlessTarget Slow(F.Io, {"HTTP/1.1 200 OK\r\nContent-Length: " +
                                std::to_string(TotalBytes) + "\r\n\r\n" +
                                repeat("a", InitialBytes),
                            repeat("a", PartBytes), milliseconds(50)});
  F.Client.setMaxHeldBytes(Limit);
  TargetRequest Request = F.request();
  Request.Address = Slow.address();
  std::size_t PeakHeldBytes = 0;
  std::vector<TargetResponse> Got;
  std::optional<RunEnd> End;
  for (int I = 0; I < 3; ++I)
    F.Client.start(Request, [&](const TargetResponse &A) { Got.push_back(A); });
  while (F.Client.heldBytes() < 3 * InitialBytes && F.Io.run_one() > 0)
    ;
  F.Client.start(F.request(), [&](const TargetResponse &A) { End = A.End; });
  while ((!End || Got.size() < 3) && F.Io.run_one() > 0)
    PeakHeldBytes = std::max(PeakHeldBytes, F.Client.heldBytes());
  CHECK(End == RunEnd::Broken);
  CHECK(PeakHeldBytes <= Limit);
  REQUIRE(Got.size() == 3);
  for (const TargetResponse &Response : Got) {
    CHECK(Response.End == RunEnd::Answered);
    CHECK(Response.Body.size() == TotalBytes);
  }
  CHECK(F.Client.heldBytes() == 0);
}

TEST_CASE("the memory of a response is released with its connection") {
  EndlessFixture F({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", ""});
  std::optional<RunEnd> End;
  const std::int64_t Number = F.Client.start(
      F.request(), [&](const TargetResponse &A) { End = A.End; });
  while (F.Client.heldBytes() == 0 && F.Io.run_one() > 0)
    ;
  F.Client.cancel(Number);
  CHECK(F.Client.heldBytes() == 0);
  while (!End && F.Io.run_one() > 0)
    ;
  CHECK(End == RunEnd::Broken);
}

TEST_CASE("heads are counted with the memory of their fields") {
  constexpr std::size_t Limit = 1 * MiB;
  EndlessFixture F({"HTTP/1.1 200 OK\r\n" + repeat("a:\r\n", 15'000) +
                        "Content-Length: 9\r\n\r\npart",
                    ""});
  F.Client.setMaxHeldBytes(Limit);
  F.checkAbortedBySize(F.request());
}
