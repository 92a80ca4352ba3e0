#include "heldbodies.h"

#include <algorithm>

namespace persimmon {

bool HeldBodies::hasRoomFor(std::int64_t Size) const {
  const std::int64_t Total = this->Bytes + Size;
  if (this->Limit <= 0 || Total <= this->Limit)
    return true;
  std::int64_t Largest = Size;
  for (const auto &[Id, Held] : this->Sizes)
    Largest = std::max(Largest, Held);
  return Total - Largest <= this->Limit;
}

void HeldBodies::add(const wire::AttemptId &Id, std::int64_t Size) {
  if (this->Sizes.emplace(Id, Size).second)
    this->Bytes += Size;
}

void HeldBodies::remove(const wire::AttemptId &Id) {
  const auto Found = this->Sizes.find(Id);
  if (Found == this->Sizes.end())
    return;
  this->Bytes -= Found->second;
  this->Sizes.erase(Found);
}

} // namespace persimmon
