#pragma once

#include "libwire/libwire.h"

#include "accountfairness.h"
#include "time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmon {

/// Moving averages of a duration of calls by route, in milliseconds: of the
/// runs on the local target, or of the time until a caller is answered.
class RunTimeEstimates {
public:
  /// Returns the mean of the route, or of all routes while it is unknown.
  double expectedMs(std::string_view Route) const;

  void addSample(std::string_view Route, double TookMs);

private:
  std::map<std::string, double, std::less<>> ByRoute;
  double AllRoutes = 0;
};

/// A call that waits for a slot of the target.
struct WaitingCall {
  wire::AttemptId Id;
  std::string Route;
  /// Name of the client account; empty if there is none.
  std::string Account;
  int Priority = 0;
  /// End of the time in which an answer has full value for the caller; never
  /// after Deadline.
  Time UsefulUntil = NoDeadline;
  Time Deadline = NoDeadline;
  /// A running call made it.
  bool Nested = false;
  /// The time of full value had already passed when the call arrived.
  bool Late = false;
  /// It can run; false while its body is in transit.
  bool Ready = true;
};

/// The slots of the target and the remaining work of their runs.
struct SlotState {
  int Slots = 1;
  /// Slots without a running call.
  int Free = 0;
  /// Sum of the expected remaining times of all running calls, in milliseconds.
  double RunningMs = 0;
  /// Time between the starts of two calls in milliseconds if the target limits
  /// their rate; 0 otherwise.
  double StartIntervalMs = 0;
  /// Time until the next call may start.
  double NextStartMs = 0;
};

/// Priority queue of the calls that wait for a slot of the target; also decides
/// which of them can no longer be served.
///
/// Nested calls come first, because the call that waits for one holds a slot of
/// another target. Then calls are ordered by priority, calls with useful time
/// left before late ones, fairly by client account (AccountFairness), and by
/// the end of their useful time, so that a call that is retried in time after a
/// refusal is not placed last. Without accounts the fair order has no effect.
///
/// Load pattern: a burst above the target's capacity. A queue that admits every
/// call that can meet its deadline answers all of them late. This queue admits
/// the calls that can be answered in useful time and refuses the others at
/// once. Late calls are admitted only to capacity that other calls leave
/// unused. A call whose body is in transit keeps its place, but ready calls
/// behind it are started first, so that no slot waits for a body.
class AdmissionQueue {
public:
  explicit AdmissionQueue(const RunTimeEstimates &Estimates)
      : Estimates(Estimates) {}

  /// Sets the number of calls that the target runs at the same time.
  void setSlots(int Count) { this->Slots = Count; }

  /// Counts a call that arrived, before it is decided on.
  void arrived(const WaitingCall &Call, Time Now);

  /// Counts a call that starts, whether or not it waited.
  void started(const WaitingCall &Call, Time Now);

  /// Returns the share of the calls of an account that may be admitted if the
  /// share \p OfAll of all calls of the priority may.
  double admittedShare(int Priority, std::string_view Account, double OfAll,
                       Time Now) const;

  /// Returns whether \p Call is expected to be answered in useful time if it is
  /// queued.
  bool canServe(const WaitingCall &Call, const SlotState &State,
                Time Now) const;

  void add(WaitingCall Call);

  /// Removes a call; does nothing if it does not wait.
  void remove(const wire::AttemptId &Id);

  /// Marks a call whose body has arrived as ready. \p Deadline replaces its
  /// deadline if it is earlier.
  void setReady(const wire::AttemptId &Id, Time Deadline);

  /// Returns whether a call waits that can run.
  bool hasReady() const;

  /// Removes and returns the next call that can run. There must be one.
  WaitingCall takeNext();

  /// Removes and returns all calls in their order.
  std::vector<WaitingCall> takeAll();

  /// Removes and returns the last call. The queue must not be empty.
  WaitingCall takeLast();

  /// Removes and returns calls that can no longer be served, because their time
  /// has expired or because calls of higher priority were queued ahead of them.
  /// A call whose body is in transit is kept until its deadline while a slot is
  /// free for it, since a call that finds a free slot does not wait.
  std::vector<WaitingCall> takeUnservable(const SlotState &State, Time Now);

  std::size_t size() const { return this->Calls.size(); }
  bool empty() const { return this->Calls.empty(); }

  /// Returns whether the last call makes way for \p Call if the queue is full:
  /// it has a lower priority, or is of another account and behind \p Call.
  bool displacesLast(const WaitingCall &Call) const;

private:
  struct QueueOrder {
    bool operator()(const WaitingCall &Left, const WaitingCall &Right) const;
  };

  using CallSet = std::set<WaitingCall, QueueOrder>;

  /// Returns the waiting calls, and \p Extra if it is not null, in the order in
  /// which they are to start.
  std::vector<const WaitingCall *>
  inOrder(const WaitingCall *Extra = nullptr) const;

  /// Orders \p Calls, which are in the order of QueueOrder, fairly by account.
  void orderByAccount(std::vector<const WaitingCall *> &Calls) const;

  /// Returns the virtual time that a call takes of its account's part.
  double fairCostMs(const WaitingCall &Call) const;

  /// Returns the virtual time that accounts are not told apart by.
  double fairQuantumMs() const;

  /// Removes and returns a waiting call.
  WaitingCall take(const WaitingCall &Call);

  /// Returns how long a call waits behind \p Ahead waiting calls, which need
  /// \p AheadMs of slots together with the running ones.
  static double waitMs(const SlotState &State, int Ahead, double AheadMs);

  const RunTimeEstimates &Estimates;
  CallSet Calls;
  AccountFairness Fairness;
  int Slots = 1;
  /// Calls of client accounts were seen.
  bool HasAccounts = false;
};

} // namespace persimmon
