#pragma once

#include "effects.h"
#include "membership.h"

#include <map>
#include <string>

namespace persimmon {

/// Sums up which versions are in force. The proxies of an availability zone,
/// ordered by name, form a tree; each reports its subtree to its parent and
/// the first one reports to the control instances, so that no daemon receives
/// more than a few reports, however many proxies there are.
class ReportTree {
public:
  /// What the control instances know of all proxies.
  struct Summary {
    std::int64_t LeastVersion = 0;
    std::int32_t Reported = 0;
    std::int32_t Expected = 0;
    /// True if the reports cover exactly the proxies that are alive.
    bool Complete = false;
    std::vector<wire::Laggard> Laggards;
  };

  /// Takes the report of a child; it counts for six seconds.
  void receive(const wire::Report &Message, Time Now);

  /// Sends the own subtree's report if it changed or is due.
  void tick(const Membership &Members, std::int64_t VersionInForce, Time Now,
            Effects &Out);

  /// Returns what is known of the whole fleet; for control instances.
  Summary summary(const Membership &Members, Time Now) const;

private:
  struct Child {
    wire::Report Latest;
    Time ValidUntil;
  };

  wire::Report ownReport(const Membership &Members, std::int64_t VersionInForce,
                         Time Now) const;
  void refreshParent(const Membership &Members);

  std::map<std::string, Child, std::less<>> Children;
  std::vector<std::string> ParentAddresses;
  std::uint64_t ParentRevision = 0;
  wire::Report Sent;
  Time NextKeepalive;
  Time NextReport;
};

} // namespace persimmon
