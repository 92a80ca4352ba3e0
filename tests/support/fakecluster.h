#pragma once

#include "libpersimmon/libpersimmon.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon {

/// A fault injected where one instance executes an effect.
enum class FaultKind {
  CrashBefore,
  CrashAfter,
  TornWrite,
  LostDisk,
  Freeze,
  Partition,
  LoseMessage,
  DuplicateMessage,
  DelayMessage,
  SilentConnection
};

constexpr int FaultKindCount = 10;

const char *nameOf(FaultKind Kind);

/// A fault to inject when the effect with this number is executed.
struct PlannedFault {
  FaultKind Kind = FaultKind::CrashBefore;
  std::size_t Step = 0;
};

/// The responses to one call and the number of its executions on targets.
struct CallRecord {
  std::string Entry;
  bool OnceOnly = false;
  bool Answered = false;
  bool NotRun = false;
  bool Misdelivered = false;
  int Answers = 0;
  ResultCode Code = ResultCode::Ok;
  int Runs = 0;
};

/// Simulates daemons on a fake network, disk and clock. Executes effects one at
/// a time, injects the planned faults, and checks the invariants after each
/// event. Runs with the same seed and plan are identical.
class FakeCluster {
public:
  explicit FakeCluster(std::uint64_t Seed);

  void addControl(const std::string &Name);
  void addProxy(const std::string &Name, const std::string &Zone,
                const std::string &Service, int Slots);
  /// Adds three control instances that know only each other's addresses and
  /// form the system when they are first started.
  void addInitialVoters();
  /// Adds a control instance with an empty disk that knows the addresses of the
  /// initial voters and joins them once it is started.
  void addSuccessor(const std::string &Name);
  /// Forms the system at the control instance \p Name and issues a token for
  /// the team "team".
  void form(const std::string &Name);
  void start(const std::string &Name);
  void crash(const std::string &Name);
  void wipeDisk(const std::string &Name);
  void freeze(const std::string &Name, milliseconds For);
  void partition(const std::string &Name, milliseconds For);
  /// Suspends \p Name: it is frozen, and its steady clock does not count the
  /// time.
  void suspend(const std::string &Name, milliseconds For);
  /// Sets the time to a revocation of all instances that start from now on.
  void setRevocation(milliseconds Time) { this->Revocation = Time; }
  /// Delays everything sent to \p Name on streams from now on by \p Delay, as
  /// on a link saturated by large bodies. Zero removes the delay.
  void delayStreams(const std::string &Name, milliseconds Delay);
  /// Sets whether datagrams to \p Name are lost, as on a link whose queue is
  /// full. Streams are not affected.
  void loseDatagrams(const std::string &Name, bool Lost);
  /// Sets whether new connections to \p Name fail to open. Open connections
  /// are not affected.
  void blockConnections(const std::string &Name, bool Blocked);
  void setTarget(const std::string &Name, wire::TargetState::type State);
  void stop(const std::string &Name);
  /// Returns whether \p Name has ended its planned stop.
  bool exited(const std::string &Name) const;
  /// Ends \p Name for good, without restart.
  void remove(const std::string &Name);

  /// Returns the instance with the newest log if a quorum of the voters' disks
  /// is lost, otherwise nothing.
  std::optional<std::string> survivorOfLostQuorum() const;

  /// Recovers from the loss of a quorum at \p Name, as an operator does.
  /// Changes that only lost disks held are no longer expected.
  void recover(const std::string &Name);
  void setRunTime(milliseconds Time) { this->RunTime = Time; }
  /// Sets how long an instance is busy for each setting that it validates or
  /// compiles. It handles no event meanwhile.
  void setCompileTime(std::chrono::microseconds PerSetting) {
    this->CompileTime = PerSetting;
  }

  /// Runs until \p Until returns true or \p Limit has passed. Returns the last
  /// result of \p Until.
  bool run(milliseconds Limit, const std::function<bool()> &Until);
  void run(milliseconds For);

