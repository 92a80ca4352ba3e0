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

/// A fault at an effect boundary of one instance.
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

/// A fault that strikes when the effect with this number is carried out.
struct FaultPlan {
  FaultKind Kind = FaultKind::CrashBefore;
  std::size_t Step = 0;
};

/// What a caller was told of one call.
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

/// Daemons on a fake network, disk and clock. Carries out effects one at a
/// time, strikes the planned faults, and checks what must always hold after
/// each event. Runs with the same seed and plan are equal.
class FakeCluster {
public:
  explicit FakeCluster(std::uint64_t Seed);

  void addControl(const std::string &Name);
  void addProxy(const std::string &Name, const std::string &Zone,
                const std::string &Service, int Slots);
  /// Adds three control instances that know only each other's addresses and
  /// form the system when they are first started.
  void addFounders();
  /// Forms the control instances from \p Name, with a token for the team
  /// "team".
  void form(const std::string &Name);
  void start(const std::string &Name);
  void crash(const std::string &Name);
  void wipeDisk(const std::string &Name);
  void freeze(const std::string &Name, milliseconds For);
  void cutOff(const std::string &Name, milliseconds For);
  /// What is sent to \p Name on streams from now on arrives \p Delay later,
  /// as over a link that large bodies fill. Zero ends it.
  void slowDown(const std::string &Name, milliseconds Delay);
  /// Connections to \p Name do not open from now on, or do again; open ones
  /// stay.
  void shut(const std::string &Name, bool Shut);
  void setTarget(const std::string &Name, wire::TargetState::type State);
  void stop(const std::string &Name);

  /// Returns the instance that is left when a quorum of disks is lost.
  std::optional<std::string> survivorOfLostQuorum() const;

  /// Carries out the operator's recovery; what only lost disks held is gone.
  void recover(const std::string &Name);
  void setRunTime(milliseconds Time) { this->RunTime = Time; }

  /// Runs until \p Until holds or \p Limit has passed. Returns whether it
  /// holds.
  bool run(milliseconds Limit, const std::function<bool()> &Until);
  void run(milliseconds For);

  /// Submits a change and resends it until it is answered. Returns its id.
  std::string change(const std::string &Path, const std::string &Value,
                     std::int64_t Expected);

  /// Returns the version that a change was accepted with, or nothing.
  std::optional<std::int64_t> accepted(const std::string &ChangeId) const;

  /// A caller's request to a proxy; returns its id.
  std::string call(const std::string &Entry, bool OnceOnly,
                   const std::string &Key = {}, std::int64_t BodyBytes = 0);

  /// Faults strike between arm() and disarm().
  void arm(std::vector<FaultPlan> Plan);
  void disarm();
  std::size_t steps() const { return this->Step; }
  /// Returns whether every planned fault found an effect that it fits.
  bool allStruck() const { return this->Struck == this->Plan.size(); }

  /// Returns how many answers to pulls \p Name sent over a slow link.
  int slowPullReplies(const std::string &Name) const;

  const Node *node(const std::string &Name) const;
  const Node *leader() const;
  const std::map<std::string, CallRecord> &calls() const { return this->Calls; }
  std::vector<std::string> names() const;

  /// Checks what callers were told against what ran.
  void checkCalls();

  /// Returns the violations found so far; empty if all holds.
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }

  /// Whether all instances run, agree on the newest accepted version and have
  /// it in force.
  bool settled() const;

  /// Describes each instance in a line, for reports.
  std::vector<std::string> describe() const;

  /// Returns each event and effect of the run as lines, newest last.
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
    /// Requests whose bodies have not arrived.
    std::set<wire::AttemptId> Bodiless;
    std::map<std::int64_t, std::string> CallIds;
    int Running = 0;
    bool Leaving = false;
    /// The disk has not been lost since the first start.
    bool FirstDisk = true;
  };
  struct Link {
    std::string Opener;
    std::string Peer;
    bool Silent = false;
    /// It never opens; its end is told after the time for that.
    bool Shut = false;
    Time LastDelivery;
    /// When a message last reached the opener.
    Time HeardAt;
    /// Attempts that left on this link and are not decided.
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
  /// Effects that need no fake, such as log lines.
  template <typename EffectT> void perform(Instance &, const EffectT &) {}
  void sendMessage(Instance &By, const SendMessage &What,
                   std::optional<FaultKind> Fault);
  void sendBody(Instance &By, const SendBody &What,
                std::optional<FaultKind> Fault);
  void openLink(Instance &By, const std::string &Address);
  /// Returns what the end of \p Ended tells its opener.
  static StreamLost lostWith(const Link &Ended, StreamEnd End);
  void tellLost(const Instance &By, const Link &Ended, StreamEnd End, Time At);
  /// Tells \p By at \p At that nothing could be sent to \p What's address.
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
  PeerTopology VersionTopology;
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
  // What was seen committed, to compare every instance with.
  std::map<std::int64_t, std::uint64_t> HashOfVersion;
  std::map<std::int64_t, std::string> LeaderOfTerm;
  std::int64_t NewestAccepted = 0;
};

} // namespace persimmon
