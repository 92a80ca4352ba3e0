#include "libhost/peernetwork.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace persimmon;

namespace {

using asio::ip::tcp;

constexpr std::size_t LengthBytes = 4;
/// Longer than the timeout for opening a connection.
constexpr milliseconds WordTimeout{2000};

/// A peer that reads messages and never replies.
class RawPeer {
public:
  /// \p Backlog connections can be pending in addition to the next one.
  RawPeer(asio::io_context &Context, int Backlog)
      : Io(Context), Acceptor(Context) {
    this->Acceptor.open(tcp::v4());
    this->Acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->Acceptor.listen(Backlog);
    this->Bound = this->Acceptor.local_endpoint();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Bound.port());
  }

  void acceptOne() {
    this->Acceptor.async_accept(
        [this](std::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          this->Accepted.push_back(
              std::make_unique<tcp::socket>(std::move(Socket)));
          this->readFrame(*this->Accepted.back());
        });
  }

  /// Refuses further connections; accepted ones stay open.
  void refuseMore() { this->Acceptor.close(); }

  /// Fills the backlog, so that further connections do not open.
  void fillBacklog() {
    for (int I = 0; I < 4; ++I) {
      this->Waiting.push_back(std::make_unique<tcp::socket>(this->Io));
      this->Waiting.back()->async_connect(this->Bound, [](std::error_code) {});
    }
  }

  /// Empties the backlog, so that connections open again, including retried
  /// ones.
  void emptyBacklog() {
    this->Waiting.clear();
    for (int I = 0; I < 8; ++I)
      this->acceptOne();
  }

  /// Sends a part of a message that is never completed.
  void sendPartOfMessage(std::size_t Size) {
    constexpr std::array<unsigned char, LengthBytes> LargeLength = {0, 8, 0, 0};
    if (this->PartSent == 0)
      asio::write(*this->Accepted.back(), asio::buffer(LargeLength));
    asio::write(*this->Accepted.back(), asio::buffer(std::string(Size, 'x')));
    this->PartSent += Size;
  }

  std::vector<Message> Read;
  std::size_t PartSent = 0;

private:
  void readFrame(tcp::socket &From) {
    asio::async_read(From, asio::buffer(this->Length),
                     [this, &From](std::error_code Error, std::size_t) {
                       if (Error)
                         return;
                       std::size_t Size = 0;
                       for (const unsigned char Byte : this->Length)
                         Size = (Size << 8U) | Byte;
                       this->Payload.resize(Size);
                       this->readPayload(From);
                     });
  }

  void readPayload(tcp::socket &From) {
    asio::async_read(
        From, asio::buffer(this->Payload),
        [this, &From](std::error_code Error, std::size_t) {
          if (Error)
            return;
          settle([&] { return decode(this->Payload); },
                 [&](Message Body) { this->Read.push_back(std::move(Body)); });
          this->readFrame(From);
        });
  }

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  tcp::endpoint Bound;
  std::vector<std::unique_ptr<tcp::socket>> Accepted;
  std::vector<std::unique_ptr<tcp::socket>> Waiting;
  std::array<unsigned char, LengthBytes> Length{};
  std::string Payload;
};

/// What the network has reported about a sent call.
enum class Word { Nothing, Unsent, Unsure };

/// Records the reports of the network. As in the call router, the first report
/// about a call counts.
class NotingListener : public PeerListener {
public:
  void onMessage(std::string, Message) override {}
  void onPathClosed(std::string) override {}
  void onStreamSlow(StreamSlow Slow) override {
    for (const wire::AttemptId &Id : Slow.NotSent)
      this->First.try_emplace(Id.Number, Word::Unsent);
    this->Words += 1;
  }
  void onStreamAlive(StreamAlive) override { this->SignsOfLife += 1; }
  void onStreamLost(StreamLost Lost) override {
    for (const wire::AttemptId &Id : Lost.NotSent)
      this->First.try_emplace(Id.Number, Word::Unsent);
    for (const wire::AttemptId &Id : Lost.Sent)
      this->First.try_emplace(Id.Number, Word::Unsure);
    this->Words += 1;
  }

  Word saidOfCall(std::int64_t Number) const {
    const auto Found = this->First.find(Number);
    return Found == this->First.end() ? Word::Nothing : Found->second;
  }

  int Words = 0;
  int SignsOfLife = 0;

private:
  std::map<std::int64_t, Word> First;
};

wire::CallRequest request(std::int64_t Number) {
  wire::CallRequest Out;
  Out.Id.Sender = "p1";
  Out.Id.SenderIncarnation = 1;
  Out.Id.Number = Number;
  Out.Service = "team/work";
  Out.Method = "POST";
  Out.CallId = "call-" + std::to_string(Number);
  Out.Body = "once";
  return Out;
}

struct Fixture {
  asio::io_context Io;
  NotingListener Listener;
  RawPeer Peer;
  std::unique_ptr<PeerNetwork> Network;

  explicit Fixture(int Backlog = 16) : Peer(Io, Backlog) {
    const Failure Error = settle(
        [&] {
          return PeerNetwork::open(this->Io, {"127.0.0.1", 0}, this->Listener);
        },
        [&](std::unique_ptr<PeerNetwork> Made) {
          this->Network = std::move(Made);
        });
    REQUIRE_FALSE(Error.failed());
  }

