#pragma once

#include "allowance.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Divides the rates of client accounts among the proxies; kept by the leader
/// of the control instances. Makes decisions only: no I/O, clock or random
/// numbers.
///
/// For each account, the shares that daemons hold or may still adopt and the
/// account's reserve form one token bucket: the sum of their paces stays within
/// the rate, the sum of their depths within the burst and a small part of the
/// tolerance. The reserve is granted as single tokens.
///
/// What one daemon holds is granted to another only once the first has
/// confirmed a smaller share, or once the leadership was confirmed for a time
/// after the end of its share. Until such a time no later leader can have
/// renewed the share.
class AllowanceLedger {
public:
  /// What is known of this instance's leadership. VerifiedAt is a time at which
  /// no other instance led; Time() if there is none in this term.
  struct Leadership {
    bool Ready = false;
    std::int64_t Term = 0;
    Time VerifiedAt;
  };

  /// Sets the rate of the account with the settings path \p Path. Nothing, or a
  /// rate of 0, means that the account does not exist or has no limit.
  void setRate(std::string_view Path, std::optional<AccountRate> Rate,
               Time Now);
  /// Removes all rates, before all of them are set again.
  void clearRates(Time Now);

  /// Follows the leadership, and ends shares that have expired. With a new term
  /// everything that is known about shares is dropped. \p IsFirstLeader says
  /// that no configuration was ever committed, so that no former leader can
  /// have granted shares.
  void update(const Leadership &Current, bool IsFirstLeader, Time Now);

  /// Handles a request. Returns nothing if it must not be answered: leadership
  /// is not confirmed, or the request is outdated.
  std::optional<wire::AllowanceReply>
  receive(const wire::AllowanceRequest &Request, std::string_view From,
          Time Now);

  /// The machine was suspended: what was confirmed before \p Now says nothing
  /// about who leads.
  void suspended(Time Now) { this->SuspendedAt = Now; }

  /// Returns whether requests are answered.
  bool answers(Time Now) const;

  /// Returns the number of daemons whose shares are known.
  std::size_t daemonCount() const { return this->Daemons.size(); }
  /// Returns how many requests were answered.
  std::uint64_t answeredCount() const { return this->Answered; }
  /// Returns the sum of the shares of an account that are valid or may still be
  /// adopted.
  ShareSize reservedOf(std::string_view Path) const;

private:
  /// A share that was offered and may still be adopted.
  struct Offer {
    std::int64_t Number = 0;
    ShareSize Share;
  };
  /// What one daemon has of one account.
  struct Portion {
    ShareSize Held;
    std::vector<Offer> Offers;
    ShareSize Reserved;
    /// The daemon told a share that has ended, and must be told so.
    bool IsOutdated = false;
    double Demand = 0;
    /// Demand that is included in Account::ShareDemand.
    double CountedDemand = 0;
  };
  struct Daemon {
    std::int64_t Incarnation = 0;
    std::int64_t LastNumber = 0;
    /// When all shares that it holds or may adopt have ended.
    Time ExpiresAt;
    std::map<std::int64_t, Portion> Portions;
  };
  struct Account {
    std::string Path;
    AccountRate Rate;
    /// Sum over all daemons.
    ShareSize Reserved;
    /// Demand of the daemons that have a share.
    double ShareDemand = 0;
    /// Tokens per second that daemons without a share ask for.
    double TokenDemand = 0;
    /// Tokens in the reserve at LevelAt.
    double Level = 0;
    Time LevelAt;
    /// No tokens are granted before, since a former leader may still grant.
    Time TokensFrom;
    /// Until then, a former leader's shares that are not known may be valid.
    Time SharesUnknownUntil;
    /// When it was removed; NoDeadline while it exists.
    Time RemovedAt = NoDeadline;
  };

  static double depthOf(const Account &Of);
  static double refillOf(const Account &Of, Time Now);
  void startAccount(Account &New, bool Full, Time Now) const;
  static void refill(Account &Of, Time Now);
  void releaseAll(Daemon &Of, Time Now);
  void setReserved(std::int64_t Number, Portion &Of, Time Now);
  void countDemand(std::int64_t Number, Portion &Of);
  bool settle(Daemon &Of, const wire::AllowanceRequest &Request, Time Now);
  void settleAll(Daemon &Of, const wire::AllowanceRequest &Request, Time Now);
  ShareSize wantedShare(const Account &Of, const Portion &Part, Time Now) const;
  wire::AllowanceShare answerDemand(Daemon &Of, std::int64_t Number,
                                    std::int64_t RequestNumber, int Waiting,
                                    Time Now);
  void offerShare(Account &From, std::int64_t Number, Portion &To,
                  std::int64_t RequestNumber, wire::AllowanceShare &Out,
                  Time Now);

  Leadership Status;
  Time StartedAt;
  Time SuspendedAt;
  /// Shares that ended until then have been removed.
  Time ExpiredThrough;
  bool NoFormerRates = false;
  std::map<std::int64_t, Account> Accounts;
  std::map<std::string, Daemon, std::less<>> Daemons;
  std::uint64_t Answered = 0;
};

} // namespace persimmon
