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
constexpr std::size_t MaxWaitingBytes = 256u << 10;

bool outputReady() {
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
  const std::chrono::duration<double> Passed = Now - this->RefilledAt;
  this->RefilledAt = Now;
  this->Tokens = std::min(this->LinesPerSecond,
                          this->Tokens + Passed.count() * this->LinesPerSecond);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  if (!this->takeToken() || this->Waiting.size() > MaxWaitingBytes) {
    this->Dropped += 1;
    return;
  }
  if (this->Dropped > 0) {
    this->Waiting += "level=WARN log=events event=log-lines-dropped count=" +
                     std::to_string(this->Dropped) + "\n";
    this->Dropped = 0;
  }
  std::ostringstream Line;
  this->layout->formatAndAppend(Line, Event);
  this->Waiting += Line.str();
  if (this->Waiting.size() >= BlockBytes)
    this->flush();
}

void BoundedAppender::flush() {
  std::size_t Written = 0;
  while (Written < this->Waiting.size() && outputReady()) {
    const std::size_t Size =
        std::min(BlockBytes, this->Waiting.size() - Written);
    const ssize_t Done =
        ::write(STDOUT_FILENO, this->Waiting.data() + Written, Size);
    if (Done <= 0)
      break;
    Written += static_cast<std::size_t>(Done);
  }
  this->Waiting.erase(0, Written);
}

} // namespace persimmon
