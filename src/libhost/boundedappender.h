#pragma once

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>

namespace persimmon {

/// Writes log lines to standard output without ever waiting for its reader:
/// a line that does not fit is dropped. So is what exceeds a rate. The number
/// of dropped lines is written as soon as there is room again.
class BoundedAppender : public log4cplus::Appender {
public:
  explicit BoundedAppender(int LinesPerSecond);
  ~BoundedAppender() override;

  void close() override { this->closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool takeToken();
  void reportDropped();

  double LinesPerSecond;
  double Tokens;
  std::chrono::steady_clock::time_point RefilledAt;
  std::uint64_t Dropped = 0;
};

} // namespace persimmon
