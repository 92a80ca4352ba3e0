#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// A target that may get a call.
struct PlacementCandidate {
  const wire::MemberRecord *Record = nullptr;
  /// Share of its slots that may be used, from 0 to 1: less after failures, if
  /// it is unwell and shortly after its start.
  double Capacity = 1;
};

/// What the decision needs to know of a call.
struct PlacementRequest {
  std::string_view Service;
  std::string_view Route;
  /// Expected length of request and answer together.
  std::int64_t Bytes = 0;
  /// Until then, the answer has its full value for the caller.
  Time UsefulUntil = NoDeadline;
  /// Number of attempts so far if the last target was overloaded.
  int Refusals = 0;
};

/// A decision with its inputs, for the decision log. Record is null if no
/// target is worth an attempt.
struct Placement {
  const wire::MemberRecord *Record = nullptr;
  std::string_view Reason;
  /// The chosen target's expected load when the call arrives.
  double Calls = 0;
  double Slots = 0;
  double WaitMs = 0;
  /// Age of the report that this is based on; negative if there is none.
  milliseconds ReportAge{-1};
  /// Probability that the answer arrives in useful time.
  double Chance = 0;
};

/// Abstract policy that places the calls of a service on its targets.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;

  /// Places a call on one of \p Candidates and counts it there until ended().
  virtual Placement place(std::span<const PlacementCandidate> Candidates,
                          const PlacementRequest &Request, Time Now) = 0;

  /// Records the end of an attempt.
  virtual void ended(std::string_view Target) = 0;

  /// Records the load reported with an answer to a call of \p Route, and
  /// whether running calls make the calls of this route.
  virtual void reported(std::string_view Target, std::string_view Route,
                        const wire::Load &Load, bool Nested, Time Now) = 0;

  /// Records the loads that another daemon knew.
  virtual void heard(const std::vector<wire::PeerLoad> &Loads, Time Now) = 0;

  /// Returns the known loads that are worth sending to the daemon \p Receiver.
  virtual std::vector<wire::PeerLoad>
  loadsFor(const wire::MemberRecord &Receiver, Time Now) const = 0;
};

/// Provides the loads of other targets that are attached to answers.
class PeerLoadSource {
public:
  virtual ~PeerLoadSource() = default;

  /// Returns the loads that are sent to the daemon \p Receiver with an answer
  /// of this daemon's target; none if no service is placed evenly.
  virtual std::vector<wire::PeerLoad> loadsFor(std::string_view Receiver,
                                               Time Now) const = 0;
};

} // namespace persimmon
