#include "rolloutsimulation.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace persimmon {

namespace {

const Time Start{std::chrono::hours(1)};
constexpr milliseconds Step{10};
constexpr milliseconds CommitTime{30};
constexpr milliseconds PlayedBeyondDeadline{20'000};
constexpr int Daemons = 40;
constexpr std::int64_t ManyBad = 50;
constexpr double MsPerSecond = 1000;

/// A call that a daemon sent.
struct SimulatedCall {
  Time EndsAt;
  bool New = false;
  int Route = 0;
  SimulatedAnswer Answer;
};

/// What one daemon has in force and counted.
struct SimulatedDaemon {
  Rollout InForce;
  std::vector<std::pair<Time, Rollout>> Coming;
  std::map<std::pair<bool, int>, wire::VersionAnswers> Counts;
  std::vector<SimulatedCall> UnderWay;
  std::int64_t Version = 1;
  std::vector<std::pair<Time, std::int64_t>> ComingVersions;
  /// What the controller sees of it.
  std::vector<wire::VersionAnswers> Seen;
  std::int64_t SeenVersion = 1;
  Time NextReport;
};

class Simulation {
public:
  Simulation(const RolloutConditions &TheGiven, unsigned Seed)
      : Given(TheGiven), Rng(Seed), All(Daemons), Leader(RolloutBounds()) {
    this->Committed.Service = "mesh/work";
    this->Committed.Id = "1";
    this->Committed.Version = "v2";
    this->Committed.Established = "v1";
    this->Committed.CanaryPerMille = 20;
    this->Committed.DurationMs =
        static_cast<std::int64_t>(this->Given.DurationS * MsPerSecond);
    this->Committed.Digest = "d";
    this->commit(this->Committed, Start);
  }

  RolloutResult play() {
    const Time Deadline = Start + milliseconds(this->Committed.DurationMs);
    Time Now = Start;
    Time LastNewCall = Start;
    Time ManyBadAt = NoDeadline;
    for (; Now < Deadline + PlayedBeyondDeadline; Now += Step) {
      this->deliver(Now);
      this->sendCalls(Now, Deadline, LastNewCall);
      this->endCalls(Now);
      if (this->Out.Bad >= ManyBad && ManyBadAt == NoDeadline)
        ManyBadAt = Now;
      this->control(Now);
      if (!this->Committed.running() && this->Out.EndedAt.count() == 0) {
        this->Out.State = this->Committed.State;
        this->Out.EndedAt =
            std::chrono::duration_cast<milliseconds>(Now - Start);
        for (const SimulatedDaemon &Daemon : this->All)
          this->Out.UnderWayAtEnd += static_cast<int>(std::count_if(
              Daemon.UnderWay.begin(), Daemon.UnderWay.end(),
              [](const SimulatedCall &Call) { return !Call.New; }));
      }
    }
    if (ManyBadAt != NoDeadline)
      this->Out.LastCallAfterManyBad = std::chrono::duration_cast<milliseconds>(
          std::max(LastNewCall, ManyBadAt) - ManyBadAt);
    return std::move(this->Out);
  }

private:
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->Rng);
  }

  void commit(Rollout Next, Time Now) {
    this->Committed = std::move(Next);
    this->Setting.Path = "mesh/rollouts/work";
    this->Setting.Version += 1;
    this->Setting.Value = valueOf(this->Committed);
    wire::Delta Change;
    Change.Puts.push_back(this->Setting);
    this->Leader.apply(Change, Now);
    for (SimulatedDaemon &Daemon : this->All) {
      const double Part = this->draw();
      const auto Delay =
          this->Given.LeastInForce +
          milliseconds(static_cast<int>(
              Part * static_cast<double>(
                         (this->Given.MostInForce - this->Given.LeastInForce)
                             .count())));
      Daemon.Coming.emplace_back(Now + Delay, this->Committed);
      Daemon.ComingVersions.emplace_back(Now + Delay, this->Setting.Version);
    }
  }

  void deliver(Time Now) {
    for (SimulatedDaemon &Daemon : this->All) {
      while (!Daemon.Coming.empty() && Daemon.Coming.front().first <= Now) {
        Daemon.InForce = Daemon.Coming.front().second;
        Daemon.Version = Daemon.ComingVersions.front().second;
        Daemon.Coming.erase(Daemon.Coming.begin());
        Daemon.ComingVersions.erase(Daemon.ComingVersions.begin());
      }
    }
  }

