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

/// A fault injected where one instance carries out an effect.
enum class FaultKind {
  CrashBefore,
  CrashAfter,
  TornWrite,
  LostDisk,
  Freeze,
  CutOff,
  LoseMessage,
  DuplicateMessage,
  DelayMessage,
  SilentConnection
};

constexpr int FaultKindCount = 10;

const char *nameOf(FaultKind Kind);

/// A fault to inject when the effect with this number is carried out.
struct FaultPlan {
  FaultKind Kind = FaultKind::CrashBefore;
  std::size_t Step = 0;
};

/// The responses to one call and the number of its executions on targets.
struct CallRecord {
  std::string Entry;
  bool OnceOnly = false;
  bool Answered = false;
  bool NotRun = false;
  bool Crossed = false;
  int Answers = 0;
  ResultCode Code = ResultCode::Ok;
  int Runs = 0;
};

/// Simulates daemons on a fake network, disk and clock. Carries out effects one
/// at a time, injects the planned faults, and checks the invariants after each
/// event. Runs with the same seed and plan are identical.
class FakeCluster {
public:
  explicit FakeCluster(std::uint64_t Seed);

  void addControl(const std::string &Name);
  void addProxy(const std::string &Name, const std::string &Zone,
                const std::string &Service, int Slots);
  /// Adds three control instances that know only each other's addresses and
  /// form the system when they are first started.
  void addFounders();
  /// Initializes the control group at \p Name and issues a token for the team
  /// "team".
  void form(const std::string &Name);
  void start(const std::string &Name);
  void crash(const std::string &Name);
  void wipeDisk(const std::string &Name);
  void freeze(const std::string &Name, milliseconds For);
  void cutOff(const std::string &Name, milliseconds For);
  /// Delays everything sent to \p Name on streams from now on by \p Delay, as
  /// on a link saturated by large bodies. Zero removes the delay.
  void slowDown(const std::string &Name, milliseconds Delay);
  /// Sets whether new connections to \p Name fail to open. Open connections
  /// are not affected.
  void shut(const std::string &Name, bool Shut);
  void setTarget(const std::string &Name, wire::TargetState::type State);
  void stop(const std::string &Name);

  /// Returns the instance with the newest log if a quorum of the voters' disks
  /// is lost, otherwise nothing.
  std::optional<std::string> survivorOfLostQuorum() const;

  /// Recovers from the loss of a quorum at \p Name, as an operator does.
  /// Changes that only lost disks held are no longer expected.
  void recover(const std::string &Name);
  void setRunTime(milliseconds Time) { this->RunTime = Time; }

  /// Runs until \p Until returns true or \p Limit has passed. Returns the last
  /// result of \p Until.
  bool run(milliseconds Limit, const std::function<bool()> &Until);
  void run(milliseconds For);

  /// Submits a change and resends it until it is accepted. Returns its id.
  std::string change(const std::string &Path, const std::string &Value,
                     std::int64_t Expected);

  /// Returns the version that an accepted change has, otherwise nothing.
  std::optional<std::int64_t> accepted(const std::string &ChangeId) const;

  /// Sends a call through the proxy \p Entry. Returns the id of the call.
  std::string call(const std::string &Entry, bool OnceOnly,
                   const std::string &Key = {}, std::int64_t BodyBytes = 0);

  /// Faults are injected only between arm() and disarm().
  void arm(std::vector<FaultPlan> Plan);
  void disarm();
  std::size_t steps() const { return this->Step; }
  /// Returns whether every planned fault was injected, at an effect of a kind
  /// where it can occur.
  bool allStruck() const { return this->Struck == this->Plan.size(); }

