#include "scenariorunner.h"

#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace persimmon;

int main(int Count, char **Arguments) {
  const std::array<option, 4> Long = {
      {{"daemon", required_argument, nullptr, 'd'},
       {"target", required_argument, nullptr, 't'},
       {"net", required_argument, nullptr, 'n'},
       {nullptr, 0, nullptr, 0}}};
  ScenarioOptions Options;
  int Letter = 0;
  while ((Letter = getopt_long(Count, Arguments, "", Long.data(), nullptr)) !=
         -1) {
    switch (Letter) {
    case 'd':
      Options.Daemon = optarg;
      break;
    case 't':
      Options.Target = optarg;
      break;
    case 'n':
      Options.Net = std::atoi(optarg);
      break;
    default:
      return 2;
    }
  }
  if (optind + 1 != Count) {
    std::cerr << "usage: scenario_runner --daemon FILE --target FILE --net N "
                 "SCRIPT\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::string Folder =
      (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  if (::mkdtemp(Folder.data()) == nullptr)
    return 1;
  Options.Folder = Folder;
  bool Passed = false;
  {
    ScenarioRunner Runner(Options);
    Passed = Runner.runFile(Arguments[optind]);
  }
  if (Passed)
    std::filesystem::remove_all(Folder);
  return Passed ? 0 : 1;
}
