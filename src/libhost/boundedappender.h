#pragma once

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace persimmon {

/// Writes log lines to standard output without ever waiting for its reader.
/// Lines are gathered until flush(). What exceeds a rate is dropped, and so is
/// what a slow reader leaves no room for; the number of dropped lines is
/// written with the next one.
class BoundedAppender : public log4cplus::Appender {
public:
  explicit BoundedAppender(int LinesPerSecond);
  ~BoundedAppender() override;

  void close() override { this->closed = true; }

  /// Writes what waits, as far as the reader takes it.
  void flush();

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool takeToken();

  double LinesPerSecond;
  double Tokens;
  std::chrono::steady_clock::time_point RefilledAt;
  std::uint64_t Dropped = 0;
  std::string Waiting;
};

} // namespace persimmon
