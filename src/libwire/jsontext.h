#pragma once

#include "result.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace persimmon {

/// Parses a JSON document from outside. \p Where names it in errors. Errors:
/// \p Code if the text is not valid JSON in UTF-8 or has a number that cannot
/// be represented. Their texts quote nothing of the document.
leaf::result<nlohmann::json> parseJson(std::string_view Text, ResultCode Code,
                                       std::string_view Where);

/// Returns the text of \p Value. Bytes that are not UTF-8 are replaced.
std::string toText(const nlohmann::json &Value);

} // namespace persimmon
