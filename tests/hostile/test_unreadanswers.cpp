#include "crowd.h"
#include "hostilesystem.h"

#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

constexpr std::size_t CrowdSize = 32;
/// Of each answer the kernel takes up to 4 MB by default, so that half of it is
/// left to the daemon.
constexpr std::size_t AnswerBytes = 8'000'000;
constexpr int ReceiveBufferBytes = 4096;

/// The target answers with the body of the request.
HostileStream upload() {
  HostileStream Out;
  Out.Head = "POST /echo HTTP/1.1\r\nHost: orders\r\nContent-Length: " +
             std::to_string(AnswerBytes) + "\r\n\r\n";
  Out.Unit = std::string(1000, 'x');
  Out.Count = AnswerBytes / Out.Unit.size();
  Out.ReadsAnswers = false;
  Out.ReceiveBufferBytes = ReceiveBufferBytes;
  return Out;
}

} // namespace

// Guards against a daemon that keeps all answers that its callers do not read.
// The requests come one after another, so that none is refused for its body.
TEST_CASE("hostile callers do not read large answers") {
  HostileSettings Settings;
  Settings.BodyBytes = AnswerBytes;
  HostileSystem System(Settings);
  {
    Crowd Clients;
    std::size_t Answered = 0;
    for (std::size_t I = 0; I < CrowdSize; ++I) {
      if (!Clients.add(HostileSystem::ProxyIp, HostileSystem::CallerPort,
                       upload()))
        continue;
      Clients.send();
      Answered += Clients.awaitLastAnswer() == 200 ? 1 : 0;
    }
    UNSCOPED_INFO("answered " << Answered << " of " << Clients.size());
    System.checkBounds(CrowdSize);
    HostileSystem::checkOrdinary(HostileSystem::ProxyIp,
                                 HostileSystem::CallerPort);
  }
  HostileSystem::checkOrdinary(HostileSystem::ProxyIp,
                               HostileSystem::CallerPort);
  System.checkBounds(CrowdSize);
}
