#include "accountkeys.h"

#include "routetable.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr std::string_view MaskPrefix = "masked:";
/// Enough to see that a key changed, too few to find a weak key by trying.
constexpr std::size_t MaskDigits = 4;

bool isAccountPath(std::string_view Path) {
  const std::size_t Kind = Path.find('/');
  return Kind != std::string_view::npos &&
         Path.substr(Kind).starts_with("/accounts/");
}

std::string maskOf(std::string_view Path, std::string_view Key) {
  return std::string(MaskPrefix) +
         hashToken(std::string(Path), Key).substr(0, MaskDigits);
}

} // namespace

json maskAccountKeys(std::string_view Path, json Value) {
  if (!isAccountPath(Path) || !Value.is_object() || !Value.contains("keys"))
    return Value;
  json &Keys = Value.at("keys");
  if (!Keys.is_array()) {
    Keys = MaskPrefix;
    return Value;
  }
  for (json &Key : Keys)
    Key = Key.is_string() ? maskOf(Path, Key.get<std::string>())
                          : std::string(MaskPrefix);
  return Value;
}

bool hasMaskedKeys(std::string_view Path, const json &Value) {
  if (!isAccountPath(Path) || !Value.is_object() || !Value.contains("keys"))
    return false;
  const json &Keys = Value.at("keys");
  return std::any_of(Keys.begin(), Keys.end(), [](const json &Key) {
    return Key.is_string() &&
           Key.get_ref<const std::string &>().starts_with(MaskPrefix);
  });
}

} // namespace persimmon
