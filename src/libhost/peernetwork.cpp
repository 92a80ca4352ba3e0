#include "peernetwork.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <deque>
#include <map>
#include <vector>

namespace persimmon {

namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t LengthBytes = 4;
/// Holds several messages of usual calls; there are some hundred connections.
constexpr std::size_t ChunkBytes = 8u << 10;
constexpr std::size_t MaxDatagramBytes = 65'000;
constexpr std::size_t MaxQueuedBytes = 256u << 20;
constexpr std::chrono::seconds IdleTimeout{60};
/// Many round trips between availability zones; an instance that is down or
/// cut off does not answer at all, and nothing was sent to it.
constexpr std::chrono::milliseconds ConnectTimeout{200};
constexpr std::chrono::seconds IdleCheckInterval{10};
/// How long a deferred message waits for one that takes it along.
constexpr std::chrono::milliseconds DeferInterval{100};

std::string frame(std::string_view Payload) {
  const auto Size = static_cast<std::uint32_t>(Payload.size());
  std::string Out;
  Out.reserve(LengthBytes + Payload.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out += static_cast<char>((Size >> Shift) & 0xffU);
  Out += Payload;
  return Out;
}

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

class Connection;

/// What a connection tells its owner.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  virtual void onFrame(Connection &From, std::string_view Payload) = 0;
  virtual void onEnd(Connection &Ended) = 0;
};

/// One TCP connection that carries length-prefixed messages. Small messages go
/// before parts of large bodies, so that a photo does not hold up the rest.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(tcp::socket Socket, std::string Name, ConnectionOwner &Owner)
      : Socket(std::move(Socket)), ConnectTimer(this->Socket.get_executor()),
        Name(std::move(Name)), Owner(&Owner),
        LastUse(std::chrono::steady_clock::now()) {}

  const std::string &name() const { return this->Name; }
  bool wasOpen() const { return this->Ready; }

  void connect(const tcp::endpoint &Peer) {
    this->ConnectTimer.expires_after(ConnectTimeout);
    this->ConnectTimer.async_wait(
        [Self = this->shared_from_this()](std::error_code Error) {
          if (!Error && !Self->Ready)
            Self->end();
        });
    this->Socket.async_connect(
        Peer, [Self = this->shared_from_this()](std::error_code Error) {
          Self->ConnectTimer.cancel();
          if (Error)
            return Self->end();
          Self->start();
        });
  }

  void start() {
    this->Ready = true;
    std::error_code Ignored;
    this->Socket.set_option(tcp::no_delay(true), Ignored);
    this->read();
    this->writeNext();
  }

  /// Queues a message that the next one takes along.
  void defer(std::string Frame) {
    this->QueuedBytes += Frame.size();
    this->Frames.push_back(std::move(Frame));
  }

  /// Writes what was deferred.
  void flush() {
    if (this->Ready && !this->Writing)
      this->writeNext();
  }

  void send(std::string Frame, bool Bulk) {
    this->LastUse = std::chrono::steady_clock::now();
    this->QueuedBytes += Frame.size();
    (Bulk ? this->BulkFrames : this->Frames).push_back(std::move(Frame));
    if (this->QueuedBytes > MaxQueuedBytes) {
      asio::post(this->Socket.get_executor(),
                 [Self = this->shared_from_this()] { Self->end(); });
      return;
    }
    this->flush();
  }

  /// Closes without telling the owner.
  void abandon() {
    this->Owner = nullptr;
    this->close();
  }

  bool idleSince(std::chrono::steady_clock::time_point Limit) const {
    return this->LastUse < Limit && this->Frames.empty() &&
           this->BulkFrames.empty() && !this->Writing;
  }

private:
  void close() {
    std::error_code Ignored;
    this->Socket.close(Ignored);
  }

  void end() {
    this->close();
    ConnectionOwner *Told = std::exchange(this->Owner, nullptr);
    if (Told != nullptr)
      Told->onEnd(*this);
  }

  /// Reads what there is, so that one read serves several small messages.
  void read() {
    this->Socket.async_read_some(
        asio::buffer(this->Chunk),
        [Self = this->shared_from_this()](std::error_code Error,
                                          std::size_t Size) {
          if (Error || Self->Owner == nullptr)
            return Self->end();
          Self->LastUse = std::chrono::steady_clock::now();
          Self->Incoming.append(Self->Chunk.data(), Size);
          Self->takeFrames();
        });
  }

  void takeFrames() {
    std::size_t Position = 0;
    while (this->Incoming.size() - Position >= LengthBytes) {
      std::size_t Size = 0;
      for (std::size_t I = 0; I < LengthBytes; ++I)
        Size = (Size << 8U) |
               static_cast<std::uint8_t>(this->Incoming[Position + I]);
      if (Size == 0 || Size > MaxMessageBytes)
        return this->end();
      const std::size_t End = Position + LengthBytes + Size;
      if (End > this->Incoming.size()) {
        this->Incoming.erase(0, Position);
        return this->readRest(End - Position);
      }
      this->Owner->onFrame(*this, std::string_view(this->Incoming)
                                      .substr(Position + LengthBytes, Size));
      if (this->Owner == nullptr)
        return;
      Position = End;
    }
    this->Incoming.erase(0, Position);
    this->read();
  }

