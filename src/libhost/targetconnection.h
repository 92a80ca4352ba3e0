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

/// Receives the events of a connection.
class TargetConnectionOwner {
public:
  virtual ~TargetConnectionOwner() = default;

  /// The connection has finished its request and can be used for another one.
  virtual void onIdle(TargetConnection &Connection) = 0;

  /// The memory that \p Connection takes for a partially read response is no
  /// longer \p Before bytes. The owner may close connections.
  virtual void onHeldBytesChanged(TargetConnection &Connection,
                                  std::size_t Before) = 0;

  /// The connection was closed and must not be used any more.
  virtual void onClosed(TargetConnection &Connection) = 0;
};

/// A connection to the target, for one request at a time.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
  TargetConnection(asio::io_context &Io, TargetConnectionOwner &Owner);

  /// Connects if necessary and sends \p Request. \p WhenDone is called once.
  void run(TargetRequest Request, TargetClient::ResponseHandler WhenDone);

  /// Closes the connection. A pending request ends as Broken if it may have
  /// been sent, otherwise as NotSent.
  void close();

  /// Closes the connection without notifying the owner, which is being
  /// destroyed.
  void abandon();

  /// Returns whether a request may be sent at \p Now. The target might close a
  /// connection that is close to its idle timeout before the request arrives.
  bool usable(Time Now) const;

  bool busy() const { return this->WhenDone != nullptr; }
  /// Returns the memory of the response that is being read, in bytes.
  std::size_t heldBytes() const { return this->HeldBytes; }
  const std::string &address() const { return this->Address; }

private:
  void connect();
  void send();
  void read();
  void onRead(std::error_code Error, std::size_t Size);
  /// Returns whether the connection was reset or failed in another way, and not
  /// just ended by the target.
  bool brokenOff();
  /// Returns whether reading can continue.
  bool parseResponses();
  void onResponseComplete();
  void setHeldBytes(std::size_t Bytes);
  void closeAs(RunEnd End);
  void startTimer(Time Deadline);

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  TargetConnectionOwner *Owner;
  std::string Address;
  std::string RequestHead;
  std::string RequestBody;
  TargetClient::ResponseHandler WhenDone;
  std::function<bool(const TargetResponse &)> ResponseMatches;
  Time Deadline = NoDeadline;
  Time CloseAt = NoDeadline;
  Time ReusableUntil = NoDeadline;
  std::array<char, 16384> Buffer{};
  ResponseReader Reader;
  std::size_t HeldBytes = 0;
  bool Connected = false;
  bool SendStarted = false;
  bool RequestWritten = false;
  bool WriteFailed = false;
  bool Closed = false;
  bool Reusable = true;
  /// Requests that this connection was used for.
  int Requests = 0;
};

} // namespace persimmon
