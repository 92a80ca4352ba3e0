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

leaf::result<json> parseValue(const wire::Setting &Entry,
                              std::string_view Schema, Validation Mode) {
  json Document = json::parse(Entry.Value, nullptr, false);
  if (Document.is_discarded())
    return fail(ResultCode::ValueInvalid, Entry.Path, "not valid JSON");
  if (Mode == Validation::Required)
    BOOST_LEAF_CHECK(checkAgainstSchema(Document, Schema, Entry.Path,
                                        ResultCode::ValueInvalid));
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

leaf::result<RouteSpec> makeRoute(std::string Path, const json &Value) {
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
  Spec.PathPrefix = Value.value("pathPrefix", Spec.PathPrefix);
  if (!isValidJob(Spec.Job) || !Spec.PathPrefix.starts_with('/'))
    return fail(ResultCode::ValueInvalid, Spec.Path,
                "a job may contain only a-z, 0-9, '-', '_' and '.'; a path "
                "prefix must start with '/'");
  while (Spec.PathPrefix.size() > 1 && Spec.PathPrefix.back() == '/')
    Spec.PathPrefix.pop_back();
  const std::string Repeat = Value.value("repeatable", "by-method");
  if (Repeat == "always")
    Spec.Repeat = Repeatable::Always;
  if (Repeat == "never")
    Spec.Repeat = Repeatable::Never;
  Spec.CallTimeout = milliseconds(Value.value("deadlineMs", 0));
  Spec.TargetLatency = milliseconds(Value.value("targetLatencyMs", 0));
  Spec.MaxAttempts = Value.value("maxAttempts", Spec.MaxAttempts);
  Spec.Priority = Value.value("priority", Spec.Priority);
  return Spec;
}

/// Matches whole path segments: /a matches /a, /a/b and /a?b, not /ab.
bool matchesPrefix(std::string_view Prefix, std::string_view Path) {
  if (Prefix == "/")
    return true;
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Path[Prefix.size()] == '/' ||
         Path[Prefix.size()] == '?';
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
      Parts.Kind != "limits" && Parts.Kind != "revision")
    return fail(ResultCode::ValueInvalid, std::string(Path),
                "the kind must be services, routes, limits or revision");
  return Parts;
}

leaf::result<std::shared_ptr<const RouteTable>>
RouteTable::build(const SettingsMap &Settings, const RouteTable *Previous,
                  Validation Mode) {
  auto Table = std::make_shared<RouteTable>();
  for (const auto &[Path, Entry] : Settings)
    BOOST_LEAF_CHECK(Table->add(Entry, Previous, Mode));
  BOOST_LEAF_CHECK(Table->indexRoutes());
  return std::shared_ptr<const RouteTable>(std::move(Table));
}

leaf::result<void> RouteTable::add(const wire::Setting &Entry,
                                   const RouteTable *Previous,
                                   Validation Mode) {
  BOOST_LEAF_AUTO(Parts, parseSettingPath(Entry.Path));
  try {
    if (Parts.Kind == "services")
      return this->addService(Entry, Previous, Mode);
    if (Parts.Kind == "routes")
      return this->addRoute(Entry, Previous, Mode);
    if (Parts.Kind == "limits")
      return this->addLimits(Entry, Mode);
    BOOST_LEAF_CHECK(parseValue(Entry, revisionSchema(), Mode));
    return {};
  } catch (const json::exception &Error) {
    // Only reached by a value that was not validated against its schema.
    return fail(ResultCode::ValueInvalid, Entry.Path, Error.what());
  }
}

