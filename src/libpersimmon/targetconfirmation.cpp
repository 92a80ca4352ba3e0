#include "targetconfirmation.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t MaxForeignRuns = 8;

} // namespace

bool TargetConfirmation::isForeign(const std::string &InstanceId) const {
  return std::find(this->Foreign.begin(), this->Foreign.end(), InstanceId) !=
         this->Foreign.end();
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
  if (this->Ended || !this->Healthy || !this->Former ||
      !this->Former->__isset.Run ||
      this->Former->Run.InstanceId != this->Healthy->InstanceId ||
      this->Former->Service != this->Healthy->Service)
    return std::nullopt;
  Confirmed Out;
  Out.Target.Service = this->Healthy->Service;
  Out.Target.State = wire::TargetState::Serving;
  Out.Target.Slots = this->Healthy->Slots;
  Out.Target.InstanceId = this->Healthy->InstanceId;
  Out.Target.Born = this->Former->Run.Born;
  Out.Notice = this->Healthy->Notice;
  Out.FoundAt = this->FoundAt;
  return Out;
}

} // namespace persimmon
