#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <cstddef>
#include <map>

namespace persimmon {

/// Returns the total size of the paths and values in \p Reply, 0 if it is
/// packed.
std::size_t bytesOf(const wire::PullReply &Reply);

/// Caches large pull replies for the version in force, so that each is
/// compressed once for all peers that request the same content: the snapshot,
/// and the deltas from a few base versions.
class PackedReplyCache {
public:
  /// Returns the cached reply for peers that hold version \p Base, or the
  /// snapshot for 0; null if it is not cached.
  const wire::PullReply *find(std::int64_t Base, Time Now);

  /// Compresses \p Reply and caches a copy, if its content is large and there
  /// is room.
  void pack(std::int64_t Base, wire::PullReply &Reply, Time Now);

  /// Caches a copy of \p Reply, if it is packed and there is room.
  void store(std::int64_t Base, const wire::PullReply &Reply, Time Now);

  /// Drops replies that were not requested recently.
  void dropIdle(Time Now);

  /// Drops all replies; called when another version is put in force.
  void clear() { this->Entries.clear(); }

  std::size_t size() const { return this->Entries.size(); }

private:
  struct CachedReply {
    wire::PullReply Reply;
    Time Expires;
  };

  bool hasRoom(std::int64_t Base) const;

  std::map<std::int64_t, CachedReply> Entries;
};

} // namespace persimmon
