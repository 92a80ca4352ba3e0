#include "crowd.h"
#include "hostilesystem.h"

#include <catch2/catch.hpp>

#include <memory>
#include <sys/resource.h>

using namespace persimmon;

namespace {

/// Descriptors that each process may open; a quarter of them are the slots of
/// the port for callers or operators.
constexpr rlim_t MaxDescriptors = 256;
constexpr std::size_t CrowdSize = 96;

/// Limits the descriptors of the processes that are started in its lifetime.
class DescriptorLimit {
public:
  DescriptorLimit() {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &this->Before) == 0);
    rlimit Lowered = this->Before;
    Lowered.rlim_cur = MaxDescriptors;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &Lowered) == 0);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &this->Before); }
  DescriptorLimit(const DescriptorLimit &) = delete;
  DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
  rlimit Before{};
};

HostileStream sending(const std::string &Head) {
  HostileStream Out;
  Out.Head = Head;
  return Out;
}

/// Opens more connections than the port has slots, sends \p Head on each and
/// checks that an ordinary request is answered while they stay open.
void checkHeldSlots(const std::string &Ip, std::uint16_t Port,
                    const std::string &Head) {
  std::unique_ptr<HostileSystem> System;
  {
    const DescriptorLimit Limit;
    System = std::make_unique<HostileSystem>();
  }
  Crowd Clients;
  for (std::size_t I = 0; I < CrowdSize; ++I)
    REQUIRE(Clients.add(Ip, Port, sending(Head)));
  Clients.send();
  HostileSystem::checkOrdinary(Ip, Port);
  System->checkBounds(MaxDescriptors - FixedDescriptors);
}

} // namespace

// Guards against slots of a port that clients hold for ever.
TEST_CASE("hostile callers hold all slots with idle connections") {
  checkHeldSlots(HostileSystem::ProxyIp, HostileSystem::CallerPort, "");
}

TEST_CASE("hostile callers hold all slots with half-open requests") {
  checkHeldSlots(HostileSystem::ProxyIp, HostileSystem::CallerPort,
                 "POST /upload HTTP/1.1\r\nHost: orders\r\n");
}

TEST_CASE("hostile operators hold all slots with half-open requests") {
  checkHeldSlots(HostileSystem::ControlIp, HostileSystem::OperatorPort,
                 "POST /v1/changes HTTP/1.1\r\nHost: a\r\n");
}
