#pragma once

#include "effects.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Requests claims on idempotency keys from the control instances for the calls
/// of this daemon. Stores the outcomes of claimed calls so that other daemons
/// that receive a call with the same key can query them.
class ClaimClient {
public:
  enum class ClaimStatus { Pending, Granted, Taken, Unavailable };

  ClaimClient(std::string OwnName, std::string OwnAddress,
              std::int64_t OwnIncarnation);

  /// Sets the addresses of the control instances that receive the requests.
  void setControlAddresses(std::vector<std::string> Addresses) {
    this->ControlAddresses = std::move(Addresses);
  }

  /// Requests a claim on \p Key for a call.
  void request(std::int64_t CallNumber, std::string_view Key, Time Now,
               Effects &Out);

  /// Handles the reply to a claim request.
  ClaimStatus receive(const wire::ClaimReply &Reply);

  /// Resends unanswered requests and releases. Returns the calls whose claim
  /// request has timed out.
  std::vector<std::int64_t> tick(Time Now, Effects &Out);

  /// Stores the outcome of a claimed call, and releases the claim if the call
  /// did not run.
  void callFinished(std::int64_t CallNumber, bool MayHaveRun, Time Now,
                    Effects &Out);

  /// Returns the outcome of a claimed call of this daemon.
  wire::CallOutcome::type outcomeOf(std::int64_t Incarnation,
                                    std::int64_t CallNumber) const;

private:
  struct OutgoingClaim {
    wire::Claim Wanted;
    bool IsGranted = false;
    Time NextRequestAt;
    Time GiveUpAt;
  };
  struct ClaimRelease {
    wire::Claim Released;
    int SendsLeft = 0;
    Time NextSendAt;
  };

  void sendToControl(const wire::Claim &Wanted, Effects &Out) const;

  std::string OwnName;
  std::string OwnAddress;
  std::int64_t OwnIncarnation;
  std::vector<std::string> ControlAddresses;
  std::map<std::int64_t, OutgoingClaim> OutgoingClaims;
  std::map<std::int64_t, wire::CallOutcome::type> CallOutcomes;
  std::deque<std::int64_t> CallOutcomeOrder;
  std::vector<ClaimRelease> Releases;
};

} // namespace persimmon
