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

struct LogSettings {
  std::string Level = "info";
  bool Decisions = true;
  std::string File;
};

/// Older or simpler ways, to measure the others against. Empty for none.
struct BaselineSettings {
  std::string Distribution;
  std::string Choice;
};

/// The settings of one daemon, checked against daemon.schema.json.
struct DaemonSettings {
  DaemonRole Role = DaemonRole::Proxy;
  std::string Name;
  std::string Zone;
  Endpoint Listen;
  Endpoint Advertise;
  std::optional<Endpoint> Operators;
  std::optional<Endpoint> Callers;
  std::optional<Endpoint> Local;
  std::string DataFolder;
  std::vector<ControlPeer> ControlInstances;
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
