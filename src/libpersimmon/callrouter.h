#pragma once

#include "admissionqueue.h"
#include "cancellationsender.h"
#include "claimclient.h"
#include "distribution.h"
#include "events.h"
#include "membership.h"
#include "nestedloadlimiter.h"
#include "retrybudget.h"
#include "targetchooser.h"
#include "trafficsplit.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>

namespace persimmon {

/// The caller's side of a call: matches it by the settings alone, chooses a
/// target, and follows each attempt until the caller can be answered. Only a
/// refusal by the target's daemon says "not run"; a call that may not be
/// repeated is never sent again without one.
class CallRouter {
public:
  /// \p Members, \p Config and \p Policy must outlive the router.
  CallRouter(const Membership &Members, const Distribution &Config,
             ClaimKeeper Claims, std::uint64_t Seed,
             const ChoicePolicy &Policy);

  /// Takes a caller's request. \p Serving false refuses it as not current.
  void arrive(const CallArrived &Call, bool Serving, Time Now, Effects &Out);
  /// Cancels the call of a caller that left.
  void callerGone(std::int64_t CallNumber, Time Now, Effects &Out);
  /// Takes what a target's daemon says of an attempt.
  void receive(const wire::CallReply &Reply, Time Now, Effects &Out);
  /// Takes the answer of a control instance to a claim.
  void receive(const wire::ClaimReply &Reply, Time Now, Effects &Out);
  /// Tells another daemon what became of a claimed call of this one.
  void receive(const wire::OutcomeQuery &Query, std::string_view From,
               Effects &Out) const;
  /// Takes what another daemon says of the first call with a key.
  void receive(const wire::OutcomeReply &Reply, Time Now, Effects &Out);
  /// Answers a heartbeat, or notes that a connection is alive.
  void receive(const wire::Heartbeat &Message, std::string_view From, Time Now,
               Effects &Out);
  /// Takes the end of a connection to a daemon. What it never sent has not run;
  /// what it sent is asked after.
  void streamLost(const StreamLost &Lost, Time Now, Effects &Out);
  /// Sends the calls that waited for a connection elsewhere: they have not run.
  void streamSlow(const StreamSlow &Slow, Time Now, Effects &Out) {
    this->notSent(Slow.NotSent, Now, Out);
  }
  /// Notes that the connection to \p Address was not silent at \p SignAt.
  void streamAlive(std::string_view Address, Time SignAt) {
    this->heard(Address, SignAt);
  }
  /// Passes deadlines, asks after attempts and watches connections.
  void tick(Time Now, Effects &Out);

  /// Shares \p Burst retries beyond the percentages of the services among all
  /// daemons.
  void setRetryBurst(int Burst) { this->RetryBurst = Burst; }

  /// Gives the addresses of the control instances that keep claims.
  void setControlAddresses(std::vector<std::string> Addresses) {
    this->Claims.setControlAddresses(std::move(Addresses));
  }

  /// Refuses new calls from now on.
  void stop() { this->Stopping = true; }

  /// Returns what became of calls that targets made since the last call.
  std::vector<NestedOutcome> takeNestedOutcomes() {
    return std::exchange(this->NestedOutcomes, {});
  }

  /// Returns the number of calls that are not answered.
  std::size_t callCount() const { return this->Calls.size(); }
  /// Returns the number of attempts beyond the first of each call.
  std::uint64_t retryCount() const { return this->Retries; }

private:
  enum class Phase { Claiming, KeyTaken, Sent, Asking };

  struct Call {
    std::int64_t Number = 0;
    std::string CallId;
    std::string Method;
    std::string Url;
    std::vector<wire::Header> Headers;
    std::int64_t BodySize = 0;
    std::string RoutePath;
    std::string Service;
    int Priority = 0;
    bool Repeat = false;
    Time Deadline;
    Time ArrivedAt;
    Time SentAt;
    /// When an answer is worth less to the caller.
    Time UsefulUntil;
    /// The caller was refused before, and its time of full value is over.
    bool Late = false;
    /// Attempts that a target received or may have received.
    int Sends = 0;
    int MaxSends = 1;
    Phase State = Phase::Sent;
    int Attempts = 0;
    std::int64_t AttemptNumber = 0;
    std::string Target;
    std::string Address;
    std::int64_t TargetIncarnation = 0;
    std::set<std::string> Excluded;
    Time NextAsk;
    Time AskUntil;
    ResultCode LastRefusal = ResultCode::NoTarget;
    /// At least a part of the attempt's body was not sent yet.
    bool HoldsBody = false;
    /// Bytes of the attempt's body that were sent.
    std::int64_t BodySent = 0;
    /// An attempt ended without proof that it did not run.
    bool MayHaveRun = false;
    /// The last target's daemon takes it for a call of a running call.
    bool Nested = false;
    /// What that daemon turns away.
    wire::ShedLoad Shed;

