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

  void forgetIdle() {
    while (!this->Idle.empty())
      this->Idle.back()->close();
  }

  std::int64_t start(const TargetRequest &Request, Done WhenDone) {
    const std::int64_t Number = ++this->LastNumber;
    const std::shared_ptr<TargetConnection> Chosen = this->choose(Request);
    if (!Chosen) {
      asio::post(this->Io, [Then = std::move(WhenDone)] {
        TargetAnswer Answer;
        Answer.End = RunEnd::Shed;
        Then(std::move(Answer));
      });
      return Number;
    }
    this->Requests.emplace(Number, Chosen);
    Chosen->run(Request, [this, Number,
                          Then = std::move(WhenDone)](TargetAnswer Answer) {
      this->Requests.erase(Number);
      Then(std::move(Answer));
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
  std::shared_ptr<TargetConnection> choose(const TargetRequest &Request) {
    const Time Now = std::chrono::steady_clock::now();
    while (!this->Idle.empty()) {
      std::shared_ptr<TargetConnection> Last = this->Idle.back();
      if (Last->usable(Now) && Last->address() == Request.Address) {
        this->Idle.pop_back();
        return Last;
      }
      Last->close();
    }
    if (this->Connections.size() >= this->MaxConnections)
      return nullptr;
    auto Made = std::make_shared<TargetConnection>(this->Io, *this);
    this->Connections.push_back(Made);
    return Made;
  }

  void onIdle(TargetConnection &Free) override {
    this->Idle.push_back(Free.shared_from_this());
  }

  void onHeldChanged(TargetConnection &Reading, std::size_t Before) override {
    this->HeldBytes += Reading.heldBytes();
    this->HeldBytes -= Before;
    if (Reading.heldBytes() <= Before)
      return;
    while (this->HeldBytes > this->MaxHeldBytes)
      this->endLargest();
  }

  /// Aborts the largest response, so that the others can continue. Its request
  /// may have been executed.
  void endLargest() {
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

  void onClosed(TargetConnection &Closed) override {
    const auto Same = [&](const auto &Item) { return Item.get() == &Closed; };
    std::erase_if(this->Idle, Same);
    std::erase_if(this->Connections, Same);
  }

  asio::io_context &Io;
  std::size_t MaxConnections = 100;
  std::size_t MaxHeldBytes = DefaultMaxHeldBytes;
  std::size_t HeldBytes = 0;
  std::vector<std::shared_ptr<TargetConnection>> Connections;
  std::vector<std::shared_ptr<TargetConnection>> Idle;
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

void TargetClient::forgetIdle() { this->Implementation->forgetIdle(); }

std::int64_t TargetClient::start(const TargetRequest &Request, Done WhenDone) {
  return this->Implementation->start(Request, std::move(WhenDone));
}

void TargetClient::cancel(std::int64_t Number) {
  this->Implementation->cancel(Number);
}

} // namespace persimmon
