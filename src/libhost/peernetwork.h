#pragma once

#include "daemonsettings.h"

#include <asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace persimmon {

/// Receives messages and connection events from other daemons.
class PeerListener {
public:
  virtual ~PeerListener() = default;

  /// \p From identifies where a reply has to be sent: an address, or the name
  /// of an accepted connection.
  virtual void onMessage(std::string From, Message Body) = 0;

  /// An outgoing connection ended or could not be established.
  virtual void onStreamLost(StreamLost Lost) = 0;

  /// An outgoing connection is slow to open.
  virtual void onStreamSlow(StreamSlow Slow) = 0;

  /// A connection passed to closeIfSilent() was not closed, since the peer has
  /// been active on it.
  virtual void onStreamAlive(StreamAlive Alive) = 0;

  /// The accepted connection \p Path ended.
  virtual void onPathClosed(std::string Path) = 0;
};

/// Byte and message counters of one message type.
struct TrafficCounters {
  std::uint64_t SentBytes = 0;
  std::uint64_t SentMessages = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t ReceivedMessages = 0;
};

/// Exchanges messages with other daemons over UDP and TCP. A message is written
/// to one connection only. If that connection ends, for whatever reason, the
/// message is lost and the listener is notified.
class PeerNetwork {
public:
  /// Listens on \p Listen, TCP and UDP. \p Listener must outlive the network.
  /// Errors: PortInUse, AddressInvalid.
  static leaf::result<std::unique_ptr<PeerNetwork>>
  open(asio::io_context &Io, const Endpoint &Listen, PeerListener &Listener);

  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// Sends a message to an address or over the accepted connection named \p To.
  /// A connection to an address is opened if there is none. Datagrams need no
  /// connection unless they are too large. Never calls the listener.
  void send(const std::string &To, const Message &Body, Channel Via);

  /// Closes the connection to \p Address unless it is still being established
  /// or the peer has been active on it since \p SilentSince. Returns whether it
  /// was closed. The listener is notified of the result after this call, but
  /// not if the connection is still being established.
  bool closeIfSilent(const std::string &Address, Time SilentSince);

  /// Removes the unsent parts of the request of \p Id from the queue for
  /// \p Address. The attempt is no longer reported when the connection ends.
  void endAttempt(const std::string &Address, const wire::AttemptId &Id);

  const std::array<TrafficCounters, std::variant_size_v<Message>> &
  traffic() const;

  /// Returns the bytes that were sent to other instances since the previous
  /// invocation, other than parts of answers, with packet headers.
  std::int64_t takeLinkBytes();

private:
  class Impl;

  explicit PeerNetwork(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace persimmon
