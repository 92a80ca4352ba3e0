#pragma once

#include "effects.h"
#include "random.h"

#include <deque>
#include <span>
#include <string>
#include <vector>

namespace persimmon {

/// Keeps a proxy informed of which version was the newest committed one, and
/// when. A proxy whose link loses the announcements of newer versions does not
/// know that it is behind, so while calls arrive it asks its parent in the
/// report tree, and the control instances if the parent does not answer. Only
/// the leader answers from its own knowledge; a parent passes on what it was
/// told with its age, so that the leader's load does not grow with the fleet.
///
/// The time of a confirmation is counted from the sending of the request that
/// it answers, so a reply that was delayed or read late by a paused process is
/// not taken for a recent one.
class VersionConfirmation {
public:
  /// Whom to ask.
  struct Peers {
    const std::string &SelfAddress;
    std::span<const std::string> Parents;
    std::span<const std::string> ControlInstances;
  };

  explicit VersionConfirmation(std::uint64_t Seed) : Rng(Seed) {}

  /// Records that a call needs a confirmation.
  void recordUse(Time Now) { this->LastUse = Now; }

  /// Sends a request if one is due: the last confirmation is no longer recent
  /// and calls arrived since, \p Urgent is set, or another proxy waits.
  void tick(const Peers &Others, bool Urgent, Time Now, Effects &Out);

  /// Handles a reply to a request of this proxy. Returns false if it answers
  /// none or tells nothing newer.
  bool receive(const wire::StampReply &Reply);

  /// Handles the request of a proxy below this one in the report tree. It is
  /// answered by answerWaiting().
  void receive(const wire::StampRequest &Request, std::string_view From,
               Time Now);

  /// Answers the proxies whose request the last confirmation satisfies.
  void answerWaiting(const Peers &Others, std::int64_t VersionInForce, Time Now,
                     Effects &Out);

  /// Returns until when a call without a route may be denied by
  /// \p VersionInForce.
  Time deniesUntil(std::int64_t VersionInForce) const;
  /// Returns until when \p VersionInForce may be served without another
  /// confirmation.
  Time servesUntil(std::int64_t VersionInForce) const;

  /// Returns whether neither the parent nor a control instance answers: this
  /// proxy is cut off or there is no leader.
  bool outOfTouch(Time Now) const;

  /// Makes all confirmations, also those of open requests, older by \p By, a
  /// time that the steady clock did not count.
  void age(milliseconds By);

  /// Returns the newest confirmed version.
  std::int64_t version() const { return this->ConfirmedVersion; }
  /// Returns a time at which no version newer than version() was committed.
  Time confirmedAt() const { return this->ConfirmedAt; }

private:
  struct OpenRequest {
    std::int64_t Nonce = 0;
    Time SentAt;
  };
  struct WaitingProxy {
    std::string Address;
    std::int64_t Nonce = 0;
    milliseconds MaxAge{0};
    Time Until;
  };

  bool due(bool Urgent, Time Now) const;
  void send(const Peers &Others, Time Now, Effects &Out);
  bool satisfies(const WaitingProxy &Item, Time Now) const;

  Random Rng;
  std::deque<OpenRequest> OpenRequests;
  std::vector<WaitingProxy> Waiting;
  std::int64_t ConfirmedVersion = 0;
  Time ConfirmedAt;
  Time LastUse;
  Time LastRequest;
  /// When the first of the requests was sent that are not answered.
  Time UnansweredSince = NoDeadline;
  int UnansweredRequests = 0;
};

} // namespace persimmon
