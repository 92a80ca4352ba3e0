#pragma once

#include "libwire/libwire.h"

#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// The settings of a configuration by path.
using SettingsMap = std::map<std::string, wire::Setting, std::less<>>;

/// Returns the hash of a configuration: the sum of the hashes of its settings,
/// which can be updated per setting.
std::uint64_t hashOf(const SettingsMap &Settings);

/// Inserts \p Entry into \p Settings, or replaces the setting at its path, and
/// updates \p Hash, the hash of \p Settings.
void putSetting(wire::Setting Entry, SettingsMap &Settings,
                std::uint64_t &Hash);

/// Removes the setting at \p Path, if any, and updates \p Hash, the hash of
/// \p Settings.
void removeSetting(std::string_view Path, SettingsMap &Settings,
                   std::uint64_t &Hash);

/// Applies \p Change to \p Settings and updates \p Hash, the hash of
/// \p Settings. Does not compare it with the hash that the change states.
void applyDelta(const wire::Delta &Change, SettingsMap &Settings,
                std::uint64_t &Hash);

} // namespace persimmon
