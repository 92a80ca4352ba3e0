#pragma once

#include "daemonsettings.h"

#include <asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace persimmon {

/// Receives what arrives from other daemons.
class PeerListener {
public:
  virtual ~PeerListener() = default;

  /// \p From is the path on which an answer reaches the sender: an address, or
  /// the name of an accepted connection.
  virtual void onMessage(std::string From, Message Body) = 0;

  /// A connection that this daemon opened ended, or could not be opened.
  virtual void onStreamLost(StreamLost Lost) = 0;

  /// A connection that this daemon opens takes long.
  virtual void onStreamSlow(StreamSlow Slow) = 0;

  /// A connection that was to be renewed is not silent.
  virtual void onStreamAlive(StreamAlive Sign) = 0;

  /// The accepted connection \p Path ended.
  virtual void onPathClosed(std::string Path) = 0;
};

/// Bytes and messages by kind of message.
struct TrafficCount {
  std::uint64_t SentBytes = 0;
  std::uint64_t SentMessages = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t ReceivedMessages = 0;
};

/// Datagrams and streams to other daemons. A message is written to one
/// connection only: when that ends, for whatever reason, it is lost and the
/// listener is told.
class PeerNetwork {
public:
  /// Listens on \p Listen, TCP and UDP. \p Listener must outlive the network.
  /// Errors: PortInUse, AddressInvalid.
  static leaf::result<std::unique_ptr<PeerNetwork>>
  open(asio::io_context &Io, const Endpoint &Listen, PeerListener &Listener);

  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// Sends to an address, opening a connection if there is none, or on the
  /// path of an accepted connection. Never calls the listener.
  void send(const std::string &To, const Message &Body, Channel Via);

  /// Abandons the connection to \p Address unless it is opening still, or the
  /// peer has given a sign of life on it since \p SilentSince. Returns whether
  /// it did. The listener is
  /// told of either later, not within this call.
  bool renew(const std::string &Address, Time SilentSince);

  /// Drops what still waits of the request of \p Id for \p Address; the end of
  /// the connection does not name the attempt any more.
  void endAttempt(const std::string &Address, const wire::AttemptId &Id);

  const std::array<TrafficCount, std::variant_size_v<Message>> &traffic() const;

private:
  class Impl;

  explicit PeerNetwork(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace persimmon
