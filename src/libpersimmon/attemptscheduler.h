#pragma once

#include "admissionqueue.h"
#include "answersizes.h"
#include "bodyflowcontrol.h"
#include "callratelimit.h"
#include "effects.h"
#include "events.h"
#include "heldbodies.h"
#include "nestedloadlimiter.h"
#include "outgoinglink.h"
#include "placementpolicy.h"
#include "routetable.h"
#include "shedmeter.h"
#include "targetpace.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace persimmon {

/// Handles calls on the daemon of the target: admits, queues or refuses them
/// and is the authority on which attempts ran. An attempt that is queried
/// before it arrived, or before its body was complete, is fenced: it is refused
/// if it arrives later.
class AttemptScheduler {
public:
  explicit AttemptScheduler(std::uint64_t Seed) : NestedLimiter(Seed) {}
  // Not copyable: the queue holds a reference to the run times.
  AttemptScheduler(const AttemptScheduler &) = delete;
  AttemptScheduler &operator=(const AttemptScheduler &) = delete;

  /// Properties of a call that are not part of its request.
  struct CallContext {
    /// The call is addressed to the current incarnation of this daemon.
    bool ForThisIncarnation = true;
    /// The call was made by a running call.
    bool Nested = false;
    const ServiceSpec *Limits = nullptr;
    /// The call was sent by this daemon itself.
    bool FromLocalDaemon = false;
    /// As in WaitingCall.
    double AccountWeight = 1;
  };

  /// Handles a complete call, or the header of a call whose body follows. An
  /// admitted header reserves a place in the queue. The place is released if
  /// the body cannot arrive in time or is lost, or if the attempt is queried.
  void receive(const wire::CallRequest &Request, std::string_view From,
               const CallContext &Context, Time Now, Effects &Out);
  /// Records received bytes of an admitted call's body and grants more.
  void bodyProgress(const BodyProgress &Body, Time Now, Effects &Out);
  /// Makes an admitted call runnable once its body is complete.
  void bodyArrived(const BodyArrived &Body, Time Now, Effects &Out);
  /// Fences a call whose body will not be completed.
  void bodyLost(const BodyLost &Body, Time Now, Effects &Out);
  /// Reports the outcome of an attempt; fences one that has not arrived.
  void receive(const wire::CallQuery &Query, std::string_view From,
               bool ForThisIncarnation, Time Now, Effects &Out);
  /// Stops a running attempt, removes a waiting one, and fences one that has
  /// not arrived: a cancellation may overtake its call on another connection.
  /// Acknowledges the cancellation to \p From.
  void receive(const wire::CallCancel &Cancel, std::string_view From, Time Now,
               Effects &Out);
  /// Releases an answer that its sender has acknowledged.
  void receive(const wire::AnswerAck &Ack, Time Now, Effects &Out);
  /// Applies what the target said of itself in the answer to a request that was
  /// sent at \p SentAt.
  void noticed(const TargetNotice &Notice, Time SentAt, Time Now, Effects &Out);
  /// Returns the rate that the target takes; 0 if it names none.
  double callsPerSecond() const;
  /// Handles the end of a run on the target and starts waiting calls.
  void finished(const RunFinished &Run, Time Now, Effects &Out);
  /// Records the end of a call made by the local target.
  void nestedEnded(const NestedOutcome &Outcome, Time Now) {
    this->NestedLimiter.nestedEnded(Outcome, Now);
  }
  /// Refuses calls that can no longer be served and removes expired attempts.
  void tick(Time Now, Effects &Out);

  /// Sets the rate of the local link in Mbit/s; 0 if unknown.
  void setLinkRate(double MegabitsPerSecond) {
    this->BodyFlow.setLinkRate(MegabitsPerSecond);
    this->Link.setRate(MegabitsPerSecond);
  }

  /// Limits the bytes of the bodies that are held for the target; 0 for none.
  void setMaxBodyBytes(std::int64_t Bytes) { this->Bodies.setLimit(Bytes); }