leaf::result<void> RouteTable::addService(const wire::Setting &Entry,
                                          const RouteTable *Previous,
                                          Validation Mode) {
  const std::uint64_t ValueHash = hashOf(std::string_view(Entry.Value));
  BOOST_LEAF_AUTO(Parts, parseSettingPath(Entry.Path));
  std::string Name = std::string(Parts.Team) + "/" + std::string(Parts.Name);
  if (Previous != nullptr) {
    const auto Old = Previous->ServiceEntries.find(Name);
    if (Old != Previous->ServiceEntries.end() &&
        Old->second.ValueHash == ValueHash) {
      this->ServiceEntries.emplace(std::move(Name), Old->second);
      return {};
    }
  }
  BOOST_LEAF_AUTO(Value, parseValue(Entry, serviceSchema(), Mode));
  auto Spec = std::make_shared<const ServiceSpec>(makeService(Name, Value));
  this->ServiceEntries.emplace(std::move(Name),
                               ServiceEntry{ValueHash, std::move(Spec)});
  return {};
}

leaf::result<void> RouteTable::addRoute(const wire::Setting &Entry,
                                        const RouteTable *Previous,
                                        Validation Mode) {
  const std::uint64_t ValueHash = hashOf(std::string_view(Entry.Value));
  if (Previous != nullptr) {
    const auto Old = Previous->RouteEntries.find(Entry.Path);
    if (Old != Previous->RouteEntries.end() &&
        Old->second.ValueHash == ValueHash) {
      this->RouteEntries.emplace(Entry.Path, Old->second);
      return {};
    }
  }
  BOOST_LEAF_AUTO(Value, parseValue(Entry, routeSchema(), Mode));
  BOOST_LEAF_AUTO(NewRoute, makeRoute(Entry.Path, Value));
  auto Spec = std::make_shared<const RouteSpec>(std::move(NewRoute));
  this->RouteEntries.emplace(Entry.Path,
                             RouteEntry{ValueHash, std::move(Spec)});
  return {};
}

leaf::result<void> RouteTable::addLimits(const wire::Setting &Entry,
                                         Validation Mode) {
  BOOST_LEAF_AUTO(Value, parseValue(Entry, limitsSchema(), Mode));
  this->Limits.MaxHeaderBytes =
      std::min(this->Limits.MaxHeaderBytes,
               Value.value("maxHeaderBytes", this->Limits.MaxHeaderBytes));
  this->Limits.MaxBodyBytes =
      std::min(this->Limits.MaxBodyBytes,
               Value.value("maxBodyBytes", this->Limits.MaxBodyBytes));
  return {};
}

leaf::result<void> RouteTable::indexRoutes() {
  for (const auto &[Path, Entry] : this->RouteEntries) {
    const RouteSpec &Route = *Entry.Spec;
    for (const SplitPart &Part : Route.Parts) {
      if (this->service(Part.Service) == nullptr)
        return fail(ResultCode::ReferenceMissing, Path,
                    "the service " + Part.Service + " does not exist");
    }
    auto &Routes = this->RoutesByJob[Route.Job];
    for (const auto &Other : Routes) {
      if (Other->PathPrefix == Route.PathPrefix)
        return fail(ResultCode::MatchTaken, Path,
                    Other->Path + " has the same job and path prefix");
    }
    Routes.push_back(Entry.Spec);
  }
  for (auto &[Job, Routes] : this->RoutesByJob) {
    std::sort(Routes.begin(), Routes.end(),
              [](const auto &Left, const auto &Right) {
                return Left->PathPrefix.size() > Right->PathPrefix.size();
              });
  }
  return {};
}

const RouteSpec *RouteTable::match(std::string_view Job,
                                   std::string_view Path) const {
  const auto Found = this->RoutesByJob.find(Job);
  if (Found == this->RoutesByJob.end())
    return nullptr;
  for (const auto &Route : Found->second) {
    if (matchesPrefix(Route->PathPrefix, Path))
      return Route.get();
  }
  return nullptr;
}

const ServiceSpec *RouteTable::service(std::string_view Name) const {
  const auto Found = this->ServiceEntries.find(Name);
  return Found == this->ServiceEntries.end() ? nullptr
                                             : Found->second.Spec.get();
}

} // namespace persimmon
