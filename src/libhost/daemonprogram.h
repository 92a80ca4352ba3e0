#pragma once

#include "edgeprotocol.h"

namespace persimmon {

/// Runs the daemon's program with its command line. \p Protocols are spoken at
/// the edges. \p SettingsVariable names the environment variable that holds
/// the settings file if the command line names none; null for no variable.
/// Returns the exit status.
int runDaemonProgram(int Count, char **Arguments,
                     const EdgeProtocols &Protocols,
                     const char *SettingsVariable);

} // namespace persimmon
