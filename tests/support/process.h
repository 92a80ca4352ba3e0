#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace persimmon {

/// A process that a scenario started. Killed when this object goes.
class Process {
public:
  Process() = default;
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Starts a program with its output appended to \p LogFile.
  bool start(const std::vector<std::string> &Words, const std::string &LogFile);

  /// Returns the process id, or -1.
  pid_t id() const { return this->Id; }

  void signal(int Number) const;

  /// Sends SIGKILL and waits for the end.
  void kill();

  /// Returns whether the process runs; notes its exit status when it ended.
  bool running();

  /// Returns the exit status, or -1 if it ended by a signal or still runs.
  int exitStatus() const { return this->Status; }

private:
  pid_t Id = -1;
  int Status = -1;
};

/// How a program that ran to its end ended.
struct ProgramRun {
  int Status = -1;
  std::string Output;

  bool says(const std::string &Text) const {
    return this->Output.find(Text) != std::string::npos;
  }
};

/// Runs a program and waits for its end, 20 seconds at most.
ProgramRun runProgram(const std::vector<std::string> &Words);

} // namespace persimmon
