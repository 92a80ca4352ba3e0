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
constexpr milliseconds ReportTimeout{2000};

/// A peer that reads messages and never replies.
class RawPeer {
public:
  /// \p Backlog connections can be pending in addition to the next one.
  RawPeer(asio::io_context &Context, int Backlog)
      : Io(Context), Acceptor(Context) {
    this->Acceptor.open(tcp::v4());
    this->Acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->Acceptor.listen(Backlog);
    this->LocalEndpoint = this->Acceptor.local_endpoint();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->LocalEndpoint.port());
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
  void stopAccepting() { this->Acceptor.close(); }

  /// Fills the backlog, so that further connections do not open.
  void fillBacklog() {
    for (int I = 0; I < 4; ++I) {
      this->PendingSockets.push_back(std::make_unique<tcp::socket>(this->Io));
      this->PendingSockets.back()->async_connect(this->LocalEndpoint,
                                                 [](std::error_code) {});
    }
  }

  /// Empties the backlog, so that connections open again, including retried
  /// ones.
  void emptyBacklog() {
    this->PendingSockets.clear();
    for (int I = 0; I < 8; ++I)
      this->acceptOne();
  }

  /// Sends a part of a message that is never completed.
  void sendPartOfMessage(std::size_t Size) {
    constexpr std::array<unsigned char, LengthBytes> LargeLength = {0, 8, 0, 0};
    if (this->PartialBytesSent == 0)
      asio::write(*this->Accepted.back(), asio::buffer(LargeLength));
    asio::write(*this->Accepted.back(), asio::buffer(std::string(Size, 'x')));
    this->PartialBytesSent += Size;
  }

  std::vector<Message> Read;
  std::size_t PartialBytesSent = 0;

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
    asio::async_read(From, asio::buffer(this->Payload),
                     [this, &From](std::error_code Error, std::size_t) {
                       if (Error)
                         return;
                       handleResult([&] { return decode(this->Payload); },
                                    [&](Message Body) {
                                      this->Read.push_back(std::move(Body));
                                    });
                       this->readFrame(From);
                     });
  }

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  tcp::endpoint LocalEndpoint;
  std::vector<std::unique_ptr<tcp::socket>> Accepted;
  std::vector<std::unique_ptr<tcp::socket>> PendingSockets;
  std::array<unsigned char, LengthBytes> Length{};
  std::string Payload;
};

/// What the network has reported about a sent call.
enum class CallReport { None, NotSent, MaybeSent };

/// Records the reports of the network. As in the call router, the first report
/// about a call counts.
class RecordingListener : public PeerListener {
public:
  void onMessage(std::string, Message) override {}
  void onPathClosed(std::string) override {}
  void onStreamSlow(StreamSlow Slow) override {
    for (const wire::AttemptId &Id : Slow.NotSent)
      this->FirstReports.try_emplace(Id.Number, CallReport::NotSent);
    this->ReportCount += 1;
  }
  void onStreamAlive(StreamAlive) override { this->AliveReports += 1; }
  void onStreamLost(StreamLost Lost) override {
    for (const wire::AttemptId &Id : Lost.NotSent)
      this->FirstReports.try_emplace(Id.Number, CallReport::NotSent);
    for (const wire::AttemptId &Id : Lost.Sent)
      this->FirstReports.try_emplace(Id.Number, CallReport::MaybeSent);
    this->ReportCount += 1;
  }

  CallReport reportOf(std::int64_t Number) const {
    const auto Found = this->FirstReports.find(Number);
    return Found == this->FirstReports.end() ? CallReport::None : Found->second;
  }

  int ReportCount = 0;
  int AliveReports = 0;

private:
  std::map<std::int64_t, CallReport> FirstReports;
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
  RecordingListener Listener;
  RawPeer Peer;
  std::unique_ptr<PeerNetwork> Network;

  explicit Fixture(int Backlog = 16) : Peer(Io, Backlog) {
    const Failure Error = handleResult(
        [&] {
          return PeerNetwork::open(this->Io, {"127.0.0.1", 0}, this->Listener);
        },
        [&](std::unique_ptr<PeerNetwork> NewNetwork) {
          this->Network = std::move(NewNetwork);
        });
    REQUIRE_FALSE(Error.failed());
  }

  bool runUntil(const std::function<bool()> &Condition) {
    const auto End = std::chrono::steady_clock::now() + ReportTimeout;
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      this->Io.restart();
      this->Io.run_for(milliseconds(5));
    }
    return Condition();
  }

  void runFor(milliseconds Duration) {
    this->Io.restart();
    this->Io.run_for(Duration);
  }

  void sendCall(std::int64_t Number) {
    this->Network->send(this->Peer.address(), request(Number), Channel::Stream);
  }

  /// Sends a call and waits until the peer has read it.
  void sendCallAndAwaitReceipt(std::int64_t Number) {
    this->Peer.acceptOne();
    this->sendCall(Number);
    REQUIRE(this->runUntil([&] { return !this->Peer.Read.empty(); }));
    const auto &Received = std::get<wire::CallRequest>(this->Peer.Read.front());
    REQUIRE(Received.Id.Number == Number);
    REQUIRE(this->Listener.ReportCount == 0);
  }

  /// Closes the connection, as a pull or replication does, and sends another
  /// message.
  void closeAndSend() {
    const int Before = this->Listener.ReportCount;
    this->Network->closeIfSilent(this->Peer.address(),
                                 std::chrono::steady_clock::now());
    this->Network->send(this->Peer.address(), wire::Heartbeat(),
                        Channel::Stream);
    // Waits for the end of the abandoned connection and of the next one.
    this->runUntil([&] { return this->Listener.ReportCount >= Before + 2; });
  }
};

} // namespace

