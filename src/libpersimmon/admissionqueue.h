#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmon {

/// Learns how long calls of each route run on the own target, in milliseconds.
class RunTimes {
public:
  /// Returns the mean of the route, or of all routes while it is unknown.
  double expectedMs(std::string_view Route) const;

  void note(std::string_view Route, double TookMs);

private:
  std::map<std::string, double, std::less<>> ByRoute;
  double AnyRoute = 0;
};

/// A call that waits for a slot of the target.
struct WaitingCall {
  wire::AttemptId Id;
  std::string Route;
  int Priority = 0;
  /// When an answer is worth less to the caller; never after Deadline.
  Time UsefulUntil = NoDeadline;
  Time Deadline = NoDeadline;
  /// A running call made it.
  bool Nested = false;
  /// The time of full value was over when it came.
  bool Late = false;
  /// It can run; false while its body is on the way.
  bool Ready = true;
};

/// The work ahead of a call that would join the line.
struct SlotState {
  int Slots = 1;
  /// Slots without a running call.
  int Free = 0;
  /// Expected time left of all running calls together, in milliseconds.
  double RunningMs = 0;
};

/// The order in which calls wait for a target, and which of them are given up.
/// Nested calls go first: whoever waits for one holds a slot elsewhere. Then
/// the most important, among equals those that can still have their full value,
/// and among these the one whose value ends first, so a caller that was refused
/// before and returns in time is not the last. Load pattern: a burst above the
/// target's capacity. A line that admits all who can meet their deadline
/// answers everyone late; this one admits who can be answered in useful time
/// and refuses the rest at once. Late calls are admitted to room that others
/// leave. A call whose body is on the way keeps its place, but whoever stands
/// behind it and is ready goes first: no slot waits for a body.
class WaitingLine {
public:
  explicit WaitingLine(const RunTimes &Known) : Known(Known) {}

  /// Returns whether \p Call would be answered in useful time if it joined.
  bool canServe(const WaitingCall &Call, const SlotState &State,
                Time Now) const;

  void add(WaitingCall Call);

  /// Removes a call; does nothing if it does not wait.
  void remove(const wire::AttemptId &Id);

  /// Lets a call run that waited for its body.
  void setReady(const wire::AttemptId &Id, Time Deadline);

  /// Returns whether a call waits that can run.
  bool hasReady() const;

  /// Removes and returns the next call that can run. There must be one.
  WaitingCall takeNext();

  /// Removes and returns all calls in their order.
  std::vector<WaitingCall> takeAll();

  /// Removes and returns the last call. The line must not be empty.
  WaitingCall takeLast();

  /// Removes and returns calls that cannot be served any more, because their
  /// time is over or because more important calls went ahead of them. A call
  /// for whose body a free slot waits has until its deadline, as any that finds
  /// one.
  std::vector<WaitingCall> takeHopeless(const SlotState &State, Time Now);

  std::size_t size() const { return this->Calls.size(); }
  bool empty() const { return this->Calls.empty(); }
  const WaitingCall &last() const { return *this->Calls.rbegin(); }

private:
  struct Before {
    bool operator()(const WaitingCall &Left, const WaitingCall &Right) const;
  };

  std::set<WaitingCall, Before>::const_iterator nextReady() const;

  const RunTimes &Known;
  std::set<WaitingCall, Before> Calls;
};

} // namespace persimmon
