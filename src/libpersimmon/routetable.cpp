#include "routetable.h"

#include "schemas.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace persimmon {

namespace {

using nlohmann::json;

/// Strings are validated here and not by patterns in the schemas, since
/// matching those costs more than the rest of a change.
bool isValidJob(std::string_view Job) {
  return std::all_of(Job.begin(), Job.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
           C == '_' || C == '.';
  });
}

bool isValidName(std::string_view Name) {
  constexpr std::size_t MaxNameBytes = 100;
  if (Name.empty() || Name.size() > MaxNameBytes)
    return false;
  return std::all_of(Name.begin(), Name.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
  });
}

leaf::result<json> parseValue(const std::string &Path, std::string_view Value,
                              std::string_view Schema, Validation Mode) {
  json Document = json::parse(Value, nullptr, false);
  if (Document.is_discarded())
    return fail(ResultCode::ValueInvalid, Path, "not valid JSON");
  if (Mode == Validation::Required)
    BOOST_LEAF_CHECK(
        checkAgainstSchema(Document, Schema, Path, ResultCode::ValueInvalid));
  return Document;
}

/// Returns whether \p Name has the form TEAM/SERVICE.
bool isValidServiceName(std::string_view Name) {
  const std::size_t Slash = Name.find('/');
  return Slash != std::string_view::npos &&
         isValidName(Name.substr(0, Slash)) &&
         isValidName(Name.substr(Slash + 1));
}

ServiceSpec makeService(std::string Name, const json &Value) {
  ServiceSpec Spec;
  Spec.Name = std::move(Name);
  Spec.Queue = Value.value("queue", Spec.Queue);
  Spec.SlotsLimit = Value.value("slots", Spec.SlotsLimit);
  Spec.RetryBudgetPercent =
      Value.value("retryBudgetPercent", Spec.RetryBudgetPercent);
  Spec.MaxBodyBytes = Value.value("maxBodyBytes", Spec.MaxBodyBytes);
  Spec.CallTimeout =
      milliseconds(Value.value("deadlineMs", Spec.CallTimeout.count()));
  Spec.ShedBelowPriority =
      Value.value("shedBelowPriority", Spec.ShedBelowPriority);
  Spec.Connections = Value.value("connections", Spec.Connections);
  Spec.HealthPath = Value.value("healthPath", Spec.HealthPath);
  return Spec;
}

/// Reads the path prefix of a route in the form in which RouteTable looks it
/// up. \p Default is the meaning of a prefix that ends with a slash if the
/// route has no pathMatch.
leaf::result<std::string> readPathPrefix(const std::string &Path,
                                         const json &Value, PathMatch Default) {
  std::string Prefix = Value.value("pathPrefix", "/");
  if (!Prefix.starts_with('/'))
    return fail(ResultCode::ValueInvalid, Path,
                "a path prefix must start with '/'");
  const std::string Named = Value.value("pathMatch", "");
  const bool EndsWithSlash = Prefix.ends_with('/');
  if (Named == "text" && !EndsWithSlash)
    return fail(ResultCode::ValueInvalid, Path,
                "a path prefix that is matched as text must end with '/'");
  if (Named == "text" ||
      (Named.empty() && EndsWithSlash && Default == PathMatch::Text))
    return Prefix;
  while (Prefix.size() > 1 && Prefix.back() == '/')
    Prefix.pop_back();
  return Prefix;
}

