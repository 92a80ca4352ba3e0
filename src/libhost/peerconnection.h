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

/// Receives the events of a connection.
class PeerConnectionOwner {
public:
  virtual ~PeerConnectionOwner() = default;
  virtual void onFrame(PeerConnection &From, std::string_view Payload) = 0;
  /// The connection is slow to open. The queued attempts \p NotSent were
  /// removed from its queue.
  virtual void onConnectSlow(PeerConnection &Connection,
                             std::vector<wire::AttemptId> NotSent) = 0;
  virtual void onClosed(PeerConnection &Connection, StreamEnd Reason) = 0;
};

/// A TCP connection that carries length-prefixed messages.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  /// \p Owner must outlive the connection or call abandon() first.
  PeerConnection(asio::ip::tcp::socket Socket, std::string Name,
                 PeerConnectionOwner &Owner);

  const std::string &name() const { return this->Name; }

  void connect(const asio::ip::tcp::endpoint &Peer);
  /// Starts reading and writing; the socket must be connected.
  void start();

  /// Queues \p Body, encoded as \p Payload, and writes it as soon as possible.
  void send(std::string_view Payload, const Message &Body);
  /// Queues a message without starting a write. It is sent together with the
  /// next message or on flush().
  void defer(std::string_view Payload, const Message &Body);
  /// Writes the deferred messages.
  void flush();

  /// Marks an attempt of this connection as decided.
  void endAttempt(const wire::AttemptId &Id) { this->Outbox.endAttempt(Id); }

  /// Closes the connection without notifying the owner.
  void abandon();

  /// Returns the attempts that are undecided when this connection ends.
  StreamLost undecidedAttempts(StreamEnd Reason) const;

  bool idleSince(Time Limit) const;

  /// Returns whether the connection is still being established.
  bool connecting() const { return !this->Connected; }

  /// Returns when the peer was last known to be alive: when bytes arrived from
  /// it, or when it accepted bytes after a write had been blocked.
  Time lastPeerActivity() const { return this->LastPeerActivity; }

private:
  static constexpr std::size_t BufferBytes = 8u << 10;

  void startConnectTimer();
  void close();
  void end();
  void read();
  void processFrames();
  void readRestOfFrame(std::size_t TotalSize);
  void onBytesReceived();
  void onBytesWritten();
  void writeNext();

  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  Time ConnectDeadline;
  std::string Name;
  PeerConnectionOwner *Owner;
  Time LastUse;
  Time LastPeerActivity;
  Time WriteStartedAt;
  bool Connected = false;
  bool Writing = false;
  /// Large enough for several typical call messages, and small because there
  /// are several hundred connections.
  std::array<char, BufferBytes> ReadBuffer{};
  /// Received bytes that do not form a complete message yet.
  std::string PartialFrame;
  std::string WriteBuffer;
  PeerOutbox Outbox;
};

} // namespace persimmon
