#include "placementsimulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iomanip>
#include <memory>
#include <numeric>
#include <ostream>
#include <queue>
#include <random>
#include <sstream>

namespace persimmon {

namespace {

constexpr double MsPerSecond = 1000.0;
constexpr std::array<double, 4> Speeds = {0.5, 1.0, 1.0, 1.5};
constexpr double SlowFactor = 2.5;
constexpr double SlowShare = 0.15;
constexpr double SlowMs = 600;
constexpr milliseconds WarmUp{2'000};
constexpr milliseconds MembershipDelay{150};
constexpr std::int64_t RequestHeaderBytes = 400;
constexpr std::int64_t ReplyHeaderBytes = 150;
/// An encoded PeerLoad.
constexpr std::int64_t PeerLoadBytes = 20;

/// A kind of calls; each service has a route for each kind.
struct CallKind {
  double Share = 0;
  double RunMs = 0;
  int UsefulMs = 0;
  std::int64_t RequestBytes = 0;
  std::int64_t AnswerBytes = 0;
};
constexpr std::array<CallKind, 3> Kinds = {{{0.4, 90, 300, 200, 400},
                                            {0.4, 200, 700, 500, 2500},
                                            {0.2, 340, 1200, 1000, 8000}}};
constexpr int DeadlineFactor = 3;

Time::duration fromMs(double Ms) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Ms * MsPerSecond));
}

