#pragma once

#include "effects.h"
#include "membership.h"

#include <map>
#include <span>
#include <string>

namespace persimmon {

/// Aggregates the versions in force on all proxies. The proxies of an
/// availability zone, ordered by name, form a tree. Each proxy reports its
/// subtree to its parent, and the root reports to the control instances, so
/// that the number of reports per daemon stays small for any number of proxies.
class ReportTree {
public:
  /// The aggregate over all proxies, as known to a control instance.
  struct Summary {
    std::int64_t LeastVersion = 0;
    std::int32_t Reported = 0;
    std::int32_t Expected = 0;
    /// Whether the reports cover exactly the proxies that are alive.
    bool Complete = false;
    std::vector<wire::Laggard> Laggards;
    /// Calls of running roll-outs.
    std::vector<wire::VersionAnswers> Answers;
  };

  /// Stores the report of a child, which is valid for six seconds.
  void receive(const wire::Report &Message, Time Now);

  /// Sets what this proxy counted of running roll-outs. Reports in which only
  /// such counts changed are sent no more often than every \p Interval, except
  /// when the last call to a version other than \p DrainingTo has ended.
  void setAnswers(std::vector<wire::VersionAnswers> Answers,
                  milliseconds Interval, std::string DrainingTo = {}) {
    this->OwnAnswers = std::move(Answers);
    this->AnswersInterval = Interval;
    this->DrainingTo = std::move(DrainingTo);
  }

  /// Records that the control instance at \p Address led recently. Reports in
  /// which only counts of roll-outs changed are sent to no other one until
  /// \p Until.
  void noteLeader(std::string_view Address, Time Until) {
    this->Leader = Address;
    this->LeaderUntil = Until;
  }

  /// Sends the report for this proxy's subtree if it changed or is due.
  void tick(const Membership &Members, std::int64_t VersionInForce, Time Now,
            Effects &Out);

  /// Returns the addresses that reports are sent to.
  std::span<const std::string> parentAddresses() const {
    return this->ParentAddresses;
  }

  /// Returns the aggregate over all proxies; for control instances.
  Summary summary(const Membership &Members, Time Now) const;

private:
  struct Child {
    wire::Report Latest;
    Time ValidUntil;
  };

  wire::Report subtreeReport(const Membership &Members,
                             std::int64_t VersionInForce, Time Now) const;
  void refreshParent(const Membership &Members);

  std::map<std::string, Child, std::less<>> Children;
  std::vector<std::string> ParentAddresses;
  std::uint64_t ParentRevision = 0;
  wire::Report LastSent;
  std::vector<wire::VersionAnswers> OwnAnswers;
  milliseconds AnswersInterval{0};
  std::string DrainingTo;
  std::string Leader;
  Time LeaderUntil;
  Time NextKeepalive;
  Time NextReport;
  Time NextAnswers;
};

} // namespace persimmon
