#include "cases.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

// Usage: cases NAME RECORD, in the root of the repository. Exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
int main(int Count, char **Arguments) {
  using review::Verdict;
  const std::map<std::string, Verdict (*)(review::Record &, bool)> Cases = {
      {"reused-address", review::runReusedAddress},
      {"stale-leader", review::runStaleLeader},
      {"forgotten-leave", review::runForgottenLeave},
      {"large-uploads", review::runLargeUploads},
      {"unreadable-configuration", review::runUnreadableConfiguration}};
  const auto Found = Count == 3 ? Cases.find(Arguments[1]) : Cases.end();
  if (Found == Cases.end()) {
    std::cerr << "usage: cases NAME RECORD\n";
    return static_cast<int>(Verdict::CouldNotRun);
  }
  const char *Setting = std::getenv("TROUBLE");
  const bool Trouble = Setting == nullptr || std::string(Setting) != "0";
  Verdict Result = Verdict::CouldNotRun;
  try {
    review::Record Out(Arguments[2]);
    Out.line(std::string("case ") + Arguments[1] +
             (Trouble ? "" : " without the disruption"));
    Result = Found->second(Out, Trouble);
    Out.line(Result == Verdict::Broken ? "the rule was broken"
             : Result == Verdict::Held ? "the rule held"
                                       : "the case could not run");
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
  }
  return static_cast<int>(Result);
}
