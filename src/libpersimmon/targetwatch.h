#pragma once

#include "events.h"

#include <deque>
#include <optional>

namespace persimmon {

/// Result of handling an announcement.
enum class AnnouncementResult { Accepted, Unchanged, Outdated, OtherRun };

/// State of the local target according to its announcements. These may arrive
/// late, out of order or from a run of the target that has ended: a later run
/// supersedes an earlier one, and within a run the sequence number decides. A
/// run that leaves gets no new calls, whatever it announces afterwards.
///
/// A run is identified by its id and its start. A target that was found by its
/// health check has no known start; announcements with its id are of the same
/// run, unless they show that the run started after it was seen to leave.
class TargetWatch {
public:
  /// Handles an announcement. The result is Accepted if it changes the state.
  AnnouncementResult announce(const TargetAnnounced &Announcement);

  /// Handles a target that passed its health check at \p WallMs, in ms since
  /// 1970. Without effect if a target is known.
  void find(const TargetAnnounced &Found, std::int64_t WallMs);

  /// Handles the announced leave of the run \p InstanceId, whose later
  /// announcements of being ready are treated as draining. \p Born is the start
  /// of the run, 0 if unknown; the run then started before \p WallMs. Returns
  /// whether the state of the known target has changed.
  bool leave(const std::string &InstanceId, std::int64_t Born,
             std::int64_t WallMs);

  /// Marks the target as gone until its next announcement, because nothing
  /// accepts connections at its address any more. Returns whether the state has
  /// changed.
  bool markGone();

  const TargetAnnounced &current() const { return this->Current; }

  /// Returns whether the announced run leaves or has left.
  bool hasLeft(const TargetAnnounced &Announcement) const {
    return this->findLeft(Announcement) != nullptr;
  }

  /// Returns the run that leaves or has left, if it is the last one known.
  std::optional<wire::TargetRun> leavingRun() const;

private:
  struct LeftRun {
    std::string InstanceId;
    /// The run started at this time or before.
    std::int64_t BornUntil = 0;
  };

  bool isSameRun(const TargetAnnounced &Announcement) const;
  bool startedLater(const TargetAnnounced &Announcement) const;
  const LeftRun *findLeft(const TargetAnnounced &Announcement) const;

  TargetAnnounced Current;
  /// When the current run was found, if its start is unknown.
  std::int64_t FoundAtMs = 0;
  /// The last runs that left, newest last.
  std::deque<LeftRun> Left;
};

} // namespace persimmon
