#pragma once

#include "daemonsettings.h"

#include <string_view>

namespace persimmon {

/// Starts log4cplus as the settings say. Call once for each process.
void startLogging(const LogSettings &Settings);

/// Writes the lines that wait; a daemon calls it with each tick.
void flushLog();

/// Writes one line to the log of decisions.
void logDecision(std::string_view Line);

void logInfo(std::string_view Line);
void logWarning(std::string_view Line);
void logError(std::string_view Line);

} // namespace persimmon
