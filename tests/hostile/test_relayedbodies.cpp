#include "crowd.h"
#include "hostilesystem.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace persimmon;

namespace {

constexpr std::size_t EntryProxies = 8;
/// Their requests may take an eighth of it, which these bodies do.
constexpr std::size_t EntryMemoryMb = 110;
constexpr std::size_t BodiesOfEachEntry = 7;
constexpr int TargetSlots = 8;
/// Room for all calls of the crowd, so that only their bytes can be refused.
constexpr int QueueLength = 64;
constexpr int SlowTargetMs = 20'000;
constexpr int UsualTargetMs = 2;

HostileStream upload() {
  HostileStream Out;
  Out.Head = "POST /upload HTTP/1.1\r\nHost: orders\r\nContent-Length: " +
             std::to_string(LegalBodyBytes) + "\r\n\r\n";
  Out.Unit = std::string(1000, 'x');
  Out.Count = LegalBodyBytes / Out.Unit.size();
  return Out;
}

} // namespace

// Guards against a daemon that holds the bodies of all calls that other daemons
// send to its target, however many bytes they are.
TEST_CASE("hostile callers of several daemons send bodies to one slow target") {
  HostileSettings Settings;
  Settings.EntryProxies = EntryProxies;
  Settings.EntryMemoryMb = EntryMemoryMb;
  Settings.Slots = TargetSlots;
  Settings.Queue = QueueLength;
  HostileSystem System(Settings);
  HostileSystem::setTargetDelay(SlowTargetMs);
  {
    Crowd Clients;
    for (std::size_t I = 0; I < EntryProxies * BodiesOfEachEntry; ++I)
      REQUIRE(Clients.add(HostileSystem::entryIp(I % EntryProxies),
                          HostileSystem::CallerPort, upload()));
    Clients.send();
    // The bodies are passed on to the daemon of the target.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    UNSCOPED_INFO("sent " << Clients.sentBytes() << " bytes, closed "
                          << Clients.closed() << " of " << Clients.size());
    System.checkBounds(Clients.size());
  }
  HostileSystem::setTargetDelay(UsualTargetMs);
  HostileSystem::checkOrdinary(HostileSystem::entryIp(0),
                               HostileSystem::CallerPort);
  HostileSystem::checkOrdinary(HostileSystem::ProxyIp,
                               HostileSystem::CallerPort);
  System.checkBounds(EntryProxies * BodiesOfEachEntry);
}
