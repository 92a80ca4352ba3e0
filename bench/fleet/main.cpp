#include "fleetbench.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace persimmon;

int main(int Count, char **Arguments) {
  const std::array<option, 7> LongOptions = {
      {{"daemon", required_argument, nullptr, 'd'},
       {"proxies", required_argument, nullptr, 'p'},
       {"zones", required_argument, nullptr, 'z'},
       {"changes", required_argument, nullptr, 'c'},
       {"services", required_argument, nullptr, 's'},
       {"distribution", required_argument, nullptr, 'D'},
       {nullptr, 0, nullptr, 0}}};
  FleetPlan Plan;
  int OptionCode = 0;
  while ((OptionCode = getopt_long(Count, Arguments, "", LongOptions.data(),
                                   nullptr)) != -1) {
    switch (OptionCode) {
    case 'd':
      Plan.Daemon = optarg;
      break;
    case 'p':
      Plan.Proxies = std::atoi(optarg);
      break;
    case 'z':
      Plan.Zones = std::atoi(optarg);
      break;
    case 'c':
      Plan.Changes = std::atoi(optarg);
      break;
    case 's':
      Plan.Services = std::atoi(optarg);
      break;
    case 'D':
      Plan.Distribution = optarg;
      break;
    default:
      std::cerr << "usage: bench_fleet --daemon FILE [--proxies N] [--zones N] "
                   "[--changes N] [--services N] [--distribution star|relay]\n";
      return 2;
    }
  }
  constexpr int MaxProxies = 250;
  Plan.Proxies = std::min(Plan.Proxies, MaxProxies);
  std::string Folder =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (::mkdtemp(Folder.data()) == nullptr)
    return 1;
  Plan.Folder = Folder;
  bool Succeeded = false;
  {
    FleetBench Bench(Plan);
    Succeeded = Bench.run();
  }
  if (!Succeeded)
    std::cerr << "failed; logs are in " << Folder << '\n';
  else
    std::filesystem::remove_all(Folder);
  return Succeeded ? 0 : 1;
}
