#pragma once

#include "effects.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Obtains claims on idempotency keys from the control instances for the calls
/// of this daemon, and remembers how claimed calls ended, so that another
/// daemon that meets the key can ask.
class ClaimKeeper {
public:
  enum class Verdict { Waiting, Granted, Taken, Unavailable };

  ClaimKeeper(std::string OwnName, std::string OwnAddress,
              std::int64_t OwnIncarnation);

  /// Gives the addresses of the control instances to ask.
  void setControlAddresses(std::vector<std::string> Addresses) {
    this->ControlAddresses = std::move(Addresses);
  }

  /// Starts to claim \p Key for a call.
  void request(std::int64_t CallNumber, std::string_view Key, Time Now,
               Effects &Out);

  /// Handles the answer to a claim.
  Verdict receive(const wire::ClaimReply &Reply);

  /// Repeats unanswered requests. Returns calls whose claim timed out.
  std::vector<std::int64_t> tick(Time Now, Effects &Out);

  /// Notes that the claimed call may have run, or gives the claim back.
  void finished(std::int64_t CallNumber, bool MayHaveRun, Time Now,
                Effects &Out);

  /// Returns what became of a claimed call of this daemon.
  wire::CallOutcome::type outcomeOf(std::int64_t Incarnation,
                                    std::int64_t CallNumber) const;

private:
  struct Claiming {
    wire::Claim Wanted;
    bool Held = false;
    Time NextRequest;
    Time GiveUpAt;
  };
  struct Release {
    wire::Claim Given;
    int Left = 0;
    Time Next;
  };

  void sendToControl(const wire::Claim &Wanted, Effects &Out) const;

  std::string OwnName;
  std::string OwnAddress;
  std::int64_t OwnIncarnation;
  std::vector<std::string> ControlAddresses;
  std::map<std::int64_t, Claiming> Open;
  std::map<std::int64_t, wire::CallOutcome::type> Ended;
  std::deque<std::int64_t> EndedOrder;
  std::vector<Release> Releases;
};

} // namespace persimmon
