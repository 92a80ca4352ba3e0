#pragma once

#include "routetable.h"

#include <cstdint>
#include <map>
#include <string>

namespace persimmon {

/// The complete content of a team's subtree, as submitted by its author.
/// Number is the author's revision number, BasedOn the revision that was
/// current when the document was written, and Digest a hash of the document,
/// which identifies a resend.
struct SubtreeDocument {
  std::string Team;
  std::int64_t Number = 0;
  std::int64_t BasedOn = 0;
  std::string Digest;
  /// JSON values by full settings path.
  std::map<std::string, std::string> Values;
};

/// Number and digest of a revision of a subtree.
struct Revision {
  std::int64_t Number = 0;
  std::string Digest;
};

/// Returns the settings path of a team's revision record.
std::string revisionPath(std::string_view Team);

/// Returns the revision of \p Team's subtree in \p Settings, with number 0 if
/// there is none.
Revision revisionOf(const SettingsMap &Settings, std::string_view Team);

/// Returns the change that turns the team's subtree in \p Current into
/// \p Wanted, with the digest as change id. It contains only the entries that
/// differ. Errors: Conflict if \p Wanted is not based on the current revision,
/// ValueInvalid if its number does not exceed the current one.
leaf::result<wire::Change> replaceSubtree(const SettingsMap &Current,
                                          const SubtreeDocument &Wanted);

} // namespace persimmon
