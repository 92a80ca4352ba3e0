#pragma once

#include "accountallowance.h"
#include "admissionqueue.h"
#include "answersizes.h"
#include "cancellationsender.h"
#include "claimclient.h"
#include "distribution.h"
#include "events.h"
#include "membership.h"
#include "nestedloadlimiter.h"
#include "retrybudget.h"
#include "targetchooser.h"
#include "trafficsplit.h"
#include "versionfilter.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>

namespace persimmon {

/// Handles calls on the caller's side: matches a route using only the settings,
/// chooses a target and tracks each attempt until the caller can be answered.
/// An attempt counts as not run only if the target's daemon refused it or this
/// daemon did not send all of it. A call that may not be repeated is never sent
/// again after any other attempt.
class CallRouter : public PeerLoadSource {
public:
  /// \p Members, \p Config and \p Policy must outlive the router.
  CallRouter(const Membership &Members, const Distribution &Config,
             ClaimClient Claims, std::uint64_t Seed,
             const ChoicePolicy &Policy);

  /// Handles a caller's request. If \p Serving is false, refuses it with
  /// NotCurrent.
  void handleCall(const CallArrived &Call, bool Serving, Time Now,
                  Effects &Out);
  /// Until when the version in force counts as the newest one.
  struct VersionValidity {
    /// Afterwards a call without a route is held until a confirmation arrives.
    Time DeniesUntil = NoDeadline;
    /// Afterwards every call is held, unless OutOfTouch is set.
    Time ServesUntil = NoDeadline;
    /// Afterwards no call uses a version of targets that is being rolled out. A
    /// call that needs it is held, unless OutOfTouch is set. That a newer
    /// version is known does not matter: while all calls go to the new version,
    /// it can tell that the old targets have stopped.
    Time NewVersionUntil = NoDeadline;
    /// No daemon can tell which version is the newest one.
    bool OutOfTouch = false;
    /// Afterwards calls with a key are refused, also if OutOfTouch is set.
    Time KeysUntil = NoDeadline;
  };
  void setValidity(const VersionValidity &Validity) {
    this->Validity = Validity;
  }
  const VersionValidity &validity() const { return this->Validity; }
  /// Returns whether calls wait for a confirmation of the version in force.
  bool hasHeld() const { return !this->Held.empty(); }
  /// Handles the calls that were held once more.
  void routeAgain(bool Serving, Time Now, Effects &Out);
  /// Cancels the call of a caller that disconnected.
  void callerDisconnected(std::int64_t CallNumber, Time Now, Effects &Out);
  /// Handles the reply of a target's daemon to an attempt.
  void receive(const wire::CallReply &Reply, Time Now, Effects &Out);
  /// Handles the reply of a control instance to a claim request.
  void receive(const wire::ClaimReply &Reply, Time Now, Effects &Out);
  /// Answers another daemon's query for the outcome of a call that this daemon
  /// claimed.
  void receive(const wire::OutcomeQuery &Query, std::string_view From,
               Effects &Out) const;
  /// Handles another daemon's reply about the first call with an idempotency
  /// key.
  void receive(const wire::OutcomeReply &Reply, Time Now, Effects &Out);
  /// Handles a reply about the shares of accounts.
  void receive(const wire::AllowanceReply &Reply, std::string_view From,
               Time Now, Effects &Out);
  /// Answers a heartbeat. A heartbeat reply marks its connection as alive.
  void receive(const wire::Heartbeat &Message, std::string_view From, Time Now,
               Effects &Out);
  /// Handles the end of a connection to a daemon. Attempts that were not sent
  /// have not run; the outcome of attempts that were sent is queried.
  void streamLost(const StreamLost &Lost, Time Now, Effects &Out);
  /// Retries the calls that waited for the connection on other targets; they
  /// have not run.
  void streamSlow(const StreamSlow &Slow, Time Now, Effects &Out) {
    this->attemptsNotSent(Slow.NotSent, Now, Out);
  }
  /// Records that the peer at \p Address was last active at \p LastActivity.
  void streamAlive(std::string_view Address, Time LastActivity) {
    this->recordActivity(Address, LastActivity);
  }
  /// Expires calls at their deadlines, queries outcomes of attempts and checks
  /// connections for silence.
  void tick(Time Now, Effects &Out);

  /// Sets the number of retries that all daemons together may make beyond the
  /// retry percentages of the services.
  void setRetryBurst(int Burst) { this->RetryBurst = Burst; }

  /// Makes the router choose targets by their versions.
  void enableRollouts() { this->Versions.enable(); }
  /// Returns the counts of running roll-outs.
  std::vector<wire::VersionAnswers> rolloutCounts();

  /// Sets the addresses of the control instances that store claims.
  void setControlAddresses(std::vector<std::string> Addresses) {
    this->Allowance.setControlAddresses(Addresses);
    this->Claims.setControlAddresses(std::move(Addresses));
  }