leaf::result<RouteSpec> makeRoute(std::string Path, const json &Value,
                                  PathMatch DefaultMatch) {
  RouteSpec Spec;
  Spec.Path = std::move(Path);
  Spec.Job = Value.at("job").get<std::string>();
  if (Value.contains("service") == Value.contains("split"))
    return fail(ResultCode::ValueInvalid, Spec.Path,
                "a route needs either service or split");
  if (Value.contains("service"))
    Spec.Parts.push_back({Value.at("service").get<std::string>(), 1});
  else
    for (const json &Part : Value.at("split"))
      Spec.Parts.push_back({Part.at("service").get<std::string>(),
                            Part.at("weight").get<int>()});
  for (const SplitPart &Part : Spec.Parts) {
    if (!isValidServiceName(Part.Service))
      return fail(ResultCode::ValueInvalid, Spec.Path,
                  "a service name must have the form TEAM/SERVICE");
  }
  const bool HasPositiveWeight =
      std::any_of(Spec.Parts.begin(), Spec.Parts.end(),
                  [](const SplitPart &Part) { return Part.Weight > 0; });
  if (!HasPositiveWeight)
    return fail(ResultCode::ValueInvalid, Spec.Path,
                "the weights of a split add up to 0");
  if (!isValidJob(Spec.Job))
    return fail(ResultCode::ValueInvalid, Spec.Path,
                "a job may contain only a-z, 0-9, '-', '_' and '.'");
  BOOST_LEAF_ASSIGN(Spec.PathPrefix,
                    readPathPrefix(Spec.Path, Value, DefaultMatch));
  const std::string Repeat = Value.value("repeatable", "by-method");
  if (Repeat == "always")
    Spec.Repeat = Repeatable::Always;
  if (Repeat == "never")
    Spec.Repeat = Repeatable::Never;
  Spec.CallTimeout = milliseconds(Value.value("deadlineMs", 0));
  Spec.TargetLatency = milliseconds(Value.value("targetLatencyMs", 0));
  Spec.MaxAttempts = Value.value("maxAttempts", Spec.MaxAttempts);
  Spec.Priority = Value.value("priority", Spec.Priority);
  Spec.Anonymous = Value.value("anonymous", Spec.Anonymous);
  return Spec;
}

AccountSpec makeAccount(std::string Path, const json &Value) {
  AccountSpec Spec;
  Spec.Path = std::move(Path);
  Spec.Name = Spec.Path.substr(Spec.Path.rfind('/') + 1);
  if (Value.contains("keys"))
    Spec.Keys = Value.at("keys").get<std::vector<std::string>>();
  if (Value.contains("priority"))
    Spec.Priority = Value.at("priority").get<int>();
  Spec.RatePerSecond = Value.value("ratePerSecond", Spec.RatePerSecond);
  Spec.Burst = Value.value("burst", Spec.Burst);
  return Spec;
}

/// Returns the shard \p Index of \p Shards for changes; copies it at first.
template <typename ShardT, std::size_t Count>
ShardT &ownPart(std::size_t Index,
                std::array<std::shared_ptr<const ShardT>, Count> &Shards,
                std::map<std::size_t, std::shared_ptr<ShardT>> &OwnShards) {
  auto &Own = OwnShards[Index];
  if (!Own) {
    const auto &Shared = Shards[Index];
    Own =
        Shared ? std::make_shared<ShardT>(*Shared) : std::make_shared<ShardT>();
    Shards[Index] = Own;
  }
  return *Own;
}

/// Returns the name TEAM/SERVICE of the service at a settings path.
std::string serviceNameOf(const SettingPath &Parts) {
  return std::string(Parts.Team) + "/" + std::string(Parts.Name);
}

} // namespace

leaf::result<SettingPath> parseSettingPath(std::string_view Path) {
  const std::size_t First = Path.find('/');
  const std::size_t Second =
      First == std::string_view::npos ? First : Path.find('/', First + 1);
  if (Second == std::string_view::npos)
    return fail(ResultCode::ValueInvalid, std::string(Path),
                "a path must have the form TEAM/KIND/NAME");
  SettingPath Parts;
  Parts.Team = Path.substr(0, First);
  Parts.Kind = Path.substr(First + 1, Second - First - 1);
  Parts.Name = Path.substr(Second + 1);
  if (!isValidName(Parts.Team) || !isValidName(Parts.Name))
    return fail(ResultCode::ValueInvalid, std::string(Path),
                "names may contain only letters, digits, '-', '_' and '.', "
                "and at most 100 characters");
  if (Parts.Kind != "services" && Parts.Kind != "routes" &&
      Parts.Kind != "limits" && Parts.Kind != "revision" &&
      Parts.Kind != "accounts" && Parts.Kind != "access" &&
      Parts.Kind != RolloutsKind)
    return fail(ResultCode::ValueInvalid, std::string(Path),
                "the kind must be services, routes, accounts, access, limits, "
                "rollouts or revision");
  return Parts;
}

