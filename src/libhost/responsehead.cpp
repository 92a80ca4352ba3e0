#include "responsehead.h"

#include <algorithm>
#include <string_view>

namespace persimmon {

namespace {

bool isAlphanumeric(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
         (C >= 'A' && C <= 'Z');
}

/// Returns whether \p Name is a token (RFC 9110, 5.6.2).
bool isFieldName(std::string_view Name) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), [&](char C) {
    return isAlphanumeric(C) || Marks.find(C) != std::string_view::npos;
  });
}

/// Returns whether \p Value has no control characters but tabs.
bool isFieldValue(std::string_view Value) {
  return std::all_of(Value.begin(), Value.end(), [](char C) {
    const auto Byte = static_cast<unsigned char>(C);
    return Byte == '\t' || (Byte >= ' ' && Byte != 0x7f);
  });
}

} // namespace

bool isFinalResponseHead(int Status, std::span<const wire::Header> Headers) {
  return Status >= FirstFinalStatus && Status <= LastStatus &&
         std::all_of(
             Headers.begin(), Headers.end(), [](const wire::Header &Item) {
               return isFieldName(Item.Name) && isFieldValue(Item.Value);
             });
}

} // namespace persimmon
