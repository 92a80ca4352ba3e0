#pragma once

#include "libwire/libwire.h"

#include "rollout.h"
#include "settingsmap.h"
#include "time.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmon {

/// Returns the team of a settings path TEAM/KIND/NAME.
constexpr std::string_view teamOf(std::string_view Path) {
  return Path.substr(0, Path.find('/'));
}

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

/// A client account. Calls name it by one of its keys. The name is unique
/// within its team, a key within the accounts of its team.
struct AccountSpec {
  /// The path of the setting, TEAM/accounts/NAME.
  std::string Path;
  std::string Name;
  std::vector<std::string> Keys;
  /// Replaces the priority of the routes.
  std::optional<int> Priority;
  /// Requests per second over all daemons; 0 for no limit.
  double RatePerSecond = 0;
  double Burst = 0;

  std::string_view team() const { return teamOf(this->Path); }
};

/// Parses the committed value of an account's setting. Errors: ValueInvalid.
leaf::result<AccountSpec> parseAccount(const std::string &Path,
                                       std::string_view Value);

/// How a path prefix is compared with the path of a request. Segments: /a and
/// /a/ match /a, /a/ and /a/b. Text: the prefix ends with a slash and must
/// begin the path literally; /a/ matches /a/ and /a/b, not /a.
enum class PathMatch { Segments, Text };

/// Maps the requests of a job under a path prefix to one or more services.
struct RouteSpec {
  std::string Path;
  std::string Job;
  /// Ends with a slash if it is a text prefix or "/", and without one if it
  /// consists of segments. Unique within the job.
  std::string PathPrefix = "/";
  /// At least one; the sum of the weights is above 0.
  std::vector<SplitPart> Parts;
  Repeatable Repeat = Repeatable::ByMethod;
  milliseconds CallTimeout{0};
  /// Latency up to which a response has its full value; 0 for no limit.
  milliseconds TargetLatency{0};
  int MaxAttempts = 4;
  int Priority = 5;
  /// Calls without a known key are allowed although keys are required.
  bool Anonymous = false;

  std::string_view team() const { return teamOf(this->Path); }
};

/// Whether the values of a configuration have to be validated against their
/// schemas. Committed ones were validated before the commit.
enum class Validation { Required, Skip };

/// How the settings of a configuration are compiled.
struct CompileOptions {
  CompileOptions(Validation TheMode, std::string TheTextPrefixTeam = {})
      : Mode(TheMode), TextPrefixTeam(std::move(TheTextPrefixTeam)) {}

  Validation Mode;
  /// Team whose prefixes that end with a slash are text prefixes where a route
  /// has no pathMatch; empty for none. Documents of this team were stored
  /// without it by version 0.2.0 and earlier.
  std::string TextPrefixTeam;
};

class RouteTableBuilder;

/// A configuration compiled for lookups. Every service that a route refers to
/// is in the table. Immutable once built; successive versions share what did
/// not change.
class RouteTable {
public:
  /// Compiles \p Settings and validates them as a whole. Reuses the entries of
  /// \p Previous whose value is the same. Errors: ValueInvalid,
  /// ReferenceMissing, MatchTaken, KeyTaken, with the path of the setting.
  static leaf::result<std::shared_ptr<const RouteTable>>
  build(const SettingsMap &Settings, const RouteTable *Previous,
        CompileOptions Options);

  /// Returns the route with the longest matching path prefix, or nullptr.
  /// \p Path starts with a slash and may include a query, which is ignored.
  const RouteSpec *match(std::string_view Job, std::string_view Path) const;

  /// Returns the account of \p Team that holds \p Key, or nullptr.
  const AccountSpec *accountOf(std::string_view Team,
                               std::string_view Key) const;

  /// Returns the account at the settings path \p Path, or nullptr.
  const AccountSpec *account(std::string_view Path) const;

  /// Calls \p Use for each account.
  template <typename UseT> void forEachAccount(UseT Use) const {
    for (const auto &Shard : this->AccountShards) {
      if (!Shard)
        continue;
      for (const auto &[Path, Entry] : *Shard)
        Use(*Entry.Spec);
    }
  }

  std::size_t accountCount() const { return this->Accounts; }

  /// Returns the rate of the account at the settings path \p Path relative to
  /// the mean of all limited accounts; 1 if it has no limit or does not exist.
  double relativeRate(std::string_view Path) const;

  /// Returns whether calls on the routes of \p Team need the key of an account.
  bool requiresKey(std::string_view Team) const;

  /// Returns the service, or nullptr.
  const ServiceSpec *service(std::string_view Name) const;

  /// Returns the last roll-out of the service, or nullptr.
  const Rollout *rollout(std::string_view Service) const;
  using RolloutMap =
      std::map<std::string, std::shared_ptr<const Rollout>, std::less<>>;
  /// Returns the roll-outs by service.
  const RolloutMap &rollouts() const { return this->Rollouts; }

  const CallerLimits &limits() const { return this->Limits; }

  std::size_t routeCount() const { return this->Routes; }

private:
  friend class RouteTableBuilder;

