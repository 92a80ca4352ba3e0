#pragma once

#include "libpersimmon/libpersimmon.h"

#include <span>

namespace persimmon {

constexpr int FirstFinalStatus = 200;
/// RFC 9110, 15.
constexpr int LastStatus = 599;

/// Returns whether a response with \p Status and \p Headers can be written to a
/// caller: the status is a final one, and no field can end its line or be taken
/// for another field.
bool isFinalResponseHead(int Status, std::span<const wire::Header> Headers);

} // namespace persimmon
