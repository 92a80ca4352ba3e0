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

/// A pipe that is writable takes this much at once without blocking.
constexpr std::size_t MaxLineBytes = 4096;

bool writeLine(std::string_view Line) {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&Output, 1, 0) != 1 || (Output.revents & POLLOUT) == 0)
    return false;
  const std::size_t Size = std::min(Line.size(), MaxLineBytes);
  return ::write(STDOUT_FILENO, Line.data(), Size) ==
         static_cast<ssize_t>(Size);
}

} // namespace

BoundedAppender::BoundedAppender(int Rate)
    : LinesPerSecond(Rate), Tokens(Rate),
      RefilledAt(std::chrono::steady_clock::now()) {}

BoundedAppender::~BoundedAppender() { this->destructorImpl(); }

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

void BoundedAppender::reportDropped() {
  if (this->Dropped == 0)
    return;
  const std::string Line = "level=WARN log=events event=log-lines-dropped "
                           "count=" +
                           std::to_string(this->Dropped) + "\n";
  if (writeLine(Line))
    this->Dropped = 0;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  if (!this->takeToken()) {
    this->Dropped += 1;
    return;
  }
  this->reportDropped();
  std::ostringstream Line;
  this->layout->formatAndAppend(Line, Event);
  if (!writeLine(Line.str()))
    this->Dropped += 1;
}

} // namespace persimmon