  /// Counts bytes of this daemon's own calls that leave by the link.
  void chargeLink(std::int64_t Bytes, Time Now) {
    this->Link.charge(Bytes, Now);
  }

  /// Attaches the loads of other targets to answers. \p Source must outlive
  /// this object.
  void setPeerLoads(const PeerLoadSource *Source) { this->PeerLoads = Source; }

  /// Reports run times although the target does not tell its pace.
  void setEvenPlacement(bool IsOn) { this->EvenPlacement = IsOn; }

  /// Applies an announcement of the target.
  void setTarget(const TargetAnnounced &Target, Time Now, Effects &Out);

  /// Refuses calls that are not expected to end before \p End, when this daemon
  /// exits.
  void setEnd(Time End) { this->EndsAt = End; }

  /// Refuses new calls and returns queued ones to their senders as not run.
  void drain(Time Now, Effects &Out);

  /// Returns the calls that run and wait, without the state of the link.
  wire::Load load() const;

  /// Returns the load that is reported with answers to calls of \p Route.
  wire::Load reportedLoad(std::string_view Route, Time Now) const;

  const OutgoingLink &link() const { return this->Link; }

  /// Returns how many calls were refused because the link could not have
  /// carried their answers in time.
  std::uint64_t refusedByLink() const { return this->RefusedByLink; }

  /// Returns how many calls were refused because the bodies that are held take
  /// the memory that they may use.
  std::uint64_t refusedByMemory() const { return this->RefusedByMemory; }

  /// Returns whether no call runs, waits or has an unacknowledged answer.
  bool idle() const;

private:
  enum class Stage { Reserved, Queued, Running, Finished, Refused, Fenced };
  struct Attempt {
    wire::AttemptId Id;
    Stage State = Stage::Queued;
    std::string From;
    Time Deadline;
    Time UsefulUntil;
    Time StartedAt;
    std::string Route;
    std::string Account;
    std::string CallId;
    Time KeepUntil = NoDeadline;
    int Priority = 0;
    bool Acknowledged = false;
    bool Nested = false;
    double AccountWeight = 1;
    bool Late = false;
    /// Count of ended nested calls at the start of the run.
    std::int64_t NestedAtStart = 0;
    wire::CallOutcome::type Outcome = wire::CallOutcome::Running;
    ResultCode Code = ResultCode::Ok;
    std::int64_t AnswerBytes = 0;
    /// The answer stays on this instance.
    bool ForLocalDaemon = false;
    /// Bytes reserved on the link until the answer is known.
    std::int64_t ReservedBytes = 0;
    /// When there may be room for the refused call.
    Time RoomAt;
    /// The connection over which the answer was last sent.
    std::string AnsweredOn;
  };
  /// Highest removed attempt number of one sender. Kept longer than the
  /// lifetime of any call.
  struct Watermark {
    std::int64_t UpTo = 0;
    Time KeepUntil;
  };
  using AttemptMap = std::map<wire::AttemptId, Attempt>;

