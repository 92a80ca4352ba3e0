#include "process.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace persimmon {

Process::~Process() { this->kill(); }

bool Process::start(const std::vector<std::string> &CommandLine,
                    const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(CommandLine.size() + 1);
  for (const std::string &Argument : CommandLine)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  this->Status = -1;
  this->Id = ::fork();
  if (this->Id != 0)
    return this->Id > 0;
  // The child is killed when the test program ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Log =
      ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::execv(Arguments[0], Arguments.data());
  ::_exit(127);
}

void Process::signal(int Number) const {
  if (this->Id > 0)
    ::kill(this->Id, Number);
}

void Process::kill() {
  if (this->Id <= 0)
    return;
  ::kill(this->Id, SIGKILL);
  int Ignored = 0;
  ::waitpid(this->Id, &Ignored, 0);
  this->Id = -1;
}

bool Process::running() {
  if (this->Id <= 0)
    return false;
  int WaitStatus = 0;
  if (::waitpid(this->Id, &WaitStatus, WNOHANG) == 0)
    return true;
  this->Status = WIFEXITED(WaitStatus) ? WEXITSTATUS(WaitStatus) : -1;
  this->Id = -1;
  return false;
}

ProgramRun runProgram(const std::vector<std::string> &CommandLine) {
  constexpr int MaxPolls = 1000;
  constexpr std::chrono::milliseconds PollPause{20};
  std::string LogFile =
      (std::filesystem::temp_directory_path() / "program-XXXXXX").string();
  const int File = ::mkstemp(LogFile.data());
  ::close(File);
  Process Program;
  Program.start(CommandLine, LogFile);
  for (int I = 0; I < MaxPolls && Program.running(); ++I)
    std::this_thread::sleep_for(PollPause);
  ProgramRun Out;
  Out.Status = Program.exitStatus();
  std::ifstream In(LogFile);
  std::ostringstream Text;
  Text << In.rdbuf();
  Out.Output = Text.str();
  std::filesystem::remove(LogFile);
  return Out;
}

} // namespace persimmon