  struct RouteEntry {
    std::uint64_t ValueHash = 0;
    std::shared_ptr<const RouteSpec> Spec;
  };
  struct ServiceEntry {
    std::uint64_t ValueHash = 0;
    std::shared_ptr<const ServiceSpec> Spec;
  };
  struct AccountEntry {
    std::uint64_t ValueHash = 0;
    std::shared_ptr<const AccountSpec> Spec;
  };
  /// The routes are divided by the hash of their path, so that a change copies
  /// a small part of them.
  static constexpr std::size_t ShardCount = 64;
  using RouteShard = std::map<std::string, RouteEntry, std::less<>>;
  /// The routes of one job by path prefix.
  using JobRoutes =
      std::map<std::string, std::shared_ptr<const RouteSpec>, std::less<>>;

  /// Accounts by path and by team and key, divided like the routes.
  using AccountShard = std::map<std::string, AccountEntry, std::less<>>;
  using KeyShard =
      std::unordered_map<std::string, std::shared_ptr<const AccountSpec>>;

  static std::string keyIndexOf(std::string_view Team, std::string_view Key);
  const AccountEntry *findAccount(std::string_view Path) const;
  static std::size_t shardOf(std::string_view Path);
  const RouteEntry *findRoute(std::string_view Path) const;

  std::map<std::string, ServiceEntry, std::less<>> ServiceEntries;
  std::array<std::shared_ptr<const RouteShard>, ShardCount> Shards;
  std::map<std::string, std::shared_ptr<const JobRoutes>, std::less<>>
      RoutesByJob;
  std::array<std::shared_ptr<const AccountShard>, ShardCount> AccountShards;
  std::array<std::shared_ptr<const KeyShard>, ShardCount> KeyShards;
  /// Paths of the settings that require keys for the routes of their team.
  std::set<std::string, std::less<>> KeyRequiredBy;
  std::map<std::string, CallerLimits, std::less<>> LimitsByPath;
  CallerLimits Limits;
  RolloutMap Rollouts;
  std::size_t Routes = 0;
  std::size_t Accounts = 0;
  /// Number of accounts with a limited rate, and the sum of these rates.
  std::size_t LimitedAccounts = 0;
  double RateSum = 0;
};

/// Compiles a changed version of a RouteTable. The work is in proportion to the
/// edits, and can be done in steps of any number of edits.
class RouteTableBuilder {
public:
  /// Starts from \p Base; null for an empty table. Entries of \p Reused with
  /// the same value are taken from there instead of being compiled again; it
  /// may be null.
  RouteTableBuilder(std::shared_ptr<const RouteTable> Base,
                    const RouteTable *Reused, CompileOptions Options);

  /// Compiles the new value of the setting at \p Path. Errors: ValueInvalid.
  leaf::result<void> put(const std::string &Path, std::string_view Value);

  /// Removes the setting at \p Path.
  leaf::result<void> remove(std::string_view Path);

  /// Validates the result as a whole and returns it. Errors: ReferenceMissing,
  /// MatchTaken, KeyTaken.
  leaf::result<std::shared_ptr<const RouteTable>> finish();

private:
  leaf::result<void> putService(const std::string &Path,
                                std::string_view Value);
  leaf::result<void> putRoute(const std::string &Path, std::string_view Value);
  PathMatch defaultMatch(std::string_view Path) const;
  leaf::result<void> putAccount(const std::string &Path,
                                std::string_view Value);
  leaf::result<void> putAccess(const std::string &Path, std::string_view Value);
  void removeAccount(std::string_view Path);
  leaf::result<void> putLimits(const std::string &Path, std::string_view Value);
  RouteTable::RouteShard &ownShard(std::string_view Path);
  RouteTable::AccountShard &ownAccounts(std::string_view Path);
  RouteTable::KeyShard &ownKeys(std::string_view Index);
  RouteTable::JobRoutes &ownJob(const std::string &Job);
  leaf::result<void> checkServices() const;
  leaf::result<void> indexRoutes();
  leaf::result<void> indexAccounts();

  std::shared_ptr<const RouteTable> Base;
  const RouteTable *Reused;
  CompileOptions Options;
  std::shared_ptr<RouteTable> Result;
  std::map<std::size_t, std::shared_ptr<RouteTable::RouteShard>> OwnShards;
  std::map<std::string, std::shared_ptr<RouteTable::JobRoutes>, std::less<>>
      OwnJobs;
  std::vector<std::shared_ptr<const RouteSpec>> Replaced;
  /// Changed routes by path; null for removed ones.
  std::map<std::string, std::shared_ptr<const RouteSpec>, std::less<>> Changed;
  std::map<std::size_t, std::shared_ptr<RouteTable::AccountShard>>
      OwnAccountShards;
  std::map<std::size_t, std::shared_ptr<RouteTable::KeyShard>> OwnKeyShards;
  std::vector<std::shared_ptr<const AccountSpec>> ReplacedAccounts;
  /// Changed accounts by path; null for removed ones.
  std::map<std::string, std::shared_ptr<const AccountSpec>, std::less<>>
      ChangedAccounts;
  bool ServiceRemoved = false;
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
