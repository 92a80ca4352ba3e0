#include "evenplacement.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace persimmon {

namespace {

/// A far target counts as known to have room for this long after its report.
/// Calls run for 36 to 340 ms, so an older report tells little.
constexpr milliseconds ReportKnownFor{300};
/// A target that is avoided because it was slow or reported few slots answers
/// no calls and so reports nothing. Its slowness and its slots return to the
/// usual ones within these times, so that it is tried again.
constexpr std::chrono::duration<double> SlownessKnownFor{3.0};
constexpr milliseconds ReducedSlotsFor{1000};
/// Reports that are passed on to other daemons are no older than this.
constexpr milliseconds MaxPeerAge{400};
/// Loads that are sent with an answer. In a zone of 21 daemons, six of them
/// with each of 27 answers a second keep the loads of all targets younger than
/// a run; answers to other zones carry less, since their bytes are expensive.
constexpr std::size_t PeersInZone = 6;
constexpr std::size_t PeersAcrossZones = 3;
/// Deviation of a prediction as a share of the run and of the wait.
constexpr double RunUncertainty = 0.2;
constexpr double WaitUncertainty = 0.3;
/// Mean remaining time of the runs of a full target as a share of the mean run
/// time: a queued call is admitted only if it could wait for that.
constexpr double RemainingShare = 0.65;
/// Among targets whose chances differ by no more than this, the load decides.
/// A smaller value fills fast targets first: with 0.05 the slots in use spread
/// by 0.25 instead of 0.18 over targets that tell their pace.
constexpr double ChanceTolerance = 0.15;
/// Candidates drawn at random, so that daemons with the same reports do not all
/// choose the same target.
constexpr int Draws = 3;
/// Value of the bytes of a mean call that crosses zones, as a share of the
/// value of an answer. A day on which half of all bytes cross costs 0.15 to 0.4
/// of its worth.
constexpr double CrossingPrice = 0.25;
/// Mean load of a service in another zone, as a share of its slots, from which
/// on no call crosses. Targets of a full zone have room for moments only:
/// without this limit 5% of the bytes cross at 1.2 times the capacity, instead
/// of 1.4%, and no more calls are served.
constexpr double MaxFarShare = 1;
/// A call crosses only for a gain above the errors of the prediction.
constexpr double CrossingMargin = 0.05;
/// A refused nested call wastes the run that made it.
constexpr double NestedValue = 3;
/// A refused call is not sent to another target with a lower chance.
constexpr double MinRetryChance = 0.1;
/// While nothing is known of the other zones and the own one is full, a call of
/// at most this share of the mean length is sent there once in the interval;
/// its answer tells the loads.
constexpr double ScoutBytesShare = 0.7;
constexpr double ScoutBelowChance = 0.5;
constexpr milliseconds ScoutInterval{200};
/// Weights of the newest value in moving means.
constexpr double MeanWeight = 0.05;
constexpr double SlownessWeight = 0.5;
/// A target with hardly any capacity still counts with this part of a slot.
constexpr double MinSlots = 0.1;
constexpr double MinSlowness = 0.1;
constexpr double MaxSlowness = 10;
/// Longest useful time that matters for a decision.
constexpr double MaxLeftMs = 10'000;

double millisecondsOf(Time::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Returns the mean of the positive part of a normal variable.
double positivePart(double Mean, double Deviation) {
  const double Z = Mean / Deviation;
  constexpr double InvSqrt2Pi = 0.3989422804;
  return Mean * 0.5 * std::erfc(-Z / std::sqrt(2.0)) +
         Deviation * InvSqrt2Pi * std::exp(-Z * Z / 2);
}

double leftMs(const PlacementRequest &Request, Time Now) {
  return std::min(MaxLeftMs, millisecondsOf(Request.UsefulUntil - Now));
}

bool isKnown(const Placement &Item) {
  return Item.ReportAge.count() >= 0 && Item.ReportAge <= ReportKnownFor;
}

void addToMean(double &Mean, double Value, double Weight) {
  Mean += Mean == 0 ? Value : Weight * (Value - Mean);
}

} // namespace

EvenPlacement::EvenPlacement(std::string Zone, std::uint64_t Seed)
    : Zone(std::move(Zone)), Rng(Seed) {}

EvenPlacement::TargetState &
EvenPlacement::stateOf(const wire::MemberRecord &Record) {
  TargetState &Target = this->Targets[Record.Name];
  if (Target.Incarnation != Record.Incarnation ||
      Target.Service != Record.Service) {
    Target = {};
    Target.Incarnation = Record.Incarnation;
    Target.Service = Record.Service;
    Target.Zone = Record.Zone;
  }
  return Target;
}

void EvenPlacement::apply(TargetState &Target, double Calls, int Slots,
                          Time ReportAt) {
  Target.HasReport = true;
  Target.ReportAt = ReportAt;
  Target.Calls = Calls;
  Target.Slots = Slots;
  ZoneLoad &Mean = this->ZoneLoads[{Target.Service, Target.Zone}];
  addToMean(Mean.Share, Calls / Slots, MeanWeight);
  Mean.ReportAt = std::max(Mean.ReportAt, ReportAt);
}

double EvenPlacement::meanShare(const TargetState &Target, Time Now) const {
  const auto Found = this->ZoneLoads.find({Target.Service, Target.Zone});
  if (Target.Zone == this->Zone)
    return Found == this->ZoneLoads.end() ? 0.0 : Found->second.Share;
  if (Found == this->ZoneLoads.end() ||
      Now - Found->second.ReportAt > ReportKnownFor)
    return 1.0;
  return Found->second.Share;
}

EvenPlacement::Estimate EvenPlacement::estimate(const PlacementCandidate &From,
                                                const PlacementRequest &Request,
                                                Time Now) {
  const TargetState &Target = this->stateOf(*From.Record);
  const double ServiceMs = this->Services[Target.Service].RunMs;
  const auto Route = this->Routes.find(Request.Route);
  const double RouteMs = Route == this->Routes.end() || Route->second.RunMs == 0
                             ? ServiceMs
                             : Route->second.RunMs;
  const Time::duration Age = Now - Target.ReportAt;
  const double Slowness =
      1 + (Target.Slowness - 1) * std::exp(-Age / SlownessKnownFor);
  const double RunMs = std::max(1.0, ServiceMs * Slowness);
  Estimate Out;
  Out.RunMs = RouteMs * Slowness;
  Placement &Result = Out.Result;
  Result.Record = From.Record;
  const int Announced = std::max(1, From.Record->Slots);
  // A target in need reports fewer slots than it announced.
  const bool Reduced = Target.HasReport && Age <= ReducedSlotsFor;
  Result.Slots =
      (Reduced ? std::min(Target.Slots, Announced) : Announced) * From.Capacity;
  const double Mean = this->meanShare(Target, Now) * Result.Slots;
  double Weight = 0;
  if (Target.HasReport) {
    Result.ReportAge = std::chrono::duration_cast<milliseconds>(Age);
    Weight = std::exp(-millisecondsOf(Age) / RunMs);
  }
  const auto SentSince =
      std::count_if(Target.Sent.begin(), Target.Sent.end(), [&](Time At) {
        return !Target.HasReport || At >= Target.ReportAt;
      });
  Result.Calls =
      Mean + Weight * (Target.Calls - Mean) + static_cast<double>(SentSince);
  // Calls that come and go at random deviate by the square root of their mean
  // once the report is old.
  constexpr double LeastVariance = 0.1;
  const double Deviation = std::sqrt(
      LeastVariance + std::min(Mean, Result.Slots) * (1 - Weight * Weight));
  const double LeftMs = leftMs(Request, Now);
  // Waiting calls are ordered by the end of their useful time.
  const double Behind = std::min(1.0, LeftMs / std::max(1.0, this->MeanLeftMs));
  const double Excess = Result.Calls + 0.5 - Result.Slots;
  constexpr double MinFull = 0.05;
  const double Full = 0.5 * std::erfc(-Excess / Deviation / std::sqrt(2.0));
  // The target's daemon queues a call only if it could wait for the mean
  // remaining time of the running calls and for those ahead of it.
  const double QueueMs = RunMs / std::max(MinSlots, Result.Slots) * Behind *
                         positivePart(Excess, Deviation);
  const double FullMs =
      RunMs * RemainingShare + QueueMs / std::max(MinFull, Full);
  Result.WaitMs = Full * FullMs;
  const auto ChanceAfter = [&](double WaitMs) {
    const double Spread =
        1 + RunUncertainty * Out.RunMs + WaitUncertainty * WaitMs;
    return 1 / (1 + std::exp(-(LeftMs - WaitMs - Out.RunMs) / Spread));
  };
  Result.Chance = (1 - Full) * ChanceAfter(0) + Full * ChanceAfter(FullMs);
  return Out;
}

EvenPlacement::Estimate EvenPlacement::pickEven(const Estimates &From) {
  double Best = 0;
  for (const Estimate &Item : From)
    Best = std::max(Best, Item.Result.Chance);
  Estimates Good;
  std::copy_if(From.begin(), From.end(), std::back_inserter(Good),
               [&](const Estimate &Item) {
                 return Item.Result.Chance >= Best - ChanceTolerance;
               });
  const auto LoadOf = [](const Placement &Item) {
    return (Item.Calls + 1) / std::max(MinSlots, Item.Slots);
  };
  Estimate Out;
  for (int I = 0; I < Draws && !Good.empty(); ++I) {
    const auto Drawn = Good.begin() + static_cast<std::ptrdiff_t>(
                                          this->Rng.below(Good.size()));
    if (Out.Result.Record == nullptr ||
        LoadOf(Drawn->Result) < LoadOf(Out.Result))
      Out = *Drawn;
    Good.erase(Drawn);
  }
  return Out;
}

Placement EvenPlacement::take(const Estimate &Chosen, std::string_view Reason,
                              Time Now) {
  Placement Out = Chosen.Result;
  Out.Reason = Reason;
  this->stateOf(*Out.Record).Sent.push_back(Now);
  return Out;
}

EvenPlacement::Estimates
EvenPlacement::estimates(std::span<const PlacementCandidate> Candidates,
                         bool OfOwnZone, const PlacementRequest &Request,
                         Time Now) {
  Estimates Out;
  for (const PlacementCandidate &Item : Candidates) {
    if ((Item.Record->Zone == this->Zone) == OfOwnZone)
      Out.push_back(this->estimate(Item, Request, Now));
  }
  return Out;
}

bool EvenPlacement::mayScout(const PlacementRequest &Request, Time Now) {
  ServiceState &Service = this->Services[std::string(Request.Service)];
  if (Now < Service.NextScout ||
      static_cast<double>(Request.Bytes) > ScoutBytesShare * this->MeanBytes)
    return false;
  Service.NextScout = Now + ScoutInterval;
  return true;
}

Placement EvenPlacement::place(std::span<const PlacementCandidate> Candidates,
                               const PlacementRequest &Request, Time Now) {
  addToMean(this->MeanBytes, static_cast<double>(Request.Bytes), MeanWeight);
  addToMean(this->MeanLeftMs, leftMs(Request, Now), MeanWeight);
  // Reports of targets that were never candidates are ignored.
  for (const PlacementCandidate &Item : Candidates)
    this->stateOf(*Item.Record);
  const Estimates Home = this->estimates(Candidates, true, Request, Now);
  if (Home.empty() && Request.Refusals == 0)
    return this->take(
        this->pickEven(this->estimates(Candidates, false, Request, Now)),
        "no-target-in-zone", Now);
  const Estimate Near = this->pickEven(Home);
  const auto Route = this->Routes.find(Request.Route);
  const bool Nested = Route != this->Routes.end() && Route->second.Nested;
  const double Price = CrossingPrice * static_cast<double>(Request.Bytes) /
                       std::max(1.0, this->MeanBytes);
  const double MinFarChance =
      Near.Result.Chance + CrossingMargin + Price / (Nested ? NestedValue : 1);
  if (MinFarChance < 1) {
    const Estimates Far = this->estimates(Candidates, false, Request, Now);
    Estimates Room;
    bool AnyKnown = false;
    for (const Estimate &Item : Far) {
      AnyKnown = AnyKnown || isKnown(Item.Result);
      const double Share =
          this->meanShare(this->stateOf(*Item.Result.Record), Now);
      if (isKnown(Item.Result) && Item.Result.Chance >= MinFarChance &&
          Share < MaxFarShare)
        Room.push_back(Item);
    }
    if (!Room.empty())
      return this->take(this->pickEven(Room), "zone-loaded", Now);
    if (!Far.empty() && !AnyKnown && Near.Result.Chance < ScoutBelowChance &&
        this->mayScout(Request, Now))
      return this->take(Far[this->Rng.below(Far.size())], "scout", Now);
  }
  const bool Hopeless =
      Request.Refusals > 0 && !Nested && Near.Result.Chance < MinRetryChance;
  if (!Hopeless && Near.Result.Record != nullptr)
    return this->take(Near, "own-zone", Now);
  Placement Out = Near.Result;
  Out.Record = nullptr;
  Out.Reason = "no-room";
  return Out;
}

void EvenPlacement::ended(std::string_view Name) {
  const auto Found = this->Targets.find(Name);
  if (Found != this->Targets.end() && !Found->second.Sent.empty())
    Found->second.Sent.pop_front();
}

void EvenPlacement::reported(std::string_view Name, std::string_view Route,
                             const wire::Load &Load, bool Nested, Time Now) {
  const auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end() || Load.Slots <= 0)
    return;
  TargetState &Target = Found->second;
  if (Load.PacePercent > 0)
    Target.Slowness =
        std::clamp(Load.PacePercent / 100.0, MinSlowness, MaxSlowness);
  if (Load.__isset.RunMs && Load.RunMs > 0) {
    RouteState &Kind = this->Routes[std::string(Route)];
    Kind.Nested = Nested;
    const double RunMs =
        Load.PacePercent > 0 ? Load.RunMs / Target.Slowness : Load.RunMs;
    addToMean(Kind.RunMs, RunMs, MeanWeight);
    addToMean(this->Services[Target.Service].RunMs, RunMs, MeanWeight);
    if (Load.PacePercent <= 0)
      Target.Slowness +=
          SlownessWeight *
          (std::clamp(Load.RunMs / Kind.RunMs, MinSlowness, MaxSlowness) -
           Target.Slowness);
  }
  this->apply(Target, Load.Running + Load.Queued, Load.Slots, Now);
}

