#pragma once

#include "membership.h"
#include "random.h"
#include "rollout.h"
#include "routetable.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmon {

/// Which targets of a service a call may use, by the version of their software.
struct VersionRule {
  enum class Kind { Any, Only, Except };
  Kind Mode = Kind::Any;
  std::string Version;
  /// Whether targets that announced no version are allowed too.
  bool Unversioned = true;

  bool allows(const wire::MemberRecord &Record) const;
};

/// Returns the version of the target of \p Service with the earliest start
/// among those that serve; empty if none tells both.
std::string earliestVersion(const Membership &Members,
                            std::string_view Service);

/// The part of roll-outs on a proxy: decides which version a call may use, and
/// counts the calls of running roll-outs by version and route. Without it, that
/// is if it is not enabled, versions are ignored.
class VersionFilter {
public:
  explicit VersionFilter(std::uint64_t Seed) : Rng(Seed) {}

  void enable() { this->Enabled = true; }
  bool enabled() const { return this->Enabled; }

  /// Returns the rule for the next attempt of a call to \p Service. A repeated
  /// attempt is no part of a canary. Unless the configuration is \p Confirmed
  /// as recent, a running roll-out is ignored: it may have been rolled back.
  VersionRule ruleFor(const Membership &Members, const RouteTable &Table,
                      std::string_view Service, bool Repeated, bool Confirmed);

  /// Returns whether all calls to a service of \p Route go to a new version, so
  /// that a recent confirmation is needed.
  bool needsConfirmation(const RouteTable &Table, const RouteSpec &Route) const;

  /// What a call was counted as; RolloutId is empty if it was not counted.
  struct Counted {
    std::string RolloutId;
    std::string Service;
    std::string Version;
    std::string Route;
  };
  enum class CallEnd { Answered, Failed, NotRun, Abandoned };

  /// Counts a call that is sent to \p Target.
  Counted started(const RouteTable &Table, std::string_view Service,
                  const std::string &Route, const wire::MemberRecord &Target);
  /// Counts the end of a call. \p RunTime counts if it is not negative.
  void ended(const Counted &Call, CallEnd End, milliseconds RunTime);

  /// Returns the counts of the roll-outs that run by \p Table; forgets others.
  std::vector<wire::VersionAnswers> counts(const RouteTable &Table);

  /// Returns a roll-out in its last stage, in which its end depends on recent
  /// counts; null if there is none.
  static const Rollout *findFull(const RouteTable &Table);

private:
  using Key = std::pair<std::string, std::string>;
  struct ServiceCounts {
    std::string RolloutId;
    std::map<Key, wire::VersionAnswers> ByVersionAndRoute;
  };

  const std::string &established(const Membership &Members,
                                 std::string_view Service);
  VersionRule ruleFor(const Membership &Members, const Rollout &Order,
                      bool Repeated, bool Confirmed);

  bool Enabled = false;
  Random Rng;
  std::map<std::string, ServiceCounts, std::less<>> Counts;
  /// Established versions without an order, by service, with the revision of
  /// the members that they are derived from.
  std::map<std::string, std::pair<std::uint64_t, std::string>, std::less<>>
      Derived;
};

/// Returns the natural logarithm of a run time in ms, in thousandths.
std::int64_t logRunMs(milliseconds RunTime);

/// Adds \p From to \p Sum, which has one entry for each roll-out, version and
/// route.
void addAnswers(std::vector<wire::VersionAnswers> &Sum,
                const std::vector<wire::VersionAnswers> &From);

} // namespace persimmon
