#include "packedreplycache.h"

namespace persimmon {

namespace {

/// Smaller content takes less than 10 ms on a slow link, and compressing it
/// costs more time than it saves.
constexpr std::size_t MinPackedBytes = 4096;
/// Deltas from further base versions are sent uncompressed: compressing them
/// for every pull would cost more than sending them.
constexpr std::size_t MaxDeltaBases = 3;
/// Peers pull a version within seconds of its announcement.
constexpr milliseconds IdleLifetime{10'000};

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

const wire::PullReply *PackedReplyCache::find(std::int64_t Base, Time Now) {
  const auto Found = this->Entries.find(Base);
  if (Found == this->Entries.end())
    return nullptr;
  Found->second.Expires = Now + IdleLifetime;
  return &Found->second.Reply;
}

bool PackedReplyCache::hasRoom(std::int64_t Base) const {
  return Base == 0 ||
         this->Entries.size() - this->Entries.count(0) < MaxDeltaBases;
}

void PackedReplyCache::pack(std::int64_t Base, wire::PullReply &Reply,
                            Time Now) {
  if (bytesOf(Reply) < MinPackedBytes || !this->hasRoom(Base))
    return;
  persimmon::pack(Reply);
  this->store(Base, Reply, Now);
}

void PackedReplyCache::store(std::int64_t Base, const wire::PullReply &Reply,
                             Time Now) {
  if (!Reply.Packed.empty() && this->hasRoom(Base))
    this->Entries.insert_or_assign(Base,
                                   CachedReply{Reply, Now + IdleLifetime});
}

void PackedReplyCache::dropIdle(Time Now) {
  std::erase_if(this->Entries,
                [&](const auto &Entry) { return Now >= Entry.second.Expires; });
}

} // namespace persimmon
