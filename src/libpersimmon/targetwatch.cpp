#include "targetwatch.h"

namespace persimmon {

AnnouncementResult TargetWatch::announce(const TargetAnnounced &Announcement) {
  const bool Numbered = Announcement.Born != 0 || Announcement.Sequence != 0;
  const bool Known = this->Current.State != wire::TargetState::None;
  const bool SameRun = Announcement.Born == this->Current.Born &&
                       Announcement.InstanceId == this->Current.InstanceId;
  if (Numbered && Known && !SameRun && Announcement.Born <= this->Current.Born)
    return AnnouncementResult::OtherRun;
  if (Numbered && Known && SameRun &&
      Announcement.Sequence <= this->Current.Sequence)
    return AnnouncementResult::Outdated;
  if (!SameRun)
    this->HasLeft = false;
  TargetAnnounced Next = Announcement;
  if (this->HasLeft && Next.State == wire::TargetState::Serving)
    Next.State = wire::TargetState::Draining;
  const bool Changed = !SameRun || Next.State != this->Current.State ||
                       Next.Service != this->Current.Service ||
                       Next.Slots != this->Current.Slots;
  this->Current = Next;
  return Changed ? AnnouncementResult::Accepted : AnnouncementResult::Unchanged;
}

bool TargetWatch::leave(const std::string &InstanceId) {
  if (this->Current.State == wire::TargetState::None ||
      InstanceId != this->Current.InstanceId)
    return false;
  this->HasLeft = true;
  if (this->Current.State == wire::TargetState::Serving ||
      this->Current.State == wire::TargetState::Starting)
    this->Current.State = wire::TargetState::Draining;
  return true;
}

bool TargetWatch::markGone() {
  if (this->Current.State == wire::TargetState::None ||
      this->Current.State == wire::TargetState::Gone)
    return false;
  this->Current.State = wire::TargetState::Gone;
  return true;
}

} // namespace persimmon