leaf::result<std::shared_ptr<const RouteTable>>
RouteTable::build(const SettingsMap &Settings, const RouteTable *Previous,
                  CompileOptions Options) {
  RouteTableBuilder Builder(nullptr, Previous, std::move(Options));
  for (const auto &[Path, Entry] : Settings)
    BOOST_LEAF_CHECK(Builder.put(Path, Entry.Value));
  return Builder.finish();
}

std::size_t RouteTable::shardOf(std::string_view Path) {
  return hashOf(Path) % ShardCount;
}

const RouteTable::RouteEntry *
RouteTable::findRoute(std::string_view Path) const {
  const auto &Shard = this->Shards[shardOf(Path)];
  if (!Shard)
    return nullptr;
  const auto Found = Shard->find(Path);
  return Found == Shard->end() ? nullptr : &Found->second;
}

const RouteSpec *RouteTable::match(std::string_view Job,
                                   std::string_view Path) const {
  const auto Found = this->RoutesByJob.find(Job);
  if (Found == this->RoutesByJob.end())
    return nullptr;
  const JobRoutes &Prefixes = *Found->second;
  // Text prefixes end with a slash and those of segments without one, so the
  // candidates end alternately after and before a slash of the path.
  std::string_view Candidate = Path.substr(0, Path.find('?'));
  while (!Candidate.empty()) {
    const auto Match = Prefixes.find(Candidate);
    if (Match != Prefixes.end())
      return Match->second.get();
    if (Candidate.ends_with('/'))
      Candidate.remove_suffix(1);
    else
      Candidate = Candidate.substr(0, Candidate.rfind('/') + 1);
  }
  return nullptr;
}

leaf::result<AccountSpec> parseAccount(const std::string &Path,
                                       std::string_view Value) {
  BOOST_LEAF_AUTO(Document,
                  parseValue(Path, Value, accountSchema(), Validation::Skip));
  return makeAccount(Path, Document);
}

std::string RouteTable::keyIndexOf(std::string_view Team,
                                   std::string_view Key) {
  std::string Out;
  Out.reserve(Team.size() + 1 + Key.size());
  // A team's name contains no slash.
  Out.append(Team).append("/").append(Key);
  return Out;
}

const RouteTable::AccountEntry *
RouteTable::findAccount(std::string_view Path) const {
  const auto &Shard = this->AccountShards[shardOf(Path)];
  if (!Shard)
    return nullptr;
  const auto Found = Shard->find(Path);
  return Found == Shard->end() ? nullptr : &Found->second;
}

const AccountSpec *RouteTable::accountOf(std::string_view Team,
                                         std::string_view Key) const {
  if (this->Accounts == 0 || Key.empty())
    return nullptr;
  const std::string Index = keyIndexOf(Team, Key);
  const auto &Shard = this->KeyShards[shardOf(Index)];
  if (!Shard)
    return nullptr;
  const auto Found = Shard->find(Index);
  return Found == Shard->end() ? nullptr : Found->second.get();
}

const AccountSpec *RouteTable::account(std::string_view Path) const {
  const AccountEntry *Found = this->findAccount(Path);
  return Found == nullptr ? nullptr : Found->Spec.get();
}

double RouteTable::relativeRate(std::string_view Path) const {
  const AccountSpec *Found = this->account(Path);
  if (Found == nullptr || Found->RatePerSecond <= 0 || this->RateSum <= 0)
    return 1;
  return Found->RatePerSecond * static_cast<double>(this->LimitedAccounts) /
         this->RateSum;
}

bool RouteTable::requiresKey(std::string_view Team) const {
  if (this->KeyRequiredBy.empty())
    return false;
  const std::string Prefix = std::string(Team) + "/";
  const auto Found = this->KeyRequiredBy.lower_bound(Prefix);
  return Found != this->KeyRequiredBy.end() && Found->starts_with(Prefix);
}

const ServiceSpec *RouteTable::service(std::string_view Name) const {
  const auto Found = this->ServiceEntries.find(Name);
  return Found == this->ServiceEntries.end() ? nullptr
                                             : Found->second.Spec.get();
}

const Rollout *RouteTable::rollout(std::string_view Service) const {
  const auto Found = this->Rollouts.find(Service);
  return Found == this->Rollouts.end() ? nullptr : Found->second.get();
}

