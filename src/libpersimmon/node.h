#pragma once

#include "allowanceledger.h"
#include "attemptscheduler.h"
#include "callrouter.h"
#include "controlservice.h"
#include "distribution.h"
#include "events.h"
#include "membership.h"
#include "nestedroutedetector.h"
#include "reporttree.h"
#include "rolloutcontroller.h"
#include "servinggate.h"
#include "targetconfirmation.h"
#include "targetwatch.h"
#include "topology.h"
#include "versionconfirmation.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon {

/// How a daemon stops. It first continues to serve, so that load balancers can
/// notice that it is not ready; then its target gets no new calls.
struct StopPolicy {
  milliseconds ServeOn{0};
  /// Time after which the daemon exits even if calls are outstanding; 0 for
  /// never.
  milliseconds GiveUp{0};
};

/// Identity and start parameters of a daemon.
struct NodeIdentity {
  std::string Name;
  std::string Address;
  std::string Zone;
  std::int64_t Incarnation = 0;
  std::uint64_t Seed = 0;
  /// The control instances, including this daemon if it is one.
  std::vector<ControlPeer> ControlInstances;
  /// Addresses used to join when the settings do not name control instances.
  std::vector<std::string> Seeds;
  VoterPolicy Voters;
  SnapshotPolicy Snapshots;
  StopPolicy Stop;
  /// Burst of retries allowed beyond the percentages of the services, shared by
  /// all daemons.
  int RetryBurst = 0;
  /// Memory that the configuration deltas kept for peers may take.
  std::size_t MaxHistoryBytes = DefaultHistoryBytes;
  /// As in CompileOptions.
  std::string TextPrefixTeam;
  /// Rate of this daemon's network link in Mbit/s; 0 if unknown.
  double LinkMbps = 0;
  /// Limit for the bodies that are held for the target, in bytes; 0 for none.
  std::int64_t MaxTargetBodyBytes = 0;
  /// Time after the removal of a key from which no call with it may run, on
  /// disconnected daemons too; 0 if these may go on serving.
  milliseconds Revocation{0};
  /// Whether the calls of all services are placed evenly, also of those whose
  /// targets tell no pace.
  bool EvenPlacement = false;
  /// Bounds of roll-outs; without them there are none, and the versions of
  /// targets are ignored.
  std::optional<RolloutBounds> Rollouts;
};

/// Policies of a daemon; all must outlive its Node.
struct NodePolicies {
  const ChoicePolicy &Choice;
  const Topology &VersionTopology;
};

/// The complete state of one daemon; changed by reduce() only.
class Node {
public:
  /// Creates a proxy daemon.
  static std::unique_ptr<Node> makeProxy(const NodeIdentity &Identity,
                                         const NodePolicies &Policies);

  /// Creates a control daemon from the state stored on its disk. Errors:
  /// SnapshotDamaged.
  static leaf::result<std::unique_ptr<Node>>
  makeControl(const NodeIdentity &Identity, std::int64_t DiskId,
              const DurableState &State, const NodePolicies &Policies,
              Time Now);

  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Handles one event; returns its effects in the order of execution.
  Effects reduce(const Event &TheEvent);

  const Membership &members() const { return this->Members; }
  const Distribution &distribution() const { return this->Config; }
  const ReportTree &reports() const { return this->Reports; }
  const ControlService *control() const {
    return this->Control ? &*this->Control : nullptr;
  }
  const AllowanceLedger &allowanceLedger() const { return this->Ledger; }
  const AttemptScheduler &scheduler() const { return this->Scheduler; }
  const CallRouter *router() const {
    return this->Router ? &*this->Router : nullptr;
  }
  /// Returns whether calls are served: the configuration was confirmed as
  /// current after the start of the daemon, and is not known to be outdated.
  bool serving() const { return this->Gate.open() && !this->Outdated; }
  bool stopping() const { return this->Stopping; }
  /// Returns the roll-outs as a control instance observes them; null if there
  /// are none by the settings.
  const RolloutController *rollouts() const {
    return this->Rollouts ? &*this->Rollouts : nullptr;
  }
  /// Returns the last accepted announcement of this daemon's target.
  const TargetAnnounced &target() const { return this->Target.current(); }
  /// Returns whether a health response of the target is needed before it can be
  /// used.
  bool needsTargetHealth(Time Now) const {
    return this->Evidence.needsHealth(Now);
  }
  /// Returns whether an announcement is held until a health response of the
  /// target arrives.
  bool holdsAnnouncement(Time Now) const { return this->Evidence.holds(Now); }

private:
  Node(const NodeIdentity &Identity, bool IsControl,
       const NodePolicies &Policies);

