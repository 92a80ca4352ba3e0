#pragma once

#include "libwire/libwire.h"

#include <map>
#include <string>
#include <string_view>

namespace persimmon {

/// All settings of a configuration by path.
using SettingsMap = std::map<std::string, wire::Setting, std::less<>>;

/// Returns the hash of a configuration: the sum of the hashes of its settings.
std::uint64_t hashOf(const SettingsMap &Settings);

/// Puts \p Entry into \p Settings. \p Hash is their hash and stays it.
void putSetting(wire::Setting Entry, SettingsMap &Settings,
                std::uint64_t &Hash);

/// Removes \p Path, if it is there. \p Hash is the hash and stays it.
void removeSetting(std::string_view Path, SettingsMap &Settings,
                   std::uint64_t &Hash);

/// Carries out \p Change. \p Hash is the hash of \p Settings and stays it; it
/// is not compared with the one that the change announces.
void carryOut(const wire::Delta &Change, SettingsMap &Settings,
              std::uint64_t &Hash);

} // namespace persimmon
