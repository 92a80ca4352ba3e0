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

/// Limits of a service.
struct ServiceSpec {
  std::string Name;
  int Queue = 32;
  int SlotsLimit = 0;
  int RetryBudgetPercent = 10;
  std::int64_t MaxBodyBytes = 8 << 20;
  milliseconds CallTimeout{10000};
  int ShedBelowPriority = 0;
  /// Connections that a target accepts; 0 if the settings do not say.
  int Connections = 0;
  std::string HealthPath = "/health";
};

/// What callers may send, taken from all teams' limits: the tightest holds.
struct CallerLimits {
  std::int64_t MaxHeaderBytes = 32 << 10;
  std::int64_t MaxBodyBytes = 32 << 20;
};

enum class Repeatable { ByMethod, Always, Never };

/// A service's part of a route. Weights count relative to their sum.
struct SplitPart {
  std::string Service;
  int Weight = 1;
};

/// Which requests of a job a service serves.
struct RouteSpec {
  std::string Path;
  std::string Job;
  std::string PathPrefix = "/";
  /// At least one; their weights add up to more than 0.
  std::vector<SplitPart> Parts;
  Repeatable Repeat = Repeatable::ByMethod;
  milliseconds CallTimeout{0};
  /// Time within which an answer has its full value; 0 for none.
  milliseconds TargetLatency{0};
  int MaxAttempts = 4;
  int Priority = 5;
};

/// Whether the values of a configuration still have to be checked. Committed
/// ones were checked before the commit.
enum class Values { Unchecked, Committed };

/// A configuration compiled for lookups. Closed under reference: every route's
/// service is in the table. Immutable once built.
class RouteTable {
public:
  /// Compiles \p Settings and checks them as a whole. Entries that
  /// \p Previous holds with the same value are reused. Errors: ValueInvalid,
  /// ReferenceMissing, MatchTaken, with the path of the setting.
  static leaf::result<std::shared_ptr<const RouteTable>>
  build(const SettingsMap &Settings, const RouteTable *Previous, Values State);

  /// Returns the route with the longest path prefix that matches, or null.
  const RouteSpec *match(std::string_view Job, std::string_view Path) const;

  /// Returns the service, or null.
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
                         Values State);
  leaf::result<void> addService(const wire::Setting &Entry,
                                const RouteTable *Previous, Values State);
  leaf::result<void> addRoute(const wire::Setting &Entry,
                              const RouteTable *Previous, Values State);
  leaf::result<void> addLimits(const wire::Setting &Entry, Values State);
  leaf::result<void> indexRoutes();

  std::map<std::string, ServiceEntry, std::less<>> ServiceEntries;
  std::map<std::string, RouteEntry, std::less<>> RouteEntries;
  std::map<std::string, std::vector<std::shared_ptr<const RouteSpec>>,
           std::less<>>
      ByJob;
  CallerLimits Limits;
};

/// The parts of a settings path TEAM/KIND/NAME.
struct SettingPath {
  std::string_view Team;
  std::string_view Kind;
  std::string_view Name;
};

/// Splits and checks a settings path. Errors: ValueInvalid.
leaf::result<SettingPath> parseSettingPath(std::string_view Path);

} // namespace persimmon
