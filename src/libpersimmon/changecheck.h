#pragma once

#include "routetable.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace persimmon {

/// Validates a change against the settings that it will be applied to, in steps
/// of a bounded number of edits, so that a large change does not keep a control
/// instance from sending heartbeats.
class ChangeCheck {
public:
  /// Starts the check of \p Candidate against \p Settings, which \p Table is
  /// compiled from. All must outlive the check and stay unchanged.
  /// \p TextPrefixTeam as in CompileOptions.
  ChangeCheck(const SettingsMap &Settings,
              const std::shared_ptr<const RouteTable> &Table,
              const wire::Change &Candidate, std::string TextPrefixTeam);

  /// Validates up to \p MaxEdits further edits. Returns the result, or nothing
  /// while edits are left.
  std::optional<Failure> advance(std::size_t MaxEdits);

  /// Returns the compiled result of a change that passed the check.
  const std::shared_ptr<const RouteTable> &table() const {
    return this->CheckedTable;
  }

private:
  leaf::result<void> checkEdit(const wire::PathEdit &Edit);
  leaf::result<void> checkNext(std::size_t MaxEdits);
  leaf::result<void> finish();

  const SettingsMap &Settings;
  const wire::Change &Candidate;
  RouteTableBuilder Builder;
  std::shared_ptr<const RouteTable> CheckedTable;
  std::set<std::string_view> Seen;
  std::size_t NextEdit = 0;
  std::size_t ResultingCount = 0;
};

} // namespace persimmon
