#include "allowancesimulation.h"

#include <algorithm>

namespace persimmon {

namespace {

const Time Start{std::chrono::hours(1)};
constexpr milliseconds TickInterval{20};
constexpr milliseconds VerifyInterval{100};
constexpr milliseconds Span{5000};
constexpr double SpanSeconds = 5;
constexpr double Overage = 1.1;
constexpr double Slack = 20;
constexpr int ControlCount = 3;

double permitted(const AccountRate &Rate) {
  return (Rate.PerSecond * SpanSeconds + Rate.Burst) * Overage + Slack;
}

} // namespace

AllowanceSimulation::AllowanceSimulation(std::uint64_t Seed, int DaemonCount)
    : Rng(Seed), Now(Start), LeaderFrom(Start), TalliesFrom(Start) {
  for (int I = 0; I < ControlCount; ++I) {
    Control Item;
    Item.Address = "control-" + std::to_string(I);
    this->Controls.push_back(std::move(Item));
  }
  this->Controls[0].Status = {true, this->Term, Start};
  this->Controls[0].Ledger.update(this->Controls[0].Status, true, Start);
  for (int I = 0; I < DaemonCount; ++I) {
    this->Daemons.emplace_back();
    this->Daemons.back().Address = "proxy-" + std::to_string(I);
    this->startDaemon(I);
  }
}

double AllowanceSimulation::uniform() {
  return std::uniform_real_distribution<double>(0, 1)(this->Rng);
}

milliseconds AllowanceSimulation::randomDelay(int Least, int Most) {
  return milliseconds(
      std::uniform_int_distribution<int>(Least, Most)(this->Rng));
}

void AllowanceSimulation::at(Time When, std::function<void()> What) {
  this->Events.emplace(std::max(When, this->Now), std::move(What));
}

void AllowanceSimulation::startDaemon(int Index) {
  Daemon &Of = this->Daemons[static_cast<std::size_t>(Index)];
  Of.Incarnation += 1;
  Of.Allowance = std::make_unique<AccountAllowance>(Of.Address, Of.Incarnation);
  std::vector<std::string> Addresses;
  for (const Control &Item : this->Controls)
    Addresses.push_back(Item.Address);
  Of.Allowance->setControlAddresses(std::move(Addresses));
  Of.Held.clear();
  Of.Queued.clear();
  Of.NextTick = this->Now + this->randomDelay(0, 19);
}

void AllowanceSimulation::addAccount(const std::string &Path,
                                     AccountRate Rate) {
  Account &New = this->Accounts[Path];
  New.Rate = Rate;
  New.Permitted = Rate;
  New.DaemonCount = this->daemonCount();
  New.NextCall = NoDeadline;
  for (Control &Item : this->Controls)
    Item.Ledger.setRate(Path, Rate, this->clockOf(Item));
}

void AllowanceSimulation::setDemand(const std::string &Path, double PerSecond) {
  Account &Of = this->Accounts.at(Path);
  Of.PerSecond = PerSecond;
  Of.NextCall = PerSecond > 0 ? this->Now : NoDeadline;
}

void AllowanceSimulation::setDaemons(const std::string &Path, int First,
                                     int Count) {
  this->Accounts.at(Path).FirstDaemon = First;
  this->Accounts.at(Path).DaemonCount = Count;
}

void AllowanceSimulation::setRate(const std::string &Path, AccountRate Rate) {
  Account &Of = this->Accounts.at(Path);
  Of.Rate = Rate;
  for (Control &Item : this->Controls)
    Item.Ledger.setRate(Path, Rate, this->clockOf(Item));
  // All daemons are connected for two seconds, then one span passes.
  constexpr milliseconds TimeToConnect{2000};
  Of.PermittedUntil = this->Now + TimeToConnect + Span;
}

void AllowanceSimulation::resetTallies() {
  for (auto &[Path, Of] : this->Accounts)
    Of.Tally = {};
  this->Bytes = 0;
  this->Messages = 0;
  this->TalliesFrom = this->Now;
}

double AllowanceSimulation::bytesPerDaemonSecond() const {
  return static_cast<double>(this->Bytes) / this->daemonCount() /
         std::chrono::duration<double>(this->Now - this->TalliesFrom).count();
}

double AllowanceSimulation::messagesPerDaemonSecond() const {
  return static_cast<double>(this->Messages) / this->daemonCount() /
         std::chrono::duration<double>(this->Now - this->TalliesFrom).count();
}

void AllowanceSimulation::changeLeader() {
  Control &Old = this->Controls[static_cast<std::size_t>(this->Leader)];
  Old.StepsDownAt = this->Now + this->randomDelay(0, 1500);
  this->Leader = (this->Leader + 1) % ControlCount;
  this->Term += 1;
  Control &New = this->Controls[static_cast<std::size_t>(this->Leader)];
  New.StepsDownAt = NoDeadline;
  New.Status = {true, this->Term, Time()};
  New.Ledger.update(New.Status, false, this->clockOf(New));
  this->LeaderFrom = this->Now;
  this->HasLeader = true;
}

void AllowanceSimulation::loseLeader(milliseconds For) {
  Control &Old = this->Controls[static_cast<std::size_t>(this->Leader)];
  Old.Status = {};
  Old.Ledger.update(Old.Status, false, this->clockOf(Old));
  this->HasLeader = false;
  this->at(this->Now + For, [this] { this->changeLeader(); });
}

void AllowanceSimulation::freezeLeader(milliseconds For) {
  Control &Of = this->Controls[static_cast<std::size_t>(this->Leader)];
  if (this->Now < Of.PausedUntil)
    return;
  Of.PausedUntil = this->Now + For;
  Of.FrozenAt = this->clockOf(Of);
  Of.HandlesOneLate = true;
  const int Index = this->Leader;
  this->at(Of.PausedUntil, [this, Index] {
    this->wake(this->Controls[static_cast<std::size_t>(Index)]);
  });
}

void AllowanceSimulation::suspendLeader(milliseconds For) {
  Control &Of = this->Controls[static_cast<std::size_t>(this->Leader)];
  if (this->Now < Of.PausedUntil)
    return;
  Of.PausedUntil = this->Now + For;
  Of.Suspended = For;
  const int Index = this->Leader;
  this->at(Of.PausedUntil, [this, Index] {
    this->wake(this->Controls[static_cast<std::size_t>(Index)]);
  });
}

void AllowanceSimulation::restartDaemon(int Index) {
  Daemon &Of = this->Daemons[static_cast<std::size_t>(Index)];
  Of.Suspended = milliseconds(0);
  Of.PausedUntil = Time();
  this->startDaemon(Index);
}

void AllowanceSimulation::freezeDaemon(int Index, milliseconds For) {
  Daemon &Of = this->Daemons[static_cast<std::size_t>(Index)];
  if (this->Now < Of.PausedUntil)
    return;
  Of.PausedUntil = this->Now + For;
  this->at(Of.PausedUntil, [this, Index] {
    this->wake(this->Daemons[static_cast<std::size_t>(Index)]);
  });
}

void AllowanceSimulation::suspendDaemon(int Index, milliseconds For) {
  Daemon &Of = this->Daemons[static_cast<std::size_t>(Index)];
  if (this->Now < Of.PausedUntil)
    return;
  Of.Suspended = For;
  this->freezeDaemon(Index, For);
}

void AllowanceSimulation::disconnectDaemon(int Index, milliseconds For) {
  this->Daemons[static_cast<std::size_t>(Index)].DisconnectedUntil =
      this->Now + For;
}

void AllowanceSimulation::wake(Daemon &Of) {
  if (this->Now < Of.PausedUntil)
    return;
  if (Of.Suspended.count() > 0) {
    Of.Behind += Of.Suspended;
    Of.Allowance->age(Of.Suspended);
    Of.Suspended = milliseconds(0);
  }
  for (auto &What : std::exchange(Of.Queued, {}))
    What();
}

void AllowanceSimulation::wake(Control &Of) {
  if (this->Now < Of.PausedUntil)
    return;
  if (Of.Suspended.count() > 0) {
    Of.Behind += Of.Suspended;
    Of.Suspended = milliseconds(0);
    Of.Ledger.suspended(this->clockOf(Of));
  }
  for (auto &What : std::exchange(Of.Queued, {}))
    What();
  Of.HandlesOneLate = false;
}

void AllowanceSimulation::toDaemon(int Index, std::function<void()> What) {
  Daemon &Of = this->Daemons[static_cast<std::size_t>(Index)];
  if (this->Now < Of.PausedUntil)
    Of.Queued.push_back(std::move(What));
  else
    What();
}

void AllowanceSimulation::toControl(int Index, std::function<void()> What) {
  Control &Of = this->Controls[static_cast<std::size_t>(Index)];
  if (this->Now < Of.PausedUntil)
    Of.Queued.push_back(std::move(What));
  else
    What();
}

void AllowanceSimulation::transmit(std::size_t Size, Time Disconnected,
                                   const std::function<void()> &Deliver) {
  this->Bytes += Size;
  this->Messages += 1;
  const int Copies = this->uniform() < this->Faults.Repeated ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    if (this->uniform() < this->Faults.Lost || this->Now < Disconnected)
      continue;
    milliseconds Delay = this->randomDelay(1, 4);
    if (this->uniform() < this->Faults.Delayed)
      Delay +=
          this->randomDelay(0, static_cast<int>(this->Faults.MaxDelay.count()));
    this->at(this->Now + Delay, Deliver);
  }
}