  /// Submits a change and resends it until it is accepted. Returns its id.
  std::string change(const std::string &Path, const std::string &Value,
                     std::int64_t Expected);

  /// Submits a change that adds a service and \p Count routes to it, and
  /// resends it until it is accepted. Returns its id.
  std::string changeRoutes(int Count);

  /// Returns the version that an accepted change has, otherwise nothing.
  std::optional<std::int64_t>
  acceptedVersion(const std::string &ChangeId) const;

  /// Sends a call through the proxy \p Entry. Returns the id of the call.
  std::string call(const std::string &Entry, bool OnceOnly,
                   const std::string &Key = {}, std::int64_t BodyBytes = 0);

  /// Sends a repeatable call with the key of a client account through the proxy
  /// \p Entry. Returns the id of the call.
  std::string callWithKey(const std::string &Entry,
                          const std::string &AccountKey);

  /// Faults are injected only between arm() and disarm().
  void arm(std::vector<PlannedFault> Plan);
  void disarm();
  std::size_t steps() const { return this->Step; }
  /// Returns whether every planned fault was injected, at an effect of a kind
  /// where it can occur.
  bool allInjected() const { return this->InjectedCount == this->Plan.size(); }

  /// Returns how many pull replies \p Name sent over a delayed stream.
  int delayedPullReplies(const std::string &Name) const;

  const Node *node(const std::string &Name) const;
  const Node *leader() const;
  const std::map<std::string, CallRecord> &calls() const { return this->Calls; }
  std::vector<std::string> names() const;

  /// Checks the responses to all calls against their executions.
  void checkCalls();

  /// Returns the violations found so far.
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }

  /// Returns whether all changes are accepted, all instances run and hold the
  /// newest version, all proxies serve, and all control instances are voters.
  bool converged() const;

  /// Describes the state of each instance in one line.
  std::vector<std::string> describe() const;

  /// Returns the last lines of the trace, newest last.
  const std::deque<std::string> &trace() const { return this->Trace; }

