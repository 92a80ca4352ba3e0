#include "jsontext.h"

#include <nlohmann/json.hpp>

namespace persimmon {

namespace {

using nlohmann::json;

} // namespace

leaf::result<json> parseJson(std::string_view Text, ResultCode Code,
                             std::string_view Where) {
  // The library's messages quote the text and may cut it inside a character.
  try {
    return json::parse(Text);
  } catch (const json::parse_error &Error) {
    return fail(Code, std::string(Where),
                "not valid JSON at byte " + std::to_string(Error.byte));
  } catch (const json::exception &) {
    return fail(Code, std::string(Where), "a number is out of range");
  }
}

std::string toText(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace persimmon
