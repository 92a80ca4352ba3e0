#include "peernetwork.h"

#include "peerconnection.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <vector>

namespace persimmon {

namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t MaxDatagramBytes = 65'000;
constexpr std::chrono::seconds IdleTimeout{60};
constexpr std::chrono::seconds IdleCheckInterval{10};
/// How long a deferred message waits for one that takes it along.
constexpr std::chrono::milliseconds DeferInterval{100};

template <typename ProtocolT>
typename ProtocolT::endpoint endpointOf(std::string_view Address,
                                        std::error_code &Error) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos) {
    Error = std::make_error_code(std::errc::invalid_argument);
    return {};
  }
  const auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Error);
  const int Port = std::atoi(std::string(Address.substr(Colon + 1)).c_str());
  return {Ip, static_cast<std::uint16_t>(Port)};
}

bool isPath(std::string_view To) { return To.starts_with('#'); }

} // namespace

class PeerNetwork::Impl : public PeerConnectionOwner {
public:
  Impl(asio::io_context &Context, PeerListener &TheListener)
      : Io(Context), Acceptor(Context), Datagrams(Context), IdleTimer(Context),
        FlushTimer(Context), Listener(TheListener) {}

  ~Impl() override {
    for (auto &[Name, Item] : this->Connections)
      Item->abandon();
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
      this->Datagrams.open(Udp.protocol(), Error);
    if (!Error)
      this->Datagrams.bind(Udp, Error);
    if (!Error)
      this->Datagrams.non_blocking(true, Error);
    if (Error == asio::error::address_in_use)
      return fail(ResultCode::PortInUse, Listen.toString());
    if (Error)
      return fail(ResultCode::AddressInvalid, Listen.toString(),
                  Error.message());
    this->accept();
    this->receiveDatagram();
    this->checkIdle();
    return {};
  }

