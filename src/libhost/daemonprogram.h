#pragma once

#include "edgeprotocol.h"

namespace persimmon {

/// Entry point of the daemon program. \p Protocols are used towards callers,
/// the target and operators. \p SettingsVariable is the environment variable
/// that holds the path of the settings file if the command line gives none, or
/// null. Returns the exit status.
int runDaemonProgram(int Count, char **Arguments,
                     const EdgeProtocols &Protocols,
                     const char *SettingsVariable);

} // namespace persimmon
