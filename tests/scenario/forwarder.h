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

/// Stands between daemons: passes what comes to an address on to another one,
/// TCP and UDP, until it is told to cut or silence it.
class Forwarder {
public:
  Forwarder();
  ~Forwarder();
  Forwarder(const Forwarder &) = delete;
  Forwarder &operator=(const Forwarder &) = delete;

  /// Passes \p Port of \p Ip on to \p RealPort of the same address.
  void add(const std::string &Ip, std::uint16_t Port, std::uint16_t RealPort);

  /// Nothing from or to \p Ip passes any more; connections stay open.
  void cut(const std::string &Ip);

  /// New connections and datagrams pass again. Old connections stay silent.
  void heal(const std::string &Ip);

  /// Open connections from and to \p Ip go silent; new ones work.
  void silence(const std::string &Ip);

  /// What is sent to \p Ip on connections from now on arrives \p Delay later,
  /// in its order. Zero ends it; datagrams are not delayed.
  void delay(const std::string &Ip, std::chrono::milliseconds Delay);

  /// What is sent to \p Ip on connections and as datagrams passes one queue of
  /// \p BytesPerSecond from now on, as over a thin link. Zero ends it.
  void limit(const std::string &Ip, std::int64_t BytesPerSecond);

  /// New connections to \p Ip are refused from now on; open ones go on.
  void shut(const std::string &Ip);

  /// New connections to \p Ip work again.
  void reopen(const std::string &Ip);

private:
  class Impl;

  asio::io_context Io;
  std::unique_ptr<Impl> Implementation;
  std::thread Runner;
};

} // namespace persimmon