  void send(const std::string &To, const Message &Body, Channel Via) {
    const std::string Bytes = encode(Body);
    TrafficCount &Count = this->Traffic[Body.index()];
    Count.SentMessages += 1;
    Count.SentBytes += Bytes.size();
    if (Via == Channel::Datagram && !isPath(To) &&
        Bytes.size() <= MaxDatagramBytes) {
      std::error_code Error;
      const udp::endpoint Peer = endpointOf<udp>(To, Error);
      if (!Error)
        this->Datagrams.send_to(asio::buffer(Bytes), Peer, 0, Error);
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
    if (!isPath(To))
      this->open(To)->send(Bytes, Body);
  }

  bool renew(const std::string &Address, Time SilentSince) {
    const auto Found = this->Connections.find(Address);
    if (Found == this->Connections.end()) {
      StreamLost None;
      None.Address = Address;
      asio::post(this->Io, [this, None = std::move(None)] {
        this->Listener.onStreamLost(None);
      });
      return false;
    }
    // Its own time-out ends one that does not open.
    if (Found->second->opening())
      return false;
    if (Found->second->signOfLifeAt() <= SilentSince) {
      this->giveUp(Found);
      return true;
    }
    asio::post(this->Io, [this, Sign = StreamAlive{
                                    Address, Found->second->signOfLifeAt()}] {
      this->Listener.onStreamAlive(Sign);
    });
    return false;
  }

  void endAttempt(const std::string &Address, const wire::AttemptId &Id) {
    const auto Found = this->Connections.find(Address);
    if (Found != this->Connections.end())
      Found->second->endAttempt(Id);
  }

  const auto &traffic() const { return this->Traffic; }

private:
  using ConnectionMap = std::map<std::string, std::shared_ptr<PeerConnection>>;

  /// Abandons a connection and tells the listener what it carried, after the
  /// effect that asked for it. Returns the next connection.
  ConnectionMap::iterator giveUp(ConnectionMap::iterator Item) {
    asio::post(this->Io,
               [this, Lost = Item->second->lost(StreamEnd::Abandoned)] {
                 this->Listener.onStreamLost(Lost);
               });
    Item->second->abandon();
    return this->Connections.erase(Item);
  }

  std::shared_ptr<PeerConnection> open(const std::string &Address) {
    std::error_code Error;
    const tcp::endpoint Peer = endpointOf<tcp>(Address, Error);
    auto Made =
        std::make_shared<PeerConnection>(this->boundSocket(), Address, *this);
    this->Connections[Address] = Made;
    Made->connect(Peer);
    return Made;
  }

  /// Returns a socket that connects from the address of the settings.
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
      if (!Error) {
        const std::string Path = "#" + std::to_string(++this->LastPath);
        auto Made =
            std::make_shared<PeerConnection>(std::move(Socket), Path, *this);
        this->Connections[Path] = Made;
        Made->start();
      }
      this->accept();
    });
  }

  void receiveDatagram() {
    this->Datagrams.async_receive_from(
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

  /// Returns whether the bytes were a message.
  bool deliver(std::string From, std::string_view Bytes) {
    const Failure Error =
        settle([&] { return decode(Bytes); },
               [&](Message Body) {
                 TrafficCount &Count = this->Traffic[Body.index()];
                 Count.ReceivedMessages += 1;
                 Count.ReceivedBytes += Bytes.size();
                 this->Listener.onMessage(std::move(From), std::move(Body));
               });
    return !Error.failed();
  }

  void onFrame(PeerConnection &From, std::string_view Payload) override {
    const auto Kept = From.shared_from_this();
    if (this->deliver(From.name(), Payload))
      return;
    // What follows on a damaged stream cannot be trusted.
    From.abandon();
    this->onEnd(From, StreamEnd::Closed);
  }

  void onSlow(PeerConnection &Opening,
              std::vector<wire::AttemptId> NotSent) override {
    this->Listener.onStreamSlow({Opening.name(), std::move(NotSent)});
  }

  void onEnd(PeerConnection &Ended, StreamEnd How) override {
    StreamLost Lost = Ended.lost(How);
    this->Connections.erase(Lost.Address);
    if (isPath(Lost.Address))
      this->Listener.onPathClosed(std::move(Lost.Address));
    else
      this->Listener.onStreamLost(std::move(Lost));
  }

  void scheduleFlush() {
    if (this->FlushScheduled)
      return;
    this->FlushScheduled = true;
    this->FlushTimer.expires_after(DeferInterval);
    this->FlushTimer.async_wait([this](std::error_code Error) {
      this->FlushScheduled = false;
      if (Error)
        return;
      for (const auto &[Name, Item] : this->Connections)
        Item->flush();
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
        const bool Idle =
            !isPath(Item->first) && Item->second->idleSince(Limit);
        Item = Idle ? this->giveUp(Item) : std::next(Item);
      }
      this->checkIdle();
    });
  }

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  udp::socket Datagrams;
  asio::steady_timer IdleTimer;
  asio::steady_timer FlushTimer;
  bool FlushScheduled = false;
  PeerListener &Listener;
  ConnectionMap Connections;
  std::int64_t LastPath = 0;
  std::array<char, MaxDatagramBytes> DatagramBuffer{};
  udp::endpoint DatagramSender;
  std::array<TrafficCount, std::variant_size_v<Message>> Traffic{};
};

PeerNetwork::PeerNetwork(std::unique_ptr<Impl> Made)
    : Implementation(std::move(Made)) {}

PeerNetwork::~PeerNetwork() = default;

leaf::result<std::unique_ptr<PeerNetwork>>
PeerNetwork::open(asio::io_context &Io, const Endpoint &Listen,
                  PeerListener &Listener) {
  auto Made = std::make_unique<Impl>(Io, Listener);
  BOOST_LEAF_CHECK(Made->listen(Listen));
  return std::unique_ptr<PeerNetwork>(new PeerNetwork(std::move(Made)));
}

void PeerNetwork::send(const std::string &To, const Message &Body,
                       Channel Via) {
  this->Implementation->send(To, Body, Via);
}

bool PeerNetwork::renew(const std::string &Address, Time SilentSince) {
  return this->Implementation->renew(Address, SilentSince);
}

void PeerNetwork::endAttempt(const std::string &Address,
                             const wire::AttemptId &Id) {
  this->Implementation->endAttempt(Address, Id);
}

const std::array<TrafficCount, std::variant_size_v<Message>> &
PeerNetwork::traffic() const {
  return this->Implementation->traffic();
}

} // namespace persimmon
