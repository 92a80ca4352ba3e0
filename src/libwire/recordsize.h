#pragma once

#include "gen/persimmon_types.h"

#include <cstddef>

namespace persimmon {

/// Return about how many bytes of memory a record takes, with its strings and
/// lists.
std::size_t memoryOf(const wire::Setting &Record);
std::size_t memoryOf(const wire::Delta &Record);
std::size_t memoryOf(const wire::LogEntry &Record);

} // namespace persimmon
