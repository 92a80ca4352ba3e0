#pragma once

#include "libwire/libwire.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace persimmon {

/// Validates \p Document against the JSON Schema in \p SchemaText. \p Where
/// names the document in errors. Errors: \p Code with the path of the key.
leaf::result<void> checkAgainstSchema(const nlohmann::json &Document,
                                      std::string_view SchemaText,
                                      std::string_view Where, ResultCode Code);

/// Returns the text of service.schema.json.
std::string_view serviceSchema();

/// Returns the text of route.schema.json.
std::string_view routeSchema();

/// Returns the text of account.schema.json.
std::string_view accountSchema();

/// Returns the text of access.schema.json.
std::string_view accessSchema();

/// Returns the text of limits.schema.json.
std::string_view limitsSchema();

/// Returns the text of revision.schema.json.
std::string_view revisionSchema();

} // namespace persimmon
