#include "settingsmap.h"

namespace persimmon {

std::uint64_t hashOf(const SettingsMap &Settings) {
  std::uint64_t Sum = 0;
  for (const auto &[Path, Entry] : Settings)
    Sum += hashOf(Entry);
  return Sum;
}

void putSetting(wire::Setting Entry, SettingsMap &Settings,
                std::uint64_t &Hash) {
  const auto [Slot, Inserted] = Settings.try_emplace(Entry.Path);
  if (!Inserted)
    Hash -= hashOf(Slot->second);
  Hash += hashOf(Entry);
  Slot->second = std::move(Entry);
}

void removeSetting(std::string_view Path, SettingsMap &Settings,
                   std::uint64_t &Hash) {
  const auto Found = Settings.find(Path);
  if (Found == Settings.end())
    return;
  Hash -= hashOf(Found->second);
  Settings.erase(Found);
}

void applyDelta(const wire::Delta &Change, SettingsMap &Settings,
                std::uint64_t &Hash) {
  for (const wire::Setting &Entry : Change.Puts)
    putSetting(Entry, Settings, Hash);
  for (const std::string &Path : Change.Removed)
    removeSetting(Path, Settings, Hash);
}

} // namespace persimmon
