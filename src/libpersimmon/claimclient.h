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
  enum class Verdict { Waiting, Granted, Taken, Unavailable };

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
  Verdict receive(const wire::ClaimReply &Reply);

  /// Resends unanswered requests and releases. Returns the calls whose claim
  /// request has timed out.
  std::vector<std::int64_t> tick(Time Now, Effects &Out);

  /// Stores the outcome of a claimed call, and releases the claim if the call
  /// did not run.
  void finished(std::int64_t CallNumber, bool MayHaveRun, Time Now,
                Effects &Out);

  /// Returns the outcome of a claimed call of this daemon.
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
