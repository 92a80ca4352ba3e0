#include "targetwatch.h"

namespace persimmon {

AnnouncementVerdict TargetWatch::announce(const TargetAnnounced &Said) {
  const bool Counts = Said.Born != 0 || Said.Sequence != 0;
  const bool Known = this->Current.State != wire::TargetState::None;
  const bool SameRun = Said.Born == this->Current.Born &&
                       Said.InstanceId == this->Current.InstanceId;
  if (Counts && Known && !SameRun && Said.Born <= this->Current.Born)
    return AnnouncementVerdict::OtherRun;
  if (Counts && Known && SameRun && Said.Sequence <= this->Current.Sequence)
    return AnnouncementVerdict::Outdated;
  if (!SameRun)
    this->Left = false;
  TargetAnnounced Next = Said;
  if (this->Left && Next.State == wire::TargetState::Serving)
    Next.State = wire::TargetState::Draining;
  const bool Changed = !SameRun || Next.State != this->Current.State ||
                       Next.Service != this->Current.Service ||
                       Next.Slots != this->Current.Slots;
  this->Current = Next;
  return Changed ? AnnouncementVerdict::Accepted
                 : AnnouncementVerdict::Unchanged;
}

bool TargetWatch::leave(const std::string &InstanceId) {
  if (this->Current.State == wire::TargetState::None ||
      InstanceId != this->Current.InstanceId)
    return false;
  this->Left = true;
  if (this->Current.State == wire::TargetState::Serving ||
      this->Current.State == wire::TargetState::Starting)
    this->Current.State = wire::TargetState::Draining;
  return true;
}

bool TargetWatch::lost() {
  if (this->Current.State == wire::TargetState::None ||
      this->Current.State == wire::TargetState::Gone)
    return false;
  this->Current.State = wire::TargetState::Gone;
  return true;
}

} // namespace persimmon
