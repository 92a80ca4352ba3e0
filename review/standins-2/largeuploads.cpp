#include "backend.h"
#include "cases.h"
#include "clients.h"
#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <thread>

namespace review {

namespace {

constexpr int SidecarMemoryMb = 110;
constexpr int ClientsPerMachine = 3;
constexpr std::size_t UploadBytes = 6'000'000;
constexpr milliseconds Work{72};
/// `srv_slow` of the site file: twelve times as long, for nine seconds.
constexpr int SlowFactor = 12;
constexpr milliseconds SlowTime{9000};
/// Between the first requests of two clients.
constexpr milliseconds Stagger{45};
constexpr milliseconds Steady{6000};
constexpr milliseconds RestartDelay{500};
constexpr milliseconds CheckInterval{10};
constexpr int EndsOfAFault = 3;
constexpr std::size_t MachinesOfAFault = 2;

/// Returns the memory of a process in kB; 0 if it is gone.
long memoryOf(pid_t Process) {
  std::ifstream In("/proc/" + std::to_string(Process) + "/status");
  const std::string Key = "VmRSS:";
  for (std::string Line; std::getline(In, Line);) {
    if (Line.starts_with(Key))
      return std::strtol(Line.c_str() + Key.size(), nullptr, 10);
  }
  return 0;
}

/// Kills daemons that use more memory than their machine has, as the platform
/// does, and starts them again.
class MemoryLimit {
public:
  MemoryLimit(Deployment &TheSite, Record &TheRecord)
      : Site(TheSite), Out(TheRecord), Watcher([this] { this->watch(); }) {}
  ~MemoryLimit() { this->stop(); }
  MemoryLimit(const MemoryLimit &) = delete;
  MemoryLimit &operator=(const MemoryLimit &) = delete;

  void stop() {
    this->Stopping = true;
    if (this->Watcher.joinable())
      this->Watcher.join();
  }
  const std::map<std::string, int> &ends() const { return this->Ends; }
  const std::map<std::string, long> &peaks() const { return this->Peaks; }

private:
  void watch() {
    while (!this->Stopping) {
      for (Deployment::Machine &Item : this->Site.sidecars())
        this->check(Item);
      std::this_thread::sleep_for(CheckInterval);
    }
  }

  void check(Deployment::Machine &Item) {
    if (Item.Process == 0) {
      if (Clock::now() >= this->StartAt[Item.Name])
        this->Site.start(Item);
      return;
    }
    constexpr long KbPerMb = 1024;
    const long Kb = memoryOf(Item.Process);
    long &Peak = this->Peaks[Item.Name];
    Peak = std::max(Peak, Kb);
    if (Kb <= SidecarMemoryMb * KbPerMb)
      return;
    this->Site.kill(Item);
    this->StartAt[Item.Name] = Clock::now() + RestartDelay;
    this->Ends[Item.Name] += 1;
    this->Out.line("platform: " + Item.Name + " uses " + std::to_string(Kb) +
                   " kB and is killed");
  }

  Deployment &Site;
  Record &Out;
  std::atomic<bool> Stopping{false};
  std::map<std::string, Time> StartAt;
  std::map<std::string, int> Ends;
  std::map<std::string, long> Peaks;
  std::thread Watcher;
};

} // namespace

Verdict runLargeUploads(Record &Out, bool Trouble) {
  std::vector<std::string> Services(2, "pressroom");
  Services.insert(Services.end(), 8, "booking");
  Deployment Site(Services, SidecarMemoryMb, Out);
  Site.startAll();
  std::vector<std::unique_ptr<Backend>> Backends;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    Backends.push_back(std::make_unique<Backend>(
        Site.sidecars()[I].Ip, Services[I], "i-" + std::to_string(I + 1), Out));
    Backends.back()->setWork(Work);
    if (!Backends.back()->start())
      return Verdict::CouldNotRun;
  }
  const std::vector<Route> Routes = {
      {"r-upload", "press.example", "/photos/", "upload", 3.0, "pressroom"}};
  if (Site.replaceConfiguration(
          configurationText(1, 0, Routes, {"booking", "pressroom"})) != 200 ||
      !Site.awaitReady(milliseconds(20'000)))
    return Verdict::CouldNotRun;
  MemoryLimit Limit(Site, Out);
  Clients Callers(Out);
  for (const Deployment::Machine &Item : Site.sidecars()) {
    Load Wanted;
    Wanted.Ip = Item.Ip;
    Wanted.Method = "POST";
    Wanted.Host = "press.example";
    Wanted.PathPrefix = "/photos/";
    Wanted.BodyBytes = UploadBytes;
    Wanted.Deadline = milliseconds(3000);
    Wanted.Pause = milliseconds(1000);
    for (int I = 0; I < ClientsPerMachine && Item.Service == "booking"; ++I) {
      Callers.add(Wanted);
      std::this_thread::sleep_for(Stagger);
    }
  }
  std::this_thread::sleep_for(Steady);
  if (Trouble) {
    Out.line("the backends of pressroom turn slow");
    for (std::size_t I = 0; I < MachinesOfAFault; ++I)
      Backends[I]->setWork(Work * SlowFactor);
  }
  std::this_thread::sleep_for(SlowTime);
  for (const auto &Item : Backends)
    Item->setWork(Work);
  std::this_thread::sleep_for(milliseconds(3000));
  Callers.stop();
  Limit.stop();

  const std::vector<Call> Calls = Callers.calls();
  const auto Served =
      std::count_if(Calls.begin(), Calls.end(),
                    [](const Call &Item) { return Item.Status == 200; });
  Out.line("uploads: " + std::to_string(Calls.size()) +
           ", served: " + std::to_string(Served));
  for (const auto &[Name, Peak] : Limit.peaks())
    Out.line(Name + ": " + std::to_string(Peak) + " kB at most");
  std::size_t Machines = 0;
  for (const auto &[Name, Ends] : Limit.ends()) {
    Out.line(Name + ": killed " + std::to_string(Ends) + " times for memory");
    Machines += Ends >= EndsOfAFault ? 1 : 0;
  }
  return Machines >= MachinesOfAFault ? Verdict::Broken : Verdict::Held;
}

} // namespace review
