#pragma once

#include "message.h"

namespace persimmon {

/// Largest content that is unpacked, which is the limit of a message that is
/// not packed.
constexpr std::size_t MaxUnpackedBytes = MaxMessageBytes;

/// Compresses the deltas and settings of \p Reply. Leaves the reply unchanged
/// if compression fails or the content exceeds MaxUnpackedBytes.
void pack(wire::PullReply &Reply);

/// Returns the reply that pack() compressed. Errors: UpdateRejected.
leaf::result<wire::PullReply> unpack(const wire::PullReply &Packed);

} // namespace persimmon
