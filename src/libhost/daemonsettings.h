#pragma once

#include "libpersimmon/libpersimmon.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// An IPv4 address and port.
struct Endpoint {
  std::string Ip;
  std::uint16_t Port = 0;

  std::string toString() const;

  /// Parses IP:PORT. Errors: AddressInvalid at \p Where.
  static leaf::result<Endpoint> parse(std::string_view Text,
                                      std::string_view Where);
};

enum class DaemonRole { Control, Proxy };

/// Settings of the target that a proxy serves.
struct TargetSettings {
  /// TEAM/SERVICE and IP:PORT; empty if the target announces them.
  std::string Service;
  std::string Address;
  /// Interval between health probes; 0 disables them.
  milliseconds ProbeInterval{1000};
};

/// Limits for clients of the HTTP ports. No client that keeps the limits of the
/// configuration meets the defaults.
struct RequestSettings {
  /// Time from the first byte of a request to the end of its headers.
  milliseconds HeaderTimeout{10'000};
  /// Time that a body may pause.
  milliseconds BodyTimeout{20'000};
  /// Time that a connection may be idle while others wait for one.
  milliseconds IdleTimeout{15'000};
  /// What the kernel keeps of the unread bytes of a connection.
  int ReceiveBufferBytes = 64 << 10;
};

struct LogSettings {
  std::string Level = "info";
  bool Decisions = true;
  /// Maximum number of lines written per second. Further lines are dropped and
  /// counted.
  int LinesPerSecond = 2000;
  std::string File;
};

/// Simpler algorithms that serve as baselines for comparison. Empty fields
/// select the regular algorithm.
struct BaselineSettings {
  std::string Distribution;
  std::string Choice;
};

/// The settings of one daemon, validated against daemon.schema.json.
struct DaemonSettings {
  /// Path of the file they were read from; empty if they were parsed from text.
  std::string File;
  DaemonRole Role = DaemonRole::Proxy;
  std::string Name;
  std::string Zone;
  Endpoint Listen;
  Endpoint Advertise;
  std::optional<Endpoint> Operators;
  std::optional<Endpoint> Callers;
  std::optional<Endpoint> Local;
  /// Additional address that serves the requests of the local interface.
  std::optional<Endpoint> Readiness;
  std::string DataFolder;
  std::vector<ControlPeer> ControlInstances;
  /// Addresses of the daemons to join through if controlInstances is not given.
  std::vector<std::string> Seeds;
  /// True for the first start of the system; the seeds become its initial
  /// voters.
  bool Bootstrap = false;
  VoterPolicy Voters;
  /// Teams whose subtrees may be changed without a token.
  std::vector<std::string> OpenTeams;
  TargetSettings Target;
  StopPolicy Stop;
  int RetryBurst = 0;
  /// Memory limit of the process in MB; 0 if not set.
  std::int64_t MemoryMb = 0;
  /// Bandwidth of the instance's link in Mbit/s; 0 if not set.
  double LinkMbps = 0;
  /// As in NodeIdentity.
  milliseconds Revocation{0};
  /// Whether calls are placed evenly also where targets tell no pace.
  bool EvenPlacement = false;
  /// Bounds of roll-outs; nothing without them.
  std::optional<RolloutBounds> Rollouts;
  RequestSettings Requests;
  LogSettings Log;
  BaselineSettings Baselines;

  /// Reads and validates a file. Errors: FileUnreadable, SettingsNotJson,
  /// SettingsInvalid, AddressInvalid, with the path of the key.
  static leaf::result<DaemonSettings> load(const std::string &File);

  /// Parses and validates JSON text. \p Where is the name of its source in
  /// errors.
  static leaf::result<DaemonSettings> parse(std::string_view Text,
                                            std::string_view Where);
};

} // namespace persimmon
