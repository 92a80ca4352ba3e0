#include "routetable.h"

#include "schemas.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace persimmon {

namespace {

using nlohmann::json;

bool validName(std::string_view Name) {
  constexpr std::size_t MaxNameBytes = 64;
  if (Name.empty() || Name.size() > MaxNameBytes)
    return false;
  return std::all_of(Name.begin(), Name.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
  });
}

leaf::result<json> parseValue(const wire::Setting &Entry,
                              std::string_view Schema) {
  json Document = json::parse(Entry.Value, nullptr, false);
  if (Document.is_discarded())
    return fail(ResultCode::ValueInvalid, Entry.Path, "not valid JSON");
  BOOST_LEAF_CHECK(checkAgainstSchema(Document, Schema, Entry.Path,
                                      ResultCode::ValueInvalid));
  return Document;
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
  return Spec;
}

RouteSpec makeRoute(std::string Path, const json &Value) {
  RouteSpec Spec;
  Spec.Path = std::move(Path);
  Spec.Job = Value.at("job").get<std::string>();
  Spec.Service = Value.at("service").get<std::string>();
  Spec.PathPrefix = Value.value("pathPrefix", Spec.PathPrefix);
  while (Spec.PathPrefix.size() > 1 && Spec.PathPrefix.back() == '/')
    Spec.PathPrefix.pop_back();
  const std::string Repeat = Value.value("repeatable", "by-method");
  if (Repeat == "always")
    Spec.Repeat = Repeatable::Always;
  if (Repeat == "never")
    Spec.Repeat = Repeatable::Never;
  Spec.CallTimeout = milliseconds(Value.value("deadlineMs", 0));
  Spec.Priority = Value.value("priority", Spec.Priority);
  return Spec;
}

/// Prefixes match whole path segments: /a matches /a and /a/b, not /ab.
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
                "a path has the form TEAM/services/NAME or TEAM/routes/NAME");
  SettingPath Parts;
  Parts.Team = Path.substr(0, First);
  Parts.Kind = Path.substr(First + 1, Second - First - 1);
  Parts.Name = Path.substr(Second + 1);
  if (!validName(Parts.Team) || !validName(Parts.Name))
    return fail(ResultCode::ValueInvalid, std::string(Path),
                "names hold a-z, 0-9 and -, at most 64 characters");
  if (Parts.Kind != "services" && Parts.Kind != "routes")
    return fail(ResultCode::ValueInvalid, std::string(Path),
                "the kind must be services or routes");
  return Parts;
}

leaf::result<std::shared_ptr<const RouteTable>>
RouteTable::build(const SettingsMap &Settings, const RouteTable *Previous) {
  auto Table = std::make_shared<RouteTable>();
  for (const auto &[Path, Entry] : Settings) {
    BOOST_LEAF_AUTO(Parts, parseSettingPath(Path));
    if (Parts.Kind == "services")
      BOOST_LEAF_CHECK(Table->addService(Entry, Previous));
    else
      BOOST_LEAF_CHECK(Table->addRoute(Entry, Previous));
  }
  BOOST_LEAF_CHECK(Table->indexRoutes());
  return std::shared_ptr<const RouteTable>(std::move(Table));
}

leaf::result<void> RouteTable::addService(const wire::Setting &Entry,
                                          const RouteTable *Previous) {
  BOOST_LEAF_AUTO(Parts, parseSettingPath(Entry.Path));
  std::string Name = std::string(Parts.Team) + "/" + std::string(Parts.Name);
  if (Previous != nullptr) {
    const auto Old = Previous->ServiceEntries.find(Name);
    if (Old != Previous->ServiceEntries.end() &&
        Old->second.Version == Entry.Version) {
      this->ServiceEntries.emplace(std::move(Name), Old->second);
      return {};
    }
  }
  BOOST_LEAF_AUTO(Value, parseValue(Entry, serviceSchema()));
  auto Spec = std::make_shared<const ServiceSpec>(makeService(Name, Value));
  this->ServiceEntries.emplace(std::move(Name),
                               ServiceEntry{Entry.Version, std::move(Spec)});
  return {};
}

leaf::result<void> RouteTable::addRoute(const wire::Setting &Entry,
                                        const RouteTable *Previous) {
  if (Previous != nullptr) {
    const auto Old = Previous->RouteEntries.find(Entry.Path);
    if (Old != Previous->RouteEntries.end() &&
        Old->second.Version == Entry.Version) {
      this->RouteEntries.emplace(Entry.Path, Old->second);
      return {};
    }
  }
  BOOST_LEAF_AUTO(Value, parseValue(Entry, routeSchema()));
  auto Spec = std::make_shared<const RouteSpec>(makeRoute(Entry.Path, Value));
  this->RouteEntries.emplace(Entry.Path,
                             RouteEntry{Entry.Version, std::move(Spec)});
  return {};
}

leaf::result<void> RouteTable::indexRoutes() {
  for (const auto &[Path, Entry] : this->RouteEntries) {
    const RouteSpec &Route = *Entry.Spec;
    if (this->service(Route.Service) == nullptr)
      return fail(ResultCode::ReferenceMissing, Path,
                  "the service " + Route.Service + " does not exist");
    auto &Routes = this->ByJob[Route.Job];
    for (const auto &Other : Routes) {
      if (Other->PathPrefix == Route.PathPrefix)
        return fail(ResultCode::MatchTaken, Path,
                    Other->Path + " has the same job and path prefix");
    }
    Routes.push_back(Entry.Spec);
  }
  for (auto &[Job, Routes] : this->ByJob) {
    std::sort(Routes.begin(), Routes.end(),
              [](const auto &Left, const auto &Right) {
                return Left->PathPrefix.size() > Right->PathPrefix.size();
              });
  }
  return {};
}

const RouteSpec *RouteTable::match(std::string_view Job,
                                   std::string_view Path) const {
  const auto Found = this->ByJob.find(Job);
  if (Found == this->ByJob.end())
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
