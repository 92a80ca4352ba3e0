#include "peernetwork.h"

#include "descriptorshares.h"
#include "peerconnection.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace persimmon {

namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t MaxDatagramBytes = 65'000;
/// Headers of Ethernet, IP and TCP of a message that fits into one packet.
constexpr std::int64_t PacketHeaderBytes = 66;
constexpr std::chrono::seconds IdleTimeout{60};
constexpr std::chrono::seconds IdleCheckInterval{10};
/// Time until another connection is accepted after accepting has failed, as for
/// want of a file descriptor.
constexpr std::chrono::milliseconds AcceptRetryInterval{100};
/// Maximum time that a deferred message waits to be sent with another one.
constexpr std::chrono::milliseconds FlushDelay{100};

template <typename ProtocolT>
typename ProtocolT::endpoint endpointOf(std::string_view Address,
                                        std::error_code &Error) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos) {
    Error = std::make_error_code(std::errc::invalid_argument);
    return {};
  }
  const std::string_view PortText = Address.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Status] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Status != std::errc() || End != PortText.data() + PortText.size()) {
    Error = std::make_error_code(std::errc::invalid_argument);
    return {};
  }
  const auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Error);
  return {Ip, Port};
}

bool isAcceptedConnection(std::string_view To) { return To.starts_with('#'); }

} // namespace

class PeerNetwork::Impl : public PeerConnectionOwner {
public:
  Impl(asio::io_context &Context, PeerListener &TheListener)
      : Io(Context), Acceptor(Context), DatagramSocket(Context),
        AcceptTimer(Context), IdleTimer(Context), FlushTimer(Context),
        MaxAccepted(DescriptorShares::ofProcess().maxPeerConnections()),
        Listener(TheListener) {}

  ~Impl() override {
    for (auto &[Name, Connection] : this->Connections)
      Connection->abandon();
  }

  leaf::result<void> listen(const Endpoint &Listen) {
    std::error_code Error;
    const auto Address = asio::ip::make_address(Listen.Ip, Error);
    const tcp::endpoint Tcp(Address, Listen.Port);
    if (!Error)
      this->Acceptor.open(Tcp.protocol(), Error);
    if (!Error)
      this->Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
    if (!Error)
      this->Acceptor.bind(Tcp, Error);
    if (!Error)
      this->Acceptor.listen(asio::socket_base::max_listen_connections, Error);
    const udp::endpoint Udp(Address, Listen.Port);
    if (!Error)
      this->DatagramSocket.open(Udp.protocol(), Error);
    if (!Error)
      this->DatagramSocket.bind(Udp, Error);
    if (!Error)
      this->DatagramSocket.non_blocking(true, Error);
    if (Error == asio::error::address_in_use)
      return fail(ResultCode::PortInUse, Listen.toString());
    if (Error)
      return fail(ResultCode::AddressInvalid, Listen.toString(),
                  Error.message());
    this->OwnIp = Listen.Ip;
    this->accept();
    this->receiveDatagram();
    this->checkIdle();
    return {};
  }

  void send(const std::string &To, const Message &Body, Channel Via) {
    const std::string Bytes = encode(Body);
    TrafficCounters &Counters = this->Traffic[Body.index()];
    Counters.SentMessages += 1;
    Counters.SentBytes += Bytes.size();
    this->countLinkBytes(To, Body, Bytes.size());
    if (Via == Channel::Datagram && !isAcceptedConnection(To) &&
        Bytes.size() <= MaxDatagramBytes) {
      std::error_code Error;
      const udp::endpoint Peer = endpointOf<udp>(To, Error);
      if (!Error)
        this->DatagramSocket.send_to(asio::buffer(Bytes), Peer, 0, Error);
      return;
    }
    const auto Found = this->Connections.find(To);
    if (Found != this->Connections.end()) {
      if (Via == Channel::Deferred) {
        Found->second->defer(Bytes, Body);
        this->scheduleFlush();
      } else {
        Found->second->send(Bytes, Body);
      }
      return;
    }
    if (!isAcceptedConnection(To))
      this->open(To)->send(Bytes, Body);
  }

