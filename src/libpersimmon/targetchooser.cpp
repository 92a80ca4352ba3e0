#include "targetchooser.h"

#include <algorithm>
#include <vector>

namespace persimmon {

namespace {

/// Time in which a report loses its weight against the mean of its service.
constexpr milliseconds ReportValidity{1000};
/// Weight of the newest report in the mean of its service.
constexpr double MeanLoadWeight = 0.1;
constexpr milliseconds RampDuration{5000};
constexpr milliseconds EjectionDuration{5000};
/// Time for membership to detect a daemon that is down; after it the target is
/// tried again.
constexpr milliseconds UnreachableDuration{1000};
constexpr double FailureWeight = 0.2;
constexpr double EjectionThreshold = 0.6;
constexpr double RampStartShare = 0.1;
constexpr double FailurePenalty = 4.0;
constexpr double UnwellPenalty = 1.0;
/// Share of the slots of an unwell target that the even placement uses.
constexpr double UnwellCapacity = 0.1;
constexpr double SaturatedScore = 1.0;

} // namespace

TargetChooser::TargetChooser(std::string Zone, std::uint64_t Seed,
                             const ChoicePolicy &Policy)
    : Zone(std::move(Zone)), Rng(Seed), Policy(Policy),
      Even(std::make_unique<EvenPlacement>(this->Zone, Seed + 1)) {}

double TargetChooser::rampShare(const Stats &Target, Time Now) {
  const double RampLeft =
      static_cast<double>(millisecondsUntil(Target.RampUntil, Now)) /
      static_cast<double>(Target.RampLength.count());
  return 1.0 - RampLeft * (1.0 - RampStartShare);
}

TargetChooser::Stats &TargetChooser::statsOf(const wire::MemberRecord &Record,
                                             Time Now) {
  Stats &Target = this->Targets[Record.Name];
  Target.Service = Record.Service;
  if (Target.Incarnation != Record.Incarnation) {
    // No ramp for targets seen for the first time, as all are after the start
    // of this daemon.
    const bool Restarted = Target.Incarnation != 0;
    const int InFlight = Target.InFlight;
    Target = Stats{};
    Target.InFlight = InFlight;
    Target.Service = Record.Service;
    Target.Incarnation = Record.Incarnation;
    Target.RampUntil = Restarted ? Now + RampDuration : Now;
    Target.RampLength = RampDuration;
  }
  if (Record.ColdMs > 0 && Target.ColdSequence != Record.Sequence) {
    Target.ColdSequence = Record.Sequence;
    Target.RampLength = milliseconds(Record.ColdMs);
    Target.RampUntil = Now + Target.RampLength;
  }
  return Target;
}

double TargetChooser::slotScore(const wire::MemberRecord &Record,
                                const Stats &Target, Time Now) const {
  // A target in need reports fewer slots than it announced.
  const bool Reduced = Now < Target.ReportValidUntil &&
                       Target.ReportedSlots > 0 &&
                       Target.ReportedSlots < Record.Slots;
  const int Slots = Reduced ? Target.ReportedSlots : std::max(1, Record.Slots);
  const double Own = static_cast<double>(Target.InFlight) / Slots;
  const auto Mean = this->MeanLoads.find(Record.Service);
  if (Mean == this->MeanLoads.end())
    return Own;
  const double Weight =
      static_cast<double>(millisecondsUntil(Target.ReportValidUntil, Now)) /
      static_cast<double>(ReportValidity.count());
  const double Reported =
      static_cast<double>(Target.ReportedRunning + Target.ReportedQueued) /
      Slots;
  return std::max(Own, Weight * Reported + (1 - Weight) * Mean->second);
}

double TargetChooser::linkScore(const Stats &Target, const LinkUse &Use,
                                Time Now) const {
  const auto UsefulMs = millisecondsUntil(Use.UsefulUntil, Now);
  const auto BusyMs = millisecondsUntil(Target.LinkBusyUntil, Now);
  if (BusyMs == 0)
    return 0;
  return static_cast<double>(BusyMs) /
         static_cast<double>(std::max<long long>(1, UsefulMs));
}

double TargetChooser::score(const wire::MemberRecord &Record, Stats &Target,
                            bool UseUnwellHints, const LinkUse &Use,
                            Time Now) const {
  const int Slots = std::max(1, Record.Slots);
  double Score = this->slotScore(Record, Target, Now);
  if (Use.LargeAnswer && Record.Name != this->OwnName)
    Score = std::max(Score, this->linkScore(Target, Use, Now));
  Score += FailurePenalty * Target.FailureRate;
  if (UseUnwellHints && Record.Unwell)
    Score += UnwellPenalty;
  if (Now < Target.RampUntil)
    Score = (Score + 1.0 / Slots) / rampShare(Target, Now);
  return Score;
}

TargetChoice TargetChooser::choose(const Membership &Members,
                                   std::string_view Service,
                                   const std::set<std::string> &Excluded,
                                   Time Now, const LinkUse &Use,
                                   const VersionRule &Versions) {
  const TargetChoice Out =
      this->chooseAny(Members, Service, Excluded, Now, Use, Versions);
  this->Counts.ByReason[Out.Reason.empty() ? "none" : Out.Reason] += 1;
  if (Out.Record != nullptr && Out.Record->Zone != this->Zone) {
    this->Counts.CrossedZones += 1;
    this->Counts.CrossedBytes += static_cast<std::uint64_t>(Use.Bytes);
  }
  return Out;
}

void TargetChooser::placeEvenly(
    const std::vector<const wire::MemberRecord *> &Eligible,
    std::string_view Service, bool UseUnwellHints, Time Now, const LinkUse &Use,
    TargetChoice &Out) {
  std::vector<PlacementCandidate> Candidates;
  Candidates.reserve(Eligible.size());
  for (const wire::MemberRecord *Record : Eligible) {
    const Stats &Target = this->statsOf(*Record, Now);
    double Capacity = 1 / (1 + FailurePenalty * Target.FailureRate);
    if (UseUnwellHints && Record->Unwell)
      Capacity *= UnwellCapacity;
    if (Now < Target.RampUntil)
      Capacity *= rampShare(Target, Now);
    Candidates.push_back({Record, Capacity});
  }
  PlacementRequest Request;
  Request.Service = Service;
  Request.Route = Use.Route;
  Request.Bytes = Use.Bytes;
  Request.UsefulUntil = Use.UsefulUntil;
  Request.Refusals = Use.Refusals;
  Out.Even = this->Even->place(Candidates, Request, Now);
  Out.Record = Out.Even->Record;
  Out.Reason = Out.Even->Reason;
}

std::pair<const wire::MemberRecord *, double>
TargetChooser::pickOfTwo(const std::vector<const wire::MemberRecord *> &From,
                         bool UseUnwellHints, const LinkUse &Use, Time Now) {
  const std::size_t First = this->Rng.below(From.size());
  std::size_t Second = First;
  if (From.size() > 1) {
    Second = this->Rng.below(From.size() - 1);
    Second += Second >= First ? 1 : 0;
  }
  const double Scores[2] = {
      this->score(*From[First], this->statsOf(*From[First], Now),
                  UseUnwellHints, Use, Now),
      this->score(*From[Second], this->statsOf(*From[Second], Now),
                  UseUnwellHints, Use, Now)};
  const std::size_t Best = this->Policy.pick(Scores[0], Scores[1]);
  return {From[Best == 0 ? First : Second], Scores[Best]};
}

TargetChoice TargetChooser::chooseAny(const Membership &Members,
                                      std::string_view Service,
                                      const std::set<std::string> &Excluded,
                                      Time Now, const LinkUse &Use,
                                      const VersionRule &Versions) {
  this->OwnName = Members.self().Name;
  std::vector<const wire::MemberRecord *> Eligible;
  std::size_t Unwell = 0;
  std::size_t Ejected = 0;
  std::size_t Allowed = 0;
  const auto AddEligible = [&](const std::vector<std::string> &Names) {
    for (const std::string &Name : Names) {
      const wire::MemberRecord *Record = Members.find(Name);
      if (Record == nullptr || !Versions.allows(*Record))
        continue;
      Allowed += 1;
      if (Excluded.count(Name) != 0)
        continue;
      Eligible.push_back(Record);
      Unwell += Record->Unwell ? 1 : 0;
      Ejected += Now < this->statsOf(*Record, Now).EjectedUntil ? 1 : 0;
    }
  };
  AddEligible(Members.targetsOf(Service));
  // A service whose targets all fell silent at once is more likely cut off by
  // full links than gone.
  const bool AllSilent = Allowed == 0;
  if (AllSilent)
    AddEligible(Members.silentTargetsOf(Service, Now));
  const auto Unreachable = [&](const wire::MemberRecord *Record) {
    return Now < this->statsOf(*Record, Now).UnreachableUntil;
  };
  if (!std::all_of(Eligible.begin(), Eligible.end(), Unreachable))
    std::erase_if(Eligible, Unreachable);
  // Unwell hints and ejections are ignored if they affect most targets.
  const bool UseUnwellHints = Unwell * 2 <= Eligible.size();
  if (Ejected * 2 <= Eligible.size()) {
    std::erase_if(Eligible, [&](const wire::MemberRecord *Record) {
      return Now < this->statsOf(*Record, Now).EjectedUntil;
    });
  }
  TargetChoice Out;
  Out.Candidates = Eligible.size();
  if (Eligible.empty())
    return Out;
  if (Use.LargeBody || Use.LargeAnswer) {
    const auto LocalTarget =
        std::find_if(Eligible.begin(), Eligible.end(), [&](const auto *Item) {
          return Item->Name == this->OwnName;
        });
    if (LocalTarget != Eligible.end() &&
        this->score(**LocalTarget, this->statsOf(**LocalTarget, Now),
                    UseUnwellHints, Use, Now) < SaturatedScore) {
      Out.Record = *LocalTarget;
      Out.Reason = "own-target";
      return Out;
    }
  }
  if (!AllSilent && this->placesEvenly(Service)) {
    this->placeEvenly(Eligible, Service, UseUnwellHints, Now, Use, Out);
    return Out;
  }
  std::vector<const wire::MemberRecord *> SameZone;
  for (const wire::MemberRecord *Record : Eligible) {
    if (Record->Zone == this->Zone)
      SameZone.push_back(Record);
  }
  if (!SameZone.empty()) {
    const auto [Record, Score] =
        this->pickOfTwo(SameZone, UseUnwellHints, Use, Now);
    if (Score < SaturatedScore || SameZone.size() == Eligible.size()) {
      Out.Record = Record;
      Out.Reason = AllSilent ? "all-silent" : "own-zone";
      return Out;
    }
  }
  Out.Record = this->pickOfTwo(Eligible, UseUnwellHints, Use, Now).first;
  Out.Reason = AllSilent          ? "all-silent"
               : SameZone.empty() ? "no-target-in-zone"
                                  : "zone-loaded";
  return Out;
}

bool TargetChooser::warmingUp(std::string_view Name, Time Now) const {
  const auto Found = this->Targets.find(Name);
  return Found != this->Targets.end() && Now < Found->second.RampUntil;
}

void TargetChooser::started(std::string_view Name) {
  const auto Found = this->Targets.find(Name);
  if (Found != this->Targets.end())
    Found->second.InFlight += 1;
}

void TargetChooser::finished(std::string_view Name, bool Failed, Time Now) {
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end())
    return;
  Stats &Target = Found->second;
  Target.InFlight = std::max(0, Target.InFlight - 1);
  this->Even->ended(Name);
  Target.FailureRate +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - Target.FailureRate);
  if (Failed && Target.FailureRate > EjectionThreshold)
    Target.EjectedUntil = Now + EjectionDuration;
}

