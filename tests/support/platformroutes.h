#pragma once

#include "libwire/libwire.h"

#include <vector>

namespace persimmon {

/// Returns services in the format in which the platform adapter stores them.
std::vector<wire::Setting> platformServices(std::int64_t Version);

/// Returns the routes \p First to \p First + \p Count - 1 to these services, in
/// the format in which the platform adapter stores them. Names and prefixes
/// hold random hexadecimal digits, which compress to half their size at best.
std::vector<wire::Setting> platformRoutes(int First, int Count,
                                          std::int64_t Version);

} // namespace persimmon