RouteTableBuilder::RouteTableBuilder(std::shared_ptr<const RouteTable> TheBase,
                                     const RouteTable *ReusedTable,
                                     CompileOptions TheOptions)
    : Base(std::move(TheBase)), Reused(ReusedTable),
      Options(std::move(TheOptions)),
      Result(this->Base ? std::make_shared<RouteTable>(*this->Base)
                        : std::make_shared<RouteTable>()) {}

leaf::result<void> RouteTableBuilder::put(const std::string &Path,
                                          std::string_view Value) {
  BOOST_LEAF_AUTO(Parts, parseSettingPath(Path));
  try {
    if (Parts.Kind == "services")
      return this->putService(Path, Value);
    if (Parts.Kind == "routes")
      return this->putRoute(Path, Value);
    if (Parts.Kind == "limits")
      return this->putLimits(Path, Value);
    if (Parts.Kind == "accounts")
      return this->putAccount(Path, Value);
    if (Parts.Kind == "access")
      return this->putAccess(Path, Value);
    if (Parts.Kind == RolloutsKind) {
      BOOST_LEAF_AUTO(Item, readRollout(Path, Value));
      auto &Entry = this->Result->Rollouts[Item.Service];
      Entry = std::make_shared<const Rollout>(std::move(Item));
      return {};
    }
    if (this->Options.Mode == Validation::Required)
      BOOST_LEAF_CHECK(
          parseValue(Path, Value, revisionSchema(), this->Options.Mode));
    return {};
  } catch (const json::exception &Error) {
    // Only reached by a value that was not validated against its schema.
    return fail(ResultCode::ValueInvalid, Path, Error.what());
  }
}

leaf::result<void> RouteTableBuilder::putService(const std::string &Path,
                                                 std::string_view Value) {
  const std::uint64_t ValueHash = hashOf(Value);
  BOOST_LEAF_AUTO(Parts, parseSettingPath(Path));
  const std::string Name = serviceNameOf(Parts);
  if (this->Reused != nullptr) {
    const auto Old = this->Reused->ServiceEntries.find(Name);
    if (Old != this->Reused->ServiceEntries.end() &&
        Old->second.ValueHash == ValueHash) {
      this->Result->ServiceEntries[Name] = Old->second;
      return {};
    }
  }
  BOOST_LEAF_AUTO(Document,
                  parseValue(Path, Value, serviceSchema(), this->Options.Mode));
  this->Result->ServiceEntries[Name] = {
      ValueHash,
      std::make_shared<const ServiceSpec>(makeService(Name, Document))};
  return {};
}

PathMatch RouteTableBuilder::defaultMatch(std::string_view Path) const {
  const bool IsText =
      !this->Options.TextPrefixTeam.empty() &&
      Path.substr(0, Path.find('/')) == this->Options.TextPrefixTeam;
  return IsText ? PathMatch::Text : PathMatch::Segments;
}

leaf::result<void> RouteTableBuilder::putRoute(const std::string &Path,
                                               std::string_view Value) {
  RouteTable::RouteEntry Entry;
  Entry.ValueHash = hashOf(Value);
  const RouteTable::RouteEntry *Known =
      this->Reused == nullptr ? nullptr : this->Reused->findRoute(Path);
  if (Known != nullptr && Known->ValueHash == Entry.ValueHash) {
    Entry = *Known;
  } else {
    BOOST_LEAF_AUTO(Document,
                    parseValue(Path, Value, routeSchema(), this->Options.Mode));
    BOOST_LEAF_AUTO(Compiled,
                    makeRoute(Path, Document, this->defaultMatch(Path)));
    Entry.Spec = std::make_shared<const RouteSpec>(std::move(Compiled));
  }
  RouteTable::RouteShard &Shard = this->ownShard(Path);
  const auto Old = Shard.find(Path);
  if (Old != Shard.end() && this->Changed.count(Path) == 0)
    this->Replaced.push_back(Old->second.Spec);
  this->Changed[Path] = Entry.Spec;
  Shard[Path] = std::move(Entry);
  return {};
}

