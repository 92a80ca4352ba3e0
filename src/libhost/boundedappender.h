#pragma once

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace persimmon {

/// Writes log lines to standard output without blocking on a slow reader.
/// Lines are buffered until flush() or until a block is full. Lines that exceed
/// the rate limit or the buffer limit are dropped; their number is logged
/// before the next accepted line.
class BoundedAppender : public log4cplus::Appender {
public:
  explicit BoundedAppender(int LinesPerSecond);
  ~BoundedAppender() override;

  void close() override { this->closed = true; }

  /// Writes the buffered lines as far as possible without blocking.
  void flush();

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool takeToken();

  double LinesPerSecond;
  double Tokens;
  std::chrono::steady_clock::time_point RefilledAt;
  std::uint64_t DroppedLines = 0;
  std::string Buffer;
};

} // namespace persimmon
