#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace persimmon {

/// Returns \p Value, the setting at \p Path, with the keys of a client account
/// masked; other settings are returned unchanged. Equal settings stay equal.
nlohmann::json maskAccountKeys(std::string_view Path, nlohmann::json Value);

/// Returns whether \p Value, the setting at \p Path, is an account with a
/// masked key, so that it cannot be meant as a new value.
bool hasMaskedKeys(std::string_view Path, const nlohmann::json &Value);

} // namespace persimmon