leaf::result<void> RouteTableBuilder::putAccount(const std::string &Path,
                                                 std::string_view Value) {
  RouteTable::AccountEntry Entry;
  Entry.ValueHash = hashOf(Value);
  const RouteTable::AccountEntry *Known =
      this->Reused == nullptr ? nullptr : this->Reused->findAccount(Path);
  if (Known != nullptr && Known->ValueHash == Entry.ValueHash) {
    Entry = *Known;
  } else {
    BOOST_LEAF_AUTO(
        Document, parseValue(Path, Value, accountSchema(), this->Options.Mode));
    Entry.Spec =
        std::make_shared<const AccountSpec>(makeAccount(Path, Document));
  }
  RouteTable::AccountShard &Shard = this->ownAccounts(Path);
  const auto Old = Shard.find(Path);
  if (Old != Shard.end() && this->ChangedAccounts.count(Path) == 0)
    this->ReplacedAccounts.push_back(Old->second.Spec);
  this->ChangedAccounts[Path] = Entry.Spec;
  Shard[Path] = std::move(Entry);
  return {};
}

void RouteTableBuilder::removeAccount(std::string_view Path) {
  RouteTable::AccountShard &Shard = this->ownAccounts(Path);
  const auto Old = Shard.find(Path);
  if (Old == Shard.end())
    return;
  if (this->ChangedAccounts.count(Path) == 0)
    this->ReplacedAccounts.push_back(Old->second.Spec);
  this->ChangedAccounts[std::string(Path)] = nullptr;
  Shard.erase(Old);
}

leaf::result<void> RouteTableBuilder::putAccess(const std::string &Path,
                                                std::string_view Value) {
  BOOST_LEAF_AUTO(Document,
                  parseValue(Path, Value, accessSchema(), this->Options.Mode));
  if (Document.value("keyRequired", false))
    this->Result->KeyRequiredBy.insert(Path);
  else
    this->Result->KeyRequiredBy.erase(Path);
  return {};
}

leaf::result<void> RouteTableBuilder::putLimits(const std::string &Path,
                                                std::string_view Value) {
  BOOST_LEAF_AUTO(Document,
                  parseValue(Path, Value, limitsSchema(), this->Options.Mode));
  CallerLimits Limits;
  Limits.MaxHeaderBytes =
      Document.value("maxHeaderBytes", Limits.MaxHeaderBytes);
  Limits.MaxBodyBytes = Document.value("maxBodyBytes", Limits.MaxBodyBytes);
  this->Result->LimitsByPath[Path] = Limits;
  return {};
}

leaf::result<void> RouteTableBuilder::remove(std::string_view Path) {
  BOOST_LEAF_AUTO(Parts, parseSettingPath(Path));
  if (Parts.Kind == "services") {
    this->ServiceRemoved =
        this->Result->ServiceEntries.erase(serviceNameOf(Parts)) != 0 ||
        this->ServiceRemoved;
  } else if (Parts.Kind == RolloutsKind) {
    this->Result->Rollouts.erase(serviceNameOf(Parts));
  } else if (Parts.Kind == "limits") {
    this->Result->LimitsByPath.erase(std::string(Path));
  } else if (Parts.Kind == "accounts") {
    this->removeAccount(Path);
  } else if (Parts.Kind == "access") {
    this->Result->KeyRequiredBy.erase(std::string(Path));
  } else if (Parts.Kind == "routes") {
    RouteTable::RouteShard &Shard = this->ownShard(Path);
    const auto Old = Shard.find(Path);
    if (Old == Shard.end())
      return {};
    if (this->Changed.count(Path) == 0)
      this->Replaced.push_back(Old->second.Spec);
    this->Changed[std::string(Path)] = nullptr;
    Shard.erase(Old);
  }
  return {};
}

RouteTable::RouteShard &RouteTableBuilder::ownShard(std::string_view Path) {
  return ownPart(RouteTable::shardOf(Path), this->Result->Shards,
                 this->OwnShards);
}

RouteTable::AccountShard &
RouteTableBuilder::ownAccounts(std::string_view Path) {
  return ownPart(RouteTable::shardOf(Path), this->Result->AccountShards,
                 this->OwnAccountShards);
}

RouteTable::KeyShard &RouteTableBuilder::ownKeys(std::string_view Index) {
  return ownPart(RouteTable::shardOf(Index), this->Result->KeyShards,
                 this->OwnKeyShards);
}

