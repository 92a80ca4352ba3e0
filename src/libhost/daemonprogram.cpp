#include "daemonprogram.h"

#include "daemonhost.h"
#include "logging.h"

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <thread>

namespace persimmon {

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
/// Longer than a daemon takes to stop.
constexpr milliseconds AddressTimeout{8000};
constexpr milliseconds AddressCheckInterval{100};

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

/// Large bodies go back to the system at once. By default the allocator learns
/// from them to keep up to 64 MB of what was freed.
void boundKeptMemory() {
  constexpr int MappedFromBytes = 256 << 10;
  constexpr int KeptBytes = 2 << 20;
  ::mallopt(M_MMAP_THRESHOLD, MappedFromBytes);
  ::mallopt(M_TRIM_THRESHOLD, KeptBytes);
}

int reportFailure(const Failure &Error) {
  std::cerr << "persimmonwheeld: " << describe(Error) << '\n';
  return ExitFailure;
}

template <typename ProtocolT>
bool isInUse(const Endpoint &Address, ProtocolT Protocol) {
  asio::io_context Io;
  typename ProtocolT::socket Probe(Io);
  std::error_code Error;
  const auto Ip = asio::ip::make_address(Address.Ip, Error);
  if (!Error)
    Probe.open(Protocol, Error);
  if (!Error && std::is_same_v<ProtocolT, asio::ip::tcp>)
    Probe.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Probe.bind({Ip, Address.Port}, Error);
  return Error == asio::error::address_in_use;
}

/// Returns an address of \p Settings that another process uses, or nothing.
std::optional<Endpoint> findUsedAddress(const DaemonSettings &Settings) {
  if (isInUse(Settings.Listen, asio::ip::udp::v4()))
    return Settings.Listen;
  for (const auto &Address :
       {std::optional(Settings.Listen), Settings.Operators, Settings.Callers,
        Settings.Local, Settings.Readiness}) {
    if (Address && isInUse(*Address, asio::ip::tcp::v4()))
      return Address;
  }
  return std::nullopt;
}

/// Waits for some time while an address is in use. Its process can be about to
/// end, such as an earlier run of this daemon. Nothing is opened meanwhile, so
/// that signals end this process.
void waitForAddresses(const DaemonSettings &Settings) {
  const Time Deadline = std::chrono::steady_clock::now() + AddressTimeout;
  while (std::chrono::steady_clock::now() < Deadline) {
    const auto Used = findUsedAddress(Settings);
    if (!Used)
      return;
    logWarning("event=start-delayed inUse=" + Used->toString());
    flushLog();
    std::this_thread::sleep_for(AddressCheckInterval);
  }
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
  boundKeptMemory();
  std::signal(SIGPIPE, SIG_IGN);
  startLogging(Settings.Log);
  std::unique_ptr<DaemonHost> Host;
  waitForAddresses(Settings);
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
