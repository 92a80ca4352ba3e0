#pragma once

#include "time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace persimmon {

/// Divides the starts of calls of one priority between client accounts, by
/// start-time fair queueing: each account has a virtual time that grows with
/// the expected run times of its calls, and the account that is furthest behind
/// goes first. An account that asks for no more than its part finds its virtual
/// time behind the others, so its calls pass the backlog of one that asks for
/// more. Unused parts go to whoever asks, and using them is not held against
/// anyone later.
///
/// Accounts have equal parts, so a large one may get a small fraction of what
/// it asks for. No account is to be served less than a quarter as often as all
/// calls together, so the first call of an account that comes near this goes
/// ahead of the others.
///
/// Calls without an account count as one account, with an empty name.
class AccountFairness {
public:
  /// Counts a call that arrived, whether or not it is admitted.
  void arrived(int Priority, std::string_view Account, Time Now);

  /// Counts a call that starts and is expected to take \p RunMs.
  void started(int Priority, std::string_view Account, double RunMs, Time Now);

  /// Returns the virtual time at which the next call of the account starts;
  /// that of further ones is later by the run times of those before them.
  double startOf(int Priority, std::string_view Account) const;

  /// Returns whether the account is served so much less often than all calls of
  /// the priority together that its next call goes first.
  bool neglected(int Priority, std::string_view Account) const;

  /// Returns the share of the account's calls to admit if the share \p OfAll of
  /// all calls of the priority is admitted. Accounts that ask for no more than
  /// an equal part get all of it.
  double admittedShare(int Priority, std::string_view Account, double OfAll,
                       Time Now) const;

private:
  static constexpr std::size_t MinDropAbove = 256;

  /// Numbers of recent calls; older ones count less.
  struct Counts {
    double Asked = 0;
    double Served = 0;
    Time At;

    void decay(Time Now);
    double askedAt(Time Now) const;
  };
  struct AccountState {
    /// Virtual time at which the last started call ends.
    double End = 0;
    Counts Recent;
  };
  struct PriorityState {
    double VirtualTime = 0;
    Counts Recent;
    /// Number of accounts at which idle ones are dropped.
    std::size_t DropAbove = MinDropAbove;
    std::map<std::string, AccountState, std::less<>> Accounts;
  };

  static void dropIdle(PriorityState &State, Time Now);
  const PriorityState *find(int Priority) const;

  std::map<int, PriorityState> ByPriority;
};

} // namespace persimmon