  void sendCalls(Time Now, Time Deadline, Time &LastNewCall) {
    const double Mean = this->Given.CallsPerSecond * this->Given.Load(Now) *
                        static_cast<double>(Step.count()) / MsPerSecond;
    const int Count = std::poisson_distribution<int>(Mean)(this->Rng);
    for (int I = 0; I < Count; ++I) {
      SimulatedDaemon &Daemon = this->All[this->Rng() % this->All.size()];
      const Rollout &Known = Daemon.InForce;
      const bool Running = Known.DurationMs > 0 && Known.running();
      const bool New =
          Known.DurationMs > 0 &&
          (Known.State == RolloutState::Completed ||
           (Running && (Known.Stage == RolloutStage::Full ||
                        this->draw() * MsPerSecond < Known.CanaryPerMille)));
      if (Now < Deadline) {
        this->Out.Total += 1;
        this->Out.Exposed += New ? 1 : 0;
      }
      SimulatedCall Call;
      Call.New = New;
      Call.Route = static_cast<int>(this->Rng() %
                                    static_cast<unsigned>(this->Given.Routes));
      Call.Answer = this->Given.Answer(
          New, Call.Route,
          std::chrono::duration_cast<milliseconds>(Now - Start),
          Known.Stage == RolloutStage::Full, this->Rng);
      Call.EndsAt = Now + milliseconds(static_cast<int>(Call.Answer.RunMs));
      if (New)
        LastNewCall = Now;
      if (Running) {
        wire::VersionAnswers &Counted = Daemon.Counts[{New, Call.Route}];
        Counted.Started += 1;
        Counted.UnderWay += 1;
      }
      Daemon.UnderWay.push_back(Call);
    }
  }

  void endCalls(Time Now) {
    for (SimulatedDaemon &Daemon : this->All) {
      std::erase_if(Daemon.UnderWay, [&](const SimulatedCall &Call) {
        if (Now < Call.EndsAt)
          return false;
        this->Out.Bad += Call.New && Call.Answer.Failed ? 1 : 0;
        const auto Found = Daemon.Counts.find({Call.New, Call.Route});
        if (Found == Daemon.Counts.end() || Found->second.UnderWay == 0)
          return true;
        wire::VersionAnswers &Counted = Found->second;
        Counted.UnderWay -= 1;
        Counted.Answers += 1;
        Counted.Failures += Call.Answer.Failed ? 1 : 0;
        Counted.Timed += Call.Answer.Failed ? 0 : 1;
        Counted.RunMs += Call.Answer.Failed
                             ? 0
                             : static_cast<std::int64_t>(Call.Answer.RunMs);
        Counted.LogRunMs +=
            Call.Answer.Failed
                ? 0
                : logRunMs(milliseconds(static_cast<int>(Call.Answer.RunMs)));
        return true;
      });
    }
  }

  bool within(Time Now, const std::optional<milliseconds> &From,
              milliseconds For) const {
    return From && Now >= Start + *From && Now < Start + *From + For;
  }

  void control(Time Now) {
    const bool ReportsLost = this->within(Now, this->Given.ReportsLostAt,
                                          this->Given.ReportsLostFor);
    for (SimulatedDaemon &Daemon : this->All) {
      if (Now < Daemon.NextReport || ReportsLost)
        continue;
      const bool Full = Daemon.InForce.Stage == RolloutStage::Full;
      const double MostMs =
          static_cast<double>(this->Given.ReportDelay.count()) / (Full ? 4 : 1);
      Daemon.NextReport =
          Now + milliseconds(static_cast<int>(this->draw() * MostMs));
      Daemon.Seen.clear();
      for (const auto &[Key, Count] : Daemon.Counts) {
        wire::VersionAnswers &Item = Daemon.Seen.emplace_back(Count);
        Item.RolloutId = "1";
        Item.Version = Key.first ? "v2" : "v1";
        Item.Route = std::to_string(Key.second);
      }
      Daemon.SeenVersion = Daemon.Version;
    }
    const bool Leaderless =
        this->within(Now, this->Given.LeaderLostAt, this->Given.LeaderlessFor);
    if (Leaderless && this->Given.NewLeaderRestarted) {
      this->Leader = RolloutController(RolloutBounds());
      SettingsMap Settings;
      Settings.emplace(this->Setting.Path, this->Setting);
      this->Leader.replace(Settings, Now);
    }
    if (!this->Leader.due(Now))
      return;
    ReportTree::Summary Summary;
    Summary.Reported = Daemons;
    Summary.Expected = Daemons;
    Summary.Complete = true;
    Summary.LeastVersion = INT64_MAX;
    for (const SimulatedDaemon &Daemon : this->All) {
      addAnswers(Summary.Answers, Daemon.Seen);
      Summary.LeastVersion = std::min(Summary.LeastVersion, Daemon.SeenVersion);
    }
    const RolloutView View{Summary, [](std::string_view, std::string_view) {
                             return std::size_t{5};
                           }};
    for (RolloutDecision &Made : this->Leader.tick(View, !Leaderless, Now)) {
      this->Out.Lines.push_back(std::move(Made.Line));
      this->Pending.emplace_back(Now + CommitTime, std::move(Made.Next));
    }
    if (!this->Pending.empty() && Now >= this->Pending.front().first) {
      this->commit(this->Pending.front().second, Now);
      this->Pending.clear();
    }
  }

  const RolloutConditions &Given;
  std::mt19937 Rng;
  std::vector<SimulatedDaemon> All;
  RolloutController Leader;
  Rollout Committed;
  wire::Setting Setting;
  std::vector<std::pair<Time, Rollout>> Pending;
  RolloutResult Out;
};

} // namespace

RolloutResult simulateRollout(const RolloutConditions &Given, unsigned Seed) {
  return Simulation(Given, Seed).play();
}

} // namespace persimmon
