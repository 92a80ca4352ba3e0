#pragma once

#include "libpersimmon/libpersimmon.h"

#include <span>
#include <string>
#include <vector>

namespace persimmon {

/// Parsed options and arguments of persimmonctl.
struct CommandLine {
  std::vector<std::string> Control;
  std::string Token;
  std::string ChangeId;
  std::string Team;
  std::vector<std::string> Operands;
  bool Json = false;
  bool Wait = false;
  bool Help = false;
  bool Version = false;
  bool AcceptLoss = false;
  Time WaitUntil = NoDeadline;

  /// Parses the arguments. Errors: UsageError.
  static leaf::result<CommandLine> parse(std::span<char *> Arguments);
};

/// Returns the help text of \p Command, or the general one if it is unknown.
std::string helpText(const std::string &Command);

} // namespace persimmon
