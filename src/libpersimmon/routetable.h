#pragma once

#include "libwire/libwire.h"

#include "settingsmap.h"
#include "time.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Compiled settings of a service.
struct ServiceSpec {
  std::string Name;
  int Queue = 32;
  int SlotsLimit = 0;
  int RetryBudgetPercent = 10;
  std::int64_t MaxBodyBytes = 8 << 20;
  milliseconds CallTimeout{10000};
  int ShedBelowPriority = 0;
  /// Connections that a target accepts; 0 if not set.
  int Connections = 0;
  std::string HealthPath = "/health";
};

/// Limits on callers' requests: the smallest value of all teams' limits.
struct CallerLimits {
  std::int64_t MaxHeaderBytes = 32 << 10;
  std::int64_t MaxBodyBytes = 32 << 20;
};

enum class Repeatable { ByMethod, Always, Never };

/// A service's share of a route: its weight relative to the sum of weights.
struct SplitPart {
  std::string Service;
  int Weight = 1;
};

/// Maps the requests of a job under a path prefix to one or more services.
struct RouteSpec {
  std::string Path;
  std::string Job;
  std::string PathPrefix = "/";
  /// At least one; the sum of the weights is above 0.
  std::vector<SplitPart> Parts;
  Repeatable Repeat = Repeatable::ByMethod;
  milliseconds CallTimeout{0};
  /// Latency up to which a response has its full value; 0 for no limit.
  milliseconds TargetLatency{0};
  int MaxAttempts = 4;
  int Priority = 5;
};

/// Whether the values of a configuration have to be validated against their
/// schemas. Committed ones were validated before the commit.
enum class Validation { Required, Skip };

/// A configuration compiled for lookups. Every service that a route refers to
/// is in the table. Immutable once built.
class RouteTable {
public:
  /// Compiles \p Settings and validates them as a whole. Reuses the entries of
  /// \p Previous whose value is the same. Errors: ValueInvalid,
  /// ReferenceMissing, MatchTaken, with the path of the setting.
  static leaf::result<std::shared_ptr<const RouteTable>>
  build(const SettingsMap &Settings, const RouteTable *Previous,
        Validation Mode);

  /// Returns the route with the longest matching path prefix, or nullptr.
  const RouteSpec *match(std::string_view Job, std::string_view Path) const;

  /// Returns the service, or nullptr.
  const ServiceSpec *service(std::string_view Name) const;

  const CallerLimits &limits() const { return this->Limits; }

  std::size_t routeCount() const { return this->RouteEntries.size(); }

private:
  struct RouteEntry {
    std::uint64_t ValueHash = 0;
    std::shared_ptr<const RouteSpec> Spec;
  };
  struct ServiceEntry {
    std::uint64_t ValueHash = 0;
    std::shared_ptr<const ServiceSpec> Spec;
  };

  leaf::result<void> add(const wire::Setting &Entry, const RouteTable *Previous,
                         Validation Mode);
  leaf::result<void> addService(const wire::Setting &Entry,
                                const RouteTable *Previous, Validation Mode);
  leaf::result<void> addRoute(const wire::Setting &Entry,
                              const RouteTable *Previous, Validation Mode);
  leaf::result<void> addLimits(const wire::Setting &Entry, Validation Mode);
  leaf::result<void> indexRoutes();

  std::map<std::string, ServiceEntry, std::less<>> ServiceEntries;
  std::map<std::string, RouteEntry, std::less<>> RouteEntries;
  std::map<std::string, std::vector<std::shared_ptr<const RouteSpec>>,
           std::less<>>
      RoutesByJob;
  CallerLimits Limits;
};

/// The components of a settings path TEAM/KIND/NAME.
struct SettingPath {
  std::string_view Team;
  std::string_view Kind;
  std::string_view Name;
};

/// Parses and validates a settings path. Errors: ValueInvalid.
leaf::result<SettingPath> parseSettingPath(std::string_view Path);

} // namespace persimmon