double toMs(Time::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// A machine that other work slows from time to time.
class Machine {
public:
  Machine(double Speed, bool IsSlowed, std::uint64_t Seed)
      : Speed(Speed), IsSlowed(IsSlowed), Rng(Seed) {}

  /// Returns how long work takes now, 1 as usual.
  double pace(double Ms) {
    this->extend(Ms);
    return (this->slow(Ms) ? SlowFactor : 1) / this->Speed;
  }

  /// Returns when work of \p WorkMs that starts at \p Ms ends.
  double endOf(double Ms, double WorkMs) {
    while (true) {
      const double Pace = this->pace(Ms);
      const auto Next =
          std::upper_bound(this->Changes.begin(), this->Changes.end(), Ms);
      if (Ms + WorkMs * Pace <= *Next)
        return Ms + WorkMs * Pace;
      WorkMs -= (*Next - Ms) / Pace;
      Ms = *Next;
    }
  }

private:
  bool slow(double Ms) const {
    const auto Next =
        std::upper_bound(this->Changes.begin(), this->Changes.end(), Ms);
    return this->IsSlowed && (Next - this->Changes.begin()) % 2 == 1;
  }

  /// Adds changes until one is later than \p Ms.
  void extend(double Ms) {
    std::exponential_distribution<double> Pause(SlowShare / (1 - SlowShare) /
                                                SlowMs);
    while (this->Changes.empty() || this->Changes.back() <= Ms) {
      const double Last = this->Changes.empty() ? 0 : this->Changes.back();
      this->Changes.push_back(
          Last + (this->Changes.size() % 2 == 0 ? Pause(this->Rng) : SlowMs));
    }
  }

  double Speed;
  bool IsSlowed;
  std::mt19937_64 Rng;
  /// Times at which it becomes slow and fast again, in turns.
  std::vector<double> Changes;
};

/// A daemon with its target.
struct Instance {
  Instance(const wire::MemberRecord &Self, const Distribution &Config,
           std::uint64_t Seed, const ChoicePolicy &Policy, Machine TheMachine)
      : Members(Self, {}, Seed),
        Router(Members, Config, ClaimClient(Self.Name, Self.Address, 1), Seed,
               Policy),
        Scheduler(Seed), Runner(std::move(TheMachine)) {}

  Membership Members;
  CallRouter Router;
  AttemptScheduler Scheduler;
  Machine Runner;
  int Service = 0;
  bool Lost = false;
};

class PlacementSimulation {
public:
  PlacementSimulation(const PlacementLoad &TheLoad, bool Even,
                      std::uint64_t Seed)
      : Load(TheLoad), Rng(Seed) {
    this->configure();
    this->createInstances(Even, Seed);
  }

  PlacementFigures run() {
    const Time End = this->Now + this->Load.Length;
    const Time Half = this->Now + this->Load.Length / 2;
    this->BurstFrom = Half;
    for (std::size_t I = 0; I < this->Instances.size(); ++I) {
      for (int Service = 0; Service < this->services(); ++Service)
        this->scheduleArrival(I, Service);
      this->scheduleTick(I);
    }
    if (this->Load.LosesTargets)
      this->at(Half, [this] { this->loseTargets(); });
    this->CountFrom = this->Now + WarmUp;
    this->at(this->CountFrom, [this] { this->sample(); });
    while (!this->Agenda.empty() && this->Agenda.top().At < End) {
      const Entry Next = this->Agenda.top();
      this->Agenda.pop();
      this->Now = Next.At;
      Next.What();
    }
    return this->figures();
  }

private:
  struct Entry {
    Time At;
    std::int64_t Order = 0;
    std::function<void()> What;
    bool operator<(const Entry &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(this->At, this->Order);
    }
  };
  struct Arrived {
    Time At;
    int Kind = 0;
    bool Ended = false;
  };

  int services() const {
    return static_cast<int>(this->Load.TargetsByService.size());
  }

  void at(Time When, std::function<void()> What) {
    this->Agenda.push({When, ++this->LastOrder, std::move(What)});
  }

  void configure() {
    SettingsMap Settings;
    const auto Put = [&](const std::string &Path, const std::string &Value) {
      Settings[Path].Path = Path;
      Settings[Path].Version = 1;
      Settings[Path].Value = Value;
    };
    for (int S = 0; S < this->services(); ++S) {
      const std::string Service = "s" + std::to_string(S);
      Put("team/services/" + Service, R"({"queue":32})");
      for (std::size_t K = 0; K < Kinds.size(); ++K) {
        std::ostringstream Value;
        Value << R"({"job":")" << Service << R"(","pathPrefix":"/)" << K
              << R"(","service":"team/)" << Service
              << R"(","repeatable":"never","targetLatencyMs":)"
              << Kinds[K].UsefulMs << "}";
        Put("team/routes/" + Service + std::to_string(K), Value.str());
      }
    }
    Effects Ignored;
    this->Config.replaceContent(Settings, 1, Ignored);
    this->Config.noteCurrent(this->Now + std::chrono::hours(1));
  }

  void createInstances(bool Even, std::uint64_t Seed) {
    std::vector<wire::MemberRecord> Records;
    for (int S = 0; S < this->services(); ++S) {
      for (int I = 0; I < this->Load.TargetsByService[S]; ++I) {
        wire::MemberRecord Self;
        Self.Name = "node-" + std::to_string(Records.size());
        Self.Address = std::to_string(Records.size());
        Self.Zone = "zone-" +
                    std::to_string(Records.size() %
                                   static_cast<std::size_t>(this->Load.Zones));
        Self.Incarnation = 1;
        Self.Sequence = 1;
        Self.Slots = this->Load.Slots;
        Self.Service = "team/s" + std::to_string(S);
        Self.Target = wire::TargetState::Serving;
        Records.push_back(Self);
        const auto Row = static_cast<std::size_t>(I / this->Load.Zones);
        const double Speed = Speeds[Row % Speeds.size()];
        const bool IsSlowed = (Row / 2 + static_cast<std::size_t>(I)) % 2 == 0;
        this->Instances.push_back(std::make_unique<Instance>(
            Self, this->Config, Seed * 1000 + Records.size(), this->Policy,
            Machine(Speed, IsSlowed, Seed * 2000 + Records.size())));
        Instance &Added = *this->Instances.back();
        Added.Service = S;
        Added.Router.setEvenPlacement(Even && !this->Load.TellsPace);
        Added.Scheduler.setEvenPlacement(Even && !this->Load.TellsPace);
        Added.Scheduler.setPeerLoads(&Added.Router);
        TargetAnnounced Event;
        Event.Service = Self.Service;
        Event.Slots = Self.Slots;
        Event.State = wire::TargetState::Serving;
        Event.InstanceId = Self.Name;
        Event.Sequence = 1;
        Effects Ignored;
        Added.Scheduler.setTarget(Event, this->Now, Ignored);
        this->Capacity.resize(static_cast<std::size_t>(this->services()));
        this->Capacity[static_cast<std::size_t>(S)] +=
            Self.Slots * Speed *
            (IsSlowed ? 1 - SlowShare + SlowShare / SlowFactor : 1);
      }
    }
    this->StatesPace = Even && this->Load.TellsPace;
    wire::Gossip Gossip;
    Gossip.Updates = Records;
    for (const auto &Item : this->Instances)
      Item->Members.mergeGossip(Gossip, this->Now);
  }

  int zoneOf(std::size_t I) const {
    return static_cast<int>(I) % this->Load.Zones;
  }

  void scheduleArrival(std::size_t I, int Service) {
    const double WorkMs = std::accumulate(
        Kinds.begin(), Kinds.end(), 0.0, [](double Sum, const CallKind &Kind) {
          return Sum + Kind.Share * Kind.RunMs;
        });
    const double Zones = this->Load.Zones;
    const double ZoneFactor = (zoneOf(I) == 0 ? this->Load.ZoneRatio : 1.0) *
                              Zones / (this->Load.ZoneRatio + Zones - 1);
    const double PerMs =
        this->Load.Load * this->Capacity[static_cast<std::size_t>(Service)] /
        WorkMs / static_cast<double>(this->Instances.size()) * ZoneFactor;
    // Calls of the second kind are thinned out before the burst.
    std::exponential_distribution<double> Pause(PerMs * this->peakFactor());
    this->at(this->Now + fromMs(Pause(this->Rng)), [this, I, Service] {
      this->arrive(I, Service);
      this->scheduleArrival(I, Service);
    });
  }

  double peakFactor() const {
    return 1 + Kinds[1].Share * (this->Load.BurstFactor - 1);
  }

  void arrive(std::size_t I, int Service) {
    std::uniform_real_distribution<double> Draw(0, this->peakFactor());
    double Left = Draw(this->Rng);
    int Kind = -1;
    for (std::size_t K = 0; K < Kinds.size() && Kind < 0; ++K) {
      const bool InBurst = K == 1 && this->Now >= this->BurstFrom;
      const double Share =
          Kinds[K].Share * (InBurst ? this->Load.BurstFactor : 1);
      Kind = Left < Share ? static_cast<int>(K) : -1;
      Left -= Share;
    }
    if (Kind < 0)
      return;
    const CallKind &What = Kinds[static_cast<std::size_t>(Kind)];
    CallArrived Call;
    Call.CallNumber = ++this->LastNumber;
    Call.CallId = std::to_string(this->LastNumber);
    Call.Job = "s" + std::to_string(Service);
    Call.Method = "POST";
    Call.Url = "/" + std::to_string(Kind);
    Call.BodySize = What.RequestBytes;
    Call.Deadline = this->Now + milliseconds(What.UsefulMs * DeadlineFactor);
    this->Calls[Call.CallNumber] = {this->Now, Kind};
    if (this->counts())
      this->Total += 1;
    Instance &By = *this->Instances[I];
    Effects Out;
    By.Router.reportedLocal(By.Scheduler.reportedLoad({}, this->Now),
                            this->Now);
    By.Router.handleCall(Call, true, this->Now, Out);
    this->perform(I, std::move(Out));
  }

  bool counts() const { return this->Now >= this->CountFrom; }

  void countBytes(std::size_t From, std::size_t To, std::int64_t Bytes) {
    if (!this->counts() || From == To)
      return;
    this->AllBytes += Bytes;
    if (zoneOf(From) != zoneOf(To))
      this->CrossBytes += Bytes;
  }

  Time arrivalAt(std::size_t From, std::size_t To) const {
    const double Ms = From == To ? 0.1 : zoneOf(From) == zoneOf(To) ? 0.7 : 1.5;
    return this->Now + fromMs(Ms);
  }

  void deliver(std::size_t From, std::size_t To, const Message &Body) {
    this->at(this->arrivalAt(From, To), [this, From, To, Body] {
      Instance &By = *this->Instances[To];
      Effects Out;
      const std::string Address = std::to_string(From);
      if (const auto *Call = std::get_if<wire::CallRequest>(&Body)) {
        AttemptScheduler::CallContext Context;
        Context.Limits = this->Config.table()->service(Call->Service);
        Context.FromLocalDaemon = From == To;
        By.Scheduler.receive(*Call, Address, Context, this->Now, Out);
      } else if (const auto *Reply = std::get_if<wire::CallReply>(&Body)) {
        By.Router.receive(*Reply, this->Now, Out);
      } else if (const auto *Cancel = std::get_if<wire::CallCancel>(&Body)) {
        By.Scheduler.receive(*Cancel, Address, this->Now, Out);
      } else if (const auto *Query = std::get_if<wire::CallQuery>(&Body)) {
        By.Scheduler.receive(*Query, Address, true, this->Now, Out);
      } else if (const auto *Ack = std::get_if<wire::AnswerAck>(&Body)) {
        By.Scheduler.receive(*Ack, this->Now, Out);
      } else if (const auto *Beat = std::get_if<wire::Heartbeat>(&Body)) {
        By.Router.receive(*Beat, Address, this->Now, Out);
      }
      this->perform(To, std::move(Out));
    });
  }

  void perform(std::size_t I, Effects Out) {
    for (Effect &Item : Out)
      std::visit([&](auto &What) { this->on(I, What); }, Item);
  }

  template <typename EffectT> void on(std::size_t, EffectT &) {}

  void on(std::size_t I, SendCall &What) {
    const std::size_t To = std::stoul(What.Address);
    this->Attempts += this->counts() ? 1 : 0;
    this->countBytes(I, To, What.Header.BodySize + RequestHeaderBytes);
    this->KindByAttempt[{I, What.Header.Id.Number}] =
        this->Calls.at(What.CallNumber).Kind;
    this->deliver(I, To, What.Header);
  }

  void on(std::size_t I, SendMessage &What) {
    const std::size_t To = std::stoul(What.Address);
    std::int64_t Bytes = ReplyHeaderBytes / 2;
    if (const auto *Reply = std::get_if<wire::CallReply>(&What.Body))
      Bytes += static_cast<std::int64_t>(Reply->Peers.size()) * PeerLoadBytes;
    this->countBytes(I, To, Bytes);
    this->deliver(I, To, What.Body);
  }

  void on(std::size_t I, RunOnTarget &What) {
    Instance &By = *this->Instances[I];
    const CallKind &Kind = Kinds[static_cast<std::size_t>(
        this->KindByAttempt.at({indexOf(What.Id), What.Id.Number}))];
    constexpr double RunSpread = 0.3;
    std::lognormal_distribution<double> Work(
        std::log(Kind.RunMs) - RunSpread * RunSpread / 2, RunSpread);
    const double EndMs =
        By.Runner.endOf(toMs(this->Now.time_since_epoch()), Work(this->Rng));
    this->at(Time(fromMs(EndMs)), [this, I, Id = What.Id] {
      RunFinished Run;
      Run.Id = Id;
      Run.End = this->Instances[I]->Lost ? RunEnd::Broken : RunEnd::Answered;
      Run.Status = 200;
      Run.AnswerBytes = Kinds[static_cast<std::size_t>(this->KindByAttempt.at(
                                  {indexOf(Id), Id.Number}))]
                            .AnswerBytes;
      // Some answers state no load.
      if (this->StatesPace && Id.Number % 3 != 0)
        Run.Notice.PacePercent =
            static_cast<int>(100 * this->Instances[I]->Runner.pace(
                                       toMs(this->Now.time_since_epoch())));
      Effects Out;
      this->Instances[I]->Scheduler.finished(Run, this->Now, Out);
      this->perform(I, std::move(Out));
    });
  }

  void on(std::size_t I, SendAnswer &What) {
    const std::size_t To = std::stoul(What.Address);
    wire::CallReply Reply;
    Reply.Id = What.Id;
    Reply.Outcome = wire::CallOutcome::Finished;
    Reply.Status = 200;
    Reply.BodySize = Kinds[static_cast<std::size_t>(
                               this->KindByAttempt.at({To, What.Id.Number}))]
                         .AnswerBytes;
    Reply.TargetLoad = What.TargetLoad;
    Reply.Peers = What.Peers;
    this->countBytes(I, To,
                     Reply.BodySize + ReplyHeaderBytes +
                         static_cast<std::int64_t>(Reply.Peers.size()) *
                             PeerLoadBytes);
    this->deliver(I, To, Reply);
  }

  void on(std::size_t, AnswerCaller &What) {
    Arrived &Call = this->Calls.at(What.CallNumber);
    Call.Ended = true;
    if (Call.At < this->CountFrom)
      return;
    const double Ms = toMs(this->Now - Call.At);
    this->EndedByKind[static_cast<std::size_t>(Call.Kind)] += 1;
    this->Latencies.push_back(Ms);
    if (Ms <= Kinds[static_cast<std::size_t>(Call.Kind)].UsefulMs) {
      this->Useful += 1;
      this->UsefulByKind[static_cast<std::size_t>(Call.Kind)] += 1;
    }
  }

  void on(std::size_t, RefuseCaller &What) {
    const Arrived &Call = this->Calls.at(What.CallNumber);
    if (Call.At >= this->CountFrom) {
      this->Refused += 1;
      this->EndedByKind[static_cast<std::size_t>(Call.Kind)] += 1;
    }
  }

  static std::size_t indexOf(const wire::AttemptId &Id) {
    return std::stoul(Id.Sender.substr(Id.Sender.find('-') + 1));
  }

  void scheduleTick(std::size_t I) {
    this->at(this->Now + milliseconds(20), [this, I] {
      Effects Out;
      this->Instances[I]->Router.tick(this->Now, Out);
      this->Instances[I]->Scheduler.tick(this->Now, Out);
      this->perform(I, std::move(Out));
      this->scheduleTick(I);
    });
  }

  void loseTargets() {
    wire::Gossip Gossip;
    for (std::size_t I = 0; I < this->Instances.size(); ++I) {
      if (zoneOf(I) != 0 || I / static_cast<std::size_t>(this->Load.Zones) % 3)
        continue;
      Instance &By = *this->Instances[I];
      By.Lost = true;
      TargetAnnounced Event = {};
      Event.State = wire::TargetState::Gone;
      Effects Out;
      By.Scheduler.setTarget(Event, this->Now, Out);
      this->perform(I, std::move(Out));
      Gossip.Updates.push_back(By.Members.self());
      Gossip.Updates.back().Sequence += 1;
      Gossip.Updates.back().Target = wire::TargetState::Gone;
    }
    this->at(this->Now + MembershipDelay, [this, Gossip] {
      for (const auto &Item : this->Instances)
        Item->Members.mergeGossip(Gossip, this->Now);
    });
  }

  void sample() {
    std::vector<double> Shares;
    for (const auto &Item : this->Instances) {
      if (Item->Service == 0 && !Item->Lost)
        Shares.push_back(static_cast<double>(Item->Scheduler.load().Running) /
                         this->Load.Slots);
    }
    double Sum = 0;
    double Squares = 0;
    for (const double Share : Shares) {
      Sum += Share;
      Squares += Share * Share;
    }
    const auto Count = static_cast<double>(Shares.size());
    this->Deviations.push_back(
        std::sqrt(std::max(0.0, Squares / Count - Sum * Sum / Count / Count)));
    this->SlotShares.insert(this->SlotShares.end(), Shares.begin(),
                            Shares.end());
    this->at(this->Now + milliseconds(25), [this] { this->sample(); });
  }

  static double quantile(std::vector<double> &From, double Share) {
    if (From.empty())
      return 0;
    const auto Nth =
        From.begin() + static_cast<std::ptrdiff_t>(
                           Share * static_cast<double>(From.size() - 1));
    std::nth_element(From.begin(), Nth, From.end());
    return *Nth;
  }

  static double mean(const std::vector<double> &From) {
    return std::accumulate(From.begin(), From.end(), 0.0) /
           std::max<double>(1, static_cast<double>(From.size()));
  }

  PlacementFigures figures() {
    const double Ended =
        this->EndedByKind[0] + this->EndedByKind[1] + this->EndedByKind[2];
    double Work = 0;
    double UsefulWork = 0;
    PlacementFigures Out;
    Out.UsefulShare = this->Useful / Ended;
    for (std::size_t K = 0; K < Kinds.size(); ++K) {
      Out.UsefulByKind[K] = this->UsefulByKind[K] / this->EndedByKind[K];
      Work += this->EndedByKind[K] * Kinds[K].RunMs;
      UsefulWork += this->UsefulByKind[K] * Kinds[K].RunMs;
    }
    Out.UsefulWork = UsefulWork / Work;
    Out.RefusedShare = this->Refused / Ended;
    Out.MeanMs = mean(this->Latencies);
    Out.P99Ms = quantile(this->Latencies, 0.99);
    Out.SlotDeviation = mean(this->Deviations);
    Out.SlotsP10 = quantile(this->SlotShares, 0.1);
    Out.SlotsP90 = quantile(this->SlotShares, 0.9);
    Out.CrossShare =
        static_cast<double>(this->CrossBytes) /
        static_cast<double>(std::max<std::int64_t>(1, this->AllBytes));
    Out.AttemptsPerCall = this->Attempts / std::max(1.0, this->Total);
    return Out;
  }

  PlacementLoad Load;
  std::mt19937_64 Rng;
  Time Now{std::chrono::hours(1)};
  LeastOfTwo Policy;
  Distribution Config{1};
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<double> Capacity;
  bool StatesPace = false;
  std::priority_queue<Entry> Agenda;
  std::int64_t LastOrder = 0;
  std::int64_t LastNumber = 0;
  Time BurstFrom;
  Time CountFrom;
  std::map<std::int64_t, Arrived> Calls;
  std::map<std::pair<std::size_t, std::int64_t>, int> KindByAttempt;
  double Total = 0;
  double Attempts = 0;
  double Useful = 0;
  std::array<double, Kinds.size()> UsefulByKind{};
  std::array<double, Kinds.size()> EndedByKind{};
  double Refused = 0;
  std::int64_t AllBytes = 0;
  std::int64_t CrossBytes = 0;
  std::vector<double> Latencies;
  std::vector<double> Deviations;
  std::vector<double> SlotShares;
};

} // namespace

