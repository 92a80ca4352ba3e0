#include "resultcode.h"

#include <algorithm>

namespace persimmon {

std::string_view nameOf(ResultCode Code) {
  switch (Code) {
#define RESULT_CODE(Number, Name, HttpStatus, Text)                            \
  case ResultCode::Name:                                                       \
    return #Name;
#include "resultcodes.def"
#undef RESULT_CODE
  }
  return "Unlisted";
}

std::string_view textOf(ResultCode Code) {
  switch (Code) {
#define RESULT_CODE(Number, Name, HttpStatus, Text)                            \
  case ResultCode::Name:                                                       \
    return Text;
#include "resultcodes.def"
#undef RESULT_CODE
  }
  return "";
}

int httpStatusOf(ResultCode Code) {
  switch (Code) {
#define RESULT_CODE(Number, Name, HttpStatus, Text)                            \
  case ResultCode::Name:                                                       \
    return HttpStatus;
#include "resultcodes.def"
#undef RESULT_CODE
  }
  return 500;
}

std::string printable(std::string_view Text) {
  const auto IsPrintable = [](char C) { return C >= ' ' && C < '\x7f'; };
  // Nearly all lines are, and there are several for each call.
  if (std::all_of(Text.begin(), Text.end(), IsPrintable))
    return std::string(Text);
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (const char C : Text) {
    if (IsPrintable(C)) {
      Out += C;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(C);
    Out += "\\x";
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 0xfU];
  }
  return Out;
}

std::string describe(const Failure &Error) {
  std::string Line = std::to_string(static_cast<int>(Error.Code));
  Line += " ";
  Line += nameOf(Error.Code);
  if (!Error.Where.empty())
    Line += " at " + Error.Where;
  Line += ": ";
  Line += Error.What.empty() ? std::string(textOf(Error.Code)) : Error.What;
  return printable(Line);
}

} // namespace persimmon