  /// Reads on until the message that has begun is whole.
  void readRest(std::size_t WholeSize) {
    const std::size_t Held = this->Incoming.size();
    if (WholeSize - Held <= this->Chunk.size())
      return this->read();
    this->Incoming.resize(WholeSize);
    asio::async_read(
        this->Socket,
        asio::buffer(this->Incoming.data() + Held, WholeSize - Held),
        [Self = this->shared_from_this()](std::error_code Error, std::size_t) {
          if (Error || Self->Owner == nullptr)
            return Self->end();
          Self->LastUse = std::chrono::steady_clock::now();
          Self->takeFrames();
        });
  }

  void writeNext() {
    this->Current.clear();
    while (!this->Frames.empty() && this->Current.size() < ChunkBytes) {
      this->Current += this->Frames.front();
      this->Frames.pop_front();
    }
    if (this->Current.empty() && !this->BulkFrames.empty()) {
      this->Current = std::move(this->BulkFrames.front());
      this->BulkFrames.pop_front();
    }
    if (this->Current.empty())
      return;
    this->Writing = true;
    asio::async_write(
        this->Socket, asio::buffer(this->Current),
        [Self = this->shared_from_this()](std::error_code Error, std::size_t) {
          Self->Writing = false;
          Self->QueuedBytes -= Self->Current.size();
          if (Error)
            return Self->end();
          Self->writeNext();
        });
  }

  tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  std::string Name;
  ConnectionOwner *Owner;
  std::chrono::steady_clock::time_point LastUse;
  bool Ready = false;
  bool Writing = false;
  std::array<char, ChunkBytes> Chunk{};
  /// Bytes of a message that is not whole yet.
  std::string Incoming;
  std::string Current;
  std::deque<std::string> Frames;
  std::deque<std::string> BulkFrames;
  std::size_t QueuedBytes = 0;
};

} // namespace

class PeerNetwork::Impl : public ConnectionOwner {
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
      return fail(ResultCode::PortInUse, Listen.text());
    if (Error)
      return fail(ResultCode::AddressInvalid, Listen.text(), Error.message());
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
    const bool Bulk = std::holds_alternative<wire::BodyPart>(Body);
    const auto Found = this->Connections.find(To);
    if (Found != this->Connections.end()) {
      if (Via == Channel::Deferred) {
        Found->second->defer(frame(Bytes));
        this->scheduleFlush();
      } else {
        Found->second->send(frame(Bytes), Bulk);
      }
      return;
    }
    if (!isPath(To))
      this->open(To)->send(frame(Bytes), Bulk);
  }

  void renew(const std::string &Address) {
    const auto Found = this->Connections.find(Address);
    if (Found == this->Connections.end())
      return;
    Found->second->abandon();
    this->Connections.erase(Found);
  }

  const auto &traffic() const { return this->Traffic; }

private:
  std::shared_ptr<Connection> open(const std::string &Address) {
    std::error_code Error;
    const tcp::endpoint Peer = endpointOf<tcp>(Address, Error);
    auto Made =
        std::make_shared<Connection>(this->boundSocket(), Address, *this);
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
    this->Acceptor.async_accept(
        [this](std::error_code Error, tcp::socket Socket) {
          if (Error == asio::error::operation_aborted)
            return;
          if (!Error) {
            const std::string Path = "#" + std::to_string(++this->LastPath);
            auto Made =
                std::make_shared<Connection>(std::move(Socket), Path, *this);
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

  void onFrame(Connection &From, std::string_view Payload) override {
    if (this->deliver(From.name(), Payload))
      return;
    // What follows on a damaged stream cannot be trusted.
    const std::string Name = From.name();
    From.abandon();
    this->forget(Name, true);
  }

  void onEnd(Connection &Ended) override {
    this->forget(Ended.name(), Ended.wasOpen());
  }

  void forget(const std::string &Name, bool WasOpen) {
    this->Connections.erase(Name);
    if (isPath(Name))
      this->Listener.onPathClosed(Name);
    else
      this->Listener.onStreamLost(Name, WasOpen);
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
      std::erase_if(this->Connections, [&](const auto &Item) {
        if (isPath(Item.first) || !Item.second->idleSince(Limit))
          return false;
        Item.second->abandon();
        return true;
      });
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
  std::map<std::string, std::shared_ptr<Connection>> Connections;
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

void PeerNetwork::renew(const std::string &Address) {
  this->Implementation->renew(Address);
}

const std::array<TrafficCount, std::variant_size_v<Message>> &
PeerNetwork::traffic() const {
  return this->Implementation->traffic();
}

} // namespace persimmon
