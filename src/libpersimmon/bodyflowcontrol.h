#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace persimmon {

/// Lets senders send the bodies of admitted calls to this daemon, as far as its
/// link carries them, in the order of admission. The link then holds only what
/// it carries within a few tens of milliseconds, so that answers,
/// cancellations, configuration and new connections do not wait behind bodies.
/// Load pattern: uploads from many senders at or above the rate of the link.
class BodyIntake {
public:
  /// How far the body of an attempt may be sent.
  struct Grant {
    wire::AttemptId Id;
    std::int64_t UpTo = 0;
  };

  /// Gives the rate of the own link in Mbit/s; 0 if it is not known, which lets
  /// all bodies come at once.
  void setLink(double MegabitsPerSecond);

  /// Returns when a body of \p Size bytes would be whole if it was admitted
  /// now.
  Time wholeAt(std::int64_t Size, Time Now) const;

  /// Takes an admitted call whose body follows. \p UsesLink is false for a
  /// sender on the same instance.
  void add(const wire::AttemptId &Id, std::int64_t Size, bool UsesLink);

  /// Notes that \p Bytes of the body are here.
  void received(const wire::AttemptId &Id, std::int64_t Bytes, Time Now);

  /// Forgets a body that is whole or will not come.
  void remove(const wire::AttemptId &Id);

  /// Returns what may be sent from now on, beyond what was returned before.
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
    /// When a sender that sends nothing no longer holds up others.
    Time StalledAt;

    bool stalled(Time Now) const {
      return this->Granted > this->Received && Now >= this->StalledAt;
    }
  };

  std::int64_t window() const;
  std::int64_t underWay(Time Now) const;

  /// Bytes per millisecond that bodies may take; 0 for no bound.
  double Rate = 0;
  std::deque<Body> Bodies;
};

} // namespace persimmon
