#pragma once

#include "http.h"
#include "record.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

constexpr int ReadinessPort = 8141;
constexpr int ControlPort = 8144;
constexpr int BackendPort = 8145;
constexpr int OutboundPort = 8147;

/// The stand-in of the platform: starts the daemons of a small deployment with
/// the command of the deploy file and settings as the templates give them. Ends
/// all of them with its own end.
class Deployment {
public:
  struct Machine {
    std::string Name;
    std::string Ip;
    std::string Zone;
    /// Service of the backend; empty on a machine of the core.
    std::string Service;
    pid_t Process = 0;
  };

  /// Prepares three machines of the core and one sidecar machine for each of
  /// \p Services, on addresses on which all ports are free.
  Deployment(const std::vector<std::string> &Services, int SidecarMemoryMb,
             Record &Out);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  std::vector<Machine> &core() { return this->Core; }
  std::vector<Machine> &sidecars() { return this->Sidecars; }
  std::string logFile(const Machine &Item) const {
    return this->Folder + "/" + Item.Name + ".log";
  }

  /// Starts a daemon. \p Bootstrap: the whole system starts for the first time.
  void start(Machine &Item, bool Bootstrap = false);
  void startAll();
  void kill(Machine &Item);
  /// Returns whether the process still runs.
  static bool runs(const Machine &Item);

  /// Sends a configuration until it is answered as the operator does; returns
  /// the status, or 0.
  int replaceConfiguration(const std::string &Text);
  /// Reads the configuration back; empty if there is none.
  std::string readConfiguration();
  /// Waits until all sidecar daemons say that they are ready.
  bool awaitReady(milliseconds Timeout);
  bool isReady(const Machine &Item) const;

private:
  std::string settingsOf(const Machine &Item, bool Bootstrap) const;
  HttpAnswer sendToLeader(const HttpRequest &Request);

  int SidecarMemoryMb;
  Record &Out;
  std::string Folder;
  std::vector<Machine> Core;
  std::vector<Machine> Sidecars;
};

/// A route of a configuration.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Kind;
  double TimeoutS = 1;
  std::string Service;
};

/// Returns the text of a configuration document; \p More is added before its
/// last brace.
std::string configurationText(int Version, int BaseVersion,
                              const std::vector<Route> &Routes,
                              const std::vector<std::string> &Services,
                              const std::string &More = "");

} // namespace review
