#pragma once

#include "libpersimmon/accountallowance.h"
#include "libpersimmon/allowanceledger.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace persimmon {

/// How often messages are lost, repeated and delayed.
struct NetworkFaults {
  double Lost = 0;
  double Repeated = 0;
  /// Part of the messages that are delayed by up to MaxDelay.
  double Delayed = 0;
  milliseconds MaxDelay{0};
};

/// What became of the calls of one account.
struct AccountTally {
  int Asked = 0;
  int Granted = 0;
  int Refused = 0;
  int OutOfTouch = 0;
  /// Most calls in one span, as a part of what is permitted.
  double FullestSpan = 0;
};

/// Simulates the ledgers of three control instances and the allowances of
/// many daemons on a fake network and clock. Counts the calls of each account
/// in every span of five seconds.
class AllowanceSimulation {
public:
  AllowanceSimulation(std::uint64_t Seed, int DaemonCount);

  /// Adds an account, which has its rate from now on.
  void addAccount(const std::string &Path, AccountRate Rate);
  /// Sets the calls per second that are asked for over all daemons.
  void setDemand(const std::string &Path, double PerSecond);
  /// Sends all calls of an account to \p Count daemons from \p First on.
  void setDaemons(const std::string &Path, int First, int Count);
  void setRate(const std::string &Path, AccountRate Rate);
  /// Part of the granted calls that nobody runs and whose token returns.
  void setNotRun(double Part) { this->NotRun = Part; }
  void setFaults(const NetworkFaults &Faults) { this->Faults = Faults; }

  void run(milliseconds For);

  /// Makes the next control instance the leader. The former one goes on to
  /// answer as long as it takes its leadership for confirmed.
  void changeLeader();
  /// Ends the leader; there is none for \p For.
  void loseLeader(milliseconds For);
  /// Stops the leader for \p For. It then handles one request as of the time
  /// before.
  void freezeLeader(milliseconds For);
  /// Suspends the machine of the leader: its clock stands still.
  void suspendLeader(milliseconds For);
  void restartDaemon(int Index);
  void freezeDaemon(int Index, milliseconds For);
  void suspendDaemon(int Index, milliseconds For);
  /// Loses all messages between a daemon and the control instances.
  void disconnectDaemon(int Index, milliseconds For);

  int daemonCount() const { return static_cast<int>(this->Daemons.size()); }
  std::mt19937_64 &random() { return this->Rng; }
  /// Returns the tally since the last resetTallies().
  const AccountTally &tally(const std::string &Path) const {
    return this->Accounts.at(Path).Tally;
  }
  void resetTallies();
  /// Returns the mean bytes per second of one daemon's messages, both ways,
  /// since resetTallies(), without packet headers.
  double bytesPerDaemonSecond() const;
  double messagesPerDaemonSecond() const;
  /// Returns how many spans had more calls than permitted, in all.
  int overfullSpans() const { return this->Overfull; }

private:
  struct Account {
    AccountRate Rate;
    double PerSecond = 0;
    Time NextCall;
    int FirstDaemon = 0;
    int DaemonCount = 0;
    /// The largest rate that is permitted now, and until when.
    AccountRate Permitted;
    Time PermittedUntil = NoDeadline;
    std::deque<Time> Reached;
    AccountTally Tally;
  };
  struct Daemon {
    std::string Address;
    std::unique_ptr<AccountAllowance> Allowance;
    std::int64_t Incarnation = 0;
    /// What its clock has not counted.
    milliseconds Behind{0};
    Time PausedUntil;
    milliseconds Suspended{0};
    Time DisconnectedUntil;
    Time NextTick;
    std::vector<std::function<void()>> Queued;
    std::map<std::int64_t, std::string> Held;
  };
  struct Control {
    std::string Address;
    AllowanceLedger Ledger;
    AllowanceLedger::Leadership Status;
    milliseconds Behind{0};
    Time PausedUntil;
    milliseconds Suspended{0};
    Time FrozenAt;
    bool HandlesOneLate = false;
    std::vector<std::function<void()>> Queued;
    /// When it learns that another instance leads.
    Time StepsDownAt = NoDeadline;
  };

  void at(Time When, std::function<void()> What);
  Time clockOf(const Daemon &Of) const { return this->Now - Of.Behind; }
  Time clockOf(const Control &Of) const { return this->Now - Of.Behind; }
  double uniform();
  milliseconds randomDelay(int Least, int Most);
  void startDaemon(int Index);
  void toDaemon(int Index, std::function<void()> What);
  void toControl(int Index, std::function<void()> What);
  void wake(Daemon &Of);
  void wake(Control &Of);
  void transmit(std::size_t Size, Time Disconnected,
                const std::function<void()> &Deliver);
  void execute(int Index, const Effects &Out);
  void handleRequest(int ControlIndex, int DaemonIndex,
                     const wire::AllowanceRequest &Request,
                     std::optional<Time> LateClock);
  void call(const std::string &Path);
  void decided(int Index, const std::string &Path,
               const AccountAllowance::Decision &What);
  void takeDecided(int Index);
  void reached(Account &Of);
  void tick();

  std::mt19937_64 Rng;
  Time Now;
  std::multimap<Time, std::function<void()>> Events;
  std::map<std::string, Account> Accounts;
  std::vector<Daemon> Daemons;
  std::vector<Control> Controls;
  int Leader = 0;
  std::int64_t Term = 1;
  Time LeaderFrom;
  bool HasLeader = true;
  NetworkFaults Faults;
  double NotRun = 0;
  std::int64_t LastCall = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Messages = 0;
  Time TalliesFrom;
  int Overfull = 0;
};

} // namespace persimmon
