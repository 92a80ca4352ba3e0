#include "forwarder.h"

#include <asio/buffer.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <fcntl.h>

#include <array>
#include <deque>
#include <future>
#include <list>
#include <map>
#include <vector>

namespace persimmon {

namespace {

using asio::ip::tcp;
using asio::ip::udp;
using Clock = std::chrono::steady_clock;

/// Maximum number of chunks queued in one direction of a connection.
constexpr std::size_t MaxQueuedChunks = 256;
/// The maximum on a rate-limited link: a window of 256 KB per connection.
constexpr std::size_t MaxQueuedChunksOnLimitedLink = 4;
constexpr std::size_t BufferBytes = 64u << 10;

/// Delay and rate limit of the traffic to one address.
struct Link {
  std::chrono::milliseconds Delay{0};
  /// 0 for no limit.
  std::int64_t BytesPerSecond = 0;
  /// When the bytes queued so far will have been transmitted.
  Clock::time_point BusyUntil;

  /// Queues \p Size bytes and returns when they are due at the receiver.
  Clock::time_point enqueue(std::size_t Size) {
    const auto Now = Clock::now();
    if (this->BytesPerSecond == 0)
      return Now + this->Delay;
    const std::chrono::duration<double> Takes(
        static_cast<double>(Size) / static_cast<double>(this->BytesPerSecond));
    this->BusyUntil = std::max(this->BusyUntil, Now) +
                      std::chrono::duration_cast<Clock::duration>(Takes);
    return this->BusyUntil + this->Delay;
  }
};

/// Links by receiver address.
using LinkMap = std::map<std::string, Link>;

/// One forwarded TCP connection. If silent, it stays open and forwards nothing.
struct ForwardedConnection : std::enable_shared_from_this<ForwardedConnection> {
  /// One direction of the connection, with the chunks that are not due yet.
  struct Stream {
    Stream(asio::io_context &Io, tcp::socket &TheFrom, tcp::socket &TheTo,
           const std::string &TheReceiver)
        : Timer(Io), From(TheFrom), To(TheTo), Receiver(TheReceiver) {}
    struct Chunk {
      Clock::time_point Due;
      std::string Bytes;
    };
    asio::steady_timer Timer;
    tcp::socket &From;
    tcp::socket &To;
    const std::string &Receiver;
    std::array<char, BufferBytes> Buffer{};
    std::deque<Chunk> Queue;
    bool Reading = false;
    bool Sending = false;
    bool Ended = false;
  };

  ForwardedConnection(asio::io_context &Io, LinkMap &TheLinks)
      : Client(Io), Server(Io), Links(TheLinks),
        Upstream(Io, this->Client, this->Server, this->ServerIp),
        Downstream(Io, this->Server, this->Client, this->ClientIp) {}

  void start() {
    this->read(this->Upstream);
    this->read(this->Downstream);
  }

  /// Reads while the queue has room, so that a slow reader does not fill the
  /// memory.
  void read(Stream &Direction) {
    const bool Limited = this->Links[Direction.Receiver].BytesPerSecond > 0;
    if (Direction.Reading || Direction.Ended ||
        Direction.Queue.size() >=
            (Limited ? MaxQueuedChunksOnLimitedLink : MaxQueuedChunks))
      return;
    Direction.Reading = true;
    Direction.From.async_read_some(
        asio::buffer(Direction.Buffer),
        [this, Self = this->shared_from_this(),
         &Direction](std::error_code Error, std::size_t Size) {
          Direction.Reading = false;
          if (this->Silent)
            return;
          Direction.Ended = static_cast<bool>(Error);
          if (!Error)
            Direction.Queue.push_back(
                {this->Links[Direction.Receiver].enqueue(Size),
                 std::string(Direction.Buffer.data(), Size)});
          this->sendNext(Direction);
          this->read(Direction);
        });
  }

  void sendNext(Stream &Direction) {
    if (Direction.Sending || this->Silent)
      return;
    if (Direction.Queue.empty()) {
      if (Direction.Ended)
        this->close();
      return;
    }
    Direction.Sending = true;
    Direction.Timer.expires_at(Direction.Queue.front().Due);
    Direction.Timer.async_wait([this, Self = this->shared_from_this(),
                                &Direction](std::error_code Error) {
      if (!Error && !this->Silent)
        this->write(Direction);
    });
  }

  void write(Stream &Direction) {
    asio::async_write(Direction.To, asio::buffer(Direction.Queue.front().Bytes),
                      [this, Self = this->shared_from_this(),
                       &Direction](std::error_code Error, std::size_t) {
                        if (this->Silent)
                          return;
                        if (Error)
                          return this->close();
                        Direction.Sending = false;
                        Direction.Queue.pop_front();
                        this->sendNext(Direction);
                        this->read(Direction);
                      });
  }

  void close() {
    std::error_code Ignored;
    this->Client.close(Ignored);
    this->Server.close(Ignored);
  }

