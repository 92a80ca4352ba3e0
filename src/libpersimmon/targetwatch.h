#pragma once

#include "events.h"

#include <optional>

namespace persimmon {

/// What became of an announcement.
enum class AnnouncementVerdict { Accepted, Unchanged, Outdated, OtherRun };

/// What the target beside this daemon last said of itself. Announcements may
/// arrive late, out of order and from a run of the target that has ended: a
/// later run supersedes an earlier one, and within a run the sequence decides.
class TargetWatch {
public:
  /// Takes an announcement. It is in force if the verdict is Accepted.
  AnnouncementVerdict announce(const TargetAnnounced &Said);

  /// The run \p InstanceId said that it leaves. What it says later of being
  /// ready is not believed. Returns whether it is the current run.
  bool leave(const std::string &InstanceId);

  /// Nothing accepts connections at the target's address any more. It is held
  /// for gone until it announces itself again. Returns whether that is news.
  bool lost();

  const TargetAnnounced &current() const { return this->Current; }

private:
  TargetAnnounced Current;
  bool Left = false;
};

} // namespace persimmon
