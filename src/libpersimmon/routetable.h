#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// All settings of a configuration by path.
using SettingsMap = std::map<std::string, wire::Setting, std::less<>>;

/// Limits of a service.
struct ServiceSpec {
  std::string Name;
  int Queue = 32;
  int SlotsLimit = 0;
  int RetryBudgetPercent = 10;
  std::int64_t MaxBodyBytes = 8 << 20;
  milliseconds CallTimeout{10000};
  int ShedBelowPriority = 0;
};

enum class Repeatable { ByMethod, Always, Never };

/// Which requests of a job a service serves.
struct RouteSpec {
  std::string Path;
  std::string Job;
  std::string PathPrefix = "/";
  std::string Service;
  Repeatable Repeat = Repeatable::ByMethod;
  milliseconds CallTimeout{0};
  int Priority = 5;
};

/// A configuration compiled for lookups. Closed under reference: every route's
/// service is in the table. Immutable once built.
class RouteTable {
public:
  /// Compiles \p Settings and checks them as a whole. Entries that
  /// \p Previous holds at the same version are reused. Errors: ValueInvalid,
  /// ReferenceMissing, MatchTaken, with the path of the setting.
  static leaf::result<std::shared_ptr<const RouteTable>>
  build(const SettingsMap &Settings, const RouteTable *Previous);

  /// Returns the route with the longest path prefix that matches, or null.
  const RouteSpec *match(std::string_view Job, std::string_view Path) const;

  /// Returns the service, or null.
  const ServiceSpec *service(std::string_view Name) const;

  std::size_t routeCount() const { return this->RouteEntries.size(); }

private:
  struct RouteEntry {
    std::int64_t Version = 0;
    std::shared_ptr<const RouteSpec> Spec;
  };
  struct ServiceEntry {
    std::int64_t Version = 0;
    std::shared_ptr<const ServiceSpec> Spec;
  };

  leaf::result<void> addService(const wire::Setting &Entry,
                                const RouteTable *Previous);
  leaf::result<void> addRoute(const wire::Setting &Entry,
                              const RouteTable *Previous);
  leaf::result<void> indexRoutes();

  std::map<std::string, ServiceEntry, std::less<>> ServiceEntries;
  std::map<std::string, RouteEntry, std::less<>> RouteEntries;
  std::map<std::string, std::vector<std::shared_ptr<const RouteSpec>>,
           std::less<>>
      ByJob;
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
