#pragma once

#include "result.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string_view>

namespace persimmon {

/// What a JsonFilter is asked about: an array or object that begins or ends, a
/// member's name, or another value.
enum class JsonPart { Begin, End, Name, Value };

/// Returns whether to keep a part of a document. The depth of the document
/// itself is 0. The last argument is the name or the value, which the filter
/// may take; it is not valid for Begin.
using JsonFilter = std::function<bool(int Depth, JsonPart, nlohmann::json &)>;

/// As parseJson() without a filter, but without the parts that \p Keep drops. A
/// document of many small values takes many times its size otherwise.
leaf::result<nlohmann::json> parseJson(std::string_view Text, ResultCode Code,
                                       std::string_view Where,
                                       const JsonFilter &Keep);

} // namespace persimmon
