#include "versionfilter.h"

#include <algorithm>
#include <cmath>

namespace persimmon {

namespace {

constexpr int PerMille = 1000;

VersionRule makeRule(VersionRule::Kind Mode, std::string Version,
                     bool Unversioned) {
  VersionRule Out;
  Out.Mode = Mode;
  Out.Version = std::move(Version);
  Out.Unversioned = Unversioned;
  return Out;
}

/// Returns whether \p Rule leaves a target of \p Service that takes calls.
bool hasTarget(const Membership &Members, std::string_view Service,
               const VersionRule &Rule) {
  const auto &Names = Members.targetsOf(Service);
  return std::any_of(Names.begin(), Names.end(), [&](const std::string &Name) {
    const wire::MemberRecord *Record = Members.find(Name);
    return Record != nullptr && Rule.allows(*Record);
  });
}

} // namespace

bool VersionRule::allows(const wire::MemberRecord &Record) const {
  if (this->Mode == Kind::Any)
    return true;
  if (!Record.__isset.TargetVersion)
    return this->Unversioned;
  return (Record.TargetVersion == this->Version) == (this->Mode == Kind::Only);
}

std::string earliestVersion(const Membership &Members,
                            std::string_view Service) {
  const wire::MemberRecord *Earliest = nullptr;
  for (const std::string &Name : Members.targetsOf(Service)) {
    const wire::MemberRecord *Record = Members.find(Name);
    if (Record == nullptr || !Record->__isset.TargetVersion ||
        Record->Run.Born == 0)
      continue;
    if (Earliest == nullptr || Record->Run.Born < Earliest->Run.Born)
      Earliest = Record;
  }
  return Earliest == nullptr ? std::string() : Earliest->TargetVersion;
}

const std::string &VersionFilter::established(const Membership &Members,
                                              std::string_view Service) {
  auto &[Revision, Version] = this->Derived[std::string(Service)];
  if (Revision != Members.revision()) {
    Revision = Members.revision();
    Version = earliestVersion(Members, Service);
  }
  return Version;
}

VersionRule VersionFilter::ruleFor(const Membership &Members,
                                   const RouteTable &Table,
                                   std::string_view Service, bool Repeated,
                                   bool Confirmed) {
  if (!this->Enabled)
    return {};
  const Rollout *Order = Table.rollout(Service);
  if (Order != nullptr)
    return this->ruleFor(Members, *Order, Repeated, Confirmed);
  const std::string &Version = this->established(Members, Service);
  // The target that determines it takes calls.
  return Version.empty() ? VersionRule()
                         : makeRule(VersionRule::Kind::Only, Version, true);
}

VersionRule VersionFilter::ruleFor(const Membership &Members,
                                   const Rollout &Order, bool Repeated,
                                   bool Confirmed) {
  using Kind = VersionRule::Kind;
  VersionRule NewOnly = makeRule(Kind::Only, Order.Version,
                                 Order.State == RolloutState::Completed);
  VersionRule NotNew = makeRule(Kind::Except, Order.Version, false);
  const bool Drawn =
      Order.running() && Confirmed &&
      (Order.Stage == RolloutStage::Full ||
       (!Repeated && this->Rng.below(PerMille) <
                         static_cast<std::size_t>(Order.CanaryPerMille)));
  const bool UseNew = Drawn || Order.State == RolloutState::Completed;
  if (UseNew && hasTarget(Members, Order.Service, NewOnly))
    return NewOnly;
  if (Order.State == RolloutState::Completed)
    return {};
  if (!Order.Established.empty()) {
    VersionRule OldOnly = makeRule(Kind::Only, Order.Established, false);
    if (hasTarget(Members, Order.Service, OldOnly))
      return OldOnly;
    // Targets that all fell silent at once are rather cut off than gone, and
    // the new version may be bad.
    const bool Silent = Members.hasSilentTarget(Order.Service, OldOnly.Version);
    if (Order.running() && Silent)
      return OldOnly;
  }
  if (hasTarget(Members, Order.Service, NotNew))
    return NotNew;
  return {};
}

bool VersionFilter::needsConfirmation(const RouteTable &Table,
                                      const RouteSpec &Route) const {
  if (!this->Enabled)
    return false;
  return std::any_of(Route.Parts.begin(), Route.Parts.end(),
                     [&](const SplitPart &Part) {
                       const Rollout *Order = Table.rollout(Part.Service);
                       return Order != nullptr && Order->running() &&
                              Order->Stage == RolloutStage::Full;
                     });
}

VersionFilter::Counted
VersionFilter::started(const RouteTable &Table, std::string_view Service,
                       const std::string &Route,
                       const wire::MemberRecord &Target) {
  Counted Out;
  const Rollout *Order = this->Enabled ? Table.rollout(Service) : nullptr;
  if (Order == nullptr || !Order->running())
    return Out;
  Out.RolloutId = Order->Id;
  Out.Service = Order->Service;
  Out.Version = Target.TargetVersion;
  Out.Route = Route;
  ServiceCounts &Counted = this->Counts[Out.Service];
  if (Counted.RolloutId != Order->Id)
    Counted = {Order->Id, {}};
  wire::VersionAnswers &Item =
      Counted.ByVersionAndRoute[{Out.Version, Out.Route}];
  Item.Started += 1;
  Item.UnderWay += 1;
  return Out;
}

void VersionFilter::ended(const Counted &Call, CallEnd End,
                          milliseconds RunTime) {
  const auto Found = this->Counts.find(Call.Service);
  if (Call.RolloutId.empty() || Found == this->Counts.end() ||
      Found->second.RolloutId != Call.RolloutId)
    return;
  wire::VersionAnswers &Item =
      Found->second.ByVersionAndRoute[{Call.Version, Call.Route}];
  Item.UnderWay -= 1;
  switch (End) {
  case CallEnd::NotRun:
    Item.Started -= 1;
    return;
  case CallEnd::Abandoned:
    return;
  case CallEnd::Failed:
    Item.Failures += 1;
    [[fallthrough]];
  case CallEnd::Answered:
    Item.Answers += 1;
    break;
  }
  if (End == CallEnd::Answered && RunTime >= milliseconds(0)) {
    Item.Timed += 1;
    Item.RunMs += RunTime.count();
    Item.LogRunMs += logRunMs(RunTime);
  }
}

std::vector<wire::VersionAnswers>
VersionFilter::counts(const RouteTable &Table) {
  std::erase_if(this->Counts, [&](const auto &Item) {
    const Rollout *Order = Table.rollout(Item.first);
    return Order == nullptr || !Order->running() ||
           Order->Id != Item.second.RolloutId;
  });
  std::vector<wire::VersionAnswers> Out;
  for (const auto &[Service, Counted] : this->Counts) {
    for (const auto &[Names, Count] : Counted.ByVersionAndRoute) {
      wire::VersionAnswers Item = Count;
      Item.RolloutId = Counted.RolloutId;
      Item.Version = Names.first;
      // The name of a route only tells it apart from others.
      Item.Route = Names.second.substr(Names.second.rfind('/') + 1);
      Out.push_back(std::move(Item));
    }
  }
  return Out;
}

const Rollout *VersionFilter::findFull(const RouteTable &Table) {
  const auto Found = std::find_if(
      Table.rollouts().begin(), Table.rollouts().end(), [](const auto &Item) {
        return Item.second->running() &&
               Item.second->Stage == RolloutStage::Full;
      });
  return Found == Table.rollouts().end() ? nullptr : Found->second.get();
}

std::int64_t logRunMs(milliseconds RunTime) {
  constexpr double Thousandths = 1000;
  const auto Ms =
      static_cast<double>(std::max<std::int64_t>(1, RunTime.count()));
  return std::llround(std::log(Ms) * Thousandths);
}

void addAnswers(std::vector<wire::VersionAnswers> &Sum,
                const std::vector<wire::VersionAnswers> &From) {
  for (const wire::VersionAnswers &Item : From) {
    const auto Found = std::find_if(
        Sum.begin(), Sum.end(), [&](const wire::VersionAnswers &Other) {
          return Other.RolloutId == Item.RolloutId &&
                 Other.Version == Item.Version && Other.Route == Item.Route;
        });
    if (Found == Sum.end()) {
      Sum.push_back(Item);
      continue;
    }
    Found->Answers += Item.Answers;
    Found->Failures += Item.Failures;
    Found->RunMs += Item.RunMs;
    Found->LogRunMs += Item.LogRunMs;
    Found->Started += Item.Started;
    Found->UnderWay += Item.UnderWay;
    Found->Timed += Item.Timed;
  }
}

} // namespace persimmon
