#include "targetclient.h"

#include "logging.h"
#include "targetconnection.h"

#include <asio/post.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace persimmon {

namespace {

/// A quarter of the 256 MB that a daemon is designed for.
constexpr std::size_t DefaultMaxHeldBytes = 64'000'000;

} // namespace

class TargetClient::Impl : public TargetConnectionOwner {
public:
  explicit Impl(asio::io_context &Context) : Io(Context) {}

  ~Impl() override {
    for (const auto &Item : this->Connections)
      Item->abandon();
  }

  void setMaxConnections(int Count) {
    this->MaxConnections = static_cast<std::size_t>(std::max(1, Count));
  }

  void setMaxHeldBytes(std::size_t Bytes) { this->MaxHeldBytes = Bytes; }

  std::size_t heldBytes() const { return this->HeldBytes; }

  void closeIdleConnections() {
    while (!this->IdleConnections.empty())
      this->IdleConnections.back()->close();
  }

  std::int64_t start(TargetRequest Request, ResponseHandler WhenDone) {
    const std::int64_t Number = ++this->LastNumber;
    const std::shared_ptr<TargetConnection> Connection =
        this->acquireConnection(Request);
    if (!Connection) {
      asio::post(this->Io, [Handler = std::move(WhenDone)] {
        TargetResponse Response;
        Response.End = RunEnd::Shed;
        Handler(std::move(Response));
      });
      return Number;
    }
    this->Requests.emplace(Number, Connection);
    Connection->run(
        std::move(Request),
        [this, Number, Handler = std::move(WhenDone)](TargetResponse Response) {
          this->Requests.erase(Number);
          Handler(std::move(Response));
        });
    return Number;
  }

  void cancel(std::int64_t Number) {
    const auto Found = this->Requests.find(Number);
    if (Found != this->Requests.end())
      std::shared_ptr<TargetConnection>(Found->second)->close();
  }

private:
  /// Returns the most recently used idle connection, since the target is least
  /// likely to close that one, or a new one. Returns null if the connection
  /// limit is reached.
  std::shared_ptr<TargetConnection>
  acquireConnection(const TargetRequest &Request) {
    const Time Now = std::chrono::steady_clock::now();
    while (!this->IdleConnections.empty()) {
      std::shared_ptr<TargetConnection> MostRecent =
          this->IdleConnections.back();
      if (MostRecent->usable(Now) && MostRecent->address() == Request.Address) {
        this->IdleConnections.pop_back();
        return MostRecent;
      }
      MostRecent->close();
    }
    if (this->Connections.size() >= this->MaxConnections)
      return nullptr;
    auto Connection = std::make_shared<TargetConnection>(this->Io, *this);
    this->Connections.push_back(Connection);
    return Connection;
  }

  void onIdle(TargetConnection &Connection) override {
    this->IdleConnections.push_back(Connection.shared_from_this());
  }

  void onHeldBytesChanged(TargetConnection &Connection,
                          std::size_t Before) override {
    this->HeldBytes += Connection.heldBytes();
    this->HeldBytes -= Before;
    if (Connection.heldBytes() <= Before)
      return;
    while (this->HeldBytes > this->MaxHeldBytes)
      this->abortLargestResponse();
  }

  /// Aborts the largest response, so that the others can continue. Its request
  /// may have been executed.
  void abortLargestResponse() {
    const std::shared_ptr<TargetConnection> Largest =
        *std::max_element(this->Connections.begin(), this->Connections.end(),
                          [](const auto &A, const auto &B) {
                            return A->heldBytes() < B->heldBytes();
                          });
    logWarning("event=answer-ended reason=held-bytes held=" +
               std::to_string(this->HeldBytes) +
               " limit=" + std::to_string(this->MaxHeldBytes) +
               " largest=" + std::to_string(Largest->heldBytes()));
    Largest->close();
  }

  void onClosed(TargetConnection &Connection) override {
    const auto IsClosed = [&](const auto &Item) {
      return Item.get() == &Connection;
    };
    std::erase_if(this->IdleConnections, IsClosed);
    std::erase_if(this->Connections, IsClosed);
  }

  asio::io_context &Io;
  std::size_t MaxConnections = 100;
  std::size_t MaxHeldBytes = DefaultMaxHeldBytes;
  std::size_t HeldBytes = 0;
  std::vector<std::shared_ptr<TargetConnection>> Connections;
  std::vector<std::shared_ptr<TargetConnection>> IdleConnections;
  std::map<std::int64_t, std::shared_ptr<TargetConnection>> Requests;
  std::int64_t LastNumber = 0;
};

TargetClient::TargetClient(asio::io_context &Io)
    : Implementation(std::make_unique<Impl>(Io)) {}

TargetClient::~TargetClient() = default;

void TargetClient::setMaxConnections(int Count) {
  this->Implementation->setMaxConnections(Count);
}

void TargetClient::setMaxHeldBytes(std::size_t Bytes) {
  this->Implementation->setMaxHeldBytes(Bytes);
}

std::size_t TargetClient::heldBytes() const {
  return this->Implementation->heldBytes();
}

void TargetClient::closeIdleConnections() {
  this->Implementation->closeIdleConnections();
}

std::int64_t TargetClient::start(TargetRequest Request,
                                 ResponseHandler WhenDone) {
  return this->Implementation->start(std::move(Request), std::move(WhenDone));
}

void TargetClient::cancel(std::int64_t Number) {
  this->Implementation->cancel(Number);
}

} // namespace persimmon