RouteTable::JobRoutes &RouteTableBuilder::ownJob(const std::string &Job) {
  auto &Own = this->OwnJobs[Job];
  if (!Own) {
    auto &Shared = this->Result->RoutesByJob[Job];
    Own = Shared ? std::make_shared<RouteTable::JobRoutes>(*Shared)
                 : std::make_shared<RouteTable::JobRoutes>();
    Shared = Own;
  }
  return *Own;
}

leaf::result<void> RouteTableBuilder::checkServices() const {
  const auto Check = [&](const RouteSpec &Route) -> leaf::result<void> {
    for (const SplitPart &Part : Route.Parts) {
      if (this->Result->service(Part.Service) == nullptr)
        return fail(ResultCode::ReferenceMissing, Route.Path,
                    "the service " + Part.Service + " does not exist");
    }
    return {};
  };
  for (const auto &[Path, Spec] : this->Changed) {
    if (Spec)
      BOOST_LEAF_CHECK(Check(*Spec));
  }
  if (!this->ServiceRemoved)
    return {};
  for (const auto &[Job, Routes] : this->Result->RoutesByJob) {
    for (const auto &[Prefix, Spec] : *Routes)
      BOOST_LEAF_CHECK(Check(*Spec));
  }
  return {};
}

leaf::result<void> RouteTableBuilder::indexRoutes() {
  for (const auto &Old : this->Replaced) {
    this->ownJob(Old->Job).erase(Old->PathPrefix);
    this->Result->Routes -= 1;
  }
  for (const auto &[Path, Spec] : this->Changed) {
    if (!Spec)
      continue;
    const auto [Slot, Inserted] =
        this->ownJob(Spec->Job).emplace(Spec->PathPrefix, Spec);
    if (!Inserted)
      return fail(ResultCode::MatchTaken, Path,
                  Slot->second->Path + " has the same job and path prefix");
    this->Result->Routes += 1;
  }
  for (const auto &[Job, Routes] : this->OwnJobs) {
    if (Routes->empty())
      this->Result->RoutesByJob.erase(Job);
  }
  return {};
}

leaf::result<void> RouteTableBuilder::indexAccounts() {
  for (const auto &Old : this->ReplacedAccounts) {
    for (const std::string &Key : Old->Keys) {
      const std::string Index = RouteTable::keyIndexOf(Old->team(), Key);
      this->ownKeys(Index).erase(Index);
    }
    this->Result->Accounts -= 1;
    if (Old->RatePerSecond > 0) {
      this->Result->LimitedAccounts -= 1;
      this->Result->RateSum -= Old->RatePerSecond;
    }
  }
  for (const auto &[Path, Spec] : this->ChangedAccounts) {
    if (!Spec)
      continue;
    for (const std::string &Key : Spec->Keys) {
      const std::string Index = RouteTable::keyIndexOf(Spec->team(), Key);
      const auto [Slot, Inserted] = this->ownKeys(Index).emplace(Index, Spec);
      // Keys are secret, so the error does not name the key.
      if (!Inserted)
        return fail(ResultCode::KeyTaken, Path,
                    Slot->second == Spec
                        ? "the account holds a key twice"
                        : Slot->second->Path + " holds the same key");
    }
    this->Result->Accounts += 1;
    if (Spec->RatePerSecond > 0) {
      this->Result->LimitedAccounts += 1;
      this->Result->RateSum += Spec->RatePerSecond;
    }
  }
  return {};
}

leaf::result<std::shared_ptr<const RouteTable>> RouteTableBuilder::finish() {
  BOOST_LEAF_CHECK(this->indexRoutes());
  BOOST_LEAF_CHECK(this->indexAccounts());
  BOOST_LEAF_CHECK(this->checkServices());
  this->Result->Limits = CallerLimits();
  for (const auto &[Path, Limits] : this->Result->LimitsByPath) {
    this->Result->Limits.MaxHeaderBytes =
        std::min(this->Result->Limits.MaxHeaderBytes, Limits.MaxHeaderBytes);
    this->Result->Limits.MaxBodyBytes =
        std::min(this->Result->Limits.MaxBodyBytes, Limits.MaxBodyBytes);
  }
  return std::shared_ptr<const RouteTable>(std::move(this->Result));
}

} // namespace persimmon