TEST_CASE("a call sent on an abandoned connection is not reported as not "
          "sent") {
  SECTION("when the next connection is refused") {
    Fixture F;
    F.sendCallAndAwaitReceipt(1);
    F.Peer.stopAccepting();
    F.closeAndSend();
    CHECK(F.Listener.reportOf(1) == CallReport::MaybeSent);
  }
  SECTION("when the next connection does not open in time") {
    Fixture F(0);
    F.sendCallAndAwaitReceipt(1);
    F.Peer.fillBacklog();
    F.runFor(milliseconds(100));
    F.closeAndSend();
    CHECK(F.Listener.reportOf(1) == CallReport::MaybeSent);
  }
  SECTION("when the connection was closed more than once") {
    Fixture F;
    F.sendCallAndAwaitReceipt(1);
    F.Peer.stopAccepting();
    F.Network->closeIfSilent(F.Peer.address(),
                             std::chrono::steady_clock::now());
    F.Network->send(F.Peer.address(), wire::Heartbeat(), Channel::Stream);
    F.closeAndSend();
    CHECK(F.Listener.reportOf(1) == CallReport::MaybeSent);
  }
}

TEST_CASE("a decided call is not reported when its connection ends") {
  Fixture F;
  F.sendCallAndAwaitReceipt(1);
  F.Network->endAttempt(F.Peer.address(), request(1).Id);
  F.Network->closeIfSilent(F.Peer.address(), std::chrono::steady_clock::now());
  REQUIRE(F.runUntil([&] { return F.Listener.ReportCount > 0; }));
  CHECK(F.Listener.reportOf(1) == CallReport::None);
}

TEST_CASE("a connection that receives a large message is not considered "
          "silent") {
  Fixture F;
  F.sendCallAndAwaitReceipt(1);
  F.Peer.sendPartOfMessage(40'000);
  F.runFor(milliseconds(50));
  const Time Since = std::chrono::steady_clock::now();
  F.Peer.sendPartOfMessage(10'000);
  F.runFor(milliseconds(50));
  CHECK_FALSE(F.Network->closeIfSilent(F.Peer.address(), Since));
  REQUIRE(F.runUntil([&] { return F.Listener.AliveReports > 0; }));
  CHECK(F.Listener.ReportCount == 0);
}

TEST_CASE("a connection without peer activity is closed") {
  Fixture F;
  F.sendCallAndAwaitReceipt(1);
  const Time Since = std::chrono::steady_clock::now();
  F.Network->send(F.Peer.address(), wire::Heartbeat(), Channel::Stream);
  F.runFor(milliseconds(50));
  CHECK(F.Network->closeIfSilent(F.Peer.address(), Since));
  REQUIRE(F.runUntil([&] { return F.Listener.ReportCount > 0; }));
  CHECK(F.Listener.reportOf(1) == CallReport::MaybeSent);
}

TEST_CASE("a call whose connection never opened is reported as not sent") {
  SECTION("because the port refused it") {
    Fixture F;
    F.Peer.stopAccepting();
    F.sendCall(1);
    REQUIRE(F.runUntil([&] { return F.Listener.ReportCount > 0; }));
    CHECK(F.Listener.reportOf(1) == CallReport::NotSent);
  }
  SECTION("because it did not open in time") {
    Fixture F(0);
    F.Peer.fillBacklog();
    F.runFor(milliseconds(100));
    F.sendCall(1);
    REQUIRE(F.runUntil([&] { return F.Listener.ReportCount > 0; }));
    CHECK(F.Listener.reportOf(1) == CallReport::NotSent);
  }
}

TEST_CASE("a slow connection drops queued calls and keeps other messages") {
  Fixture F(0);
  F.Peer.fillBacklog();
  F.runFor(milliseconds(100));
  F.sendCall(1);
  F.Network->send(F.Peer.address(), wire::PullRequest(), Channel::Stream);
  F.runFor(milliseconds(300));
  CHECK(F.Listener.reportOf(1) == CallReport::NotSent);
  F.Peer.emptyBacklog();
  F.runUntil([&] { return !F.Peer.Read.empty(); });
  REQUIRE(F.Peer.Read.size() == 1);
  CHECK(std::holds_alternative<wire::PullRequest>(F.Peer.Read.front()));
}
