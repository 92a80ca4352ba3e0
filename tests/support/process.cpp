#include "process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace persimmon {

Process::~Process() { this->kill(); }

bool Process::start(const std::vector<std::string> &Words,
                    const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (const std::string &Word : Words)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  this->Status = -1;
  this->Id = ::fork();
  if (this->Id != 0)
    return this->Id > 0;
  // A runner that dies leaves nothing behind.
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
  int Raw = 0;
  if (::waitpid(this->Id, &Raw, WNOHANG) == 0)
    return true;
  this->Status = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -1;
  this->Id = -1;
  return false;
}

} // namespace persimmon
