#include "logging.h"

#include "libwire/libwire.h"

#include "boundedappender.h"

#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace persimmon {

namespace {

using log4cplus::Logger;

/// Caches the two loggers to avoid a lookup by name for every line.
struct Loggers {
  log4cplus::Initializer Lifetime;
  Logger Events = Logger::getInstance("events");
  Logger Decisions = Logger::getInstance("decisions");
  /// The appender for standard output, or null if the log goes to a file. Owned
  /// by the root logger.
  BoundedAppender *StdoutAppender = nullptr;
};

Loggers &loggers() {
  static Loggers Instance;
  return Instance;
}

log4cplus::LogLevel parseLogLevel(std::string_view Name) {
  if (Name == "debug")
    return log4cplus::DEBUG_LOG_LEVEL;
  if (Name == "warn")
    return log4cplus::WARN_LOG_LEVEL;
  if (Name == "error")
    return log4cplus::ERROR_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

void startLogging(const LogSettings &Settings) {
  loggers();
  log4cplus::SharedAppenderPtr Appender;
  if (Settings.File.empty()) {
    loggers().StdoutAppender = new BoundedAppender(Settings.LinesPerSecond);
    Appender = loggers().StdoutAppender;
  } else
    Appender = new log4cplus::FileAppender(Settings.File, std::ios::app, true);
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p log=%c %m%n"));
  Logger Root = Logger::getRoot();
  Root.addAppender(Appender);
  Root.setLogLevel(parseLogLevel(Settings.Level));
  loggers().Decisions.setLogLevel(Settings.Decisions
                                      ? log4cplus::INFO_LOG_LEVEL
                                      : log4cplus::OFF_LOG_LEVEL);
}

void flushLog() {
  if (loggers().StdoutAppender != nullptr)
    loggers().StdoutAppender->flush();
}

void logDecision(std::string_view Line) {
  LOG4CPLUS_INFO(loggers().Decisions, printable(Line));
}

void logInfo(std::string_view Line) {
  LOG4CPLUS_INFO(loggers().Events, printable(Line));
}

void logWarning(std::string_view Line) {
  LOG4CPLUS_WARN(loggers().Events, printable(Line));
}

void logError(std::string_view Line) {
  LOG4CPLUS_ERROR(loggers().Events, printable(Line));
}

} // namespace persimmon
