#pragma once

#include "persimmonctl/controlclient.h"
#include "support/process.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmon {

/// Paths of the programs, folder for files and duration of each load.
struct CallBenchOptions {
  std::string Daemon;
  std::string Target;
  std::string Folder;
  int Seconds = 5;
};

/// Benchmarks calls through two daemons against direct calls and prints JSON
/// lines.
class CallBench {
public:
  explicit CallBench(CallBenchOptions Options);

  /// Measures the latency that the proxies add at several rates.
  bool runLatency();

  /// Measures the goodput at one, two and three times the capacity, with limits
  /// and for a baseline without limits.
  bool runOverload();

  /// Compares two-candidate choice with random choice if one target is slow.
  bool runChoice();

  /// Measures the attempts at the last service of a chain if that service
  /// fails.
  bool runChains();

private:
  struct Instance {
    std::string Name;
    std::string Ip;
    bool Control = false;
    Process Daemon;
    Process Target;
  };
  /// Parameters of one load run.
  struct LoadPlan {
    std::string Address;
    std::string Job;
    std::string Path = "/work";
    double Rate = 100;
    int Threads = 8;
    int DeadlineMs = 0;
  };
  /// Results of one load run. Times are in milliseconds.
  struct LoadResult {
    std::vector<double> LatenciesMs;
    int Succeeded = 0;
    int Refused = 0;
    int Other = 0;
  };

  void startControl();
  Instance &startProxy(int Number, const std::string &Service, int Slots,
                       int DelayMs, const std::string &Choice);
  void stopAll();
  bool put(const nlohmann::json &Settings);
  bool awaitReady(std::size_t Proxies);
  LoadResult runLoad(const LoadPlan &Plan) const;
  ControlClient client() const;

  CallBenchOptions Options;
  std::vector<std::unique_ptr<Instance>> Instances;
  int RunCount = 0;
  std::string RunFolder;
};

} // namespace persimmon
