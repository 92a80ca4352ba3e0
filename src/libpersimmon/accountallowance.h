#pragma once

#include "allowance.h"
#include "effects.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Decides on a proxy which calls of limited client accounts may be sent now.
/// Keeps a token bucket for each account from the share that the leader of the
/// control instances granted, and requests shares and tokens. Makes decisions
/// only: no I/O, clock or random numbers. Does nothing while no call of a
/// limited account arrives.
///
/// Shares are valid for a time that is counted from the sending of the request
/// that renewed them, so they end without any message if this daemon is cut
/// off, paused or suspended.
class AccountAllowance {
public:
  enum class Verdict {
    /// The call took a token and may be sent.
    Granted,
    /// The call waits; takeDecided() tells its verdict later.
    Held,
    /// The rate of the account is used up.
    Exceeded,
    /// There is no share, because no leader answers.
    OutOfTouch
  };

  struct Decision {
    std::int64_t CallNumber = 0;
    Verdict Result = Verdict::Granted;
    /// Time until there may be allowance for the call.
    milliseconds RetryAfter{0};
  };

  /// Numbers for metrics.
  struct Counts {
    std::uint64_t Granted = 0;
    std::uint64_t Held = 0;
    std::uint64_t Exceeded = 0;
    std::uint64_t OutOfTouch = 0;
    std::uint64_t Requests = 0;
  };

  AccountAllowance(std::string OwnAddress, std::int64_t OwnIncarnation);

  /// Sets the addresses of the control instances.
  void setControlAddresses(std::vector<std::string> Addresses) {
    this->ControlAddresses = std::move(Addresses);
  }

  /// Takes a token for a call of the account with the settings path \p Path,
  /// whose rate is limited; holds or refuses the call if there is none.
  Decision take(std::int64_t CallNumber, std::string_view Path, Time Now,
                Effects &Out);

  /// Returns the token that a call took at \p TakenAt and that did not run.
  void giveBack(std::string_view Path, Time TakenAt, Time Now);

  /// Removes a held call that is no longer wanted.
  void cancel(std::int64_t CallNumber);

  /// Handles the reply of the control instance at \p From to a request.
  void receive(const wire::AllowanceReply &Reply, std::string_view From,
               Time Now, Effects &Out);

  /// Ends the wait of held calls, and sends the requests that are due.
  void tick(Time Now, Effects &Out);

  /// Makes shares and requests \p For older: the machine was suspended, and
  /// the clock did not count that time.
  void age(milliseconds For);

  /// Returns the verdicts on held calls since the previous invocation.
  std::vector<Decision> takeDecided() {
    return std::exchange(this->Decided, {});
  }

  const Counts &counts() const { return this->Count; }
  std::size_t heldCount() const;
  /// Returns the sum of the paces of the valid shares, in calls per second.
  double sharesPerSecond(Time Now) const;
  /// Returns the part of the held depths that is used up, from 0 to 1.
  double usedPart(Time Now) const;

private:
  struct HeldCall {
    std::int64_t Number = 0;
    Time RefuseAt;
  };
  struct Account {
    std::string Path;
    ShareSize Share;
    double Level = 0;
    Time LevelAt;
    /// When the bucket last had no room for another token. A token that was
    /// taken before could not have been kept.
    Time FullAt;
    std::deque<HeldCall> Waiting;
    /// The leader has no tokens until then.
    Time DeniedUntil;
    /// Calls per second that are asked for, as decaying sums.
    double Asked = 0;
    double AskedRecently = 0;
    Time AskedAt;
    Time FirstAskedAt;
    double Reported = 0;
    /// The leader has not confirmed that it knows Reported.
    bool IsChanged = true;
    /// Number of the first request that told Reported; 0 if there is none.
    std::int64_t ToldIn = 0;
    std::uint64_t Suppressed = 0;
    Time NextLogAt;
  };
  struct OpenRequest {
    std::int64_t Number = 0;
    Time SentAt;
  };

  Account &accountAt(std::string_view Path, Time Now);
  void countAsked(Account &Of, Time Now) const;
  double demandOf(const Account &Of, Time Now) const;
  void updateReported(Account &Of, Time Now) const;
  void refill(Account &Of, Time Now) const;
  bool takeToken(Account &Of, Time Now) const;
  void serveWaiting(Account &Of, Time Now);
  void refuseWaiting(Account &Of, Verdict Result, milliseconds RetryAfter);
  milliseconds retryAfter(const Account &Of, Time Now) const;
  Verdict refusal(Time Now) const;
  void expireWaiting(Account &Of, Time Now, Effects &Out);
  void dropShares();
  void applyShare(const wire::AllowanceShare &Share, Time SentAt, Time Now,
                  Effects &Out);
  void logRefusal(Account &Of, Verdict Result, milliseconds RetryAfter,
                  Time Now, Effects &Out) const;
  bool holdsShares() const;
  bool urgent() const;
  bool requestDue(Time Now) const;
  wire::AllowanceRequest makeRequest(Time Now);
  void sendRequest(Time Now, Effects &Out);
  std::vector<std::string> receivers() const;

  std::string OwnAddress;
  std::int64_t OwnIncarnation;
  std::vector<std::string> ControlAddresses;
  /// Where the leader last answered from; empty if it is not known.
  std::string Leader;
  std::map<std::int64_t, Account> Accounts;
  Time SharesUntil;
  std::int64_t LastNumber = 0;
  std::int64_t Adopted = 0;
  std::deque<OpenRequest> OpenRequests;
  bool SendAll = false;
  /// A share became smaller; the leader can grant the rest to others once it
  /// knows that the reply arrived.
  bool ConfirmsSoon = false;
  Time LastSentAt;
  Time RenewedAt;
  Time AnsweredAt;
  Time RedirectedAt;
  int Unanswered = 0;
  std::size_t NextInstance = 0;
  std::vector<Decision> Decided;
  Counts Count;
};

} // namespace persimmon
