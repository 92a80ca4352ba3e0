#pragma once

#include "libwire/libwire.h"

#include <cstdint>
#include <map>

namespace persimmon {

/// Limits the bytes of the bodies that a daemon holds for its target, from the
/// admission of a call until its run has ended. The largest body is not
/// counted, so that a single one is admitted however large it is. Load pattern:
/// uploads from many daemons to a target that is slow.
class HeldBodies {
public:
  /// Sets the limit in bytes; 0 for none.
  void setLimit(std::int64_t Bytes) { this->Limit = Bytes; }

  /// Returns whether a body of \p Size bytes may be admitted.
  bool hasRoomFor(std::int64_t Size) const;

  void add(const wire::AttemptId &Id, std::int64_t Size);

  /// Does nothing if the body is not held.
  void remove(const wire::AttemptId &Id);

  std::int64_t bytes() const { return this->Bytes; }

private:
  std::map<wire::AttemptId, std::int64_t> Sizes;
  std::int64_t Bytes = 0;
  std::int64_t Limit = 0;
};

} // namespace persimmon
