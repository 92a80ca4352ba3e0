#include "rolloutcontroller.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace persimmon {

namespace {

constexpr milliseconds SampleInterval{50};
constexpr milliseconds HistoryLength{7000};
/// Spans over which the two versions are compared, besides the whole roll-out:
/// a version may turn bad at any time.
constexpr std::array<milliseconds, 3> Windows = {
    milliseconds(800), milliseconds(2500), milliseconds(6500)};
/// A decision that was not committed by then is made again.
constexpr milliseconds DecisionTimeout{600};
/// Longer than an operator resends an order (4 s) after its acknowledgement was
/// lost, also if this instance learned of the end late.
constexpr milliseconds ResendTime{30'000};

/// The rate of calls is their mean over the first span, the most that is
/// expected the higher one of the means over the first two spans. The latest
/// rate decides whether the full stage has to be left.
constexpr milliseconds RateSpan{3000};
constexpr milliseconds ShortRateSpan{1000};
constexpr milliseconds LatestRateSpan{500};
/// Standard deviations of a number of calls that are left as a reserve.
constexpr double CountDeviations = 1.5;
constexpr double FewestExpected = 10;
constexpr double StandstillShare = 0.5;
constexpr double RiseFactor = 1.4;

/// Part of the exposure that the controller uses; the rest is for counts that
/// are still on their way and for a rate that rises.
constexpr double UsedShare = 0.97;
/// The full stage is not started earlier than this before the deadline.
constexpr milliseconds LongestFullStage{2500};
/// Time for the full stage to be in force everywhere (0.3 s), for the calls to
/// the old targets (0.9 s at most) and for the reports.
constexpr milliseconds WantedFullStage{1350};
/// Mean time until a stage is committed and in force, with the delay of counts.
constexpr milliseconds MeanInForceTime{190};
/// Time in which the reports and a change of the stage follow the traffic.
constexpr milliseconds ReactionTime{500};
/// Beyond the deadline, for a daemon that learned of the order late.
constexpr milliseconds DeadlineReserve{200};
/// A committed stage is in force on all connected daemons after 2 s, and calls
/// to targets take up to 0.9 s, or 5 s if they use up their deadline.
constexpr milliseconds InForceLimit{2000};
constexpr milliseconds UsualCallTime{1000};
constexpr milliseconds LongestCallTime{5000};
/// Time beyond the deadline for doubts to resolve, and for targets to appear.
constexpr milliseconds DoubtTime{5000};
constexpr milliseconds NoTargetTime{60'000};

/// Canary shares. The least gives some samples at all rates, the most is for
/// services with so few calls that the slack allows it.
constexpr double LeastShareDivisor = 10;
constexpr double MostCanaryShare = 0.25;
constexpr double PerMille = 1000;
/// When the share is adapted to the rate, which is not known at the order.
constexpr milliseconds FirstShareChange{1500};
constexpr milliseconds ShareChangeInterval{1500};
constexpr int MaxShareRaises = 2;
constexpr double ShareChangeFactor = 1.4;

/// A rate of failures up to this, or up to this multiple of the old version's
/// rate, is not held against a version.
constexpr double ToleratedFailureRate = 0.03;
constexpr double ToleratedFailureFactor = 1.5;
/// The same once the version gave so many bad answers that a decision is due:
/// the bound on the time counts from the 50th.
constexpr double SmallFailureRate = 0.005;
constexpr double SmallFailureFactor = 1.2;
constexpr std::int64_t ManyFailures = 30;
constexpr std::int64_t FewestFailures = 3;
/// Probabilities below which failures are not taken for chance.
constexpr double RollbackChance = 1e-4;
constexpr double ManyFailuresChance = 0.01;
constexpr double DoubtChance = 0.02;
/// Limits of a slowdown: of the geometric mean of the run times, which tells a
/// version that is slow throughout by few answers, and of the arithmetic one,
/// which tells a version that is slow now and then by many. Targets of a
/// service differ by a factor of three. In the full stage the old version was
/// measured before, under another load perhaps.
struct SlowLimits {
  double Geometric = 0;
  double Arithmetic = 0;
};
constexpr SlowLimits CanarySlowLimits{1.9, 1.6};
constexpr SlowLimits FullSlowLimits{2.4, 2.0};
constexpr SlowLimits DoubtfulSlowLimits{1.6, 1.5};
/// Standard deviations of the logarithm of a run time, and of a run time
/// relative to its mean; and the number of standard errors that count as a
/// difference, many because each roll-out is judged hundreds of times.
constexpr double LogDeviation = 0.85;
constexpr double RunTimeDeviation = 1.0;
constexpr double SlowErrors = 5.5;
constexpr double DoubtfulSlowErrors = 3.5;
constexpr double LogThousandths = 1000;
constexpr double LeastStartedShare = 0.7;
/// Fewer run times have too skewed a mean.
constexpr double LeastForMean = 25;
constexpr std::int64_t LeastTimed = 6;
constexpr double LeastSlowMs = 15;
/// Old answers in a span that suffice to compare with.
constexpr std::int64_t EnoughOldAnswers = 10;
constexpr std::int64_t FewCalls = 20;
/// Answers under the whole load that are wanted before the end, and the time
/// after which fewer suffice.
constexpr std::int64_t WantedFullAnswers = 30;
constexpr milliseconds FullAnswersTime{2200};
/// Time for calls and reports in the full stage.
constexpr milliseconds FullOverhead{800};
/// Part of the proxies whose reports must be known before more is exposed.
constexpr double MinReported = 0.8;

double seconds(milliseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

/// Returns the number of calls that \p Expected ones hardly exceed.
double withReserve(double Expected) {
  return Expected + CountDeviations * std::sqrt(Expected);
}

template <typename SumT> void addSum(const SumT &From, SumT &To) {
  To.Started += From.Started;
  To.Answers += From.Answers;
  To.Failures += From.Failures;
  To.Timed += From.Timed;
  To.RunMs += From.RunMs;
  To.LogRunMs += From.LogRunMs;
}

/// The difference of two cumulative sums; the counts of a daemon that
/// restarted vanish from the later one.
template <typename SumT> SumT subtract(const SumT &Later, const SumT &Earlier) {
  SumT Out;
  Out.Started = std::max<std::int64_t>(0, Later.Started - Earlier.Started);
  Out.Answers = std::max<std::int64_t>(0, Later.Answers - Earlier.Answers);
  Out.Failures = std::clamp<std::int64_t>(Later.Failures - Earlier.Failures, 0,
                                          Out.Answers);
  Out.Timed = std::max<std::int64_t>(0, Later.Timed - Earlier.Timed);
  Out.RunMs = std::max<std::int64_t>(0, Later.RunMs - Earlier.RunMs);
  Out.LogRunMs = std::max<std::int64_t>(0, Later.LogRunMs - Earlier.LogRunMs);
  return Out;
}

/// Returns a failure rate that the old version hardly exceeds. It is higher the
/// fewer answers there are.
double upperFailureRate(std::int64_t Failures, std::int64_t Answers) {
  const auto Count = static_cast<double>(Failures);
  return std::min(1.0, (Count + 2 * std::sqrt(Count) + 1) /
                           (static_cast<double>(Answers) + 10));
}

template <typename SumT>
double chanceOf(const SumT &New, const SumT &Old, double LeastRate,
                double Factor) {
  const double Rate =
      std::max(LeastRate, Factor * upperFailureRate(Old.Failures, Old.Answers));
  return binomialTail(New.Failures, New.Answers, Rate);
}

/// Returns whether the run times of the answers in a span tell how long calls
/// take. Once no calls are sent any more, the last answers are the slow ones.
template <typename SumT> bool timesCount(const SumT &Sum) {
  return static_cast<double>(Sum.Started) >=
         LeastStartedShare * static_cast<double>(Sum.Answers);
}

std::string numberText(double Value) {
  constexpr double Scale = 100;
  const auto Hundredths = static_cast<std::int64_t>(std::llround(
      std::clamp(Value, 0.0, 1e9) * Scale)); // Two digits are enough in a log.
  const std::string Digits = std::to_string(Hundredths % 100);
  return std::to_string(Hundredths / 100) + "." +
         (Digits.size() < 2 ? "0" + Digits : Digits);
}

} // namespace

double binomialTail(std::int64_t Hits, std::int64_t Trials, double Chance) {
  if (Hits <= 0 || Chance >= 1)
    return 1;
  if (Hits > Trials || Chance <= 0)
    return 0;
  // Above the mean the terms fall quickly, below it the tail is large.
  const auto N = static_cast<double>(Trials);
  if (static_cast<double>(Hits) <= N * Chance)
    return 1;
  const auto First = static_cast<double>(Hits);
  double Term = std::exp(std::lgamma(N + 1) - std::lgamma(First + 1) -
                         std::lgamma(N - First + 1) + First * std::log(Chance) +
                         (N - First) * std::log1p(-Chance));
  double Tail = 0;
  for (std::int64_t K = Hits; K <= Trials && Term > Tail * 1e-9; ++K) {
    Tail += Term;
    Term *= static_cast<double>(Trials - K) / static_cast<double>(K + 1) *
            Chance / (1 - Chance);
  }
  return std::min(1.0, Tail);
}

void RolloutController::replace(const SettingsMap &Settings, Time Now) {
  std::map<std::string, Item, std::less<>> Before =
      std::exchange(this->Items, {});
  for (const auto &[Path, Entry] : Settings) {
    if (!isRolloutPath(Path))
      continue;
    if (auto Known = Before.extract(Path); !Known.empty())
      this->Items.insert(std::move(Known));
    this->take(Entry, Now);
  }
}

void RolloutController::apply(const wire::Delta &Change, Time Now) {
  for (const wire::Setting &Entry : Change.Puts) {
    if (isRolloutPath(Entry.Path))
      this->take(Entry, Now);
  }
  for (const std::string &Path : Change.Removed)
    this->Items.erase(Path);
}

void RolloutController::take(const wire::Setting &Setting, Time Now) {
  Rollout Value;
  // Committed settings were validated before the commit.
  const Failure Error =
      handleResult([&] { return readRollout(Setting.Path, Setting.Value); },
                   [&](Rollout Read) { Value = std::move(Read); });
  if (Error.failed())
    return;
  auto [Slot, Inserted] = this->Items.try_emplace(Setting.Path);
  Item &Known = Slot->second;
  const milliseconds Told(Value.ElapsedMs);
  if (Inserted || Known.Value.Id != Value.Id) {
    Known = Item();
    Known.SeenAt = Now;
    Known.ElapsedWhenSeen = Told;
    Known.StageSince = Now;
    Known.EndedAt = Now;
  } else {
    // The instance that wrote the value may know the order for longer.
    if (Told > elapsed(Known, Now)) {
      Known.SeenAt = Now;
      Known.ElapsedWhenSeen = Told;
    }
    if (Known.Value.Stage != Value.Stage) {
      Known.StageSince = Now;
      Known.AnswersBeforeStage = newAnswers(Known);
    }
    if (Known.Value.running() && !Value.running())
      Known.EndedAt = Now;
  }
  Known.Setting = Setting;
  Known.Value = std::move(Value);
  Known.NextDecision = Time();
  if (!Known.Value.running())
    Known.Samples.clear();
}

milliseconds RolloutController::elapsed(const Item &Observed, Time Now) {
  return Observed.ElapsedWhenSeen +
         milliseconds(millisecondsUntil(Now, Observed.SeenAt));
}

bool RolloutController::mayRepeat(std::string_view Service, Time Now) const {
  const auto Found = this->Items.find(rolloutPath(Service));
  return Found != this->Items.end() && !Found->second.Value.running() &&
         Now >= Found->second.EndedAt + ResendTime;
}

void RolloutController::observe(Item &Observed, const RolloutView &View,
                                Time Now) const {
  Sample Next;
  Next.At = Now;
  const Rollout &Value = Observed.Value;
  for (const wire::VersionAnswers &Count : View.Reports.Answers) {
    if (Count.RolloutId != Value.Id)
      continue;
    const bool IsNew = Count.Version == Value.Version;
    // A target of unknown version may be a new one.
    const bool IsExposed = IsNew || Count.Version.empty();
    Next.Total += Count.Started;
    Next.Exposed += IsExposed ? Count.Started : 0;
    Next.OldUnderWay += IsNew ? 0 : Count.UnderWay;
    if (Count.Version.empty())
      continue;
    RouteSums &Sums = Next.Routes[Count.Route];
    Sum Part;
    Part.Started = Count.Started;
    Part.Answers = Count.Answers;
    Part.Failures = Count.Failures;
    Part.Timed = Count.Timed;
    Part.RunMs = Count.RunMs;
    Part.LogRunMs = Count.LogRunMs;
    addSum(Part, IsNew ? Sums.New : Sums.Old);
  }
  const std::int64_t Before =
      Observed.Samples.empty() ? 0 : Observed.Samples.back().Exposed;
  Observed.Exposed += std::max<std::int64_t>(0, Next.Exposed - Before);
  // A subtree may be counted twice, or be missing, while it gets a new parent.
  if (View.Reports.Complete)
    Observed.Total = std::max(Next.Total, Observed.Exposed);
  Observed.Samples.push_back(std::move(Next));
  while (Observed.Samples.front().At + HistoryLength < Now)
    Observed.Samples.pop_front();
}

RolloutController::SumsByRoute
RolloutController::difference(const Sample &Later, const Sample &Earlier) {
  SumsByRoute Out;
  for (const auto &[Route, Sums] : Later.Routes) {
    const auto Before = Earlier.Routes.find(Route);
    Out[Route] = Before == Earlier.Routes.end()
                     ? Sums
                     : RouteSums{subtract(Sums.Old, Before->second.Old),
                                 subtract(Sums.New, Before->second.New)};
  }
  return Out;
}

RolloutController::Rates RolloutController::ratesOf(const Item &Observed) {
  Rates Out;
  if (Observed.Samples.empty())
    return Out;
  const auto RateBetween = [](const Sample &Begin, const Sample &End) {
    const double Length =
        std::chrono::duration<double>(End.At - Begin.At).count();
    return Length <= 0
               ? 0.0
               : std::max(0.0, static_cast<double>(End.Total - Begin.Total)) /
                     Length;
  };
  const Sample &Last = Observed.Samples.back();
  const auto RateOver = [&](milliseconds Span) {
    const Sample *Begin = &Observed.Samples.front();
    for (const Sample &Earlier : Observed.Samples) {
      if (Earlier.At + Span <= Last.At)
        Begin = &Earlier;
    }
    return RateBetween(*Begin, Last);
  };
  Out.PerSecond = RateOver(RateSpan);
  Out.MostPerSecond = std::max(Out.PerSecond, RateOver(ShortRateSpan));
  Out.LatestPerSecond = RateOver(LatestRateSpan);
  // Counts that stand still come from reports that do not arrive.
  const bool StandsStill =
      Out.PerSecond * seconds(LatestRateSpan) >= FewestExpected &&
      Out.LatestPerSecond < Out.PerSecond * StandstillShare;
  Out.Known =
      !StandsStill && Observed.Samples.front().At + ShortRateSpan <= Last.At;
  return Out;
}

std::int64_t RolloutController::newAnswers(const Item &Observed) {
  std::int64_t Out = 0;
  if (Observed.Samples.empty())
    return Out;
  for (const auto &[Route, Sums] : Observed.Samples.back().Routes)
    Out += Sums.New.Answers;
  return Out;
}

void RolloutController::judgeWindow(const SumsByRoute &Window,
                                    const SumsByRoute &Whole,
                                    RolloutStage Stage, bool WithTimes,
                                    Verdict &Out) {
  Sum AllNew;
  Sum AllOld;
  /// Run times of the new version's answers, and those of the old version for
  /// the same routes.
  struct Times {
    double Count = 0;
    double Ms = 0;
    double ExpectedMs = 0;
    /// Sum of the logarithms of the ratios.
    double LogRatio = 0;
  };
  const auto JudgeFailures = [&](const Sum &New, const Sum &Old) {
    if (New.Failures == 0)
      return;
    const double Chance =
        chanceOf(New, Old, ToleratedFailureRate, ToleratedFailureFactor);
    Out.Chance = std::min(Out.Chance, Chance);
    if (New.Failures >= FewestFailures && Chance < RollbackChance)
      Out.Reason = "failures";
    if (Chance < DoubtChance)
      Out.Doubtful = true;
  };
  const auto JudgeTimes = [&](const Times &New) {
    if (New.Count < static_cast<double>(LeastTimed) ||
        New.Ms - New.ExpectedMs < LeastSlowMs * New.Count)
      return;
    const double Root = std::sqrt(New.Count);
    const double LogRatio = New.LogRatio / New.Count;
    const double Ratio = New.Ms / New.ExpectedMs;
    Out.Slowdown = std::max(Out.Slowdown, Ratio);
    const auto Exceeds = [&](const SlowLimits &Limits, double Errors) {
      return LogRatio >= std::max(std::log(Limits.Geometric),
                                  Errors * LogDeviation / Root) ||
             (New.Count >= LeastForMean &&
              Ratio >= std::max(Limits.Arithmetic,
                                1 + Errors * RunTimeDeviation / Root));
    };
    const bool Canary = Stage == RolloutStage::Canary;
    if (Exceeds(Canary ? CanarySlowLimits : FullSlowLimits, SlowErrors) &&
        Out.Reason.empty())
      Out.Reason = "slow";
    if (Exceeds(Canary ? DoubtfulSlowLimits : CanarySlowLimits,
                DoubtfulSlowErrors))
      Out.Doubtful = true;
  };
  Times AllTimes;
  for (const auto &[Route, Sums] : Window) {
    Sum Old = Sums.Old;
    if (Old.Answers < EnoughOldAnswers || !timesCount(Old)) {
      const auto Found = Whole.find(Route);
      Old = Found == Whole.end() ? Sum() : Found->second.Old;
    }
    addSum(Sums.New, AllNew);
    addSum(Old, AllOld);
    JudgeFailures(Sums.New, Old);
    if (!WithTimes || Old.Timed < LeastTimed || !timesCount(Sums.New))
      continue;
    const auto OldCount = static_cast<double>(Old.Timed);
    Times New;
    New.Count = static_cast<double>(Sums.New.Timed);
    New.Ms = static_cast<double>(Sums.New.RunMs);
    New.ExpectedMs =
        std::max(1.0, static_cast<double>(Old.RunMs) / OldCount) * New.Count;
    New.LogRatio = (static_cast<double>(Sums.New.LogRunMs) -
                    static_cast<double>(Old.LogRunMs) / OldCount * New.Count) /
                   LogThousandths;
    JudgeTimes(New);
    AllTimes.Count += New.Count;
    AllTimes.Ms += New.Ms;
    AllTimes.ExpectedMs += New.ExpectedMs;
    AllTimes.LogRatio += New.LogRatio;
  }
  JudgeFailures(AllNew, AllOld);
  JudgeTimes(AllTimes);
}

RolloutController::Verdict
RolloutController::judge(const Item &Observed) const {
  Verdict Out;
  if (Observed.Samples.empty())
    return Out;
  const Sample &Last = Observed.Samples.back();
  // For a while after the first calls of a stage the quick answers prevail, and
  // after the last ones the slow ones.
  const bool FirstStage = Observed.AnswersBeforeStage == 0;
  const Time SettledAt =
      Observed.StageSince + (FirstStage ? milliseconds(0) : UsualCallTime);
  for (const milliseconds Span : Windows) {
    const Sample *Begin = nullptr;
    for (const Sample &Entry : Observed.Samples) {
      if (Entry.At + Span <= Last.At)
        Begin = &Entry;
    }
    if (Begin == nullptr)
      continue;
    judgeWindow(difference(Last, *Begin), Last.Routes, Observed.Value.Stage,
                Begin->At >= SettledAt, Out);
  }
  judgeWindow(Last.Routes, Last.Routes, Observed.Value.Stage, true, Out);
  Sum AllNew;
  Sum AllOld;
  for (const auto &[Route, Sums] : Last.Routes) {
    addSum(Sums.New, AllNew);
    addSum(Sums.Old, AllOld);
  }
  if (Out.Reason.empty() && AllNew.Failures >= ManyFailures &&
      chanceOf(AllNew, AllOld, SmallFailureRate, SmallFailureFactor) <
          ManyFailuresChance)
    Out.Reason = "failure-count";
  return Out;
}

RolloutDecision RolloutController::makeDecision(
    const Item &Observed, Rollout Next, std::string_view Reason,
    const Verdict &Judged, const Rates &Traffic, milliseconds Elapsed) const {
  Sum AllNew;
  Sum AllOld;
  std::int64_t OldUnderWay = 0;
  if (!Observed.Samples.empty()) {
    OldUnderWay = Observed.Samples.back().OldUnderWay;
    for (const auto &[Route, Sums] : Observed.Samples.back().Routes) {
      addSum(Sums.New, AllNew);
      addSum(Sums.Old, AllOld);
    }
  }
  const auto MeanMs = [](const Sum &Of) {
    return std::to_string(Of.Timed == 0 ? 0 : Of.RunMs / Of.Timed);
  };
  RolloutDecision Out;
  Out.Current = Observed.Setting;
  Out.Line = "event=rollout service=" + Next.Service + " id=" + Next.Id +
             " version=" + Next.Version + " established=" + Next.Established +
             " from=" + std::string(nameOf(Observed.Value.Stage)) +
             " state=" + std::string(nameOf(Next.State)) +
             " stage=" + std::string(nameOf(Next.Stage)) +
             " canaryPerMille=" + std::to_string(Next.CanaryPerMille) +
             " reason=" + std::string(Reason) +
             " elapsedMs=" + std::to_string(Elapsed.count()) +
             " durationMs=" + std::to_string(Next.DurationMs) +
             " total=" + std::to_string(Observed.Total) +
             " exposed=" + std::to_string(Observed.Exposed) + " allowed=" +
             numberText(this->allowed(static_cast<double>(Observed.Total))) +
             " perSecond=" + numberText(Traffic.PerSecond) +
             " newAnswers=" + std::to_string(AllNew.Answers) +
             " newFailures=" + std::to_string(AllNew.Failures) +
             " newMs=" + MeanMs(AllNew) +
             " oldAnswers=" + std::to_string(AllOld.Answers) +
             " oldFailures=" + std::to_string(AllOld.Failures) +
             " oldMs=" + MeanMs(AllOld) +
             " oldUnderWay=" + std::to_string(OldUnderWay) +
             " slowdown=" + numberText(Judged.Slowdown) +
             " chance=" + numberText(Judged.Chance);
  Next.ElapsedMs = Elapsed.count();
  Out.Next = std::move(Next);
  return Out;
}

bool RolloutController::due(Time Now) const {
  return Now >= this->NextTick &&
         std::any_of(
             this->Items.begin(), this->Items.end(),
             [](const auto &Entry) { return Entry.second.Value.running(); });
}

std::vector<RolloutDecision> RolloutController::tick(const RolloutView &View,
                                                     bool Leads, Time Now) {
  std::vector<RolloutDecision> Out;
  this->NextTick = Now + SampleInterval;
  for (auto &[Path, Observed] : this->Items) {
    if (!Observed.Value.running())
      continue;
    this->observe(Observed, View, Now);
    if (!Leads || Now < Observed.NextDecision)
      continue;
    auto Made = this->decide(Observed, View, Now);
    if (!Made)
      continue;
    Observed.NextDecision = Now + DecisionTimeout;
    Out.push_back(std::move(*Made));
  }
  return Out;
}

std::optional<RolloutDecision>
RolloutController::decide(Item &Observed, const RolloutView &View,
                          Time Now) const {
  const Rollout &Value = Observed.Value;
  const Rates Traffic = ratesOf(Observed);
  const milliseconds Elapsed = elapsed(Observed, Now);
  const milliseconds Deadline(Value.DurationMs);
  const bool SameVersion = Value.Version == Value.Established;
  const Verdict Judged = SameVersion ? Verdict() : this->judge(Observed);
  const auto RollBack = [&](std::string_view Reason) {
    Rollout Next = Value;
    Next.State = RolloutState::RolledBack;
    return this->makeDecision(Observed, std::move(Next), Reason, Judged,
                              Traffic, Elapsed);
  };
  if (!Judged.Reason.empty())
    return RollBack(Judged.Reason);
  const bool HasTarget = View.TargetCount(Value.Service, Value.Version) > 0;
  if (!HasTarget && Value.Stage == RolloutStage::Full)
    return RollBack("no-target");
  if (!HasTarget && Elapsed >= Deadline + NoTargetTime)
    return RollBack("no-target");
  if (Judged.Doubtful && Elapsed >= Deadline + DoubtTime)
    return RollBack("doubtful-at-deadline");
  if (Value.Stage == RolloutStage::Full)
    return this->decideFull(Observed, View, Judged, Traffic, Elapsed, Now);
  const bool MostReport =
      static_cast<double>(View.Reports.Reported) >=
      MinReported * static_cast<double>(View.Reports.Expected);
  if (!HasTarget || !MostReport)
    return std::nullopt;
  return this->decideCanary(Observed, Judged, Traffic, Elapsed, Now);
}

std::optional<RolloutDecision>
RolloutController::decideCanary(Item &Observed, const Verdict &Judged,
                                const Rates &Traffic, milliseconds Elapsed,
                                Time Now) const {
  const Rollout &Value = Observed.Value;
  const milliseconds Left =
      std::max(milliseconds(0), milliseconds(Value.DurationMs) - Elapsed);
  const double LeftS = seconds(Left);
  const auto Total = static_cast<double>(Observed.Total);
  const double CanaryShare = Value.CanaryPerMille / PerMille;
  // Also counts what is not reported yet.
  const double Exposed =
      static_cast<double>(Observed.Exposed) +
      CanaryShare * Traffic.MostPerSecond * seconds(ReactionTime);
  const double AllowedInAll = this->allowed(Total + Traffic.PerSecond * LeftS);
  const bool Enough = newAnswers(Observed) > 0;
  // There may be hardly any calls.
  const bool Idle = Observed.Total < FewCalls ||
                    Elapsed >= milliseconds(Value.DurationMs) + DoubtTime;
  const double FullExposure =
      Exposed +
      withReserve(Traffic.MostPerSecond *
                  seconds(std::max(milliseconds(0), Left - MeanInForceTime)));
  // A full stage that was left is entered again only when nothing limits it.
  const bool FirstStage = Observed.AnswersBeforeStage == 0;
  const bool PastDeadline =
      Elapsed >= milliseconds(Value.DurationMs) + DeadlineReserve;
  const bool MayStartFull =
      PastDeadline ||
      (FirstStage && Traffic.Known && Left <= LongestFullStage &&
       FullExposure <= UsedShare * AllowedInAll);
  if (MayStartFull && !Judged.Doubtful && (Enough || Idle)) {
    Rollout Next = Value;
    Next.Stage = RolloutStage::Full;
    return this->makeDecision(Observed, std::move(Next),
                              PastDeadline ? "deadline" : "exposure-allows",
                              Judged, Traffic, Elapsed);
  }
  // The share that leaves the full stage the time that it needs.
  if (Now < Observed.NextShareChange || Elapsed < FirstShareChange ||
      LeftS == 0)
    return std::nullopt;
  const double FullS =
      std::clamp(static_cast<double>(WantedFullAnswers) /
                         std::max(1.0, Traffic.PerSecond) +
                     seconds(FullOverhead),
                 seconds(WantedFullStage), seconds(LongestFullStage));
  const double CanaryS = std::max(seconds(SampleInterval), LeftS - FullS);
  const double ForCanary = UsedShare * AllowedInAll -
                           withReserve(Traffic.MostPerSecond * FullS) - Exposed;
  const double LeastShare =
      static_cast<double>(Observed.Exposed) < UsedShare * this->allowed(Total)
          ? this->Bounds.ExposureShare / LeastShareDivisor
          : 0;
  const double Share =
      std::clamp(ForCanary / std::max(1.0, Traffic.MostPerSecond * CanaryS),
                 LeastShare, std::max(LeastShare, MostCanaryShare));
  const bool Raise = Share > CanaryShare * ShareChangeFactor &&
                     Observed.ShareChanges < MaxShareRaises;
  const bool Lower = Share * ShareChangeFactor < CanaryShare;
  if (!Raise && !Lower)
    return std::nullopt;
  Observed.NextShareChange = Now + ShareChangeInterval;
  Observed.ShareChanges += 1;
  Rollout Next = Value;
  Next.CanaryPerMille = static_cast<int>(Share * PerMille);
  return this->makeDecision(Observed, std::move(Next), "rate", Judged, Traffic,
                            Elapsed);
}

std::optional<RolloutDecision>
RolloutController::decideFull(const Item &Observed, const RolloutView &View,
                              const Verdict &Judged, const Rates &Traffic,
                              milliseconds Elapsed, Time Now) const {
  const Rollout &Value = Observed.Value;
  const milliseconds Left =
      std::max(milliseconds(0), milliseconds(Value.DurationMs) - Elapsed);
  const auto Total = static_cast<double>(Observed.Total);
  const auto Exposed = static_cast<double>(Observed.Exposed);
  // All requests until then would go to the new version.
  const auto Exceeds = [&](milliseconds Until, double PerSecond) {
    const double Added = PerSecond * seconds(std::min(Left, Until));
    return Left > milliseconds(0) &&
           Exposed + Added > this->allowed(Total + Added);
  };
  // The stage was started with calls at the former rate in mind, and the counts
  // arrive in bunches.
  const bool Risen =
      Traffic.LatestPerSecond > RiseFactor * Traffic.PerSecond &&
      Traffic.LatestPerSecond * seconds(LatestRateSpan) >= FewestExpected;
  const bool Spent =
      Left > milliseconds(0) &&
      Exposed > this->allowed(Total + Traffic.PerSecond * seconds(Left));
  if (Spent || (Risen && Exceeds(ReactionTime, Traffic.LatestPerSecond))) {
    Rollout Next = Value;
    Next.Stage = RolloutStage::Canary;
    Next.CanaryPerMille = 0;
    return this->makeDecision(Observed, std::move(Next), "exposure", Judged,
                              Traffic, Elapsed);
  }
  const milliseconds InStage(millisecondsUntil(Now, Observed.StageSince));
  const bool InForce = View.Reports.Complete &&
                       View.Reports.LeastVersion >= Observed.Setting.Version;
  const bool SameVersion = Value.Version == Value.Established;
  const bool NoneUnderWay =
      SameVersion ||
      (!Observed.Samples.empty() && Observed.Samples.back().OldUnderWay <= 0);
  const bool Drained =
      (InForce && NoneUnderWay) ||
      (NoneUnderWay && InStage >= InForceLimit + UsualCallTime) ||
      InStage >= InForceLimit + LongestCallTime;
  const bool Enough =
      newAnswers(Observed) - Observed.AnswersBeforeStage >= WantedFullAnswers ||
      InStage >= FullAnswersTime || Observed.Total < FewCalls;
  // Once it is completed, nothing limits the exposure until the deadline.
  if (!Drained || !Enough || Judged.Doubtful ||
      Exceeds(Left, Traffic.MostPerSecond))
    return std::nullopt;
  Rollout Next = Value;
  Next.State = RolloutState::Completed;
  return this->makeDecision(Observed, std::move(Next),
                            InForce && NoneUnderWay ? "drained" : "time",
                            Judged, Traffic, Elapsed);
}

std::vector<RolloutController::Figures> RolloutController::figures() const {
  std::vector<Figures> Out;
  for (const auto &[Path, Observed] : this->Items) {
    if (!Observed.Value.running())
      continue;
    Figures Entry;
    Entry.Service = Observed.Value.Service;
    Entry.Stage = Observed.Value.Stage;
    Entry.Total = Observed.Total;
    Entry.Exposed = Observed.Exposed;
    if (!Observed.Samples.empty()) {
      for (const auto &[Route, Sums] : Observed.Samples.back().Routes) {
        Entry.NewAnswers += Sums.New.Answers;
        Entry.NewFailures += Sums.New.Failures;
      }
    }
    Out.push_back(std::move(Entry));
  }
  return Out;
}

} // namespace persimmon
