#pragma once

#include "time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Identifies what a request asks for: a hash of its method, URL and body. Call
/// ids are left out, as a caller that sends a request again uses a new one.
using RequestForm = std::uint64_t;

/// Learns which requests end the targets that run them, from the ends of
/// targets and from requests that were answered.
///
/// The load it answers: one form of request ends each target that runs it and
/// comes back as soon as its caller is told of the failure, while a target runs
/// ten to twenty others. Those are at one end, seldom at two, and are answered
/// elsewhere.
///
/// A form that was in a target at its end is a suspect. It is cleared by an
/// answer. At the second end without an answer in between it is held back for a
/// time; after that one request of the form is let through, whose outcome
/// clears the form or holds it back for twice the time.
class SuspectRequests {
public:
  enum class Verdict { Free, Suspect, HeldBack };

  /// Records that the run \p TargetRun of a target ended while it ran requests
  /// of \p Forms. A run that was recorded before is ignored.
  void targetEnded(std::string_view TargetRun,
                   std::span<const RequestForm> Forms, Time Now);

  /// Records that a target answered a request of \p Form.
  void answered(RequestForm Form, Time Now);

  /// Returns whether a request of \p Form may be sent. A suspect that has been
  /// held back until \p Now becomes Suspect for this request only.
  Verdict check(RequestForm Form, Time Now);

  /// Returns when a form that is held back is let through next.
  Time heldUntil(RequestForm Form) const;

  /// Clears \p Form by an operator's decision. Returns whether it was known.
  bool release(RequestForm Form) { return this->Suspects.erase(Form) != 0; }

  /// Forgets what has expired.
  void tick(Time Now);

  std::size_t suspectCount() const { return this->Suspects.size(); }
  std::size_t heldCount(Time Now) const;

private:
  struct Suspect {
    /// Target runs that ended under the form; no more than the threshold.
    std::vector<std::string> Ends;
    /// How often the form has been held back; doubles the next time.
    int Holds = 0;
    Time HeldUntil;
    /// A request that was let through after HeldUntil is running until then.
    Time TrialUntil;
    Time ForgetAt;
  };
  using SuspectMap = std::map<RequestForm, Suspect>;

  void hold(Suspect &Item, Time Now);
  /// Drops the suspect that expires first, to make room for another one.
  void dropOldest();

  SuspectMap Suspects;
  /// Forms that were answered lately, with the time until when an end does not
  /// make them suspects: requests that many callers send.
  std::map<RequestForm, Time> Trusted;
  /// Recorded ends, with the time until when they are kept.
  std::map<std::string, Time, std::less<>> RecordedRuns;
  Time NextSweep;
};

} // namespace persimmon
