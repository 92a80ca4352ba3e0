#include "hostilesystem.h"

#include "crowd.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

namespace persimmon {

namespace {

constexpr const char *Peers =
    R"("controlInstances":[{"name":"c1","address":"127.66.0.1:7100"}])";
constexpr const char *AdminToken = "hostile-admin";
constexpr const char *TeamToken = "hostile-team";

void awaitCondition(const std::string &What, const std::function<bool()> &Met) {
  constexpr int MaxTries = 400;
  for (int I = 0; I < MaxTries; ++I) {
    if (Met())
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  FAIL("not in time: " << What);
}

/// Returns a figure in KiB of /proc/PID/status.
std::size_t statusKib(pid_t Id, const std::string &Name) {
  std::ifstream In("/proc/" + std::to_string(Id) + "/status");
  std::string Line;
  while (std::getline(In, Line)) {
    if (Line.starts_with(Name + ":"))
      return std::stoul(Line.substr(Name.size() + 1));
  }
  return 0;
}

std::size_t openDescriptors(pid_t Id) {
  std::size_t Count = 0;
  std::error_code Error;
  const std::string Folder = "/proc/" + std::to_string(Id) + "/fd";
  for (const auto &Entry : std::filesystem::directory_iterator(Folder, Error)) {
    static_cast<void>(Entry);
    ++Count;
  }
  return Count;
}

} // namespace

HostileSystem::HostileSystem(const HostileSettings &TheSettings)
    : Settings(TheSettings) {
  const std::string Memory =
      R"(,"memoryMb":)" + std::to_string(this->Settings.ControlMemoryMb);
  this->startDaemon(
      this->Control, "c1",
      std::string(R"({"role":"control","name":"c1","availabilityZone":"zone-a",
        "listen":"127.66.0.1:7100","operators":"127.66.0.1:7101",
        "dataFolder":")") +
          this->Folder.file("data") + "\"," + Peers + Memory + "}");
  this->ControlId = this->Control.id();
  awaitCondition("the control instance answers", [] {
    return ask(ControlIp, OperatorPort,
               "GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
               .Status == 200;
  });
  this->runClient(AdminToken, {"init"});
  this->runClient(AdminToken, {"team", this->team(), TeamToken});
  this->startDaemon(
      this->Proxy, "p1",
      std::string(R"({"role":"proxy","name":"p1","availabilityZone":"zone-a",
        "listen":"127.66.0.2:7100","callers":"127.66.0.2:8080",
        "local":"127.66.0.2:7102","readiness":"127.66.0.2:7103",)") +
          Peers + R"(,"memoryMb":)" +
          std::to_string(this->Settings.ProxyMemoryMb) + "}");
  this->ProxyId = this->Proxy.id();
  if (!this->Settings.ForPlatform)
    this->startTarget();
  const std::string File = this->Folder.file("settings.json");
  const std::string Team = this->team();
  std::ofstream(File) << "{\"" << Team << R"(/services/orders":{"queue":)"
                      << this->Settings.Queue << "},\"" << Team
                      << R"(/routes/orders":{"job":"orders","service":")"
                      << Team << "/orders\"},\"" << Team
                      << R"(/limits/callers":{"maxBodyBytes":)"
                      << this->Settings.BodyBytes << "}}";
  this->runClient(TeamToken, {"apply", File});
  checkOrdinary(ProxyIp, this->Settings.ForPlatform ? LocalPort : CallerPort);
  for (std::size_t I = 0; I < this->Settings.EntryProxies; ++I)
    this->startEntry(I);
  for (std::size_t I = 0; I < this->Settings.EntryProxies; ++I)
    checkOrdinary(entryIp(I), CallerPort);
}

void HostileSystem::startTarget() {
  REQUIRE(this->Target.start(
      {TARGET_PROGRAM, "--name", "t1", "--listen", "127.66.0.2:9000",
       "--daemon", "127.66.0.2:7102", "--service", this->team() + "/orders",
       "--slots", std::to_string(this->Settings.Slots), "--delay-ms", "2"},
      this->Folder.file("target.log")));
}

std::string HostileSystem::entryIp(std::size_t Index) {
  constexpr std::size_t FirstHost = 10;
  return "127.66.0." + std::to_string(FirstHost + Index);
}

void HostileSystem::startEntry(std::size_t Index) {
  const std::string Name = "e" + std::to_string(Index);
  const std::string Ip = entryIp(Index);
  Entry &Item = this->Entries.emplace_back();
  this->startDaemon(Item.Daemon, Name,
                    R"({"role":"proxy","name":")" + Name +
                        R"(","availabilityZone":"zone-a","listen":")" + Ip +
                        R"(:7100","callers":")" + Ip + R"(:8080","local":")" +
                        Ip + R"(:7102",)" + Peers + R"(,"memoryMb":)" +
                        std::to_string(this->Settings.EntryMemoryMb) + "}");
  Item.Id = Item.Daemon.id();
}

void HostileSystem::setTargetDelay(int DelayMs) {
  const std::string Body = R"({"delayMs":)" + std::to_string(DelayMs) + "}";
  REQUIRE(ask(ProxyIp, TargetPort,
              "POST /standin HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body)
              .Status == 200);
}

void HostileSystem::startDaemon(Process &Daemon, const std::string &Name,
                                const std::string &Document) {
  const std::string File = this->Folder.file(Name + ".json");
  std::ofstream(File) << Document;
  const char *Program =
      this->Settings.ForPlatform ? PLATFORM_PROGRAM : DAEMON_PROGRAM;
  REQUIRE(Daemon.start({Program, "--settings", File},
                       this->Folder.file(Name + ".log")));
}

void HostileSystem::runClient(const std::string &Token,
                              const std::vector<std::string> &Arguments) const {
  std::vector<std::string> All = {CLIENT_PROGRAM, "-c", "127.66.0.1:7101", "-t",
                                  Token};
  All.insert(All.end(), Arguments.begin(), Arguments.end());
  ProgramRun Run;
  awaitCondition(Arguments.front(), [&] {
    Run = runProgram(All);
    return Run.Status == 0;
  });
}

void HostileSystem::checkProcess(Process &Daemon, pid_t Id, std::size_t LimitMb,
                                 std::size_t CrowdSize) {
  REQUIRE(Daemon.running());
  REQUIRE(Daemon.id() == Id);
  constexpr std::size_t BytesPerMb = 1'000'000;
  constexpr std::size_t BytesPerKib = 1024;
  CHECK(statusKib(Id, "VmHWM") * BytesPerKib / BytesPerMb <=
        LimitMb + FixedBaseMb);
  CHECK(openDescriptors(Id) <= CrowdSize + FixedDescriptors);
}

void HostileSystem::checkBounds(std::size_t CrowdSize) {
  {
    INFO("control instance");
    checkProcess(this->Control, this->ControlId, this->Settings.ControlMemoryMb,
                 CrowdSize);
  }
  {
    INFO("proxy");
    checkProcess(this->Proxy, this->ProxyId, this->Settings.ProxyMemoryMb,
                 CrowdSize);
  }
  for (std::size_t I = 0; I < this->Entries.size(); ++I) {
    INFO("entry proxy " << I);
    checkProcess(this->Entries[I].Daemon, this->Entries[I].Id,
                 this->Settings.EntryMemoryMb, CrowdSize);
  }
}

void HostileSystem::checkOrdinary(const std::string &Ip, std::uint16_t Port) {
  std::string Request = "GET /health HTTP/1.1\r\nHost: a\r\n\r\n";
  if (Port == CallerPort) {
    const std::string Body(2000, 'b');
    Request = "POST /small HTTP/1.1\r\nHost: orders\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  constexpr int MaxTries = 60;
  constexpr double LeastPause = 0.2;
  constexpr double LongestPause = 5;
  OrdinaryAnswer Answer;
  for (int I = 0; I < MaxTries; ++I) {
    Answer = ask(Ip, Port, Request);
    if (Answer.Status == 200)
      break;
    std::this_thread::sleep_for(std::chrono::duration<double>(
        std::clamp(Answer.RetryAfterSeconds, LeastPause, LongestPause)));
  }
  INFO("ordinary request to " << Ip << ":" << Port);
  CHECK(Answer.Status == 200);
}

} // namespace persimmon
