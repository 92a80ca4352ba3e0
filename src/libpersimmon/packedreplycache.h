#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <cstddef>
#include <map>

namespace persimmon {

/// Returns the bytes of the paths and values in \p Reply, 0 if it is packed.
std::size_t bytesOf(const wire::PullReply &Reply);

/// Large pull replies with the version in force, each packed once for all peers
/// that ask for the same: the whole content, and the deltas from a few
/// versions.
class PackedReplies {
public:
  /// Returns the reply for who holds version \p Base, 0 for the whole content;
  /// null if none is kept.
  const wire::PullReply *find(std::int64_t Base, Time Now);

  /// Packs \p Reply and keeps a copy, if its content is large and there is
  /// room.
  void pack(std::int64_t Base, wire::PullReply &Reply, Time Now);

  /// Keeps a copy of \p Reply, if it is packed and there is room.
  void keep(std::int64_t Base, const wire::PullReply &Reply, Time Now);

  /// Drops what nobody asks for any more.
  void tick(Time Now);

  /// Another version is in force.
  void clear() { this->Kept.clear(); }

  std::size_t size() const { return this->Kept.size(); }

private:
  struct Item {
    wire::PullReply Reply;
    Time Expires;
  };

  bool hasRoom(std::int64_t Base) const;

  std::map<std::int64_t, Item> Kept;
};

} // namespace persimmon