  tcp::socket Client;
  tcp::socket Server;
  std::string ClientIp;
  std::string ServerIp;
  bool Silent = false;
  LinkMap &Links;
  Stream Upstream;
  Stream Downstream;
};

/// Forwards the datagrams between one client and one address.
struct DatagramRelay {
  explicit DatagramRelay(asio::io_context &Io, const asio::ip::address &Ip)
      : Socket(Io, udp::endpoint(Ip, 0)) {}
  udp::socket Socket;
  udp::endpoint Client;
  udp::endpoint From;
  std::array<char, BufferBytes> Buffer{};
};

} // namespace

class Forwarder::Impl {
public:
  explicit Impl(asio::io_context &Context) : Io(Context) {}

  void add(const std::string &Ip, std::uint16_t Port, std::uint16_t RealPort) {
    this->ForwardedPorts.push_back(
        std::make_unique<ForwardedPort>(this->Io, Ip, Port, RealPort));
    listen(*this->ForwardedPorts.back());
    this->accept(*this->ForwardedPorts.back());
    this->receiveDatagram(*this->ForwardedPorts.back());
  }

  void cut(const std::string &Ip) {
    this->CutIps.insert(Ip);
    this->silence(Ip);
  }

  void heal(const std::string &Ip) { this->CutIps.erase(Ip); }

  void silence(const std::string &Ip) {
    for (const auto &Item : this->Connections) {
      const auto Connection = Item.lock();
      if (Connection &&
          (Connection->ClientIp == Ip || Connection->ServerIp == Ip))
        Connection->Silent = true;
      if (Connection)
        this->Silenced.push_back(Connection);
    }
  }

  void delay(const std::string &Ip, std::chrono::milliseconds Delay) {
    this->Links[Ip].Delay = Delay;
  }

  void limit(const std::string &Ip, std::int64_t BytesPerSecond) {
    this->Links[Ip].BytesPerSecond = BytesPerSecond;
  }

  void shut(const std::string &Ip) {
    for (const auto &Forwarded : this->ForwardedPorts) {
      if (Forwarded->Ip == Ip)
        Forwarded->Acceptor.close();
    }
  }

  void reopen(const std::string &Ip) {
    for (const auto &Forwarded : this->ForwardedPorts) {
      if (Forwarded->Ip != Ip || Forwarded->Acceptor.is_open())
        continue;
      listen(*Forwarded);
      this->accept(*Forwarded);
    }
  }

private:
  struct ForwardedPort {
    ForwardedPort(asio::io_context &Context, const std::string &TheIp,
                  std::uint16_t Port, std::uint16_t RealPort)
        : Ip(TheIp), Address(asio::ip::make_address(TheIp)),
          Listen(Address, Port), Acceptor(Context),
          Datagrams(Context, udp::endpoint(Address, Port)),
          DestinationPort(RealPort) {}
    std::string Ip;
    asio::ip::address Address;
    tcp::endpoint Listen;
    tcp::acceptor Acceptor;
    udp::socket Datagrams;
    std::uint16_t DestinationPort;
    udp::endpoint Sender;
    std::array<char, BufferBytes> Buffer{};
    std::map<udp::endpoint, std::unique_ptr<DatagramRelay>> DatagramRelays;
  };

  bool isCut(const std::string &Left, const std::string &Right) const {
    return this->CutIps.count(Left) != 0 || this->CutIps.count(Right) != 0;
  }

