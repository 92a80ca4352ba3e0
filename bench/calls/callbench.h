#pragma once

#include "persimmonctl/controlclient.h"
#include "support/process.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmon {

/// Where the programs are.
struct CallBenchOptions {
  std::string Daemon;
  std::string Target;
  std::string Folder;
  int Seconds = 5;
};

/// Measures calls through two daemons against direct ones, in one run, and
/// prints JSON lines.
class CallBench {
public:
  explicit CallBench(CallBenchOptions Options);

  /// Latency added at several rates.
  bool runLatency();

  /// Goodput at one, two and three times the capacity, with limits and with a
  /// baseline that has none.
  bool runOverload();

  /// Two-candidate choice against random choice, with one slow target.
  bool runChoice();

  /// Attempts at the last service of a chain whose last service fails.
  bool runChains();

private:
  struct Instance {
    std::string Name;
    std::string Ip;
    bool Control = false;
    Process Daemon;
    Process Target;
  };
  /// How one stretch of load is sent.
  struct Load {
    std::string Address;
    std::string Job;
    std::string Path = "/work";
    double Rate = 100;
    int Threads = 8;
    int DeadlineMs = 0;
  };
  /// What came of it. Times are in milliseconds.
  struct Result {
    std::vector<double> Times;
    int Good = 0;
    int Refused = 0;
    int Other = 0;
  };

  void startControl();
  Instance &startProxy(int Number, const std::string &Service, int Slots,
                       int DelayMs, const std::string &Choice);
  void stopAll();
  bool put(const nlohmann::json &Settings);
  bool awaitReady(std::size_t Proxies);
  Result drive(const Load &Plan) const;
  ControlClient client() const;

  CallBenchOptions Options;
  std::vector<std::unique_ptr<Instance>> Instances;
  int Folders = 0;
  std::string RunFolder;
};

} // namespace persimmon