  bool closeIfSilent(const std::string &Address, Time SilentSince) {
    const auto Found = this->Connections.find(Address);
    if (Found == this->Connections.end()) {
      StreamLost NoConnection;
      NoConnection.Address = Address;
      asio::post(this->Io, [this, NoConnection = std::move(NoConnection)] {
        this->Listener.onStreamLost(NoConnection);
      });
      return false;
    }
    // A connection that cannot be established ends by its own timeout.
    if (Found->second->connecting())
      return false;
    if (Found->second->lastPeerActivity() <= SilentSince) {
      this->abandonConnection(Found);
      return true;
    }
    asio::post(this->Io,
               [this, Alive = StreamAlive{Address,
                                          Found->second->lastPeerActivity()}] {
                 this->Listener.onStreamAlive(Alive);
               });
    return false;
  }

  void endAttempt(const std::string &Address, const wire::AttemptId &Id) {
    const auto Found = this->Connections.find(Address);
    if (Found != this->Connections.end())
      Found->second->endAttempt(Id);
  }

  const auto &traffic() const { return this->Traffic; }

  std::int64_t takeLinkBytes() { return std::exchange(this->LinkBytes, 0); }

private:
  using ConnectionMap = std::map<std::string, std::shared_ptr<PeerConnection>>;

  void countLinkBytes(const std::string &To, const Message &Body,
                      std::size_t Size) {
    const auto *Part = std::get_if<wire::BodyPart>(&Body);
    const bool IsAnswerPart = Part != nullptr && Part->OfAnswer;
    const bool IsLocal = isAcceptedConnection(To)
                             ? this->LocalConnections.count(To) != 0
                             : To.starts_with(this->OwnIp + ":");
    if (!IsAnswerPart && !IsLocal)
      this->LinkBytes += static_cast<std::int64_t>(Size) + PacketHeaderBytes;
  }

  /// Abandons a connection and returns the next one. The listener is notified
  /// of its undecided attempts once the current effect has been executed.
  ConnectionMap::iterator abandonConnection(ConnectionMap::iterator Item) {
    asio::post(this->Io, [this, Lost = Item->second->undecidedAttempts(
                                    StreamEnd::Abandoned)] {
      this->Listener.onStreamLost(Lost);
    });
    Item->second->abandon();
    return this->Connections.erase(Item);
  }

  std::shared_ptr<PeerConnection> open(const std::string &Address) {
    std::error_code Error;
    const tcp::endpoint Peer = endpointOf<tcp>(Address, Error);
    auto Connection =
        std::make_shared<PeerConnection>(this->boundSocket(), Address, *this);
    this->Connections[Address] = Connection;
    Connection->connect(Peer);
    return Connection;
  }

  /// Returns a socket bound to the listen address of the settings.
  tcp::socket boundSocket() {
    tcp::socket Out(this->Io);
    std::error_code Ignored;
    const auto Address = this->Acceptor.local_endpoint(Ignored).address();
    Out.open(tcp::v4(), Ignored);
    Out.bind(tcp::endpoint(Address, 0), Ignored);
    return Out;
  }

  void accept() {
    this->Acceptor.async_accept([this](std::error_code Error,
                                       tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (Error)
        return this->acceptLater();
      if (this->acceptedCount() < this->MaxAccepted) {
        const std::string Path =
            "#" + std::to_string(++this->LastConnectionNumber);
        std::error_code Ignored;
        const bool IsLocal =
            Socket.remote_endpoint(Ignored).address().to_string() ==
            this->OwnIp;
        auto Connection =
            std::make_shared<PeerConnection>(std::move(Socket), Path, *this);
        this->Connections[Path] = Connection;
        if (IsLocal)
          this->LocalConnections.insert(Path);
        Connection->start();
      }
      this->accept();
    });
  }

  void acceptLater() {
    this->AcceptTimer.expires_after(AcceptRetryInterval);
    this->AcceptTimer.async_wait([this](std::error_code Error) {
      if (!Error)
        this->accept();
    });
  }

  std::size_t acceptedCount() const {
    return static_cast<std::size_t>(std::count_if(
        this->Connections.begin(), this->Connections.end(),
        [](const auto &Item) { return isAcceptedConnection(Item.first); }));
  }

  void receiveDatagram() {
    this->DatagramSocket.async_receive_from(
        asio::buffer(this->DatagramBuffer), this->DatagramSender,
        [this](std::error_code Error, std::size_t Size) {
          if (Error == asio::error::operation_aborted)
            return;
          if (!Error)
            this->deliver(this->DatagramSender.address().to_string() + ":" +
                              std::to_string(this->DatagramSender.port()),
                          std::string_view(this->DatagramBuffer.data(), Size));
          this->receiveDatagram();
        });
  }

