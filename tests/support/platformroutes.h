#pragma once

#include "libwire/libwire.h"

#include <vector>

namespace persimmon {

/// Services of the shape in which the platform adapter stores them.
std::vector<wire::Setting> platformServices(std::int64_t Version);

/// Routes \p First to \p First + \p Count - 1, which name these services, of
/// the shape in which the platform adapter stores them. Names and prefixes
/// hold random digits, which no packing makes smaller than half.
std::vector<wire::Setting> platformRoutes(int First, int Count,
                                          std::int64_t Version);

} // namespace persimmon