  static std::string_view nameOf(Stage State);
  int slots(const ServiceSpec *Limits) const;
  ResultCode checkAdmission(const wire::CallRequest &Request, Time Now);
  /// Queues the attempt until a slot is free, or returns why it cannot wait.
  ResultCode enqueue(const Attempt &Item, const ServiceSpec *Limits, Time Now,
                     Effects &Out);
  WaitingCall waitingCall(const Attempt &Item) const;
  /// Reserves a place in the queue for an attempt whose body follows, or
  /// returns why there is none.
  ResultCode reserve(Attempt &Item, std::int64_t BodySize,
                     const CallContext &Context, Time Now, Effects &Out);
  /// Returns whether the link can deliver the body early enough for the call to
  /// finish in useful time.
  bool linkCanDeliver(const Attempt &Item, std::int64_t BodySize,
                      Time Now) const;
  /// Returns whether the link can carry the answer within the useful time.
  /// Reserves it if so; sets the time of the next room otherwise. Short answers
  /// are always carried; a nested call is useful until its deadline.
  bool reserveLink(Attempt &Item, std::int64_t BodySize, Time Now);
  /// Withdraws the reservation of an attempt whose answer is known or will not
  /// come.
  void releaseLink(Attempt &Item);
  /// Sends the parts of answers for which the link has room.
  void sendAnswerParts(Time Now, Effects &Out);
  /// Tells senders up to which byte they may send their bodies.
  void grantBodies(Time Now, Effects &Out);
  void logAdmission(const wire::CallRequest &Request, bool Nested,
                    std::string_view Choice, ResultCode Code, Time Now,
                    Effects &Out) const;
  /// Returns the slots without a running call.
  int freeSlots() const;
  /// Returns how many calls may start now.
  int startableCalls(Time Now) const;
  bool makeRoom(const WaitingCall &Call, const ServiceSpec *Limits, Time Now,
                Effects &Out);
  SlotState slotState(Time Now) const;
  void refuseUnservable(Time Now, Effects &Out);
  void run(Attempt &Item, Time Now, Effects &Out);
  void refuse(Attempt &Item, ResultCode Code, Time Now, Effects &Out);
  void answered(Attempt &Item, const RunFinished &Run, Time Now, Effects &Out);
  void startQueued(Time Now, Effects &Out);
  void refuseQueued(ResultCode Code, Time Now, Effects &Out);
  void reply(const wire::AttemptId &Id, std::string_view To,
             wire::CallOutcome::type Outcome, ResultCode Code, Time Now,
             Effects &Out, Channel Via = Channel::Stream) const;
  /// Sends the state or outcome of an attempt to its sender.
  void reportState(Attempt &Item, Time Now, Effects &Out);
  /// Sends the answer of an attempt to its sender.
  void sendAnswer(Attempt &Item, Time Now, Effects &Out);
  /// Reports the state of a known or removed attempt; returns false if the
  /// attempt has never arrived.
  bool reportIfKnown(const wire::AttemptId &Id, std::string_view From, Time Now,
                     Effects &Out);
  bool wasRemoved(const wire::AttemptId &Id) const;
  void removeAttempt(AttemptMap::iterator Item, Time Now, Effects &Out);
  /// Records that an attempt that has not arrived must not run.
  Attempt &fence(const wire::AttemptId &Id, std::string_view From, Time Now);
  void dropOldestAnswer(Effects &Out);
  Attempt &add(const wire::CallRequest &Request, std::string_view From,
               const CallContext &Context, Time Now);
  void recordShedding(const Attempt &Item, ResultCode Code, Time Now);

  TargetAnnounced Target;
  bool IsDraining = false;
  Time EndsAt = NoDeadline;
  int SlotCount = 1;
  AttemptMap Attempts;
  NestedLoadLimiter NestedLimiter;
  ShedMeter ShedLoadMeter;
  RunTimeEstimates RunTimes;
  AdmissionQueue Queue{RunTimes};
  BodyFlowControl BodyFlow;
  HeldBodies Bodies;
  AnswerSizes AnswerLengths;
  OutgoingLink Link;
  std::uint64_t RefusedByLink = 0;
  std::uint64_t RefusedByMemory = 0;
  CallRateLimit RateLimit;
  TargetPace Pace;
  bool EvenPlacement = false;
  const PeerLoadSource *PeerLoads = nullptr;
  /// Whether the target has answered this process. Until then its rate is not
  /// known.
  bool TargetAnswered = false;
  std::set<wire::AttemptId> RunningIds;
  std::map<std::pair<std::string, std::int64_t>, Watermark> RemovedUpTo;
  std::int64_t HeldAnswerBytes = 0;
  Time NextSweep;
};

} // namespace persimmon
