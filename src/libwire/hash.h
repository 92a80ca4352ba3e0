#pragma once

#include "gen/persimmon_types.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon {

/// Returns the XXH3 hash of one setting. The hash of a configuration is the
/// sum of these hashes, so a change updates it without rehashing the rest.
std::uint64_t hashOf(const wire::Setting &Entry);

/// Returns the XXH3 hash of a record's name, incarnation, sequence and state.
std::uint64_t hashOf(const wire::MemberRecord &Record);

/// Returns the XXH3 hash of \p Text.
std::uint64_t hashOf(std::string_view Text);

/// Returns the CRC-32 of \p Bytes.
std::uint32_t checksumOf(std::string_view Bytes);

/// Returns the SHA-256 of salt and token, separated by a colon, in hexadecimal.
std::string hashToken(std::string_view Salt, std::string_view Token);

/// Compares two strings in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

} // namespace persimmon
