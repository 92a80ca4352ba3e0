#include "packedreplies.h"

namespace persimmon {

namespace {

/// Smaller content takes less than 10 ms on a slow link, and compressing it
/// costs more time than it saves.
constexpr std::size_t PackFromBytes = 4096;
/// Deltas from further base versions are sent uncompressed: compressing them
/// for every pull would cost more than sending them.
constexpr std::size_t MaxDeltaRuns = 3;
/// Peers pull a version within seconds of its announcement.
constexpr milliseconds KeepUnasked{10'000};

std::size_t bytesOf(const std::vector<wire::Setting> &Settings) {
  std::size_t Sum = 0;
  for (const wire::Setting &Entry : Settings)
    Sum += Entry.Path.size() + Entry.Value.size();
  return Sum;
}

} // namespace

std::size_t bytesOf(const wire::PullReply &Reply) {
  std::size_t Sum = bytesOf(Reply.Settings);
  for (const wire::Delta &Change : Reply.Deltas) {
    Sum += bytesOf(Change.Puts);
    for (const std::string &Path : Change.Removed)
      Sum += Path.size();
  }
  return Sum;
}

const wire::PullReply *PackedReplies::find(std::int64_t Base, Time Now) {
  const auto Found = this->Kept.find(Base);
  if (Found == this->Kept.end())
    return nullptr;
  Found->second.Expires = Now + KeepUnasked;
  return &Found->second.Reply;
}

bool PackedReplies::hasRoom(std::int64_t Base) const {
  return Base == 0 || this->Kept.size() - this->Kept.count(0) < MaxDeltaRuns;
}

void PackedReplies::pack(std::int64_t Base, wire::PullReply &Reply, Time Now) {
  if (bytesOf(Reply) < PackFromBytes || !this->hasRoom(Base))
    return;
  persimmon::pack(Reply);
  this->keep(Base, Reply, Now);
}

void PackedReplies::keep(std::int64_t Base, const wire::PullReply &Reply,
                         Time Now) {
  if (!Reply.Packed.empty() && this->hasRoom(Base))
    this->Kept.insert_or_assign(Base, Item{Reply, Now + KeepUnasked});
}

void PackedReplies::tick(Time Now) {
  std::erase_if(this->Kept,
                [&](const auto &Held) { return Now >= Held.second.Expires; });
}

} // namespace persimmon
