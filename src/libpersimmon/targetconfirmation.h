#pragma once

#include "events.h"

#include <deque>
#include <optional>
#include <string>

namespace persimmon {

/// Decides when the target beside a daemon that has just started may get calls.
/// The daemon stores nothing, so it does not know what an earlier run of it
/// acknowledged, nor whether the address of the target has passed to another
/// service. Two statements are needed, in either order:
///
/// - that the run belongs to the daemon's service: its announcement, or the
///   record that members hold of the daemon from before it started;
/// - that it is not leaving: a healthy response. An announcement alone may have
///   been sent before a leave that the earlier run of the daemon acknowledged.
///
/// Load pattern: single daemons and many daemons that restart beside targets
/// that go on running.
class TargetConfirmation {
public:
  /// Handles the announcement of a run that takes calls. Returns whether the
  /// run may be used at once; otherwise the announcement is held.
  bool admits(const TargetAnnounced &Announcement, Time Now);

  /// Handles a healthy response of the target, received at \p Now.
  void find(const TargetFound &Healthy, Time Now);

  /// Handles the record of this daemon from before it started.
  void receive(const wire::MemberRecord &Former);

  /// Handles an announcement which shows that \p InstanceId is a run of another
  /// service.
  void disown(const std::string &InstanceId);

  /// Ends the confirmation: a target is in use.
  void end() { this->Ended = true; }
  bool ended() const { return this->Ended; }

  /// A target that may be used, and what it said of itself at FoundAt.
  struct Confirmed {
    TargetAnnounced Target;
    /// Target is the held announcement.
    bool Announced = false;
    TargetNotice Notice;
    Time FoundAt;
  };
  /// Returns the target that the evidence so far allows to use.
  std::optional<Confirmed> confirmed() const;

  /// Returns whether a health response may contribute to the evidence.
  bool needsHealth(Time Now) const;
  /// Returns whether an announcement is held.
  bool holds(Time Now) const;

private:
  bool isForeign(const std::string &InstanceId) const;
  bool isHeldRun(const TargetAnnounced &Announcement) const;

  std::optional<TargetFound> Healthy;
  Time FoundAt;
  std::optional<wire::MemberRecord> Former;
  std::optional<TargetAnnounced> Held;
  /// When announcements of the held run that arrive late are no longer
  /// expected.
  Time HeldUntil;
  /// Runs of other services, newest last.
  std::deque<std::string> Foreign;
  bool Ended = false;
};

} // namespace persimmon
