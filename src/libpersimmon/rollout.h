#pragma once

#include "settingsmap.h"
#include "time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon {

enum class RolloutState { Running, Completed, RolledBack };

/// Canary: a share of the calls goes to the new version. Full: all calls do.
enum class RolloutStage { Canary, Full };

/// Returns the names used in settings and in the operators' protocol.
std::string_view nameOf(RolloutState State);
std::string_view nameOf(RolloutStage Stage);

/// The roll-out of a version of a service's targets, as stored in the setting
/// TEAM/rollouts/SERVICE. Only the last roll-out of a service is kept.
struct Rollout {
  /// TEAM/SERVICE; not part of the value.
  std::string Service;
  /// Differs from that of other roll-outs of the service.
  std::string Id;
  std::string Version;
  /// The version that gets the calls without this roll-out; empty if none was
  /// known when the order arrived.
  std::string Established;
  RolloutState State = RolloutState::Running;
  RolloutStage Stage = RolloutStage::Canary;
  /// Share of the calls that go to the new version in the canary stage.
  int CanaryPerMille = 0;
  /// Wall-clock time of the order and duration until the deadline.
  std::int64_t StartedAtMs = 0;
  std::int64_t DurationMs = 0;
  /// The time that had passed since the order when this value was written, by
  /// steady clocks.
  std::int64_t ElapsedMs = 0;
  /// Digests of the order and of the one before it, which identify resends.
  std::string Digest;
  std::string EarlierDigest;

  bool running() const { return this->State == RolloutState::Running; }
  /// Returns the version that gets all calls that are not part of a canary;
  /// empty if it is not known.
  const std::string &mainVersion() const {
    const bool New = this->State == RolloutState::Completed ||
                     (this->running() && this->Stage == RolloutStage::Full);
    return New ? this->Version : this->Established;
  }
};

inline constexpr std::string_view RolloutsKind = "rollouts";

/// Returns the settings path of the roll-out of TEAM/SERVICE.
std::string rolloutPath(std::string_view Service);

/// Returns whether the setting at \p Path is a roll-out.
bool isRolloutPath(std::string_view Path);

/// Returns whether \p Version may name a version of a target's software: 1 to
/// 100 visible ASCII characters.
bool isValidTargetVersion(std::string_view Version);

/// Reads the value of the setting at \p Path. Errors: ValueInvalid.
leaf::result<Rollout> readRollout(const std::string &Path,
                                  std::string_view Value);

/// Returns the value of the setting.
std::string valueOf(const Rollout &Item);

/// Returns the roll-out of \p Service in \p Settings, if there is one.
std::optional<Rollout> findRollout(const SettingsMap &Settings,
                                   std::string_view Service);

/// An operator's order to roll out a version of the targets of TEAM/SERVICE.
struct RolloutOrder {
  std::string Service;
  std::string Version;
  std::int64_t DurationMs = 0;
  /// Identifies a resend of the order.
  std::string Digest;
  /// The established version if the settings hold none.
  std::string Established;
  /// When the order arrived, by the wall clock.
  std::int64_t WallMs = 0;
  /// The service's last roll-out ended so long ago that the same order is a new
  /// one and no resend.
  bool MayRepeat = false;
};

/// Returns the order with its digest. Errors: ValueInvalid.
leaf::result<RolloutOrder>
makeRolloutOrder(std::string Service, std::string Version, double DurationS);

/// Returns the change that starts the roll-out, or nothing if the order is a
/// resend. \p StoreVersion is the version of \p Current. Errors: ValueInvalid
/// if there is no such service, RolloutRunning.
leaf::result<std::optional<wire::Change>>
startRollout(const SettingsMap &Current, std::int64_t StoreVersion,
             const RolloutOrder &Order);

/// Returns the change that replaces \p Current, the setting of a roll-out, by
/// \p Next.
wire::Change changeRollout(const wire::Setting &Current, const Rollout &Next);

} // namespace persimmon