  /// Opens the port with FD_CLOEXEC: a daemon that is started later would
  /// otherwise inherit the descriptor and hold the port open.
  static void listen(ForwardedPort &Forwarded) {
    Forwarded.Acceptor.open(Forwarded.Listen.protocol());
    ::fcntl(Forwarded.Acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    Forwarded.Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Forwarded.Acceptor.bind(Forwarded.Listen);
    Forwarded.Acceptor.listen();
  }

  void accept(ForwardedPort &Forwarded) {
    auto Accepted =
        std::make_shared<ForwardedConnection>(this->Io, this->Links);
    Forwarded.Acceptor.async_accept(
        Accepted->Client, [this, &Forwarded, Accepted](std::error_code Error) {
          if (Error)
            return;
          Accepted->ClientIp =
              Accepted->Client.remote_endpoint(Error).address().to_string();
          Accepted->ServerIp = Forwarded.Ip;
          this->Connections.push_back(Accepted);
          if (this->isCut(Accepted->ClientIp, Forwarded.Ip)) {
            Accepted->Silent = true;
            this->Silenced.push_back(Accepted);
          } else {
            this->connect(Forwarded, Accepted);
          }
          this->accept(Forwarded);
        });
  }

  void connect(ForwardedPort &Forwarded,
               const std::shared_ptr<ForwardedConnection> &Item) {
    Item->Server.async_connect(
        tcp::endpoint(Forwarded.Address, Forwarded.DestinationPort),
        [Item](std::error_code Error) {
          if (Error)
            return Item->close();
          std::error_code Ignored;
          Item->Client.set_option(tcp::no_delay(true), Ignored);
          Item->Server.set_option(tcp::no_delay(true), Ignored);
          Item->start();
        });
  }

  void receiveDatagram(ForwardedPort &Forwarded) {
    Forwarded.Datagrams.async_receive_from(
        asio::buffer(Forwarded.Buffer), Forwarded.Sender,
        [this, &Forwarded](std::error_code Error, std::size_t Size) {
          if (Error == asio::error::operation_aborted)
            return;
          if (!Error && !this->isCut(Forwarded.Sender.address().to_string(),
                                     Forwarded.Ip))
            this->forwardDatagram(Forwarded, Size);
          this->receiveDatagram(Forwarded);
        });
  }

  void forwardDatagram(ForwardedPort &Forwarded, std::size_t Size) {
    auto &Slot = Forwarded.DatagramRelays[Forwarded.Sender];
    if (!Slot) {
      Slot = std::make_unique<DatagramRelay>(this->Io, Forwarded.Address);
      Slot->Client = Forwarded.Sender;
      this->receiveReply(Forwarded, *Slot);
    }
    this->sendWhenDue(
        Slot->Socket,
        udp::endpoint(Forwarded.Address, Forwarded.DestinationPort),
        Forwarded.Ip, std::string(Forwarded.Buffer.data(), Size));
  }

  /// Sends a datagram when it is due on the link to \p Ip.
  void sendWhenDue(udp::socket &From, const udp::endpoint &To,
                   const std::string &Ip, std::string Bytes) {
    Link &ReceiverLink = this->Links[Ip];
    if (ReceiverLink.BytesPerSecond == 0) {
      std::error_code Ignored;
      From.send_to(asio::buffer(Bytes), To, 0, Ignored);
      return;
    }
    auto Timer = std::make_shared<asio::steady_timer>(
        this->Io, ReceiverLink.enqueue(Bytes.size()));
    Timer->async_wait(
        [&From, To, Timer, Datagram = std::move(Bytes)](std::error_code Error) {
          std::error_code Ignored;
          if (!Error)
            From.send_to(asio::buffer(Datagram), To, 0, Ignored);
        });
  }

  void receiveReply(ForwardedPort &Forwarded, DatagramRelay &Item) {
    Item.Socket.async_receive_from(
        asio::buffer(Item.Buffer), Item.From,
        [this, &Forwarded, &Item](std::error_code Error, std::size_t Size) {
          if (Error == asio::error::operation_aborted)
            return;
          const std::string ClientIp = Item.Client.address().to_string();
          if (!Error && !this->isCut(ClientIp, Forwarded.Ip))
            this->sendWhenDue(Forwarded.Datagrams, Item.Client, ClientIp,
                              std::string(Item.Buffer.data(), Size));
          this->receiveReply(Forwarded, Item);
        });
  }

  asio::io_context &Io;
  std::vector<std::unique_ptr<ForwardedPort>> ForwardedPorts;
  std::list<std::weak_ptr<ForwardedConnection>> Connections;
  std::vector<std::shared_ptr<ForwardedConnection>> Silenced;
  std::set<std::string> CutIps;
  LinkMap Links;
};

Forwarder::Forwarder()
    : Implementation(std::make_unique<Impl>(this->Io)), IoThread([this] {
        const auto Work = asio::make_work_guard(this->Io);
        this->Io.run();
      }) {}

Forwarder::~Forwarder() {
  this->Io.stop();
  this->IoThread.join();
}

void Forwarder::add(const std::string &Ip, std::uint16_t Port,
                    std::uint16_t RealPort) {
  std::promise<void> Done;
  asio::post(this->Io, [&] {
    this->Implementation->add(Ip, Port, RealPort);
    Done.set_value();
  });
  Done.get_future().wait();
}

void Forwarder::cut(const std::string &Ip) {
  asio::post(this->Io, [this, Ip] { this->Implementation->cut(Ip); });
}

void Forwarder::heal(const std::string &Ip) {
  asio::post(this->Io, [this, Ip] { this->Implementation->heal(Ip); });
}

void Forwarder::silence(const std::string &Ip) {
  asio::post(this->Io, [this, Ip] { this->Implementation->silence(Ip); });
}

void Forwarder::delay(const std::string &Ip, std::chrono::milliseconds Delay) {
  asio::post(this->Io,
             [this, Ip, Delay] { this->Implementation->delay(Ip, Delay); });
}

void Forwarder::limit(const std::string &Ip, std::int64_t BytesPerSecond) {
  asio::post(this->Io, [this, Ip, BytesPerSecond] {
    this->Implementation->limit(Ip, BytesPerSecond);
  });
}

void Forwarder::shut(const std::string &Ip) {
  asio::post(this->Io, [this, Ip] { this->Implementation->shut(Ip); });
}

void Forwarder::reopen(const std::string &Ip) {
  asio::post(this->Io, [this, Ip] { this->Implementation->reopen(Ip); });
}

} // namespace persimmon
