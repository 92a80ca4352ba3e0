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
constexpr std::size_t MaxWaiting = 256;
/// The maximum on a rate-limited link: a window of 256 KB per connection.
constexpr std::size_t MaxWaitingOnThinLink = 4;
constexpr std::size_t BufferBytes = 64u << 10;

/// Delay and rate limit of the traffic to one address.
struct Link {
  std::chrono::milliseconds Delay{0};
  /// 0 for no limit.
  std::int64_t BytesPerSecond = 0;
  /// When the bytes queued so far will have been transmitted.
  Clock::time_point BusyUntil;

  /// Queues \p Size bytes and returns when they are due at the receiver.
  Clock::time_point pass(std::size_t Size) {
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
struct Pair : std::enable_shared_from_this<Pair> {
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
    std::deque<Chunk> Waiting;
    bool Reading = false;
    bool Passing = false;
    bool Ended = false;
  };

  Pair(asio::io_context &Io, LinkMap &TheLinks)
      : Client(Io), Server(Io), Links(TheLinks),
        Up(Io, this->Client, this->Server, this->ServerIp),
        Down(Io, this->Server, this->Client, this->ClientIp) {}

  void start() {
    this->read(this->Up);
    this->read(this->Down);
  }

  /// Reads while the queue has room, so that a slow reader does not fill the
  /// memory.
  void read(Stream &Way) {
    const bool Thin = this->Links[Way.Receiver].BytesPerSecond > 0;
    if (Way.Reading || Way.Ended ||
        Way.Waiting.size() >= (Thin ? MaxWaitingOnThinLink : MaxWaiting))
      return;
    Way.Reading = true;
    Way.From.async_read_some(
        asio::buffer(Way.Buffer), [this, Self = this->shared_from_this(), &Way](
                                      std::error_code Error, std::size_t Size) {
          Way.Reading = false;
          if (this->Silent)
            return;
          Way.Ended = static_cast<bool>(Error);
          if (!Error)
            Way.Waiting.push_back({this->Links[Way.Receiver].pass(Size),
                                   std::string(Way.Buffer.data(), Size)});
          this->pass(Way);
          this->read(Way);
        });
  }

  void pass(Stream &Way) {
    if (Way.Passing || this->Silent)
      return;
    if (Way.Waiting.empty()) {
      if (Way.Ended)
        this->close();
      return;
    }
    Way.Passing = true;
    Way.Timer.expires_at(Way.Waiting.front().Due);
    Way.Timer.async_wait(
        [this, Self = this->shared_from_this(), &Way](std::error_code Error) {
          if (!Error && !this->Silent)
            this->write(Way);
        });
  }

  void write(Stream &Way) {
    asio::async_write(Way.To, asio::buffer(Way.Waiting.front().Bytes),
                      [this, Self = this->shared_from_this(),
                       &Way](std::error_code Error, std::size_t) {
                        if (this->Silent)
                          return;
                        if (Error)
                          return this->close();
                        Way.Passing = false;
                        Way.Waiting.pop_front();
                        this->pass(Way);
                        this->read(Way);
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
  Stream Up;
  Stream Down;
};

/// Forwards the datagrams between one client and one address.
struct Relay {
  explicit Relay(asio::io_context &Io, const asio::ip::address &Ip)
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
    this->Entries.push_back(
        std::make_unique<Entry>(this->Io, Ip, Port, RealPort));
    listen(*this->Entries.back());
    this->accept(*this->Entries.back());
    this->receive(*this->Entries.back());
  }

  void cut(const std::string &Ip) {
    this->CutIps.insert(Ip);
    this->silence(Ip);
  }

  void heal(const std::string &Ip) { this->CutIps.erase(Ip); }

  void silence(const std::string &Ip) {
    for (const auto &Item : this->Pairs) {
      const auto Held = Item.lock();
      if (Held && (Held->ClientIp == Ip || Held->ServerIp == Ip))
        Held->Silent = true;
      if (Held)
        this->Silenced.push_back(Held);
    }
  }

  void delay(const std::string &Ip, std::chrono::milliseconds Delay) {
    this->Links[Ip].Delay = Delay;
  }

  void limit(const std::string &Ip, std::int64_t BytesPerSecond) {
    this->Links[Ip].BytesPerSecond = BytesPerSecond;
  }

  void shut(const std::string &Ip) {
    for (const auto &At : this->Entries) {
      if (At->Ip == Ip)
        At->Acceptor.close();
    }
  }

  void reopen(const std::string &Ip) {
    for (const auto &At : this->Entries) {
      if (At->Ip != Ip || At->Acceptor.is_open())
        continue;
      listen(*At);
      this->accept(*At);
    }
  }

private:
  struct Entry {
    Entry(asio::io_context &Context, const std::string &TheIp,
          std::uint16_t Port, std::uint16_t RealPort)
        : Ip(TheIp), Address(asio::ip::make_address(TheIp)),
          Listen(Address, Port), Acceptor(Context),
          Datagrams(Context, udp::endpoint(Address, Port)), Real(RealPort) {}
    std::string Ip;
    asio::ip::address Address;
    tcp::endpoint Listen;
    tcp::acceptor Acceptor;
    udp::socket Datagrams;
    std::uint16_t Real;
    udp::endpoint Sender;
    std::array<char, BufferBytes> Buffer{};
    std::map<udp::endpoint, std::unique_ptr<Relay>> Relays;
  };

  bool isCut(const std::string &Left, const std::string &Right) const {
    return this->CutIps.count(Left) != 0 || this->CutIps.count(Right) != 0;
  }

  /// Opens the port with FD_CLOEXEC: a daemon that is started later would
  /// otherwise inherit the descriptor and hold the port open.
  static void listen(Entry &At) {
    At.Acceptor.open(At.Listen.protocol());
    ::fcntl(At.Acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    At.Acceptor.set_option(tcp::acceptor::reuse_address(true));
    At.Acceptor.bind(At.Listen);
    At.Acceptor.listen();
  }

  void accept(Entry &At) {
    auto Fresh = std::make_shared<Pair>(this->Io, this->Links);
    At.Acceptor.async_accept(
        Fresh->Client, [this, &At, Fresh](std::error_code Error) {
          if (Error)
            return;
          Fresh->ClientIp =
              Fresh->Client.remote_endpoint(Error).address().to_string();
          Fresh->ServerIp = At.Ip;
          this->Pairs.push_back(Fresh);
          if (this->isCut(Fresh->ClientIp, At.Ip)) {
            Fresh->Silent = true;
            this->Silenced.push_back(Fresh);
          } else {
            this->connect(At, Fresh);
          }
          this->accept(At);
        });
  }

  void connect(Entry &At, const std::shared_ptr<Pair> &Item) {
    Item->Server.async_connect(
        tcp::endpoint(At.Address, At.Real), [Item](std::error_code Error) {
          if (Error)
            return Item->close();
          std::error_code Ignored;
          Item->Client.set_option(tcp::no_delay(true), Ignored);
          Item->Server.set_option(tcp::no_delay(true), Ignored);
          Item->start();
        });
  }

  void receive(Entry &At) {
    At.Datagrams.async_receive_from(
        asio::buffer(At.Buffer), At.Sender,
        [this, &At](std::error_code Error, std::size_t Size) {
          if (Error == asio::error::operation_aborted)
            return;
          if (!Error && !this->isCut(At.Sender.address().to_string(), At.Ip))
            this->relay(At, Size);
          this->receive(At);
        });
  }

  void relay(Entry &At, std::size_t Size) {
    auto &Slot = At.Relays[At.Sender];
    if (!Slot) {
      Slot = std::make_unique<Relay>(this->Io, At.Address);
      Slot->Client = At.Sender;
      this->receiveBack(At, *Slot);
    }
    this->sendLater(Slot->Socket, udp::endpoint(At.Address, At.Real), At.Ip,
                    std::string(At.Buffer.data(), Size));
  }

  /// Sends a datagram when it is due on the link to \p Ip.
  void sendLater(udp::socket &From, const udp::endpoint &To,
                 const std::string &Ip, std::string Bytes) {
    Link &Over = this->Links[Ip];
    if (Over.BytesPerSecond == 0) {
      std::error_code Ignored;
      From.send_to(asio::buffer(Bytes), To, 0, Ignored);
      return;
    }
    auto Timer =
        std::make_shared<asio::steady_timer>(this->Io, Over.pass(Bytes.size()));
    Timer->async_wait(
        [&From, To, Timer, Held = std::move(Bytes)](std::error_code Error) {
          std::error_code Ignored;
          if (!Error)
            From.send_to(asio::buffer(Held), To, 0, Ignored);
        });
  }

  void receiveBack(Entry &At, Relay &Item) {
    Item.Socket.async_receive_from(
        asio::buffer(Item.Buffer), Item.From,
        [this, &At, &Item](std::error_code Error, std::size_t Size) {
          if (Error == asio::error::operation_aborted)
            return;
          const std::string ClientIp = Item.Client.address().to_string();
          if (!Error && !this->isCut(ClientIp, At.Ip))
            this->sendLater(At.Datagrams, Item.Client, ClientIp,
                            std::string(Item.Buffer.data(), Size));
          this->receiveBack(At, Item);
        });
  }

  asio::io_context &Io;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::list<std::weak_ptr<Pair>> Pairs;
  std::vector<std::shared_ptr<Pair>> Silenced;
  std::set<std::string> CutIps;
  LinkMap Links;
};

Forwarder::Forwarder()
    : Implementation(std::make_unique<Impl>(this->Io)), Runner([this] {
        const auto Work = asio::make_work_guard(this->Io);
        this->Io.run();
      }) {}

Forwarder::~Forwarder() {
  this->Io.stop();
  this->Runner.join();
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
