#pragma once

#include "events.h"

#include <optional>

namespace persimmon {

/// Result of handling an announcement.
enum class AnnouncementResult { Accepted, Unchanged, Outdated, OtherRun };

/// State of the local target according to its announcements. These may arrive
/// late, out of order or from a run of the target that has ended: a later run
/// supersedes an earlier one, and within a run the sequence number decides.
class TargetWatch {
public:
  /// Handles an announcement. The result is Accepted if it changes the state.
  AnnouncementResult announce(const TargetAnnounced &Announcement);

  /// Handles the announced leave of the run \p InstanceId, whose later
  /// announcements of being ready are treated as draining. Returns whether it
  /// is the current run.
  bool leave(const std::string &InstanceId);

  /// Marks the target as gone until its next announcement, because nothing
  /// accepts connections at its address any more. Returns whether the state has
  /// changed.
  bool markGone();

  const TargetAnnounced &current() const { return this->Current; }

private:
  TargetAnnounced Current;
  bool HasLeft = false;
};

} // namespace persimmon
