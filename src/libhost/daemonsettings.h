#pragma once

#include "libpersimmon/libpersimmon.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// An IP address and port.
struct Endpoint {
  std::string Ip;
  std::uint16_t Port = 0;

  std::string text() const;

  /// Parses IP:PORT. Errors: AddressInvalid at \p Where.
  static leaf::result<Endpoint> parse(std::string_view Text,
                                      std::string_view Where);
};

enum class DaemonRole { Control, Proxy };

/// The target beside a proxy, as far as the settings know it.
struct TargetSettings {
  /// TEAM/SERVICE and IP:PORT; empty if announcements tell.
  std::string Service;
  std::string Address;
  /// Pause between health probes; 0 for none.
  milliseconds ProbeInterval{1000};
};

struct LogSettings {
  std::string Level = "info";
  bool Decisions = true;
  /// Lines that are written each second at most; what is beyond is counted.
  int LinesPerSecond = 2000;
  std::string File;
};

/// Older or simpler ways, to measure the others against. Empty for none.
struct BaselineSettings {
  std::string Distribution;
  std::string Choice;
};

/// The settings of one daemon, checked against daemon.schema.json.
struct DaemonSettings {
  /// The file that they were read from; empty if they were given as text.
  std::string File;
  DaemonRole Role = DaemonRole::Proxy;
  std::string Name;
  std::string Zone;
  Endpoint Listen;
  Endpoint Advertise;
  std::optional<Endpoint> Operators;
  std::optional<Endpoint> Callers;
  std::optional<Endpoint> Local;
  /// Another port for requests of the local interface.
  std::optional<Endpoint> Readiness;
  std::string DataFolder;
  std::vector<ControlPeer> ControlInstances;
  /// Daemons to join by, where no control instances are named.
  std::vector<std::string> Seeds;
  /// The system starts for the first time and the seeds are its first voters.
  bool Found = false;
  VoterPolicy Voters;
  /// Teams whose subtree may be changed without a token.
  std::vector<std::string> OpenTeams;
  TargetSettings Target;
  StopPolicy Stop;
  int RetryBurst = 0;
  /// Memory that the process may use, in MB; 0 if the settings don't tell.
  std::int64_t MemoryMb = 0;
  /// Rate of the instance's link in Mbit/s; 0 if the settings don't tell.
  double LinkMbps = 0;
  LogSettings Log;
  BaselineSettings Baselines;

  /// Reads and checks a file. Errors: FileUnreadable, SettingsNotJson,
  /// SettingsInvalid, AddressInvalid, with the path of the key.
  static leaf::result<DaemonSettings> load(const std::string &File);

  /// Checks settings given as text. \p Where names them in errors.
  static leaf::result<DaemonSettings> parse(std::string_view Text,
                                            std::string_view Where);
};

} // namespace persimmon