  bool runUntil(const std::function<bool()> &Holds) {
    const auto End = std::chrono::steady_clock::now() + WordTimeout;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      this->Io.restart();
      this->Io.run_for(milliseconds(5));
    }
    return Holds();
  }

  void pass(milliseconds Span) {
    this->Io.restart();
    this->Io.run_for(Span);
  }

  void sendCall(std::int64_t Number) {
    this->Network->send(this->Peer.address(), request(Number), Channel::Stream);
  }

  /// Sends a call and waits until the peer has read it.
  void sendCallAndAwaitIt(std::int64_t Number) {
    this->Peer.acceptOne();
    this->sendCall(Number);
    REQUIRE(this->runUntil([&] { return !this->Peer.Read.empty(); }));
    const auto &Got = std::get<wire::CallRequest>(this->Peer.Read.front());
    REQUIRE(Got.Id.Number == Number);
    REQUIRE(this->Listener.Words == 0);
  }

  /// Closes the connection, as a pull or replication does, and sends another
  /// message.
  void renewAndSend() {
    const int Before = this->Listener.Words;
    this->Network->closeIfSilent(this->Peer.address(),
                                 std::chrono::steady_clock::now());
    this->Network->send(this->Peer.address(), wire::Heartbeat(),
                        Channel::Stream);
    // Waits for the end of the abandoned connection and of the next one.
    this->runUntil([&] { return this->Listener.Words >= Before + 2; });
  }
};

} // namespace

TEST_CASE("a call sent on an abandoned connection is not reported as not "
          "sent") {
  SECTION("when the next connection is refused") {
    Fixture F;
    F.sendCallAndAwaitIt(1);
    F.Peer.refuseMore();
    F.renewAndSend();
    CHECK(F.Listener.saidOfCall(1) == Word::Unsure);
  }
  SECTION("when the next connection does not open in time") {
    Fixture F(0);
    F.sendCallAndAwaitIt(1);
    F.Peer.fillBacklog();
    F.pass(milliseconds(100));
    F.renewAndSend();
    CHECK(F.Listener.saidOfCall(1) == Word::Unsure);
  }
  SECTION("when the connection was closed more than once") {
    Fixture F;
    F.sendCallAndAwaitIt(1);
    F.Peer.refuseMore();
    F.Network->closeIfSilent(F.Peer.address(),
                             std::chrono::steady_clock::now());
    F.Network->send(F.Peer.address(), wire::Heartbeat(), Channel::Stream);
    F.renewAndSend();
    CHECK(F.Listener.saidOfCall(1) == Word::Unsure);
  }
}

TEST_CASE("a decided call is not reported when its connection ends") {
  Fixture F;
  F.sendCallAndAwaitIt(1);
  F.Network->endAttempt(F.Peer.address(), request(1).Id);
  F.Network->closeIfSilent(F.Peer.address(), std::chrono::steady_clock::now());
  REQUIRE(F.runUntil([&] { return F.Listener.Words > 0; }));
  CHECK(F.Listener.saidOfCall(1) == Word::Nothing);
}

TEST_CASE("a connection that receives a large message is not considered "
          "silent") {
  Fixture F;
  F.sendCallAndAwaitIt(1);
  F.Peer.sendPartOfMessage(40'000);
  F.pass(milliseconds(50));
  const Time Since = std::chrono::steady_clock::now();
  F.Peer.sendPartOfMessage(10'000);
  F.pass(milliseconds(50));
  CHECK_FALSE(F.Network->closeIfSilent(F.Peer.address(), Since));
  REQUIRE(F.runUntil([&] { return F.Listener.SignsOfLife > 0; }));
  CHECK(F.Listener.Words == 0);
}

TEST_CASE("a connection without peer activity is closed") {
  Fixture F;
  F.sendCallAndAwaitIt(1);
  const Time Since = std::chrono::steady_clock::now();
  F.Network->send(F.Peer.address(), wire::Heartbeat(), Channel::Stream);
  F.pass(milliseconds(50));
  CHECK(F.Network->closeIfSilent(F.Peer.address(), Since));
  REQUIRE(F.runUntil([&] { return F.Listener.Words > 0; }));
  CHECK(F.Listener.saidOfCall(1) == Word::Unsure);
}

TEST_CASE("a call whose connection never opened is reported as not sent") {
  SECTION("because the port refused it") {
    Fixture F;
    F.Peer.refuseMore();
    F.sendCall(1);
    REQUIRE(F.runUntil([&] { return F.Listener.Words > 0; }));
    CHECK(F.Listener.saidOfCall(1) == Word::Unsent);
  }
  SECTION("because it did not open in time") {
    Fixture F(0);
    F.Peer.fillBacklog();
    F.pass(milliseconds(100));
    F.sendCall(1);
    REQUIRE(F.runUntil([&] { return F.Listener.Words > 0; }));
    CHECK(F.Listener.saidOfCall(1) == Word::Unsent);
  }
}

TEST_CASE("a slow connection drops queued calls and keeps other messages") {
  Fixture F(0);
  F.Peer.fillBacklog();
  F.pass(milliseconds(100));
  F.sendCall(1);
  F.Network->send(F.Peer.address(), wire::PullRequest(), Channel::Stream);
  F.pass(milliseconds(300));
  CHECK(F.Listener.saidOfCall(1) == Word::Unsent);
  F.Peer.emptyBacklog();
  F.runUntil([&] { return !F.Peer.Read.empty(); });
  REQUIRE(F.Peer.Read.size() == 1);
  CHECK(std::holds_alternative<wire::PullRequest>(F.Peer.Read.front()));
}