void TargetChooser::unreachable(std::string_view Name, Time Now) {
  const auto Found = this->Targets.find(Name);
  if (Found != this->Targets.end())
    Found->second.UnreachableUntil = Now + UnreachableDuration;
}

void TargetChooser::reported(std::string_view Name, const wire::Load &Load,
                             Time Now) {
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end())
    return;
  Stats &Target = Found->second;
  if (Load.Slots > 0) {
    const double Share =
        static_cast<double>(Load.Running + Load.Queued) / Load.Slots;
    const auto [Mean, First] = this->MeanLoads.emplace(Target.Service, Share);
    if (!First)
      Mean->second += MeanLoadWeight * (Share - Mean->second);
  }
  Target.ReportedSlots = Load.Slots;
  Target.ReportedRunning = Load.Running;
  Target.ReportedQueued = Load.Queued;
  Target.ReportValidUntil = Now + ReportValidity;
  Target.LinkBusyUntil = Now + milliseconds(Load.LinkMs);
}

void TargetChooser::reported(std::string_view Name, std::string_view Route,
                             const wire::CallReply &Reply, Time Now) {
  this->reported(Name, Reply.TargetLoad, Now);
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end())
    return;
  const std::string &Service = Found->second.Service;
  if (Reply.TargetLoad.PacePercent > 0 && !this->placesEvenly(Service))
    this->EvenServices.insert(Service);
  if (this->placesEvenly(Service))
    this->Even->reported(Name, Route, Reply.TargetLoad, Reply.Nested, Now);
  this->Even->heard(Reply.Peers, Now);
}

void TargetChooser::reportedLocal(const wire::Load &Load, Time Now) {
  const auto Found = this->Targets.find(this->OwnName);
  if (Found != this->Targets.end() && this->placesEvenly(Found->second.Service))
    this->Even->reported(this->OwnName, {}, Load, false, Now);
}

} // namespace persimmon