  /// Returns whether \p Bytes could be decoded as a message.
  bool deliver(std::string From, std::string_view Bytes) {
    const Failure Error = handleResult(
        [&] { return decode(Bytes); },
        [&](Message Body) {
          TrafficCounters &Counters = this->Traffic[Body.index()];
          Counters.ReceivedMessages += 1;
          Counters.ReceivedBytes += Bytes.size();
          this->Listener.onMessage(std::move(From), std::move(Body));
        });
    return !Error.failed();
  }

  void onFrame(PeerConnection &From, std::string_view Payload) override {
    const auto KeepAlive = From.shared_from_this();
    if (this->deliver(From.name(), Payload))
      return;
    // The rest of a damaged stream cannot be trusted.
    From.abandon();
    this->onClosed(From, StreamEnd::Closed);
  }

  void onConnectSlow(PeerConnection &Connection,
                     std::vector<wire::AttemptId> NotSent) override {
    this->Listener.onStreamSlow({Connection.name(), std::move(NotSent)});
  }

  void onClosed(PeerConnection &Connection, StreamEnd Reason) override {
    StreamLost Lost = Connection.undecidedAttempts(Reason);
    this->Connections.erase(Lost.Address);
    this->LocalConnections.erase(Lost.Address);
    if (isAcceptedConnection(Lost.Address))
      this->Listener.onPathClosed(std::move(Lost.Address));
    else
      this->Listener.onStreamLost(std::move(Lost));
  }

  void scheduleFlush() {
    if (this->FlushScheduled)
      return;
    this->FlushScheduled = true;
    this->FlushTimer.expires_after(FlushDelay);
    this->FlushTimer.async_wait([this](std::error_code Error) {
      this->FlushScheduled = false;
      if (Error)
        return;
      for (const auto &[Name, Connection] : this->Connections)
        Connection->flush();
    });
  }

  void checkIdle() {
    this->IdleTimer.expires_after(IdleCheckInterval);
    this->IdleTimer.async_wait([this](std::error_code Error) {
      if (Error)
        return;
      const auto Limit = std::chrono::steady_clock::now() - IdleTimeout;
      for (auto Item = this->Connections.begin();
           Item != this->Connections.end();) {
        const bool Idle = !isAcceptedConnection(Item->first) &&
                          Item->second->idleSince(Limit);
        Item = Idle ? this->abandonConnection(Item) : std::next(Item);
      }
      this->checkIdle();
    });
  }

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  udp::socket DatagramSocket;
  asio::steady_timer AcceptTimer;
  asio::steady_timer IdleTimer;
  asio::steady_timer FlushTimer;
  std::size_t MaxAccepted;
  bool FlushScheduled = false;
  PeerListener &Listener;
  ConnectionMap Connections;
  std::int64_t LastConnectionNumber = 0;
  std::string OwnIp;
  /// Accepted connections from this instance.
  std::set<std::string> LocalConnections;
  std::int64_t LinkBytes = 0;
  std::array<char, MaxDatagramBytes> DatagramBuffer{};
  udp::endpoint DatagramSender;
  std::array<TrafficCounters, std::variant_size_v<Message>> Traffic{};
};

PeerNetwork::PeerNetwork(std::unique_ptr<Impl> TheImplementation)
    : Implementation(std::move(TheImplementation)) {}

PeerNetwork::~PeerNetwork() = default;

leaf::result<std::unique_ptr<PeerNetwork>>
PeerNetwork::open(asio::io_context &Io, const Endpoint &Listen,
                  PeerListener &Listener) {
  auto Implementation = std::make_unique<Impl>(Io, Listener);
  BOOST_LEAF_CHECK(Implementation->listen(Listen));
  return std::unique_ptr<PeerNetwork>(
      new PeerNetwork(std::move(Implementation)));
}

void PeerNetwork::send(const std::string &To, const Message &Body,
                       Channel Via) {
  this->Implementation->send(To, Body, Via);
}

bool PeerNetwork::closeIfSilent(const std::string &Address, Time SilentSince) {
  return this->Implementation->closeIfSilent(Address, SilentSince);
}

void PeerNetwork::endAttempt(const std::string &Address,
                             const wire::AttemptId &Id) {
  this->Implementation->endAttempt(Address, Id);
}

const std::array<TrafficCounters, std::variant_size_v<Message>> &
PeerNetwork::traffic() const {
  return this->Implementation->traffic();
}

std::int64_t PeerNetwork::takeLinkBytes() {
  return this->Implementation->takeLinkBytes();
}

} // namespace persimmon
