#include "libhost/targetclient.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>

using namespace persimmon;

namespace {

using asio::ip::tcp;

constexpr int Repeats = 20;
constexpr milliseconds RequestTimeout{5000};

/// How a target continues once the head of a request has arrived.
struct Answer {
  std::string Bytes;
  enum class Ending { Reset, EndOfStream } End = Ending::EndOfStream;
  /// Waits before and after the bytes are sent.
  milliseconds Before{0};
  milliseconds After{0};
};

/// A target with a thread of its own, which answers one request.
class ThreadedTarget {
public:
  explicit ThreadedTarget(Answer TheAnswer)
      : Acceptor(Io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        Planned(std::move(TheAnswer)),
        Address("127.0.0.1:" +
                std::to_string(this->Acceptor.local_endpoint().port())),
        Thread([this] { this->serve(); }) {}
  ~ThreadedTarget() { this->Thread.join(); }
  ThreadedTarget(const ThreadedTarget &) = delete;
  ThreadedTarget &operator=(const ThreadedTarget &) = delete;

  const std::string &address() const { return this->Address; }

private:
  void serve() {
    std::error_code Error;
    tcp::socket Peer(this->Io);
    this->Acceptor.accept(Peer, Error);
    std::string Head;
    asio::read_until(Peer, asio::dynamic_buffer(Head, 65536), "\r\n\r\n",
                     Error);
    std::this_thread::sleep_for(this->Planned.Before);
    asio::write(Peer, asio::buffer(this->Planned.Bytes), Error);
    std::this_thread::sleep_for(this->Planned.After);
    if (this->Planned.End == Answer::Ending::Reset) {
      Peer.set_option(asio::socket_base::linger(true, 0), Error);
      Peer.close(Error);
      return;
    }
    Peer.shutdown(tcp::socket::shutdown_send, Error);
    std::string Rest(65536, '\0');
    while (!Error)
      Peer.read_some(asio::buffer(Rest), Error);
  }

  asio::io_context Io;
  tcp::acceptor Acceptor;
  Answer Planned;
  std::string Address;
  std::thread Thread;
};

struct Request {
  std::string Method = "GET";
  std::string Body;
  /// Does not run the client's event loop for this time once the request has
  /// been started and its connection has been opened.
  milliseconds HoldLoop{0};
};

TargetResponse run(const Request &What, Answer How) {
  ThreadedTarget Target(std::move(How));
  asio::io_context Io;
  TargetClient Client(Io);
  TargetRequest Out;
  Out.Address = Target.address();
  Out.Method = What.Method;
  Out.Url = "/x";
  Out.Body = What.Body;
  Out.Deadline = std::chrono::steady_clock::now() + RequestTimeout;
  std::optional<TargetResponse> Got;
  Client.start(Out, [&](const TargetResponse &Response) { Got = Response; });
  if (What.HoldLoop.count() > 0) {
    Io.run_one(); // Connects and starts to write.
    std::this_thread::sleep_for(What.HoldLoop);
  }
  while (!Got && Io.run_one() > 0)
    ;
  REQUIRE(Got);
  CHECK(std::chrono::steady_clock::now() < Out.Deadline);
  return *Got;
}

int countEnds(const Request &What, const Answer &How, RunEnd End) {
  int Count = 0;
  for (int I = 0; I < Repeats; ++I)
    Count += run(What, How).End == End ? 1 : 0;
  return Count;
}

const std::string PartWithoutLength = "HTTP/1.1 200 OK\r\n\r\nsome of it";

/// More than the buffers of both sockets hold.
Request longUpload() { return {"POST", std::string(16u << 20, 'x'), {}}; }

} // namespace

TEST_CASE("a part of an answer is not complete if the upload is reset later") {
  CHECK(countEnds(
            longUpload(),
            {PartWithoutLength, Answer::Ending::Reset, {}, milliseconds(30)},
            RunEnd::Broken) == Repeats);
}

TEST_CASE("a part of an answer is not complete if the upload is reset at "
          "once") {
  CHECK(countEnds(longUpload(), {PartWithoutLength, Answer::Ending::Reset},
                  RunEnd::Broken) == Repeats);
}

TEST_CASE("a part of an answer is not complete if a blocked upload is reset") {
  CHECK(countEnds(longUpload(),
                  {PartWithoutLength, Answer::Ending::Reset, milliseconds(50)},
                  RunEnd::Broken) == Repeats);
}

TEST_CASE("a part of an answer is not complete if the reset comes before the "
          "client reads") {
  Request What = longUpload();
  What.HoldLoop = milliseconds(30);
  CHECK(countEnds(What, {PartWithoutLength, Answer::Ending::Reset},
                  RunEnd::Broken) == Repeats);
}

TEST_CASE("a part of an answer is not complete if the read takes the reset") {
  // The whole request fits into the socket's buffer, so that only the read is
  // pending.
  const Request What{"POST", std::string(20'000, 'x'), {}};
  CHECK(countEnds(
            What,
            {PartWithoutLength, Answer::Ending::Reset, {}, milliseconds(10)},
            RunEnd::Broken) == Repeats);
}

TEST_CASE("an answer that ends its stream during an upload is complete") {
  for (const milliseconds After : {milliseconds(0), milliseconds(30)}) {
    int Whole = 0;
    for (int I = 0; I < Repeats; ++I) {
      const TargetResponse Got =
          run(longUpload(),
              {PartWithoutLength, Answer::Ending::EndOfStream, {}, After});
      Whole += Got.End == RunEnd::Answered && Got.Body == "some of it" ? 1 : 0;
    }
    CHECK(Whole == Repeats);
  }
}

namespace {

/// Returns how an answer to a GET ends.
RunEnd endOf(const std::string &Bytes) { return run({}, {Bytes}).End; }

std::string withField(const std::string &Field) {
  return "HTTP/1.1 200 OK\r\n" + Field + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string withStatus(const std::string &Status) {
  return "HTTP/1.1 " + Status + " X\r\nContent-Length: 2\r\n\r\nno";
}

std::string withoutLength(const std::string &Status) {
  return "HTTP/1.1 " + Status + " X\r\n\r\n";
}

const std::string Chunks = "2\r\nok\r\n0\r\n\r\n";

std::string inCoding(const std::string &Coding) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + Coding + "\r\n\r\n" +
         Chunks;
}

const std::string WholeAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

int countFields(const TargetResponse &Got, std::string_view Name) {
  return static_cast<int>(std::count_if(
      Got.Headers.begin(), Got.Headers.end(),
      [&](const wire::Header &Item) { return Item.Name == Name; }));
}

} // namespace

TEST_CASE("a status outside 100 to 599 is not an answer") {
  for (const std::string Status :
       {"000", "001", "099", "600", "999", "20", "2000", "-20", "2x0"}) {
    INFO(Status);
    CHECK(endOf(withStatus(Status)) == RunEnd::Broken);
    CHECK(endOf(withStatus(Status) + WholeAnswer) == RunEnd::Broken);
    CHECK(endOf(withoutLength(Status) + WholeAnswer) == RunEnd::Broken);
  }
  for (const std::string Status : {"200", "404", "599"}) {
    INFO(Status);
    const TargetResponse Got = run({}, {withStatus(Status)});
    CHECK(Got.End == RunEnd::Answered);
    CHECK(std::to_string(Got.Status) == Status);
  }
}

TEST_CASE("a switch of protocols that was not asked for is not an answer") {
  const std::string Head = "HTTP/1.1 101 Switching Protocols\r\n";
  CHECK(endOf(Head + "\r\n" + WholeAnswer) == RunEnd::Broken);
  CHECK(endOf(Head + "Connection: upgrade\r\nUpgrade: x\r\n\r\n" +
              WholeAnswer) == RunEnd::Broken);
}

TEST_CASE("a damaged field name is not passed on") {
  for (const std::string &Name :
       {std::string("X A"), std::string("X\tA"),
        std::string("X\x01"
                    "A"),
        std::string("X\x1f"
                    "A"),
        std::string("X\x7f"
                    "A"),
        std::string("X\x80"
                    "A"),
        std::string("X\xff"
                    "A"),
        std::string("X\0A", 3), std::string("X\rA"), std::string("X\nA"),
        std::string("X\r\nA"), std::string(""), std::string("X-A "),
        std::string("X-A\t"), std::string("X(A"), std::string("X/A")}) {
    INFO(Name);
    CHECK(endOf(withField(Name + ": 1")) == RunEnd::Broken);
  }
  CHECK(endOf(withField("no colon")) == RunEnd::Broken);
  CHECK(endOf(withField(" X-A: 1")) == RunEnd::Broken);
}

TEST_CASE("a damaged field value is not passed on") {
  for (const std::string &Value :
       {std::string("a\x01z"), std::string("a\x08z"), std::string("a\x1fz"),
        std::string("a\x7fz"), std::string("a\0z", 3), std::string("a\rz"),
        std::string("a\nz"), std::string("a\rX-B: 1"),
        std::string("a\nX-B: 1")}) {
    INFO(Value);
    CHECK(endOf(withField("X-A: " + Value)) == RunEnd::Broken);
  }
}

TEST_CASE("a folded line is passed on without its line end") {
  for (const std::string Fold : {"\r\n ", "\r\n\t", " \r\n  \t"}) {
    const TargetResponse Got = run({}, {withField("X-A: one" + Fold + "two")});
    REQUIRE(Got.End == RunEnd::Answered);
    const std::string_view Value = Got.header("X-A");
    CHECK(Value.find_first_of("\r\n") == std::string_view::npos);
    CHECK(Value.starts_with("one "));
    CHECK(Value.ends_with("two"));
    CHECK(Value.find_first_not_of(" \t", 3) == Value.size() - 3);
  }
}

TEST_CASE("a body in an unknown transfer coding is not an answer") {
  for (const std::string Coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "identity", "",
        "chunked, chunked", "xchunked", "chunked;a=b",
        "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: gzip", "chunked\r\nContent-Length: 2",
        "gzip\r\nContent-Length: 12"}) {
    INFO(Coding);
    CHECK(endOf(inCoding(Coding)) == RunEnd::Broken);
  }
  CHECK(endOf("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              Chunks) == RunEnd::Broken);
  for (const std::string Coding : {"chunked", "Chunked", " chunked "}) {
    const TargetResponse Got = run({}, {inCoding(Coding)});
    CHECK(Got.End == RunEnd::Answered);
    CHECK(Got.Body == "ok");
  }
}

TEST_CASE("trailers do not count as fields of the head") {
  const TargetResponse Got =
      run({}, {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
               "X-Head: 1\r\n\r\n2\r\nok\r\n0\r\n"
               "X-Response-Seal: a\r\nX-Request-Id: b\r\nX-Head: 2\r\n"
               "Keep-Alive: timeout=9\r\nConnection: close\r\n\r\n"});
  REQUIRE(Got.End == RunEnd::Answered);
  CHECK(Got.Body == "ok");
  CHECK(Got.header("X-Head") == "1");
  CHECK(countFields(Got, "X-Head") == 1);
  for (const std::string_view Name :
       {"X-Response-Seal", "X-Request-Id", "Keep-Alive", "Connection"})
    CHECK(Got.header(Name).empty());
}

TEST_CASE("a length that is given twice is passed on once or not at all") {
  for (const std::string Fields :
       {"Content-Length: 2\r\nContent-Length: 3", "Content-Length: 2, 3",
        "Content-Length: 3\r\nX: 1\r\ncontent-length: 2"}) {
    INFO(Fields);
    CHECK(endOf("HTTP/1.1 200 OK\r\n" + Fields + "\r\n\r\noko") ==
          RunEnd::Broken);
  }
  for (const std::string Fields :
       {"Content-Length: 2\r\nContent-Length: 2", "Content-Length: 2, 2",
        "Content-Length: 2\r\nX: 1\r\nContent-Length: 2"}) {
    INFO(Fields);
    const TargetResponse Got =
        run({}, {"HTTP/1.1 200 OK\r\n" + Fields + "\r\n\r\nok"});
    REQUIRE(Got.End == RunEnd::Answered);
    CHECK(Got.Body == "ok");
    CHECK(countFields(Got, "Content-Length") == 1);
    CHECK(Got.header("Content-Length") == "2");
  }
}
