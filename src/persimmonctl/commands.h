#pragma once

#include "commandline.h"
#include "controlclient.h"

#include <memory>

namespace persimmon {

/// One command of persimmonctl.
class Command {
public:
  virtual ~Command() = default;

  /// Runs the command and prints its result. Errors: those of the request.
  virtual leaf::result<void> run(const CommandLine &Line,
                                 const ControlClient &Client) const = 0;
};

/// Creates the command named by the first argument. Errors: UsageError.
leaf::result<std::unique_ptr<Command>> makeCommand(const CommandLine &Line);

} // namespace persimmon
