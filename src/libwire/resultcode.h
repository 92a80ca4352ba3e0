#pragma once

#include <string>
#include <string_view>

namespace persimmon {

/// Numbered results of every operation; docs/RESULT-CODES.md holds the table.
enum class ResultCode : int {
#define RESULT_CODE(Number, Name, HttpStatus, Text) Name = Number,
#include "resultcodes.def"
#undef RESULT_CODE
};

/// An error as it travels through leaf::result: code, the place it concerns
/// (a settings key, path or address) and a sentence for a person.
struct Failure {
  ResultCode Code = ResultCode::Ok;
  std::string Where;
  std::string What;

  bool failed() const { return this->Code != ResultCode::Ok; }
};

/// Returns the name of \p Code as the table lists it.
std::string_view nameOf(ResultCode Code);

/// Returns the sentence that explains \p Code.
std::string_view textOf(ResultCode Code);

/// Returns the HTTP status that carries \p Code to a caller or operator.
int httpStatusOf(ResultCode Code);

/// Returns one line: number, name, place and text.
std::string describe(const Failure &Error);

} // namespace persimmon
