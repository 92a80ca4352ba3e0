#include "targetconfirmation.h"

#include <algorithm>

namespace persimmon {

namespace {

/// An address changes hands rarely while a daemon starts.
constexpr std::size_t MaxForeignRuns = 8;
/// Announcements may arrive seconds late. A run that is announced anew after
/// this time is used although no health response has confirmed it.
constexpr milliseconds LateAnnouncementTime{10'000};

} // namespace

bool TargetConfirmation::isForeign(const std::string &InstanceId) const {
  return std::find(this->Foreign.begin(), this->Foreign.end(), InstanceId) !=
         this->Foreign.end();
}

bool TargetConfirmation::isHeldRun(const TargetAnnounced &Announcement) const {
  return this->Held && this->Held->InstanceId == Announcement.InstanceId &&
         this->Held->Born == Announcement.Born;
}

bool TargetConfirmation::admits(const TargetAnnounced &Announcement, Time Now) {
  // Without numbers, late announcements cannot be told from others at any time.
  const bool Numbered = Announcement.Born != 0 || Announcement.Sequence != 0;
  if (this->Ended || !Numbered)
    return true;
  if (!this->isHeldRun(Announcement)) {
    if (this->holds(Now) && Announcement.Born < this->Held->Born)
      return false;
    this->HeldUntil = Now + LateAnnouncementTime;
  } else if (Announcement.Sequence <= this->Held->Sequence) {
    return false;
  }
  this->Held = Announcement;
  return Now >= this->HeldUntil;
}

bool TargetConfirmation::holds(Time Now) const {
  return !this->Ended && this->Held && Now < this->HeldUntil;
}

bool TargetConfirmation::needsHealth(Time Now) const {
  if (this->Ended)
    return false;
  if (!this->Healthy)
    return true;
  return this->holds(Now) &&
         this->Held->InstanceId != this->Healthy->InstanceId;
}

void TargetConfirmation::find(const TargetFound &Response, Time Now) {
  if (this->isForeign(Response.InstanceId))
    return;
  this->Healthy = Response;
  this->FoundAt = Now;
}

void TargetConfirmation::receive(const wire::MemberRecord &Record) {
  this->Former = Record;
}

void TargetConfirmation::disown(const std::string &InstanceId) {
  if (this->Healthy && this->Healthy->InstanceId == InstanceId)
    this->Healthy.reset();
  if (this->isForeign(InstanceId))
    return;
  this->Foreign.push_back(InstanceId);
  if (this->Foreign.size() > MaxForeignRuns)
    this->Foreign.pop_front();
}

std::optional<TargetConfirmation::Confirmed>
TargetConfirmation::confirmed() const {
  if (this->Ended || !this->Healthy)
    return std::nullopt;
  Confirmed Out;
  Out.Notice = this->Healthy->Notice;
  Out.FoundAt = this->FoundAt;
  if (this->Held && this->Held->InstanceId == this->Healthy->InstanceId) {
    Out.Target = *this->Held;
    Out.Announced = true;
    return Out;
  }
  if (!this->Former || !this->Former->__isset.Run ||
      this->Former->Run.InstanceId != this->Healthy->InstanceId ||
      this->Former->Service != this->Healthy->Service)
    return std::nullopt;
  Out.Target = announcementOf(*this->Healthy);
  Out.Target.Born = this->Former->Run.Born;
  Out.Target.Version = this->Former->TargetVersion;
  return Out;
}

} // namespace persimmon
