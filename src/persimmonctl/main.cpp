#include "commands.h"

#include <iostream>

using namespace persimmon;

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr int ExitPending = 3;

int exitStatusOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
    return 0;
  case ResultCode::UsageError:
    return ExitUsage;
  case ResultCode::OutcomePending:
  case ResultCode::NotInForceYet:
    return ExitPending;
  default:
    return ExitFailure;
  }
}

/// Returns a hint on how to resolve the error, or an empty text.
std::string_view hintFor(ResultCode Code) {
  switch (Code) {
  case ResultCode::Conflict:
    return "read the path again (get) and repeat the change";
  case ResultCode::OutcomePending:
  case ResultCode::Unreachable:
    return "repeat with --change-id and the id above; it runs at most once";
  case ResultCode::NotFormed:
    return "form the control instances with init";
  case ResultCode::Unauthorized:
    return "check --token and the team of the paths";
  case ResultCode::ChangeTooOld:
    return "read the paths and make a new change";
  default:
    return "";
  }
}

int report(const Failure &Error, bool Json) {
  if (Error.failed() && Json)
    std::cout << nlohmann::json{{"code", static_cast<int>(Error.Code)},
                                {"name", nameOf(Error.Code)},
                                {"where", Error.Where},
                                {"text", describe(Error)}}
                     .dump()
              << '\n';
  if (Error.failed() && !Json) {
    std::cerr << "persimmonctl: " << describe(Error) << '\n';
    if (!hintFor(Error.Code).empty())
      std::cerr << "persimmonctl: " << hintFor(Error.Code) << '\n';
  }
  return exitStatusOf(Error.Code);
}

leaf::result<void> runCommand(const CommandLine &Line) {
  BOOST_LEAF_AUTO(Chosen, makeCommand(Line));
  if (Line.Control.empty())
    return fail(ResultCode::UsageError, "--control",
                "no address of a control instance was given");
  const ControlClient Client(Line.Control, Line.Token);
  return Chosen->run(Line, Client);
}

} // namespace

int main(int Count, char **Arguments) {
  CommandLine Line;
  Failure Error = handleResult(
      [&] {
        return CommandLine::parse(
            std::span<char *>(Arguments, static_cast<std::size_t>(Count)));
      },
      [&](CommandLine Parsed) { Line = std::move(Parsed); });
  if (Error.failed())
    return report(Error, false);
  if (Line.Version) {
    std::cout << "persimmonctl " << PERSIMMON_VERSION << '\n';
    return 0;
  }
  if (Line.Help) {
    std::cout << helpText(Line.Operands.empty() ? "" : Line.Operands.front());
    return 0;
  }
  Error = handleResult([&] { return runCommand(Line); }, [] {});
  return report(Error, Line.Json);
}
