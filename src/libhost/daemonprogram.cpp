#include "daemonprogram.h"

#include "daemonhost.h"
#include "logging.h"

#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace persimmon {

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

constexpr std::string_view Usage =
    "Usage: persimmonwheeld --settings FILE\n"
    "       persimmonwheeld --check-settings FILE\n"
    "\n"
    "Runs a persimmonwheel daemon with the given JSON settings file.\n"
    "\n"
    "  -s, --settings FILE        run with the settings in FILE\n"
    "  -c, --check-settings FILE  validate the settings in FILE and exit\n"
    "  -V, --version              print the version and exit\n"
    "  -h, --help                 print this text and exit\n"
    "\n"
    "SIGTERM and SIGINT stop it gracefully; calls in flight are completed.\n"
    "Exit status: 0 success, 1 failure, 2 usage error.\n";

struct Options {
  std::string SettingsFile;
  bool CheckOnly = false;
};

int reportFailure(const Failure &Error) {
  std::cerr << "persimmonwheeld: " << describe(Error) << '\n';
  return ExitFailure;
}

int runDaemon(const Options &ParsedOptions, const EdgeProtocols &Protocols) {
  DaemonSettings Settings;
  Failure Error = handleResult(
      [&] { return DaemonSettings::load(ParsedOptions.SettingsFile); },
      [&](DaemonSettings Loaded) { Settings = std::move(Loaded); });
  if (Error.failed())
    return reportFailure(Error);
  if (ParsedOptions.CheckOnly) {
    std::cout << ParsedOptions.SettingsFile << ": valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  startLogging(Settings.Log);
  std::unique_ptr<DaemonHost> Host;
  Error = handleResult(
      [&] { return DaemonHost::open(Settings, Protocols); },
      [&](std::unique_ptr<DaemonHost> Opened) { Host = std::move(Opened); });
  if (Error.failed())
    return reportFailure(Error);
  Error = handleResult([&] { return Host->run(); }, [] {});
  Host.reset();
  flushLog();
  // quick_exit skips static destructors: log4cplus joins its worker threads in
  // one, which can exceed the stop timeout where only one thread runs at a
  // time.
  std::quick_exit(Error.failed() ? reportFailure(Error) : 0);
}

} // namespace

int runDaemonProgram(int Count, char **Arguments,
                     const EdgeProtocols &Protocols,
                     const char *SettingsVariable) {
  const std::array<option, 5> LongOptions = {
      {{"settings", required_argument, nullptr, 's'},
       {"check-settings", required_argument, nullptr, 'c'},
       {"version", no_argument, nullptr, 'V'},
       {"help", no_argument, nullptr, 'h'},
       {nullptr, 0, nullptr, 0}}};
  Options ParsedOptions;
  int OptionCode = 0;
  while ((OptionCode = getopt_long(Count, Arguments, "s:c:Vh",
                                   LongOptions.data(), nullptr)) != -1) {
    switch (OptionCode) {
    case 's':
      ParsedOptions.SettingsFile = optarg;
      break;
    case 'c':
      ParsedOptions.SettingsFile = optarg;
      ParsedOptions.CheckOnly = true;
      break;
    case 'V':
      std::cout << "persimmonwheeld " << PERSIMMON_VERSION << '\n';
      return 0;
    case 'h':
      std::cout << Usage;
      return 0;
    default:
      std::cerr << Usage;
      return ExitUsage;
    }
  }
  const char *EnvironmentFile =
      SettingsVariable == nullptr ? nullptr : std::getenv(SettingsVariable);
  if (ParsedOptions.SettingsFile.empty() && EnvironmentFile != nullptr)
    ParsedOptions.SettingsFile = EnvironmentFile;
  if (ParsedOptions.SettingsFile.empty() || optind != Count) {
    std::cerr << Usage;
    return ExitUsage;
  }
  return runDaemon(ParsedOptions, Protocols);
}

} // namespace persimmon
