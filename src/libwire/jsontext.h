#pragma once

#include "result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon {

/// Parses a JSON document from outside. \p Where names it in errors. Errors:
/// \p Code if the text is not valid JSON in UTF-8, has a number that cannot be
/// represented, or nests deeper than 64 levels. Their texts quote nothing of
/// the document.
leaf::result<nlohmann::json> parseJson(std::string_view Text, ResultCode Code,
                                       std::string_view Where);

/// Returns the whole number at \p Key of \p Object. Errors: RequestMalformed if
/// it is missing, not whole, or not from \p Min to \p Max.
leaf::result<std::int64_t> readWholeNumber(const nlohmann::json &Object,
                                           const char *Key, std::int64_t Min,
                                           std::int64_t Max);

/// Returns the text of \p Value. Bytes that are not UTF-8 are replaced.
std::string toText(const nlohmann::json &Value);

} // namespace persimmon