void AllowanceSimulation::execute(int Index, const Effects &Out) {
  const Time Disconnected =
      this->Daemons[static_cast<std::size_t>(Index)].DisconnectedUntil;
  for (const Effect &Item : Out) {
    const auto *Sent = std::get_if<SendMessage>(&Item);
    if (Sent == nullptr)
      continue;
    const auto Request = std::get<wire::AllowanceRequest>(Sent->Body);
    for (int I = 0; I < ControlCount; ++I) {
      if (this->Controls[static_cast<std::size_t>(I)].Address != Sent->Address)
        continue;
      this->transmit(
          encode(Sent->Body).size(), Disconnected, [this, I, Index, Request] {
            Control &Of = this->Controls[static_cast<std::size_t>(I)];
            std::optional<Time> LateClock;
            if (this->Now < Of.PausedUntil && Of.HandlesOneLate &&
                Of.Queued.empty())
              LateClock = Of.FrozenAt;
            this->toControl(I, [this, I, Index, Request, LateClock] {
              this->handleRequest(I, Index, Request, LateClock);
            });
          });
    }
  }
}

void AllowanceSimulation::handleRequest(int ControlIndex, int DaemonIndex,
                                        const wire::AllowanceRequest &Request,
                                        std::optional<Time> LateClock) {
  Control &Of = this->Controls[static_cast<std::size_t>(ControlIndex)];
  const Daemon &From = this->Daemons[static_cast<std::size_t>(DaemonIndex)];
  std::optional<wire::AllowanceReply> Reply;
  if (Of.Status.Ready) {
    Reply = Of.Ledger.receive(Request, From.Address,
                              LateClock.value_or(this->clockOf(Of)));
  } else if (this->HasLeader) {
    Reply.emplace();
    Reply->Number = Request.Number;
    Reply->__set_LeaderAddress(
        this->Controls[static_cast<std::size_t>(this->Leader)].Address);
  }
  if (!Reply)
    return;
  const std::int64_t Incarnation = Request.Incarnation;
  this->transmit(
      encode(Message(*Reply)).size(), From.DisconnectedUntil,
      [this, DaemonIndex, Incarnation, Reply = *Reply, By = Of.Address] {
        this->toDaemon(
            DaemonIndex, [this, DaemonIndex, Incarnation, Reply, By] {
              Daemon &To = this->Daemons[static_cast<std::size_t>(DaemonIndex)];
              if (To.Incarnation != Incarnation)
                return;
              Effects Out;
              To.Allowance->receive(Reply, By, this->clockOf(To), Out);
              this->takeDecided(DaemonIndex);
              this->execute(DaemonIndex, Out);
            });
      });
}

