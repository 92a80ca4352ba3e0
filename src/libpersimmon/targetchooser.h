#pragma once

#include "membership.h"
#include "random.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace persimmon {

/// Why a target was chosen, for the decision log.
struct TargetChoice {
  const wire::MemberRecord *Record = nullptr;
  std::size_t Candidates = 0;
  std::string_view Reason;
};

/// Abstract policy that picks the target of an attempt.
class ChoicePolicy {
public:
  virtual ~ChoicePolicy() = default;

  /// Returns the position of the better of two scores, lower is better.
  virtual std::size_t pick(double First, double Second) const = 0;
};

/// Takes the less loaded of two random candidates.
class LeastOfTwo : public ChoicePolicy {
public:
  std::size_t pick(double First, double Second) const override {
    return Second < First ? 1 : 0;
  }
};

/// Ignores load; the baseline that measurements compare with.
class FirstOfTwo : public ChoicePolicy {
public:
  std::size_t pick(double, double) const override { return 0; }
};

/// Chooses targets by the own calls in flight, the load that came back with
/// answers, recent failures, availability zone and time since start.
class TargetChooser {
public:
  /// \p Policy must outlive the chooser.
  TargetChooser(std::string Zone, std::uint64_t Seed,
                const ChoicePolicy &Policy);

  /// Chooses a target of \p Service that is not in \p Excluded. A large body
  /// goes to the own target while that has room, as it needs no link then.
  TargetChoice choose(const Membership &Members, std::string_view Service,
                      const std::set<std::string> &Excluded, Time Now,
                      bool LargeBody = false);

  /// Notes that an attempt was sent.
  void started(std::string_view Name);

  /// Notes the end of an attempt. \p Failed says that the target or its
  /// daemon did not do its work.
  void finished(std::string_view Name, bool Failed, Time Now);
  /// Notes that nothing could be sent to the target, or that its daemon fell
  /// silent. It is passed over for a while if there are others.
  void unreachable(std::string_view Name, Time Now);
  /// Takes the load that came back with an answer.
  void reported(std::string_view Name, const wire::Load &Load, Time Now);

private:
  struct Stats {
    int InFlight = 0;
    int ReportedRunning = 0;
    int ReportedQueued = 0;
    Time ReportValidUntil;
    double FailureRate = 0;
    Time EjectedUntil;
    Time UnreachableUntil;
    std::int64_t Incarnation = 0;
    Time RampUntil;
    milliseconds RampLength{0};
    std::int64_t ColdSequence = 0;
  };

  double score(const wire::MemberRecord &Record, Stats &Target, bool UseHints,
               Time Now) const;
  Stats &statsOf(const wire::MemberRecord &Record, Time Now);

  std::string Zone;
  Random Rng;
  const ChoicePolicy &Policy;
  std::map<std::string, Stats, std::less<>> Targets;
};

} // namespace persimmon