void EvenPlacement::heard(const std::vector<wire::PeerLoad> &Loads, Time Now) {
  for (const wire::PeerLoad &Load : Loads) {
    const auto Found = this->Targets.find(Load.Name);
    if (Found == this->Targets.end() || Load.Slots <= 0 || Load.AgeMs < 0 ||
        Load.AgeMs > MaxPeerAge.count())
      continue;
    TargetState &Target = Found->second;
    const Time ReportAt = Now - milliseconds(Load.AgeMs);
    if (Target.HasReport && ReportAt <= Target.ReportAt)
      continue;
    if (Load.PacePercent > 0)
      Target.Slowness =
          std::clamp(Load.PacePercent / 100.0, MinSlowness, MaxSlowness);
    this->apply(Target, std::max(0, Load.Calls), Load.Slots, ReportAt);
  }
}

std::vector<wire::PeerLoad>
EvenPlacement::loadsFor(const wire::MemberRecord &Receiver, Time Now) const {
  std::vector<const std::pair<const std::string, TargetState> *> Known;
  for (const auto &Item : this->Targets) {
    const TargetState &Target = Item.second;
    const bool Wanted =
        Receiver.Zone == this->Zone || Target.Zone == this->Zone;
    if (Target.HasReport && Wanted && Item.first != Receiver.Name &&
        Now - Target.ReportAt <= MaxPeerAge)
      Known.push_back(&Item);
  }
  const std::size_t Count =
      std::min(Known.size(),
               Receiver.Zone == this->Zone ? PeersInZone : PeersAcrossZones);
  std::partial_sort(Known.begin(),
                    Known.begin() + static_cast<std::ptrdiff_t>(Count),
                    Known.end(), [](const auto *Left, const auto *Right) {
                      return Left->second.ReportAt > Right->second.ReportAt;
                    });
  std::vector<wire::PeerLoad> Out;
  for (std::size_t I = 0; I < Count; ++I) {
    const TargetState &Target = Known[I]->second;
    wire::PeerLoad Load;
    Load.Name = Known[I]->first;
    Load.Calls = static_cast<std::int32_t>(std::lround(Target.Calls));
    Load.Slots = Target.Slots;
    Load.AgeMs = static_cast<std::int32_t>(
        std::lround(millisecondsOf(Now - Target.ReportAt)));
    Load.PacePercent =
        static_cast<std::int32_t>(std::lround(Target.Slowness * 100));
    Out.push_back(std::move(Load));
  }
  return Out;
}

} // namespace persimmon