void AllowanceSimulation::call(const std::string &Path) {
  Account &Of = this->Accounts.at(Path);
  const int Index = (Of.FirstDaemon + std::uniform_int_distribution<int>(
                                          0, Of.DaemonCount - 1)(this->Rng)) %
                    this->daemonCount();
  const std::int64_t Number = ++this->LastCall;
  Of.Tally.Asked += 1;
  this->toDaemon(Index, [this, Index, Path, Number] {
    Daemon &To = this->Daemons[static_cast<std::size_t>(Index)];
    Effects Out;
    const auto Result =
        To.Allowance->take(Number, Path, this->clockOf(To), Out);
    if (Result.Result == AccountAllowance::Verdict::Held)
      To.Held[Number] = Path;
    else
      this->decided(Index, Path, Result);
    this->takeDecided(Index);
    this->execute(Index, Out);
  });
}

void AllowanceSimulation::takeDecided(int Index) {
  Daemon &Of = this->Daemons[static_cast<std::size_t>(Index)];
  for (const auto &Item : Of.Allowance->takeDecided()) {
    const auto Found = Of.Held.find(Item.CallNumber);
    if (Found == Of.Held.end())
      continue;
    const std::string Path = Found->second;
    Of.Held.erase(Found);
    this->decided(Index, Path, Item);
  }
}