    /// Returns whether an attempt is under way.
    bool dispatched() const {
      return this->State == Phase::Sent || this->State == Phase::Asking;
    }
  };

  /// Liveness of a connection on which calls are outstanding.
  struct LinkWatch {
    /// When the peer last said anything, or the connection was made anew.
    Time HeardAt;
    Time NextHeartbeat;
    Time SilentAt;
  };

  void dispatch(Call &TheCall, Time Now, Effects &Out);
  /// Sends the body as far as \p Granted bytes; -1 for all of it.
  void sendBody(Call &TheCall, std::int64_t Granted, Time Now, Effects &Out);
  void ask(Call &TheCall, Time Now, Effects &Out);
  void notSent(std::span<const wire::AttemptId> Ids, Time Now, Effects &Out);
  void connectionFailed(Call &TheCall, Time Now, Effects &Out);
  void attemptNotRun(Call &TheCall, ResultCode Code, Time Now, Effects &Out);
  /// Sends a call again if that is allowed. \p MayRun says that the attempt so
  /// far may run still.
  bool retryElsewhere(Call &TheCall, bool MayRun, Time Now, Effects &Out);
  void attemptUnknown(Call &TheCall, ResultCode Code, bool MayRun, Time Now,
                      Effects &Out);
  /// Ends the attempt at its target: nobody waits for it any more.
  void cancelAttempt(const Call &TheCall, Channel Via, Time Now, Effects &Out) {
    this->Cancels.cancel(this->attemptId(TheCall), TheCall.Address, Via, Now,
                         Out);
  }
  void endAttempt(Call &TheCall, bool Failed, Time Now, Effects &Out);
  void refuse(std::int64_t CallNumber, Failure Error, Effects &Out) const;
  /// Refuses what the configuration in force does not allow.
  void deny(std::int64_t CallNumber, Failure Error, Effects &Out) const;
  Call makeCall(const CallArrived &Arrived, const RouteSpec &Route, Time Now);
  milliseconds retryAfter(const Call &TheCall, ResultCode Code, Time Now);
  bool mayRetry(const Call &TheCall, ResultCode Code, Time Now);
  void finish(std::int64_t CallNumber, Failure Error, bool MayHaveRun, Time Now,
              Effects &Out);
  void deadlinePassed(Call &TheCall, Time Now, Effects &Out);
  void watchLinks(Time Now, Effects &Out);
  void heard(std::string_view Address, Time Now);
  /// Returns how long a peer may say nothing while calls are outstanding.
  milliseconds silenceOn(std::string_view Address) const;
  wire::AttemptId attemptId(const Call &TheCall) const;
  Call *findAttempt(const wire::AttemptId &Id);
  std::vector<std::int64_t> callNumbers() const;
  Call *find(std::int64_t Number);

  const Membership &Members;
  const Distribution &Config;
  ClaimKeeper Claims;
  CancelKeeper Cancels;
  TargetChooser Chooser;
  TrafficSplit Split;
  RetryDetector Returns;
  Random Rng;
  RetryBudget Budget;
  std::map<std::int64_t, Call> Calls;
  std::map<std::int64_t, std::int64_t> CallOfAttempt;
  std::map<std::string, LinkWatch, std::less<>> Links;
  std::int64_t LastAttempt = 0;
  std::int64_t OwnIncarnation;
  std::uint64_t Retries = 0;
  int RetryBurst = 0;
  std::vector<NestedOutcome> NestedOutcomes;
  /// Time from arrival to answer by route.
  RunTimeEstimates AnswerTimes;
  bool Stopping = false;
};

} // namespace persimmon
