#pragma once

#include "peeroutbox.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

class PeerConnection;

/// What a connection tells its owner.
class PeerConnectionOwner {
public:
  virtual ~PeerConnectionOwner() = default;
  virtual void onFrame(PeerConnection &From, std::string_view Payload) = 0;
  /// The connection takes long to open; \p NotSent waited and were given up.
  virtual void onSlow(PeerConnection &Opening,
                      std::vector<wire::AttemptId> NotSent) = 0;
  virtual void onEnd(PeerConnection &Ended, StreamEnd How) = 0;
};

/// One TCP connection that carries length-prefixed messages.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  /// \p Owner must outlive the connection, or abandon it.
  PeerConnection(asio::ip::tcp::socket Socket, std::string Name,
                 PeerConnectionOwner &Owner);

  const std::string &name() const { return this->Name; }

  void connect(const asio::ip::tcp::endpoint &Peer);
  /// Begins to read and write on a connection that is open.
  void start();

  /// Queues \p Body, encoded as \p Payload, and writes it when it can.
  void send(std::string_view Payload, const Message &Body);
  /// Queues a message that the next one takes along.
  void defer(std::string_view Payload, const Message &Body);
  /// Writes what was deferred.
  void flush();

  /// Notes that an attempt that this connection carries is decided.
  void endAttempt(const wire::AttemptId &Id) { this->Outbox.endAttempt(Id); }

  /// Closes without a word to the owner.
  void abandon();

  /// Returns what the end of this connection leaves undecided.
  StreamLost lost(StreamEnd How) const;

  bool idleSince(Time Limit) const;

  /// Returns whether the connection has not opened yet.
  bool opening() const { return !this->Ready; }

  /// Returns when the peer last showed that it lives: by bytes that arrived, or
  /// by taking bytes that had to wait.
  Time signOfLifeAt() const { return this->SignOfLifeAt; }

private:
  static constexpr std::size_t ChunkBytes = 8u << 10;

  void awaitOpen();
  void close();
  void end();
  void read();
  void takeFrames();
  void readRest(std::size_t WholeSize);
  void noteArrival();
  void noteWritten();
  void writeNext();

  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  Time OpenUntil;
  std::string Name;
  PeerConnectionOwner *Owner;
  Time LastUse;
  Time SignOfLifeAt;
  Time WriteStartedAt;
  bool Ready = false;
  bool Writing = false;
  /// Holds several messages of usual calls; there are some hundred connections.
  std::array<char, ChunkBytes> Chunk{};
  /// Bytes of a message that is not whole yet.
  std::string Incoming;
  std::string Current;
  PeerOutbox Outbox;
};

} // namespace persimmon