void AllowanceSimulation::decided(int Index, const std::string &Path,
                                  const AccountAllowance::Decision &What) {
  Account &Of = this->Accounts.at(Path);
  if (What.Result == AccountAllowance::Verdict::Exceeded)
    Of.Tally.Refused += 1;
  if (What.Result == AccountAllowance::Verdict::OutOfTouch)
    Of.Tally.OutOfTouch += 1;
  if (What.Result != AccountAllowance::Verdict::Granted)
    return;
  Of.Tally.Granted += 1;
  if (this->uniform() >= this->NotRun)
    return this->reached(Of);
  Daemon &From = this->Daemons[static_cast<std::size_t>(Index)];
  const Time TakenAt = this->clockOf(From);
  const std::int64_t Incarnation = From.Incarnation;
  this->at(this->Now + this->randomDelay(1, 400),
           [this, Index, Path, TakenAt, Incarnation] {
             this->toDaemon(Index, [this, Index, Path, TakenAt, Incarnation] {
               Daemon &To = this->Daemons[static_cast<std::size_t>(Index)];
               if (To.Incarnation != Incarnation)
                 return;
               To.Allowance->giveBack(Path, TakenAt, this->clockOf(To));
               this->takeDecided(Index);
             });
           });
}

void AllowanceSimulation::reached(Account &Of) {
  if (this->Now >= Of.PermittedUntil) {
    Of.Permitted = Of.Rate;
    Of.PermittedUntil = NoDeadline;
  }
  Of.Reached.push_back(this->Now);
  while (Of.Reached.front() <= this->Now - Span)
    Of.Reached.pop_front();
  const double Part =
      static_cast<double>(Of.Reached.size()) / permitted(Of.Permitted);
  Of.Tally.FullestSpan = std::max(Of.Tally.FullestSpan, Part);
  if (Part > 1)
    this->Overfull += 1;
}

void AllowanceSimulation::tick() {
  for (int I = 0; I < ControlCount; ++I) {
    Control &Of = this->Controls[static_cast<std::size_t>(I)];
    if (this->Now < Of.PausedUntil)
      continue;
    if (this->Now >= Of.StepsDownAt) {
      Of.StepsDownAt = NoDeadline;
      Of.Status = {};
    }
    // Confirmed as of the last heartbeat round that has ended.
    if (this->HasLeader && I == this->Leader) {
      const Time Clock = this->clockOf(Of);
      const auto Rounds =
          (Clock - Start) / VerifyInterval * VerifyInterval + Start;
      const Time Since = std::max(this->LeaderFrom - Of.Behind, Rounds);
      if (Since > Of.Status.VerifiedAt)
        Of.Status.VerifiedAt = Since;
    }
    Of.Ledger.update(Of.Status, false, this->clockOf(Of));
  }
  for (int I = 0; I < this->daemonCount(); ++I) {
    Daemon &Of = this->Daemons[static_cast<std::size_t>(I)];
    if (this->Now < Of.PausedUntil || this->Now < Of.NextTick)
      continue;
    Of.NextTick = this->Now + TickInterval;
    Effects Out;
    Of.Allowance->tick(this->clockOf(Of), Out);
    this->takeDecided(I);
    this->execute(I, Out);
  }
}

void AllowanceSimulation::run(milliseconds For) {
  const Time End = this->Now + For;
  while (this->Now < End) {
    while (!this->Events.empty() && this->Events.begin()->first <= this->Now) {
      const auto What = std::move(this->Events.begin()->second);
      this->Events.erase(this->Events.begin());
      What();
    }
    for (auto &[Path, Of] : this->Accounts) {
      while (Of.NextCall <= this->Now) {
        this->call(Path);
        Of.NextCall += std::chrono::duration_cast<Time::duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(
                Of.PerSecond)(this->Rng)));
      }
    }
    this->tick();
    this->Now += milliseconds(1);
  }
}

} // namespace persimmon
