#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for the platform, the operator, clients and backends, as the
/// operators' pages describe them. They use loopback addresses only.
namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Bounds of the small sites, in milliseconds.
constexpr Ms CatchUp{4000};
constexpr Ms DrainTime{2000};
constexpr Ms StabilityWindow{3000};
constexpr Ms RecoveryTime{15000};
constexpr Ms HeartbeatInterval{1500};
/// Memory of a core machine.
constexpr long CoreMemoryMb = 256;

/// Writes record.txt: one line per event with the seconds since the start.
class Record {
public:
  explicit Record(const std::string &File)
      : Start(Clock::now()), Out(File, std::ios::trunc) {}
  void line(const std::string &Text);
  double seconds() const;

private:
  Clock::time_point Start;
  std::mutex Lock;
  std::ofstream Out;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string First;
  Headers Fields;
  std::string Body;
  std::string field(std::string_view Name) const;
};

struct Answer {
  /// 0 if no complete answer came.
  int Status = 0;
  Message Content;
};

/// Sends one request on a new connection and waits for its answer.
Answer call(const std::string &Ip, int Port, const std::string &Method,
            const std::string &Path, const Headers &Fields,
            const std::string &Body, Ms Timeout);

/// One machine of the deployment and the process that runs on it.
struct Machine {
  std::string Name;
  std::string Class;
  std::string Ip;
  std::string Zone;
  std::string Service;
  bool Bootstrap = false;
  std::string DataFolder;
  std::string SettingsFile;
  pid_t Process = -1;
  /// Whether the platform has sent the process a signal.
  bool Signalled = false;
  /// How often the process has ended without a signal of the platform.
  int OwnEnds = 0;
};

/// Starts the programs of the deploy file on loopback addresses. Every machine
/// has its own address; the ports are the same on all of them.
class Platform {
public:
  /// \p Folder is a temporary folder for settings, disks and logs.
  Platform(std::string Root, std::string Folder, Record &Log);
  ~Platform();

  Machine &addCore(const std::string &Zone);
  Machine &addSide(const std::string &Zone, const std::string &Service);

  void start(Machine &Item);
  void signal(Machine &Item, int Number);
  /// Kills the process and waits for its end.
  void kill(Machine &Item);
  /// Kills the process and empties the machine's disk.
  void loseDisk(Machine &Item);
  /// Returns whether the process runs. Counts an end by itself.
  bool running(Machine &Item);
  /// Kills the process if it uses more memory than its machine has, which
  /// counts as an end by itself. Returns whether it was killed.
  bool enforceMemory(Machine &Item);
  void removeFromSeeds(const std::string &Ip);

  std::vector<std::unique_ptr<Machine>> Machines;
  std::vector<std::string> SeedIps;
  int ControlPort = 0;
  int OutboundPort = 0;
  int InboundPort = 0;
  int ReadinessPort = 0;
  int InternalPort = 0;
  int AppPort = 0;

private:
  Machine &add(const std::string &Class, const std::string &Zone);
  std::string renderSettings(const Machine &Item) const;

  std::string Root;
  std::string Folder;
  Record &Log;
  std::string Network;
  int LastHost = 0;
};

struct OrderResult {
  /// The last clear status, or 0.
  int Status = 0;
  /// The address of the machine that gave it.
  std::string Ip;
  int Tries = 0;
};

/// Sends orders and reads as the page of the operator's API says: follows a
/// redirect twice, moves on after a failure, a 5xx or a second of silence.
class Operator {
public:
  Operator(Platform &ThePlatform, Record &TheLog)
      : Target(ThePlatform), Log(TheLog) {}

  /// Sends a configuration until there is a clear answer, for \p Limit at most.
  OrderResult order(const std::string &Text, const std::string &Name, Ms Limit);
  /// Reads the configuration until it comes, for \p Limit at most. Returns its
  /// version, or -1.
  long read(Ms Limit);

  /// Called after each try without a clear answer.
  std::function<void()> BetweenTries;

private:
  Answer send(const std::string &Ip, const std::string &Method,
              const std::string &Path, const std::string &Body,
              std::string &AnsweredBy);
  OrderResult repeat(const std::string &Method, const std::string &Path,
                     const std::string &Body, const std::string &Name, Ms Limit,
                     std::string &AnswerBody);

  Platform &Target;
  Record &Log;
  std::size_t Next = 0;
};

/// What a backend did with a request.
struct Run {
  double At = 0;
  std::string Id;
  std::string Path;
  std::string Service;
  std::string Instance;
};

/// The application backend of a sidecar machine.
class Backend {
public:
  Backend(Platform &ThePlatform, const Machine &TheMachine, std::string TheId,
          long long Born, Record &TheLog);
  ~Backend();

  void startHeartbeats();
  void stopHeartbeats();
  /// Sends one heartbeat with this sequence number. Returns the status.
  int beat(const std::string &State, int Sequence);
  int beatNext(const std::string &State) { return beat(State, ++LastSequence); }
  /// Says that this backend leaves. Returns the status.
  int leave();
  /// From now on the health check fails, as for a backend that leaves.
  void setLeaving() { Leaving = true; }

  std::vector<Run> runs();

  std::atomic<int> LastSequence{0};
  /// Duration of a run.
  Ms Work{20};

private:
  void serve();
  void serveConnection(int Socket);
  std::string respond(const Message &Request);

  Platform &Target;
  const Machine &Host;
  std::string Id;
  long long BornMs;
  Record &Log;
  int Listener = -1;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Beating{false};
  std::mutex Lock;
  std::vector<Run> Done;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
  std::thread Beater;
};

/// A route of a configuration.
struct RouteText {
  std::string Name;
  std::string Prefix;
  std::string Service;
  std::string Kind = "safe";
  double TimeoutS = 0.5;
};

/// Returns the document of a complete configuration.
std::string configuration(int Version, int Base, const std::string &Host,
                          const std::vector<RouteText> &Routes,
                          const std::vector<std::string> &Services);

/// Returns a new request id.
std::string newId();
/// Milliseconds since the Unix epoch.
long long unixMs();
/// Waits until \p Done returns true, for \p Limit at most.
bool waitUntil(const std::function<bool()> &Done, Ms Limit);
inline void rest(Ms Time) { std::this_thread::sleep_for(Time); }

/// Exit statuses of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

/// What a case gets: the repository, a temporary folder, the record, and
/// whether the disruption is played.
struct Setup {
  std::string Root;
  std::string Folder;
  Record &Log;
  bool Trouble = true;
};

/// Runs \p Case with the arguments ROOT FOLDER RECORD.
int runCase(int Count, char **Arguments,
            const std::function<int(const Setup &)> &Case);

} // namespace review
