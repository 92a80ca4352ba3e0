#pragma once

#include "forwarder.h"
#include "loadgenerator.h"
#include "support/process.h"

#include "persimmonctl/controlclient.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon {

/// The programs to run, the folder for their files, and the second octet of the
/// loopback addresses that a script uses.
struct ScenarioOptions {
  std::string Daemon;
  std::string Target;
  std::string Folder;
  int Net = 40;
};

/// Runs a script with one step per line on real processes.
/// tests/scenario/README.md lists the steps.
class ScenarioRunner {
public:
  explicit ScenarioRunner(const ScenarioOptions &Options);

  /// Runs the script and prints each step. Returns whether all steps succeeded.
  bool runFile(const std::string &File);

private:
  using Words = std::vector<std::string>;
  using KeyValues = std::map<std::string, std::string>;

  struct Machine {
    std::string Name;
    std::string Ip;
    std::string Zone;
    bool Control = false;
    std::string Service;
    KeyValues ProxyOptions;
    Process Daemon;
    Process Target;
  };

  using Step = std::function<bool(const Words &, const std::string &)>;

  bool runLine(const std::string &Line);
  void addClusterSteps();
  void addProcessSteps();
  void addTrafficSteps();
  bool forEach(const Words &Line, const std::function<bool(Machine &)> &Work);
  bool init(const Machine &First);
  bool addMachine(const Words &Line);
  bool start(Machine &Item);
  bool startTarget(Machine &Item);
  std::string settingsOf(const Machine &Item) const;
  bool killAll(const Words &Line, bool KillDaemon, bool KillTarget);
  bool put(const std::string &Path, const std::string &Text);
  bool race(const Words &Line, const std::string &Text);
  bool resend();
  bool startLoad(const Words &Line);
  bool expectLoad(const Words &Line);
  bool await(const Words &Line);
  bool awaitCondition(const Words &Line, const std::function<bool()> &Holds);
  bool expectRefused(const Words &Line, const std::string &Text);
  bool setTarget(const Words &Line, const std::string &Text);
  bool request(const Words &Line);
  bool garbage(const Words &Line);
  bool holds(const Words &Line);
  bool exitedCleanly(const Words &Names);
  std::string diskOf(const std::string &Name) const;
  std::optional<nlohmann::json> statusOf(const Machine &Item) const;
  std::optional<nlohmann::json> leaderStatus() const;
  std::map<std::string, int> countRuns() const;
  ControlClient client(const std::string &Token) const;
  std::string logOf(const std::string &Name) const;
  leaf::result<nlohmann::json> change(const std::string &ChangeId,
                                      const std::string &Path,
                                      const nlohmann::json &Value,
                                      std::int64_t Expected) const;
  std::int64_t versionOf(const std::string &Path) const;
  Machine &machine(const std::string &Name);

  ScenarioOptions Options;
  std::map<std::string, Step> Steps;
  std::map<std::string, std::unique_ptr<Machine>> Machines;
  std::vector<std::string> InstanceNames;
  std::map<std::string, std::unique_ptr<LoadGenerator>> Loads;
  std::unique_ptr<Forwarder> Network;
  std::string LastChangeId;
  std::int64_t LastVersion = 0;
  std::map<std::string, std::string> WipedDisks;
  nlohmann::json LastEdit;
  int ChangeCount = 0;
};

} // namespace persimmon
