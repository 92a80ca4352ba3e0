#pragma once

#include "persimmonctl/controlclient.h"
#include "support/process.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmon {

/// Configuration of one run of the fleet benchmark.
struct FleetPlan {
  std::string Daemon;
  std::string Folder;
  std::string Distribution;
  int Proxies = 8;
  int Zones = 3;
  int Changes = 20;
  int Services = 30;
  int IdleSeconds = 10;
};

/// Starts control instances and proxies as processes, submits changes, and
/// prints their convergence times and resource usage as JSON lines.
class FleetBench {
public:
  explicit FleetBench(FleetPlan Plan);

  /// Returns whether every change came into force on every proxy.
  bool run();

private:
  struct Instance {
    std::string Name;
    std::string Ip;
    bool Control = false;
    Process Daemon;
  };
  /// Counters of the operating system and the daemon since its start.
  struct Usage {
    double CpuSeconds = 0;
    double RssMb = 0;
    double SentBytes = 0;
    double PayloadBytes = 0;
  };

  void startAll();
  bool putSettings();
  bool submitChange(int Number);
  bool awaitInForce(std::int64_t Version);
  Usage usageOf(const Instance &Item) const;
  std::vector<Usage> usageOfAll() const;
  void printCost(const char *Phase, const std::vector<Usage> &Before,
                 const std::vector<Usage> &After, double Seconds,
                 int ChangeCount) const;
  void printConvergence() const;
  ControlClient client(const std::string &Token) const;

  FleetPlan Plan;
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<std::int64_t> Versions;
  std::int64_t LastVersion = 0;
};

} // namespace persimmon
