#pragma once

#include <string>
#include <string_view>

namespace persimmon {

/// Result codes of all operations; docs/RESULT-CODES.md lists them.
enum class ResultCode : int {
#define RESULT_CODE(Number, Name, HttpStatus, Text) Name = Number,
#include "resultcodes.def"
#undef RESULT_CODE
};

/// Error value of leaf::result: the code, the settings key, path or address
/// that the error concerns, and a message for the operator.
struct Failure {
  ResultCode Code = ResultCode::Ok;
  std::string Where;
  std::string What;

  bool failed() const { return this->Code != ResultCode::Ok; }
};

/// Returns the identifier of \p Code in resultcodes.def.
std::string_view nameOf(ResultCode Code);

/// Returns the default message of \p Code.
std::string_view textOf(ResultCode Code);

/// Returns the HTTP status for \p Code in responses to callers and operators.
int httpStatusOf(ResultCode Code);

/// Returns \p Text as one line of printable ASCII. Other bytes are written as
/// two hexadecimal digits after a backslash and an x.
std::string printable(std::string_view Text);

/// Formats an error as one printable line: number, name, place and message.
std::string describe(const Failure &Error);

} // namespace persimmon
