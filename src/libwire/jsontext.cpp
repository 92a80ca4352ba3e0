#include "jsontext.h"

#include "jsonfilter.h"

#include <nlohmann/json.hpp>

namespace persimmon {

namespace {

using nlohmann::json;

/// Documents are copied and written recursively.
constexpr std::size_t MaxDepth = 64;

/// Returns whether the arrays and objects of \p Text nest too deep.
bool nestsTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char C = Text[I];
    if (InString && C == '\\')
      ++I;
    else if (C == '"')
      InString = !InString;
    else if (InString)
      continue;
    else if ((C == '[' || C == '{') && ++Depth > MaxDepth)
      return true;
    else if ((C == ']' || C == '}') && Depth > 0)
      --Depth;
  }
  return false;
}

JsonPart partOf(json::parse_event_t Event) {
  switch (Event) {
  case json::parse_event_t::key:
    return JsonPart::Name;
  case json::parse_event_t::value:
    return JsonPart::Value;
  case json::parse_event_t::object_end:
  case json::parse_event_t::array_end:
    return JsonPart::End;
  default:
    return JsonPart::Begin;
  }
}

} // namespace

leaf::result<json> parseJson(std::string_view Text, ResultCode Code,
                             std::string_view Where) {
  return parseJson(Text, Code, Where, JsonFilter());
}

leaf::result<json> parseJson(std::string_view Text, ResultCode Code,
                             std::string_view Where, const JsonFilter &Keep) {
  if (nestsTooDeep(Text))
    return fail(Code, std::string(Where), "the JSON nests too deep");
  // The library's messages quote the text and may cut it inside a character.
  try {
    if (!Keep)
      return json::parse(Text);
    return json::parse(Text,
                       [&](int Depth, json::parse_event_t Event, json &Parsed) {
                         return Keep(Depth, partOf(Event), Parsed);
                       });
  } catch (const json::parse_error &Error) {
    return fail(Code, std::string(Where),
                "not valid JSON at byte " + std::to_string(Error.byte));
  } catch (const json::exception &) {
    return fail(Code, std::string(Where), "a number is out of range");
  }
}

leaf::result<std::int64_t> readWholeNumber(const json &Object, const char *Key,
                                           std::int64_t Min, std::int64_t Max) {
  const auto Found = Object.find(Key);
  const bool Fits =
      Found != Object.end() && Found->is_number_integer() &&
      !(Found->is_number_unsigned() &&
        Found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
  const std::int64_t Value = Fits ? Found->get<std::int64_t>() : 0;
  if (!Fits || Value < Min || Value > Max)
    return fail(ResultCode::RequestMalformed, Key,
                "expected a whole number from " + std::to_string(Min) + " to " +
                    std::to_string(Max));
  return Value;
}

std::string toText(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace persimmon
