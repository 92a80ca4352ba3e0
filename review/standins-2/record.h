#pragma once

#include "http.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Writes what happened to a file, with the seconds since the start.
class Record {
public:
  explicit Record(const std::string &File) : Out(File), Start(Clock::now()) {}

  void line(const std::string &Text);
  /// Copies the lines of \p LogFile that contain \p Pattern.
  void copyLines(const std::string &LogFile, const std::string &Pattern);
  double secondsAt(Time Moment) const;

private:
  std::mutex Mutex;
  std::ofstream Out;
  Time Start;
};

/// Formats \p Seconds with three decimal places.
std::string formatSeconds(double Seconds);

} // namespace review
