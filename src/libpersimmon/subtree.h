#pragma once

#include "routetable.h"

#include <cstdint>
#include <map>
#include <string>

namespace persimmon {

/// A team's whole subtree as its author wants it. Number is the author's own
/// revision number, BasedOn the one that was in force when it was written, and
/// Digest a hash of the document that was sent, which recognizes a resend.
struct SubtreeDocument {
  std::string Team;
  std::int64_t Number = 0;
  std::int64_t BasedOn = 0;
  std::string Digest;
  /// JSON values by full path.
  std::map<std::string, std::string> Values;
};

/// Number and digest of the revision that a subtree holds.
struct Revision {
  std::int64_t Number = 0;
  std::string Digest;
};

/// Returns the path of a team's revision record.
std::string revisionPath(std::string_view Team);

/// Returns the revision that \p Settings hold of \p Team, 0 if there is none.
Revision revisionOf(const SettingsMap &Settings, std::string_view Team);

/// Returns the change that turns the team's subtree in \p Current into
/// \p Wanted, with the digest as change id. Only entries that differ are part
/// of it. Errors: Conflict if another revision is in force, ValueInvalid if
/// the number does not grow.
leaf::result<wire::Change> replaceSubtree(const SettingsMap &Current,
                                          const SubtreeDocument &Wanted);

} // namespace persimmon