std::ostream &operator<<(std::ostream &Out, const PlacementFigures &Figures) {
  return Out << std::fixed << std::setprecision(3)
             << "useful=" << Figures.UsefulShare << " ("
             << Figures.UsefulByKind[0] << " " << Figures.UsefulByKind[1] << " "
             << Figures.UsefulByKind[2] << ") work=" << Figures.UsefulWork
             << " refused=" << Figures.RefusedShare << std::setprecision(0)
             << " mean=" << Figures.MeanMs << "ms p99=" << Figures.P99Ms << "ms"
             << std::setprecision(2) << " slots: dev=" << Figures.SlotDeviation
             << " p10=" << Figures.SlotsP10 << " p90=" << Figures.SlotsP90
             << std::setprecision(3) << " cross=" << Figures.CrossShare
             << " attempts=" << Figures.AttemptsPerCall;
}

void PlacementFigures::add(const PlacementFigures &Other, double Weight) {
  using Field = double PlacementFigures::*;
  for (const Field Item :
       {&PlacementFigures::UsefulShare, &PlacementFigures::UsefulWork,
        &PlacementFigures::RefusedShare, &PlacementFigures::MeanMs,
        &PlacementFigures::P99Ms, &PlacementFigures::SlotDeviation,
        &PlacementFigures::SlotsP10, &PlacementFigures::SlotsP90,
        &PlacementFigures::CrossShare, &PlacementFigures::AttemptsPerCall})
    this->*Item += Other.*Item * Weight;
  for (std::size_t K = 0; K < this->UsefulByKind.size(); ++K)
    this->UsefulByKind[K] += Other.UsefulByKind[K] * Weight;
}

PlacementFigures simulatePlacement(const PlacementLoad &Load, bool Even,
                                   std::uint64_t Seed) {
  return PlacementSimulation(Load, Even, Seed).run();
}

} // namespace persimmon
