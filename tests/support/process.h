#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace persimmon {

/// A child process, killed when this object is destroyed.
class Process {
public:
  Process() = default;
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Starts a program and appends its output to \p LogFile. Returns whether
  /// the fork succeeded.
  bool start(const std::vector<std::string> &CommandLine,
             const std::string &LogFile);

  /// Returns the process id, or -1.
  pid_t id() const { return this->Id; }

  void signal(int Number) const;

  /// Sends SIGKILL and waits for the process to end.
  void kill();

  /// Returns whether the process runs. Stores the exit status once it ended.
  bool running();

  /// Returns the exit status, or -1 if the process ended by a signal or still
  /// runs.
  int exitStatus() const { return this->Status; }

private:
  pid_t Id = -1;
  int Status = -1;
};

/// The exit status and output of a program.
struct ProgramRun {
  int Status = -1;
  std::string Output;

  bool outputContains(const std::string &Text) const {
    return this->Output.find(Text) != std::string::npos;
  }
};

/// Runs a program and waits for it to end, for at most 20 seconds.
ProgramRun runProgram(const std::vector<std::string> &CommandLine);

} // namespace persimmon
