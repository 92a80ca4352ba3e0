#pragma once

#include "message.h"

namespace persimmon {

/// Largest content that is unpacked: what a message that is not packed could
/// carry.
constexpr std::size_t MaxUnpackedBytes = MaxMessageBytes;

/// Moves the deltas and settings of \p Reply into its packed form. Leaves it as
/// it is if they could not be unpacked again.
void pack(wire::PullReply &Reply);

/// Returns what pack() made \p Packed of. Errors: UpdateRejected.
leaf::result<wire::PullReply> unpack(const wire::PullReply &Packed);

} // namespace persimmon
