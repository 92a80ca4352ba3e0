#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace persimmon {

/// Flow control for the bodies of admitted calls: grants their senders as many
/// bytes as the link of this daemon carries, in the order of admission. Only as
/// much is in flight as the link carries within a few tens of milliseconds, so
/// that answers, cancellations, configuration and new connections are not
/// queued behind bodies. Load pattern: uploads from many senders at or above
/// the rate of the link.
class BodyFlowControl {
public:
  /// Offset up to which the body of an attempt may be sent.
  struct Grant {
    wire::AttemptId Id;
    std::int64_t UpTo = 0;
  };

  /// Sets the rate of the local link in Mbit/s; 0 if unknown, in which case
  /// bodies are granted without limit.
  void setLinkRate(double MegabitsPerSecond);

  /// Returns when a body of \p Size bytes would be complete if it was admitted
  /// now.
  Time completionTime(std::int64_t Size, Time Now) const;

  /// Registers the body of an admitted call. \p UsesLink is false for a sender
  /// on the same instance.
  void add(const wire::AttemptId &Id, std::int64_t Size, bool UsesLink);

  /// Records that \p Bytes of the body have arrived in total.
  void received(const wire::AttemptId &Id, std::int64_t Bytes, Time Now);

  /// Removes a body that is complete or will not arrive.
  void remove(const wire::AttemptId &Id);

  /// Returns new grants, beyond those returned before.
  std::vector<Grant> grant(Time Now);

  /// Returns how much of a body may be sent so far.
  std::int64_t grantedTo(const wire::AttemptId &Id) const;

private:
  struct Body {
    wire::AttemptId Id;
    std::int64_t Size = 0;
    std::int64_t Granted = 0;
    std::int64_t Received = 0;
    bool UsesLink = true;
    /// When a sender that sends nothing stops counting against the window.
    Time StalledAt;

    bool stalled(Time Now) const {
      return this->Granted > this->Received && Now >= this->StalledAt;
    }
  };

  std::int64_t window() const;
  std::int64_t bytesInFlight(Time Now) const;

  /// Rate available to bodies, in bytes per millisecond; 0 for no limit.
  double Rate = 0;
  std::deque<Body> Bodies;
};

} // namespace persimmon