private:
  struct Instance {
    NodeIdentity Identity;
    bool Control = false;
    std::string Service;
    int Slots = 0;
    std::unique_ptr<Node> Daemon;
    DurableState Disk;
    std::int64_t DiskId = 0;
    Time FrozenUntil;
    Time PartitionedUntil;
    /// Time that its steady clock did not count, and the part of it that it was
    /// not yet told of.
    milliseconds ClockLag{0};
    milliseconds UntoldLag{0};
    milliseconds StreamDelay{0};
    bool Blocked = false;
    bool LosesDatagrams = false;
    int DelayedPullReplies = 0;
    Time RestartAt = NoDeadline;
    Time NextTick;
    std::int64_t LastServedVersion = 0;
    std::int64_t LastIncarnation = 0;
    std::map<wire::AttemptId, std::string> FinishedCalls;
    std::map<wire::AttemptId, std::string> ReplyBodies;
    std::map<wire::AttemptId, std::string> AttemptCallIds;
    /// Attempts whose request bodies have not arrived.
    std::set<wire::AttemptId> AwaitingBody;
    std::map<std::int64_t, std::string> CallIds;
    int Running = 0;
    bool IsDraining = false;
    bool Exited = false;
    /// True if the disk has not been lost since the first start.
    bool FirstDisk = true;
  };
  struct Connection {
    std::string Opener;
    std::string Peer;
    bool Silent = false;
    /// True if it never opens; the opener is notified after the connect
    /// timeout.
    bool Blocked = false;
    Time LastDelivery;
    /// When the opener last received a message.
    Time LastReceivedAt;
    /// Attempts sent on this connection that are not decided yet.
    std::set<wire::AttemptId> UndecidedAttempts;
  };
  struct Delivery {
    std::string To;
    std::int64_t Incarnation = 0;
    EventBody Body;
    std::int64_t ConnectionId = 0;
    std::string Sender;
  };
  struct SubmittedChange {
    wire::Change TheChange;
    Time NextTry;
    std::optional<std::int64_t> Version;
    std::int64_t RequestId = 0;
  };

  void submit(Instance &To, EventBody Body);
  std::string submitCall(const std::string &Entry, CallArrived Call);
  std::string submitChange(std::vector<wire::PathEdit> Edits);
  static std::uint64_t compiledBy(const Instance &Item);
  bool carryOut(Instance &By, const Effect &What);
  void perform(Instance &By, const PersistHardState &What);
  void perform(Instance &By, const PersistEntries &What);
  void perform(Instance &By, const PersistSnapshot &What);
  void perform(Instance &By, const AnswerOperator &What);
  void perform(Instance &By, const SendCall &What);
  void perform(Instance &By, const RunOnTarget &What);
  void perform(Instance &By, const SendAnswer &What);
  void perform(Instance &By, const AnswerCaller &What);
  void perform(Instance &By, const RefuseCaller &What);
  void perform(Instance &By, const RenewConnection &What);
  void perform(Instance &By, const DropReceivedAnswer &What);
  void perform(Instance &By, const ReadyToExit &What);
  void perform(Instance &By, const ContinueWork &What);
  /// Ignores effects that the simulation does not model, such as log lines.
  template <typename EffectT> void perform(Instance &, const EffectT &) {}
  void sendMessage(Instance &By, const SendMessage &What,
                   std::optional<FaultKind> Fault);
  void sendBody(Instance &By, const SendBody &What,
                std::optional<FaultKind> Fault);
  void openConnection(Instance &By, const std::string &Address);
  /// Makes the event that notifies the opener of the end of \p Ended.
  static StreamLost makeStreamLost(const Connection &Ended, StreamEnd End);
  void notifyStreamLost(const Instance &By, const Connection &Ended,
                        StreamEnd End, Time At);
  /// Notifies \p By at \p At that no connection to \p What's address could be
  /// opened.
  void notifyNotOpened(const Instance &By, const SendMessage &What, Time At);
  void scheduleDelivery(Time At, Delivery What);
  void closeConnectionsOf(const std::string &Name);
  void eraseConnection(const Connection &Ended);
  void restartDueInstances();
  void resendChanges();
  void sendDueTicks();
  std::optional<FaultKind> nextFault(const Effect &What);
  bool isPartitioned(const Instance &Item) const {
    return this->Now < Item.PartitionedUntil;
  }
  Instance *byAddress(const std::string &Address);
  void checkAll(const Instance &Item);
  void checkControl(const Instance &Item);
  void checkProxy(const Instance &Item);
  void addViolation(const std::string &Text);
  void addTraceLine(const std::string &Line);

  Time Now;
  Random Rng;
  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  std::map<std::string, Instance> Instances;
  std::multimap<Time, Delivery> InFlight;
  std::map<std::int64_t, Connection> Connections;
  std::map<std::pair<std::string, std::string>, std::int64_t> OpenConnections;
  std::int64_t LastConnection = 0;
  std::map<std::string, SubmittedChange> SubmittedChanges;
  std::map<std::string, CallRecord> Calls;
  std::int64_t LastCall = 0;
  std::int64_t LastRequest = 0;
  std::int64_t LastDisk = 0;
  milliseconds RunTime{30};
  milliseconds Revocation{0};
  std::chrono::microseconds CompileTime{0};
  bool Armed = false;
  std::vector<PlannedFault> Plan;
  std::size_t Step = 0;
  std::size_t InjectedCount = 0;
  std::vector<std::string> Violations;
  std::deque<std::string> Trace;
  // The committed state, which every instance must match.
  std::map<std::int64_t, std::uint64_t> HashOfVersion;
  std::map<std::int64_t, std::string> LeaderOfTerm;
  std::int64_t NewestAccepted = 0;
};

} // namespace persimmon