  /// Returns how many pull replies \p Name sent over a delayed stream.
  int slowPullReplies(const std::string &Name) const;

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
  bool settled() const;

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
    Time CutUntil;
    milliseconds StreamDelay{0};
    bool Shut = false;
    int SlowPullReplies = 0;
    Time RestartAt = NoDeadline;
    Time NextTick;
    std::int64_t Served = 0;
    std::int64_t LastIncarnation = 0;
    std::map<wire::AttemptId, std::string> Held;
    std::map<wire::AttemptId, std::string> Arrived;
    std::map<wire::AttemptId, std::string> Requests;
    /// Attempts whose request bodies have not arrived.
    std::set<wire::AttemptId> Bodiless;
    std::map<std::int64_t, std::string> CallIds;
    int Running = 0;
    bool Leaving = false;
    /// The disk was not lost since the first start.
    bool FirstDisk = true;
  };
  struct Link {
    std::string Opener;
    std::string Peer;
    bool Silent = false;
    /// Never opens; the opener is notified after the connect timeout.
    bool Shut = false;
    Time LastDelivery;
    /// When the opener last received a message.
    Time HeardAt;
    /// Attempts sent on this connection that are not decided yet.
    std::set<wire::AttemptId> Carried;
  };
  struct Delivery {
    std::string To;
    std::int64_t Incarnation = 0;
    EventBody Body;
    std::int64_t LinkId = 0;
    std::string Sender;
  };
  struct Wish {
    wire::Change TheChange;
    Time NextTry;
    std::optional<std::int64_t> Version;
    std::int64_t RequestId = 0;
  };

  void submit(Instance &To, EventBody Body);
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
  /// Ignores effects that the simulation does not model, such as log lines.
  template <typename EffectT> void perform(Instance &, const EffectT &) {}
  void sendMessage(Instance &By, const SendMessage &What,
                   std::optional<FaultKind> Fault);
  void sendBody(Instance &By, const SendBody &What,
                std::optional<FaultKind> Fault);
  void openLink(Instance &By, const std::string &Address);
  /// Makes the event that notifies the opener of the end of \p Ended.
  static StreamLost lostWith(const Link &Ended, StreamEnd End);
  void tellLost(const Instance &By, const Link &Ended, StreamEnd End, Time At);
  /// Notifies \p By at \p At that no connection to \p What's address could be
  /// opened.
  void tellNotOpened(const Instance &By, const SendMessage &What, Time At);
  void deliver(Time At, Delivery What);
  void closeLinksOf(const std::string &Name);
  void forgetLink(const Link &Ended);
  void restartDue();
  void retryWishes();
  void tickDue();
  std::optional<FaultKind> faultFor(const Effect &What);
  bool cut(const Instance &Item) const { return this->Now < Item.CutUntil; }
  Instance *byAddress(const std::string &Address);
  void checkAll(const Instance &Item);
  void checkControl(const Instance &Item);
  void checkProxy(const Instance &Item);
  void violation(const std::string &Text);
  void note(const std::string &Line);

  Time Now;
  Random Rng;
  LeastOfTwo Choice;
  PeerTopology Spread;
  std::map<std::string, Instance> Instances;
  std::multimap<Time, Delivery> InFlight;
  std::map<std::int64_t, Link> Links;
  std::map<std::pair<std::string, std::string>, std::int64_t> OpenLinks;
  std::int64_t LastLink = 0;
  std::map<std::string, Wish> Wishes;
  std::map<std::string, CallRecord> Calls;
  std::int64_t LastCall = 0;
  std::int64_t LastRequest = 0;
  std::int64_t LastDisk = 0;
  milliseconds RunTime{30};
  bool Armed = false;
  std::vector<FaultPlan> Plan;
  std::size_t Step = 0;
  std::size_t Struck = 0;
  std::vector<std::string> Violations;
  std::deque<std::string> Trace;
  // The committed state, which every instance must match.
  std::map<std::int64_t, std::uint64_t> HashOfVersion;
  std::map<std::int64_t, std::string> LeaderOfTerm;
  std::int64_t NewestAccepted = 0;
};

} // namespace persimmon
