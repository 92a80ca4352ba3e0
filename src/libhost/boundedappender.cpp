#include "boundedappender.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>
#include <string>

namespace persimmon {

namespace {

/// Number of bytes that a writable pipe accepts without blocking (PIPE_BUF).
constexpr std::size_t BlockBytes = 4096;
/// Maximum number of bytes buffered for a slow reader. Further lines are
/// dropped.
constexpr std::size_t MaxBufferBytes = 256u << 10;

bool stdoutWritable() {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

} // namespace

BoundedAppender::BoundedAppender(int Rate)
    : LinesPerSecond(Rate), Tokens(Rate),
      RefilledAt(std::chrono::steady_clock::now()) {}

BoundedAppender::~BoundedAppender() {
  this->flush();
  this->destructorImpl();
}

bool BoundedAppender::takeToken() {
  const auto Now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> Elapsed = Now - this->RefilledAt;
  this->RefilledAt = Now;
  this->Tokens =
      std::min(this->LinesPerSecond,
               this->Tokens + Elapsed.count() * this->LinesPerSecond);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  if (!this->takeToken() || this->Buffer.size() > MaxBufferBytes) {
    this->DroppedLines += 1;
    return;
  }
  if (this->DroppedLines > 0) {
    this->Buffer += "level=WARN log=events event=log-lines-dropped count=" +
                    std::to_string(this->DroppedLines) + "\n";
    this->DroppedLines = 0;
  }
  std::ostringstream Line;
  this->layout->formatAndAppend(Line, Event);
  this->Buffer += Line.str();
  if (this->Buffer.size() >= BlockBytes)
    this->flush();
}

void BoundedAppender::flush() {
  std::size_t Written = 0;
  while (Written < this->Buffer.size() && stdoutWritable()) {
    const std::size_t Size =
        std::min(BlockBytes, this->Buffer.size() - Written);
    const ssize_t Done =
        ::write(STDOUT_FILENO, this->Buffer.data() + Written, Size);
    if (Done <= 0)
      break;
    Written += static_cast<std::size_t>(Done);
  }
  this->Buffer.erase(0, Written);
}

} // namespace persimmon