  /// Makes the router refuse calls that are not expected to end before \p End,
  /// when this daemon exits.
  void setEnd(Time End) { this->EndsAt = End; }

  /// Handles a suspension of the machine, which the clock did not count.
  void age(milliseconds For) { this->Allowance.age(For); }

  const AccountAllowance &allowance() const { return this->Allowance; }
  /// Places the calls of all services evenly.
  void setEvenPlacement(bool IsOn) { this->Chooser.setEvenPlacement(IsOn); }

  /// Records the load of the target beside this daemon.
  void reportedLocal(const wire::Load &Load, Time Now) {
    this->Chooser.reportedLocal(Load, Now);
  }

  std::vector<wire::PeerLoad> loadsFor(std::string_view Receiver,
                                       Time Now) const override;

  /// Returns the calls placed so far.
  const PlacementCounts &placements() const { return this->Chooser.counts(); }

  /// Makes the router refuse all new calls.
  void stop() { this->Stopping = true; }

  /// Returns the outcomes of nested calls since the previous invocation and
  /// clears them.
  std::vector<NestedOutcome> takeNestedOutcomes() {
    return std::exchange(this->NestedOutcomes, {});
  }

  /// Returns the number of calls that have not been answered.
  std::size_t callCount() const {
    return this->Calls.size() + this->Held.size();
  }
  /// Returns the total number of attempts made beyond the first attempt of each
  /// call.
  std::uint64_t retryCount() const { return this->Retries; }

private:
  enum class Phase {
    AwaitingClaim,
    AwaitingHolder,
    AwaitingAllowance,
    Sent,
    Querying
  };

  struct Call {
    std::int64_t Number = 0;
    std::string CallId;
    std::string Method;
    std::string Url;
    std::vector<wire::Header> Headers;
    std::int64_t BodySize = 0;
    std::string RoutePath;
    /// Name and settings path of the client account; empty if there is none.
    std::string Account;
    std::string AccountPath;
    /// Whether the call took a token of its account for the current or next
    /// attempt, and when.
    bool HasToken = false;
    Time TokenAt;
    /// When there may be allowance, if the call was refused for its rate.
    milliseconds RateRetryAfter{0};
    std::string Service;
    int Priority = 0;
    bool MayRepeat = false;
    Time Deadline;
    Time ArrivedAt;
    Time SentAt;
    /// Until then, an answer has its full value for the caller.
    Time UsefulUntil;
    /// The caller was refused before and its target latency has passed.
    bool Late = false;
    /// Number of attempts that a target has received or may have received.
    int TargetAttempts = 0;
    int MaxTargetAttempts = 1;
    Phase State = Phase::Sent;
    int Attempts = 0;
    std::int64_t AttemptNumber = 0;
    std::string Target;
    std::string Address;
    std::int64_t TargetIncarnation = 0;
    std::set<std::string> Excluded;
    Time NextQueryAt;
    Time QueryUntil;
    ResultCode LastRefusal = ResultCode::NoTarget;
    /// Earliest time at which a target that refused the call expects room.
    Time RoomAt = NoDeadline;
    /// Whether part of the attempt's body is still to be sent.
    bool BodyPending = false;
    /// Number of bytes of the attempt's body that were sent.
    std::int64_t BodySent = 0;
    /// Whether an earlier attempt ended without proof that it did not run.
    bool MayHaveRun = false;
    /// Whether the last target's daemon classifies the call as nested, that is,
    /// made by another running call.
    bool Nested = false;
    /// Load shedding that the last target's daemon reported.
    wire::ShedLoad Shed;
    /// How the attempt in progress is counted for a roll-out.
    VersionFilter::Counted Counted;

    /// Returns whether an attempt is in progress.
    bool dispatched() const {
      return this->State == Phase::Sent || this->State == Phase::Querying;
    }
  };

  /// A call that waits until the version in force is confirmed as the newest
  /// one.
  struct HeldCall {
    CallArrived Arrived;
    Time RefuseAt;
  };

  /// Liveness of a connection with outstanding calls.
  struct ConnectionHealth {
    /// Time of the peer's last activity or of the last renewal of the
    /// connection.
    Time LastHeardAt;
    Time NextHeartbeat;
    Time SilenceDeadline;
  };

