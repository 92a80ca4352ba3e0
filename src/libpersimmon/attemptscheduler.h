#pragma once

#include "admissionqueue.h"
#include "bodyflowcontrol.h"
#include "effects.h"
#include "events.h"
#include "nestedloadlimiter.h"
#include "routetable.h"
#include "shedmeter.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace persimmon {

/// The target's side of calls: admits, queues or refuses them, and is the
/// authority on what ran. An attempt that was asked after before it arrived, or
/// before its body was whole, is fenced: it is refused if it arrives late.
class TargetLedger {
public:
  explicit TargetLedger(std::uint64_t Seed) : Guard(Seed) {}
  // The line refers to the run times of this ledger.
  TargetLedger(const TargetLedger &) = delete;
  TargetLedger &operator=(const TargetLedger &) = delete;

  /// What the daemon knows of a call beside its request.
  struct CallContext {
    /// It was meant for this process and not for an earlier one.
    bool Addressed = true;
    /// A running call made it.
    bool Nested = false;
    const ServiceSpec *Limits = nullptr;
    /// Its sender is this daemon.
    bool FromHere = false;
  };

  /// Handles a call that has arrived whole, or the header of one whose body
  /// follows: an admitted one gets a place in the line, which is free again
  /// when the body cannot come in time, is lost, or the attempt is asked after.
  void receive(const wire::CallRequest &Request, std::string_view From,
               const CallContext &Context, Time Now, Effects &Out);
  /// Notes a part of the body of an admitted call, and lets more come.
  void bodyProgress(const BodyProgress &Body, Time Now, Effects &Out);
  /// Lets an admitted call run now that its body is whole.
  void bodyArrived(const BodyArrived &Body, Time Now, Effects &Out);
  /// Fences a call whose body will not be whole.
  void bodyLost(const BodyLost &Body, Time Now, Effects &Out);
  /// Tells what became of an attempt; fences one that has not arrived.
  void receive(const wire::CallQuery &Query, std::string_view From,
               bool Addressed, Time Now, Effects &Out);
  /// Ends a running attempt, forgets one that waits, and fences one that has
  /// not arrived: a cancellation may overtake its call on another connection.
  /// Tells \p From that it was received.
  void receive(const wire::CallCancel &Cancel, std::string_view From, Time Now,
               Effects &Out);
  /// Lets go of an answer that its sender has taken.
  void receive(const wire::AnswerAck &Ack, Time Now, Effects &Out);
  /// Takes the end of a run on the target and starts what waits.
  void finished(const RunFinished &Run, Time Now, Effects &Out);
  /// Notes the end of a call that the own target made.
  void nestedEnded(const NestedOutcome &Outcome, Time Now) {
    this->Guard.nestedEnded(Outcome, Now);
  }
  /// Refuses what waited past its deadline and forgets old attempts.
  void tick(Time Now, Effects &Out);

  /// Gives the rate of the own link in Mbit/s; 0 if it is not known.
  void setLink(double MegabitsPerSecond) {
    this->Intake.setLink(MegabitsPerSecond);
  }

  /// Takes what the target announced of itself.
  void setTarget(const TargetAnnounced &Target, Time Now, Effects &Out);

  /// Refuses new work and hands back queued calls as not run.
  void drain(Time Now, Effects &Out);

  /// Returns the load to report with answers.
  wire::Load load() const;

  /// Returns whether no call runs, waits, or has an answer not yet taken.
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
    Time KeepUntil = NoDeadline;
    int Priority = 0;
    bool Taken = false;
    bool Nested = false;
    bool Late = false;
    /// Nested calls that the target had made when the run started.
    std::int64_t NestedBefore = 0;
    wire::CallOutcome::type Outcome = wire::CallOutcome::Running;
    ResultCode Code = ResultCode::Ok;
    std::int64_t AnswerBytes = 0;
    /// The connection on which the answer was sent last.
    std::string AnsweredOn;
  };
  /// Highest forgotten number of one sender. Kept longer than any call lives.
  struct Floor {
    std::int64_t UpTo = 0;
    Time KeepUntil;
  };
  using AttemptMap = std::map<wire::AttemptId, Attempt>;

  static std::string_view nameOf(Stage State);
  int slots(const ServiceSpec *Limits) const;
  ResultCode admissionOf(const wire::CallRequest &Request, Time Now);
  /// Lets the attempt wait for a slot, or returns why it cannot.
  ResultCode enqueue(const Attempt &Item, const ServiceSpec *Limits, Time Now,
                     Effects &Out);
  WaitingCall waitingCall(const Attempt &Item) const;
  /// Gives the attempt, whose body follows, a place in the line, or returns why
  /// it cannot.
  ResultCode reserve(Attempt &Item, std::int64_t BodySize,
                     const CallContext &Context, Time Now, Effects &Out);
  /// Returns whether the link brings the body while its call has its value.
  bool linkCarries(const Attempt &Item, std::int64_t BodySize, Time Now) const;
  /// Tells senders how far they may send their bodies.
  void grantBodies(Time Now, Effects &Out);
  void logAdmission(const wire::CallRequest &Request, bool Nested,
                    std::string_view Choice, ResultCode Code,
                    Effects &Out) const;
  int freeSlots() const;
  bool makeRoom(int Priority, const ServiceSpec *Limits, Time Now,
                Effects &Out);
  SlotState slotState(Time Now) const;
  void giveUpHopeless(Time Now, Effects &Out);
  void run(Attempt &Item, Time Now, Effects &Out);
  void refuse(Attempt &Item, ResultCode Code, Time Now, Effects &Out);
  void startQueued(Time Now, Effects &Out);
  void handBackQueued(ResultCode Code, Time Now, Effects &Out);
  void reply(const wire::AttemptId &Id, std::string_view To,
             wire::CallOutcome::type Outcome, ResultCode Code, Effects &Out,
             Channel Via = Channel::Stream) const;
  /// Tells the sender what became of an attempt.
  void tell(Attempt &Item, Time Now, Effects &Out) const;
  /// Answers with what is known of the attempt; returns false if nothing is.
  bool tellIfKnown(const wire::AttemptId &Id, std::string_view From, Time Now,
                   Effects &Out);
  bool forgotten(const wire::AttemptId &Id) const;
  void forget(AttemptMap::iterator Item, Time Now, Effects &Out);
  /// Notes that an attempt that has not arrived must not run any more.
  Attempt &fence(const wire::AttemptId &Id, std::string_view From, Time Now);
  void dropHeldAnswers(Effects &Out);
  Attempt &add(const wire::CallRequest &Request, std::string_view From,
               bool Nested, Time Now);
  void noteShed(const Attempt &Item, ResultCode Code, Time Now);

  TargetAnnounced Target;
  bool Leaving = false;
  int SlotsInUse = 1;
  AttemptMap Attempts;
  NestedLoadGuard Guard;
  ShedMeter Shed;
  RunTimes Times;
  WaitingLine Line{Times};
  BodyIntake Intake;
  std::set<wire::AttemptId> RunningIds;
  std::map<std::pair<std::string, std::int64_t>, Floor> ForgottenUpTo;
  std::int64_t HeldBytes = 0;
  Time NextSweep;
};

} // namespace persimmon
