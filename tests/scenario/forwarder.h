#pragma once

#include <asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace persimmon {

/// A TCP and UDP proxy between daemons that forwards traffic and simulates
/// network faults.
class Forwarder {
public:
  Forwarder();
  ~Forwarder();
  Forwarder(const Forwarder &) = delete;
  Forwarder &operator=(const Forwarder &) = delete;

  /// Forwards \p Port of \p Ip to \p RealPort of the same address.
  void add(const std::string &Ip, std::uint16_t Port, std::uint16_t RealPort);

  /// Drops all traffic from and to \p Ip. Connections stay open.
  void cut(const std::string &Ip);

  /// Forwards datagrams and new connections again. Old connections stay
  /// silent.
  void heal(const std::string &Ip);

  /// Stops forwarding on the open connections from and to \p Ip. New
  /// connections work.
  void silence(const std::string &Ip);

  /// Delays everything sent to \p Ip on connections by \p Delay, in order. Zero
  /// removes the delay. Datagrams are not delayed.
  void delay(const std::string &Ip, std::chrono::milliseconds Delay);

  /// Limits everything sent to \p Ip, on connections and as datagrams, to
  /// \p BytesPerSecond in one queue, as on a slow link. Zero removes the limit.
  void limit(const std::string &Ip, std::int64_t BytesPerSecond);

  /// Refuses new connections to \p Ip. Open connections go on.
  void shut(const std::string &Ip);

  /// Accepts new connections to \p Ip again.
  void reopen(const std::string &Ip);

private:
  class Impl;

  asio::io_context Io;
  std::unique_ptr<Impl> Implementation;
  std::thread IoThread;
};

} // namespace persimmon
