#pragma once

#include "daemonsettings.h"

#include <string_view>

namespace persimmon {

/// Configures log4cplus according to \p Settings. Must be called once per
/// process.
void startLogging(const LogSettings &Settings);

/// Writes the buffered lines. The daemon calls it at every tick.
void flushLog();

/// Writes a line to the logger "decisions".
void logDecision(std::string_view Line);

/// Write a line to the logger "events".
void logInfo(std::string_view Line);
void logWarning(std::string_view Line);
void logError(std::string_view Line);

} // namespace persimmon
