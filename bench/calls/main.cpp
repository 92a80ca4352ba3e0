#include "callbench.h"

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
       {"seconds", required_argument, nullptr, 's'},
       {nullptr, 0, nullptr, 0}}};
  CallBenchOptions Options;
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
    case 's':
      Options.Seconds = std::atoi(optarg);
      break;
    default:
      std::cerr << "usage: bench_calls --daemon FILE --target FILE "
                   "[--seconds N] [latency|overload|choice|chains]...\n";
      return 2;
    }
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::string Folder =
      (std::filesystem::temp_directory_path() / "calls-XXXXXX").string();
  if (::mkdtemp(Folder.data()) == nullptr)
    return 1;
  Options.Folder = Folder;
  CallBench Bench(Options);
  std::vector<std::string> Parts(Arguments + optind, Arguments + Count);
  if (Parts.empty())
    Parts = {"latency", "overload", "choice", "chains"};
  bool Good = true;
  for (const std::string &Part : Parts) {
    if (Part == "latency")
      Good = Bench.runLatency() && Good;
    else if (Part == "overload")
      Good = Bench.runOverload() && Good;
    else if (Part == "choice")
      Good = Bench.runChoice() && Good;
    else if (Part == "chains")
      Good = Bench.runChains() && Good;
  }
  if (Good)
    std::filesystem::remove_all(Folder);
  else
    std::cerr << "failed; logs are in " << Folder << '\n';
  return Good ? 0 : 1;
}
