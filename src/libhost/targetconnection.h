#pragma once

#include "responsereader.h"
#include "targetclient.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <string>

namespace persimmon {

class TargetConnection;

/// What a connection tells the client that owns it.
class TargetConnectionOwner {
public:
  virtual ~TargetConnectionOwner() = default;

  /// The connection has no request any more and can take another one.
  virtual void onIdle(TargetConnection &Free) = 0;

  /// What \p Reading holds of an answer that is being read changed from
  /// \p Before bytes. The owner may close connections.
  virtual void onHeldChanged(TargetConnection &Reading, std::size_t Before) = 0;

  /// The connection was closed and must not be used again.
  virtual void onClosed(TargetConnection &Closed) = 0;
};

/// One connection to the target. Serves one request at a time.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
  TargetConnection(asio::io_context &Io, TargetConnectionOwner &Owner);

  /// Connects if that was not done yet, then sends \p Request. \p WhenDone is
  /// called once.
  void run(const TargetRequest &Request, TargetClient::Done WhenDone);

  /// Closes the connection; a request on it ends as Broken.
  void close();

  /// Closes without telling the owner, which is about to end.
  void abandon();

  /// Returns whether a request may be sent at \p Now: a connection that is
  /// about to reach the target's idle timeout might be closed under way.
  bool usable(Time Now) const;

  bool busy() const { return this->WhenDone != nullptr; }
  /// Bytes that an answer that is being read takes.
  std::size_t heldBytes() const { return this->HeldBytes; }
  const std::string &address() const { return this->Address; }

private:
  void connect();
  void send();
  void read();
  void received(std::error_code Error, std::size_t Size);
  /// Returns whether the connection can go on reading.
  bool parse();
  void answerComplete();
  void setHeld(std::size_t Bytes);
  void closeAs(RunEnd End);
  void startTimer(Time Deadline);

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  TargetConnectionOwner *Owner;
  std::string Address;
  std::string Outgoing;
  TargetClient::Done WhenDone;
  std::function<bool(const TargetAnswer &)> Belongs;
  Time Deadline = NoDeadline;
  Time CloseAt = NoDeadline;
  Time IdleUntil = NoDeadline;
  std::array<char, 16384> Buffer{};
  AnswerReader Reader;
  std::size_t HeldBytes = 0;
  bool Connected = false;
  bool Sent = false;
  bool Written = false;
  bool Closed = false;
  bool Reusable = true;
};

} // namespace persimmon