  void on(const Tick &Body, const Event &TheEvent, Effects &Out);
  void on(const MessageReceived &Body, const Event &TheEvent, Effects &Out);
  void on(const StreamLost &Body, const Event &TheEvent, Effects &Out);
  void on(const StreamSlow &Body, const Event &TheEvent, Effects &Out);
  void on(const StreamAlive &Body, const Event &TheEvent, Effects &Out);
  void on(const BodyProgress &Body, const Event &TheEvent, Effects &Out);
  void on(const BodyArrived &Body, const Event &TheEvent, Effects &Out);
  void on(const BodyLost &Body, const Event &TheEvent, Effects &Out);
  void on(const CallArrived &Body, const Event &TheEvent, Effects &Out);
  void on(const CallerDisconnected &Body, const Event &TheEvent, Effects &Out);
  void on(const TargetAnnounced &Body, const Event &TheEvent, Effects &Out);
  void on(const TargetLeaving &Body, const Event &TheEvent, Effects &Out);
  void on(const TargetFound &Body, const Event &TheEvent, Effects &Out);
  void on(const TargetDisowned &Body, const Event &TheEvent, Effects &Out);
  void on(const TargetProbed &Body, const Event &TheEvent, Effects &Out);
  void on(const RunFinished &Body, const Event &TheEvent, Effects &Out);
  void on(const SettingsChanged &Body, const Event &TheEvent, Effects &Out);
  void on(const ProcessSuspended &Body, const Event &TheEvent, Effects &Out);
  void on(const StopRequested &Body, const Event &TheEvent, Effects &Out);
  void on(const WorkContinued &Body, const Event &TheEvent, Effects &Out);
  void on(const RolloutRequested &Body, const Event &TheEvent, Effects &Out);
  template <typename RequestT>
  void on(const RequestT &Body, const Event &TheEvent, Effects &Out);

  template <typename MessageT>
  void receive(const MessageT &Body, const std::string &From, Time Now,
               Effects &Out);
  void receiveStamp(const wire::StampReply &Reply, Time Now, Effects &Out);
  void propagateChanges(const Event &TheEvent, Effects &Out);
  void targetChanged(Time Now, Effects &Out);
  /// Marks the target as gone until its next announcement.
  void targetGone(Time Now, Effects &Out);
  /// Handles what members tell of this daemon's target from before its start.
  void applyFormerRecord(const wire::MemberRecord &Former,
                         const Event &TheEvent, Effects &Out);
  /// Uses the target if there is enough evidence that it may get calls.
  void useConfirmedTarget(const Event &TheEvent, Effects &Out);
  /// Stops sending calls to a target that says that it leaves.
  void noticeLeaving(const TargetNotice &Notice, const std::string &InstanceId,
                     const Event &TheEvent, Effects &Out);
  /// Tells other members which run of the target leaves, for a restart of this
  /// daemon.
  void fillLeavingRun(wire::MemberRecord &Record) const;
  void updateOutdated(Time Now, Effects &Out);
  void refreshControlAddresses(Time Now);
  /// Passes the control instances that have left to the consensus.
  void updateDeparted();
  /// Announces that this control instance leaves. Returns whether its exit has
  /// to wait until another one has taken over its vote.
  bool awaitsHandover(Time Now, Effects &Out);
  bool hasSuccessor() const;
  void announceLeft(Effects &Out);
  void startDraining(Time Now, Effects &Out);
  void advanceStop(Time Now, Effects &Out);
  bool drained() const;
  bool nested(const wire::CallRequest &Request);
  /// Returns the weight of the call's account when capacity is short.
  double accountWeight(const wire::CallRequest &Call) const;
  /// Tells the router how far the version in force is confirmed, and asks for
  /// a confirmation if one is due.
  void updateConfirmation(Time Now, Effects &Out);
  /// Returns until when calls with a key may be served.
  Time keysUntil() const;
  /// Applies what is confirmed to the version in force.
  void applyConfirmation();
  void receiveStampRequest(const wire::StampRequest &Request,
                           std::string_view From, Time Now, Effects &Out);
  void announce(Effects &Out);
  /// Follows the leadership and the rates of accounts for the ledger.
  void updateLedger(Time Now);
  void setAllRates(Time Now);
  void setRate(const std::string &Path, const std::string *Value, Time Now);
  void receiveAllowanceRequest(const wire::AllowanceRequest &Request,
                               std::string_view From, Time Now, Effects &Out);
  /// Carries out the decisions on roll-outs that are due.
  void advanceRollouts(Time Now, Effects &Out);
  /// Passes what this proxy counted of roll-outs to its report.
  void reportRollouts();
  std::size_t targetCount(std::string_view Service,
                          std::string_view Version) const;

  const Topology &VersionTopology;

  Membership Members;
  Distribution Config;
  ReportTree Reports;
  ServingGate Gate;
  VersionConfirmation Confirmation;
  AttemptScheduler Scheduler;
  NestedRouteDetector NestedRoutes;
  std::optional<ControlService> Control;
  /// Used by control instances only.
  AllowanceLedger Ledger;
  std::optional<CallRouter> Router;
  std::optional<RolloutController> Rollouts;
  /// As in newVersionValidity().
  milliseconds NewVersionValidity{0};
  TargetWatch Target;
  TargetConfirmation Evidence;
  std::vector<std::string> Seeds;
  std::vector<std::string> ControlAddresses;
  Time NextControlRefresh;
  StopPolicy Stop;
  milliseconds Revocation;
  int MissedProbes = 0;
  std::int64_t AnnouncedVersion = 0;
  bool Outdated = false;
  bool Stopping = false;
  bool Draining = false;
  bool ExitSent = false;
  Time DrainAt = NoDeadline;
  Time GiveUpAt = NoDeadline;
  Time ExitAt = NoDeadline;
  Time HandoverBy = NoDeadline;
  Time NextLeftAnnouncement;
  std::uint64_t DepartedRevision = 0;
  Time NextStaleWarning;
};

} // namespace persimmon
