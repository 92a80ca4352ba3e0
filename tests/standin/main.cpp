#include "standintarget.h"

#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace persimmon;

int main(int Count, char **Arguments) {
  const std::array<option, 11> Long = {
      {{"name", required_argument, nullptr, 'n'},
       {"listen", required_argument, nullptr, 'l'},
       {"daemon", required_argument, nullptr, 'd'},
       {"service", required_argument, nullptr, 's'},
       {"log", required_argument, nullptr, 'f'},
       {"callers", required_argument, nullptr, 'c'},
       {"slots", required_argument, nullptr, 'S'},
       {"connections", required_argument, nullptr, 'C'},
       {"delay-ms", required_argument, nullptr, 'D'},
       {"cold-start-ms", required_argument, nullptr, 'W'},
       {nullptr, 0, nullptr, 0}}};
  StandinOptions Options;
  int Letter = 0;
  while ((Letter = getopt_long(Count, Arguments, "", Long.data(), nullptr)) !=
         -1) {
    switch (Letter) {
    case 'n':
      Options.Name = optarg;
      break;
    case 'l':
      Options.Listen = optarg;
      break;
    case 'd':
      Options.Daemon = optarg;
      break;
    case 's':
      Options.Service = optarg;
      break;
    case 'f':
      Options.LogFile = optarg;
      break;
    case 'c':
      Options.Callers = optarg;
      break;
    case 'S':
      Options.Slots = std::atoi(optarg);
      break;
    case 'C':
      Options.Connections = std::atoi(optarg);
      break;
    case 'D':
      Options.DelayMs = std::atoi(optarg);
      break;
    case 'W':
      Options.ColdStartMs = std::atoi(optarg);
      break;
    default:
      return 2;
    }
  }
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context Io;
  std::unique_ptr<StandinTarget> Target;
  const Failure Error =
      handleResult([&] { return StandinTarget::open(Io, Options); },
                   [&](auto Made) { Target = std::move(Made); });
  if (Error.failed()) {
    std::cerr << "standintarget: " << describe(Error) << '\n';
    return 1;
  }
  Io.run();
  return 0;
}