  void dispatch(Call &TheCall, Time Now, Effects &Out);
  /// Takes a token if the account of the call is limited. Returns whether the
  /// call may be sent now; otherwise it waits or is finished.
  bool takeAllowance(Call &TheCall, Time Now, Effects &Out);
  /// Sends or refuses the calls that waited for a token.
  void applyAllowance(Time Now, Effects &Out);
  void refuseByRate(Call &TheCall, const AccountAllowance::Decision &Refused,
                    Time Now, Effects &Out);
  /// Sends the body up to the offset \p Granted; a value of -1 sends all of it.
  void sendBody(Call &TheCall, std::int64_t Granted, Time Now, Effects &Out);
  void queryOutcome(Call &TheCall, Time Now, Effects &Out);
  void attemptsNotSent(std::span<const wire::AttemptId> Ids, Time Now,
                       Effects &Out);
  void connectionFailed(Call &TheCall, Time Now, Effects &Out);
  void attemptNotRun(Call &TheCall, ResultCode Code, Time Now, Effects &Out);
  /// Sends the call to another target if a retry is allowed, and returns
  /// whether it is. If \p MayRun is true, the current attempt may still run and
  /// is cancelled.
  bool retryOnOtherTarget(Call &TheCall, bool MayRun, Time Now, Effects &Out);
  void attemptUnknown(Call &TheCall, ResultCode Code, bool MayRun, Time Now,
                      Effects &Out);
  /// Cancels the current attempt at its target; its result is not needed any
  /// more.
  void cancelAttempt(const Call &TheCall, Channel Via, Time Now, Effects &Out) {
    this->Cancellations.cancel(this->attemptId(TheCall), TheCall.Address, Via,
                               Now, Out);
  }
  void endAttempt(Call &TheCall, bool Failed, Time Now, Effects &Out);
  /// Counts the end of the attempt for a roll-out, unless that was done.
  void countEnd(Call &TheCall, VersionFilter::CallEnd End, Time Now);
  /// Returns whether calls may use a version that is being rolled out.
  bool mayUseNewVersion(Time Now) const;
  void refuse(std::int64_t CallNumber, Failure Error, Effects &Out) const;
  /// Returns whether the call is expected to end before this daemon exits.
  bool endsInTime(const Call &NewCall, Time Now) const;
  /// Denies a call without a route, or holds it until the version in force is
  /// confirmed.
  void denyRoute(const CallArrived &Arrived, Time Now, Effects &Out);
  /// Returns whether calls may be routed by the version in force.
  bool maySend(Time Now) const;
  void hold(const CallArrived &Arrived, Time RefuseAt, Effects &Out);
  void expireHeld(Time Now, Effects &Out);
  /// Refuses a call that the configuration in force does not allow.
  void refuseByConfiguration(std::int64_t CallNumber, Failure Error,
                             Effects &Out) const;
  /// Answers 401 to a call whose key is not known, or holds it like
  /// denyRoute().
  void denyKey(const CallArrived &Arrived, const RouteSpec &Route, Time Now,
               Effects &Out);
  /// Refuses the call by \p Denied if the version in force is confirmed as the
  /// newest one; holds it otherwise.
  void deny(const CallArrived &Arrived, Failure Denied, Time Now, Effects &Out);
  /// Holds a call with a key until the version in force is confirmed, or
  /// refuses it at once if no daemon can confirm it.
  void awaitKeys(const CallArrived &Arrived, const AccountSpec &Account,
                 Time Now, Effects &Out);
  /// Makes the call of \p Account, which is null if the call has none.
  Call makeCall(const CallArrived &Arrived, const RouteSpec &Route,
                const AccountSpec *Account, Time Now);
  milliseconds retryAfter(const Call &TheCall, ResultCode Code, Time Now);
  bool mayRetry(const Call &TheCall, ResultCode Code, Time Now);
  void finish(std::int64_t CallNumber, Failure Error, bool MayHaveRun, Time Now,
              Effects &Out);
  void deadlinePassed(Call &TheCall, Time Now, Effects &Out);
  void checkConnections(Time Now, Effects &Out);
  void recordActivity(std::string_view Address, Time Now);
  /// Returns how long the peer may be silent while calls to it are outstanding.
  milliseconds silenceTimeout(std::string_view Address) const;
  wire::AttemptId attemptId(const Call &TheCall) const;
  Call *findAttempt(const wire::AttemptId &Id);
  std::vector<std::int64_t> callNumbers() const;
  Call *find(std::int64_t Number);

  const Membership &Members;
  const Distribution &Config;
  ClaimClient Claims;
  AccountAllowance Allowance;
  CancellationSender Cancellations;
  TargetChooser Chooser;
  TrafficSplit Split;
  VersionFilter Versions;
  RetryDetector CallerRetries;
  Random Rng;
  RetryBudget Budget;
  std::map<std::int64_t, Call> Calls;
  std::map<std::int64_t, HeldCall> Held;
  VersionValidity Validity;
  std::map<std::int64_t, std::int64_t> CallByAttempt;
  std::map<std::string, ConnectionHealth, std::less<>> HealthByAddress;
  std::int64_t LastAttemptNumber = 0;
  std::int64_t OwnIncarnation;
  std::uint64_t Retries = 0;
  int RetryBurst = 0;
  std::vector<NestedOutcome> NestedOutcomes;
  /// Time from the arrival of a call to its answer, for each route.
  RunTimeEstimates AnswerTimes;
  AnswerSizes AnswerLengths;
  bool Stopping = false;
  Time EndsAt = NoDeadline;
};

} // namespace persimmon
