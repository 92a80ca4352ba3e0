#include "claimtable.h"

namespace persimmon {

void ClaimTable::apply(const std::vector<wire::Claim> &Batch,
                       std::int64_t ExpireThrough) {
  if (ExpireThrough > 0) {
    std::erase_if(this->Claims, [&](const auto &Item) {
      return Item.second.GrantedAt <= ExpireThrough;
    });
  }
  for (const wire::Claim &Wanted : Batch) {
    const auto Found = this->Claims.find(Wanted.Key);
    if (!Wanted.Release) {
      if (Found == this->Claims.end())
        this->Claims.emplace(Wanted.Key, Wanted);
      continue;
    }
    if (Found != this->Claims.end() && Found->second.Owner == Wanted.Owner &&
        Found->second.OwnerIncarnation == Wanted.OwnerIncarnation &&
        Found->second.CallNumber == Wanted.CallNumber)
      this->Claims.erase(Found);
  }
}

const wire::Claim *ClaimTable::find(std::string_view Key) const {
  const auto Found = this->Claims.find(Key);
  return Found == this->Claims.end() ? nullptr : &Found->second;
}

std::vector<wire::Claim> ClaimTable::all() const {
  std::vector<wire::Claim> Out;
  Out.reserve(this->Claims.size());
  for (const auto &[Key, Existing] : this->Claims)
    Out.push_back(Existing);
  return Out;
}

void ClaimTable::restore(const std::vector<wire::Claim> &Stored) {
  this->Claims.clear();
  for (const wire::Claim &Existing : Stored)
    this->Claims.emplace(Existing.Key, Existing);
}

} // namespace persimmon
