#pragma once

#include "support/process.h"
#include "support/temporaryfolder.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace persimmon {

/// memoryMb of the daemons unless a test sets another.
constexpr std::size_t MemoryMb = 64;
/// Memory beside memoryMb that the bounds of the tests allow: the programs,
/// their libraries and the allocator.
constexpr std::size_t FixedBaseMb = 16;
/// Descriptors of a daemon beside those of the crowd.
constexpr std::size_t FixedDescriptors = 64;
/// maxBodyBytes of the configuration.
constexpr std::size_t LegalBodyBytes = 2'000'000;

/// Settings of the processes that differ between tests.
struct HostileSettings {
  std::size_t ControlMemoryMb = MemoryMb;
  std::size_t ProxyMemoryMb = MemoryMb;
  /// Proxies without a target that send their calls to the proxy of the target.
  std::size_t EntryProxies = 0;
  std::size_t EntryMemoryMb = MemoryMb;
  std::size_t BodyBytes = LegalBodyBytes;
  int Slots = 4;
  int Queue = 16;
  /// Runs the program that speaks the protocols of the operators' platform,
  /// without a target.
  bool ForPlatform = false;
};

/// A control instance, and a proxy with its target, as processes of their own
/// on loopback addresses.
class HostileSystem {
public:
  static constexpr const char *ControlIp = "127.66.0.1";
  static constexpr const char *ProxyIp = "127.66.0.2";
  static constexpr std::uint16_t OperatorPort = 7101;
  static constexpr std::uint16_t CallerPort = 8080;
  static constexpr std::uint16_t LocalPort = 7102;
  static constexpr std::uint16_t ReadinessPort = 7103;
  static constexpr std::uint16_t TargetPort = 9000;

  /// Starts the processes and applies a configuration.
  explicit HostileSystem(const HostileSettings &Settings = {});

  /// Returns the address of an entry proxy.
  static std::string entryIp(std::size_t Index);

  /// Sets how long the target works on each further request.
  static void setTargetDelay(int DelayMs);

  /// Checks that both daemons still run as the processes that were started, and
  /// that their memory and descriptors stayed within the bounds.
  void checkBounds(std::size_t CrowdSize);

  /// Checks that an ordinary request to the port is answered 200. A refused one
  /// is repeated as its answer says.
  static void checkOrdinary(const std::string &Ip, std::uint16_t Port);

private:
  void startDaemon(Process &Daemon, const std::string &Name,
                   const std::string &Document);
  void runClient(const std::string &Token,
                 const std::vector<std::string> &Arguments) const;
  void startEntry(std::size_t Index);
  void startTarget();
  std::string team() const {
    return this->Settings.ForPlatform ? "mesh" : "shop";
  }
  static void checkProcess(Process &Daemon, pid_t Id, std::size_t LimitMb,
                           std::size_t CrowdSize);

  struct Entry {
    Process Daemon;
    pid_t Id = -1;
  };

  HostileSettings Settings;
  TemporaryFolder Folder;
  /// End before their folder is removed.
  Process Control;
  Process Proxy;
  Process Target;
  std::deque<Entry> Entries;
  pid_t ControlId = -1;
  pid_t ProxyId = -1;
};

} // namespace persimmon
