#include "record.h"

#include <array>
#include <cstdio>

namespace review {

std::string formatSeconds(double Seconds) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f", Seconds);
  return Text.data();
}

double Record::secondsAt(Time Moment) const {
  return std::chrono::duration<double>(Moment - this->Start).count();
}

void Record::line(const std::string &Text) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Out << formatSeconds(this->secondsAt(Clock::now())) << " " << Text
            << '\n';
  this->Out.flush();
}

void Record::copyLines(const std::string &LogFile, const std::string &Pattern) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::ifstream In(LogFile);
  for (std::string Text; std::getline(In, Text);) {
    if (Text.find(Pattern) != std::string::npos)
      this->Out << "  log: " << Text << '\n';
  }
}

} // namespace review
