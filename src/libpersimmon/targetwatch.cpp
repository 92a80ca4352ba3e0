#include "targetwatch.h"

#include <algorithm>

namespace persimmon {

namespace {

/// Later messages of earlier runs are rare.
constexpr std::size_t MaxLeftRuns = 8;

} // namespace

const TargetWatch::LeftRun *
TargetWatch::findLeft(const TargetAnnounced &Announcement) const {
  const auto Found = std::find_if(
      this->Left.begin(), this->Left.end(), [&](const LeftRun &Run) {
        return Run.InstanceId == Announcement.InstanceId &&
               Announcement.Born <= Run.BornUntil;
      });
  return Found == this->Left.end() ? nullptr : &*Found;
}

bool TargetWatch::isSameRun(const TargetAnnounced &Announcement) const {
  if (Announcement.InstanceId != this->Current.InstanceId)
    return false;
  if (Announcement.Born == this->Current.Born)
    return true;
  const bool StartUnknown = Announcement.Born == 0 || this->Current.Born == 0;
  return StartUnknown &&
         this->hasLeft(Announcement) == this->hasLeft(this->Current);
}

bool TargetWatch::startedLater(const TargetAnnounced &Announcement) const {
  return Announcement.Born >
         (this->Current.Born != 0 ? this->Current.Born : this->FoundAtMs);
}

AnnouncementResult TargetWatch::announce(const TargetAnnounced &Announcement) {
  const bool Numbered = Announcement.Born != 0 || Announcement.Sequence != 0;
  const bool Known = this->Current.State != wire::TargetState::None;
  const bool SameRun = this->isSameRun(Announcement);
  if (Numbered && Known && !SameRun && !this->startedLater(Announcement))
    return AnnouncementResult::OtherRun;
  if (Numbered && Known && SameRun &&
      Announcement.Sequence <= this->Current.Sequence)
    return AnnouncementResult::Outdated;
  TargetAnnounced Next = Announcement;
  if (this->hasLeft(Next) && takesCalls(Next.State))
    Next.State = wire::TargetState::Draining;
  if (SameRun)
    Next.Born = std::max(Next.Born, this->Current.Born);
  if (SameRun && Next.Version.empty())
    Next.Version = this->Current.Version;
  const bool Changed = !SameRun || Next.State != this->Current.State ||
                       Next.Service != this->Current.Service ||
                       Next.Slots != this->Current.Slots ||
                       Next.Version != this->Current.Version;
  this->Current = Next;
  return Changed ? AnnouncementResult::Accepted : AnnouncementResult::Unchanged;
}

void TargetWatch::find(const TargetAnnounced &Found, std::int64_t WallMs) {
  if (this->Current.State != wire::TargetState::None)
    return;
  this->FoundAtMs = WallMs;
  TargetAnnounced Known = Found;
  // Whatever is announced under this id with a later start has not left.
  if (const LeftRun *Run = this->findLeft(Found))
    Known.Born = Run->BornUntil;
  this->announce(Known);
}

bool TargetWatch::leave(const std::string &InstanceId, std::int64_t Born,
                        std::int64_t WallMs) {
  const bool IsCurrent = this->Current.State != wire::TargetState::None &&
                         InstanceId == this->Current.InstanceId;
  if (IsCurrent && Born == 0)
    Born = this->Current.Born;
  LeftRun Run{InstanceId, Born != 0 ? Born : WallMs};
  // One entry holds all runs with an id up to the last one that left.
  const auto Known = std::find_if(
      this->Left.begin(), this->Left.end(),
      [&](const LeftRun &Item) { return Item.InstanceId == InstanceId; });
  if (Known != this->Left.end()) {
    Run.BornUntil = std::max(Run.BornUntil, Known->BornUntil);
    this->Left.erase(Known);
  }
  this->Left.push_back(std::move(Run));
  if (this->Left.size() > MaxLeftRuns)
    this->Left.pop_front();
  if (!IsCurrent || !this->hasLeft(this->Current) ||
      !takesCalls(this->Current.State))
    return false;
  this->Current.State = wire::TargetState::Draining;
  return true;
}

std::optional<wire::TargetRun> TargetWatch::leavingRun() const {
  const bool Unknown = this->Current.State == wire::TargetState::None;
  const LeftRun *Run = Unknown && !this->Left.empty()
                           ? &this->Left.back()
                           : this->findLeft(this->Current);
  wire::TargetRun Out;
  if (Run != nullptr) {
    Out.InstanceId = Run->InstanceId;
    Out.Born = Run->BornUntil;
    return Out;
  }
  if (this->Current.State != wire::TargetState::Draining)
    return std::nullopt;
  Out.InstanceId = this->Current.InstanceId;
  Out.Born = this->Current.Born;
  return Out;
}

bool TargetWatch::markGone() {
  if (this->Current.State == wire::TargetState::None ||
      this->Current.State == wire::TargetState::Gone)
    return false;
  this->Current.State = wire::TargetState::Gone;
  return true;
}

} // namespace persimmon
