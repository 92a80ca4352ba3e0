#include "callbench.h"

#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace persimmon;

int main(int Count, char **Arguments) {
  const std::array<option, 4> LongOptions = {
      {{"daemon", required_argument, nullptr, 'd'},
       {"target", required_argument, nullptr, 't'},
       {"seconds", required_argument, nullptr, 's'},
       {nullptr, 0, nullptr, 0}}};
  CallBenchOptions Options;
  int OptionCode = 0;
  while ((OptionCode = getopt_long(Count, Arguments, "", LongOptions.data(),
                                   nullptr)) != -1) {
    switch (OptionCode) {
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
  std::vector<std::string> Phases(Arguments + optind, Arguments + Count);
  if (Phases.empty())
    Phases = {"latency", "overload", "choice", "chains"};
  bool Succeeded = true;
  for (const std::string &Phase : Phases) {
    if (Phase == "latency")
      Succeeded = Bench.runLatency() && Succeeded;
    else if (Phase == "overload")
      Succeeded = Bench.runOverload() && Succeeded;
    else if (Phase == "choice")
      Succeeded = Bench.runChoice() && Succeeded;
    else if (Phase == "chains")
      Succeeded = Bench.runChains() && Succeeded;
  }
  if (Succeeded)
    std::filesystem::remove_all(Folder);
  else
    std::cerr << "failed; logs are in " << Folder << '\n';
  return Succeeded ? 0 : 1;
}
