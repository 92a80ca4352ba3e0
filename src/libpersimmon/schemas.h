#pragma once

#include "libwire/libwire.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace persimmon {

/// Checks \p Document against the JSON Schema in \p SchemaText. \p Where names
/// the document in errors. Errors: \p Code with the path of the key.
leaf::result<void> checkAgainstSchema(const nlohmann::json &Document,
                                      std::string_view SchemaText,
                                      std::string_view Where, ResultCode Code);

/// Returns the schema that ships as service.schema.json.
std::string_view serviceSchema();

/// Returns the schema that ships as route.schema.json.
std::string_view routeSchema();

/// Returns the schema that ships as limits.schema.json.
std::string_view limitsSchema();

/// Returns the schema that ships as revision.schema.json.
std::string_view revisionSchema();

} // namespace persimmon
