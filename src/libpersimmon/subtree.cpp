#include "subtree.h"

#include <nlohmann/json.hpp>

namespace persimmon {

namespace {

using nlohmann::json;

wire::PathEdit makeEdit(const std::string &Path, const wire::Setting *Current) {
  wire::PathEdit Edit;
  Edit.Path = Path;
  Edit.ExpectedVersion = Current == nullptr ? 0 : Current->Version;
  return Edit;
}

} // namespace

std::string revisionPath(std::string_view Team) {
  return std::string(Team) + "/revision/current";
}

Revision revisionOf(const SettingsMap &Settings, std::string_view Team) {
  const auto Found = Settings.find(revisionPath(Team));
  if (Found == Settings.end())
    return {};
  // The record was validated against its schema before it was committed.
  const json Value = json::parse(Found->second.Value, nullptr, false);
  return {Value.value("number", std::int64_t{0}), Value.value("digest", "")};
}

leaf::result<wire::Change> replaceSubtree(const SettingsMap &Current,
                                          const SubtreeDocument &Wanted) {
  const std::string RecordPath = revisionPath(Wanted.Team);
  const Revision CurrentRevision = revisionOf(Current, Wanted.Team);
  if (Wanted.BasedOn != CurrentRevision.Number)
    return fail(
        ResultCode::Conflict, RecordPath,
        "the current revision is " + std::to_string(CurrentRevision.Number) +
            ", the document is based on " + std::to_string(Wanted.BasedOn));
  if (Wanted.Number <= CurrentRevision.Number)
    return fail(ResultCode::ValueInvalid, RecordPath,
                "the revision number must be above " +
                    std::to_string(CurrentRevision.Number));
  wire::Change Out;
  Out.ChangeId = Wanted.Digest;
  Out.Team = Wanted.Team;
  const auto AddPut = [&](const std::string &Path, const std::string &Value) {
    const auto Found = Current.find(Path);
    if (Found != Current.end() && Found->second.Value == Value)
      return;
    wire::PathEdit Edit =
        makeEdit(Path, Found == Current.end() ? nullptr : &Found->second);
    Edit.Value = Value;
    Out.Edits.push_back(std::move(Edit));
  };
  for (const auto &[Path, Value] : Wanted.Values)
    AddPut(Path, Value);
  AddPut(RecordPath,
         json{{"number", Wanted.Number}, {"digest", Wanted.Digest}}.dump());
  const std::string Prefix = Wanted.Team + "/";
  for (auto Item = Current.lower_bound(Prefix);
       Item != Current.end() && Item->first.starts_with(Prefix); ++Item) {
    if (Item->first == RecordPath || Wanted.Values.count(Item->first) != 0)
      continue;
    // Roll-outs are ordered apart from the document. That of a service lasts as
    // long as the service.
    std::string ServicePath = Wanted.Team;
    ServicePath += "/services";
    ServicePath += Item->first.substr(Item->first.rfind('/'));
    if (isRolloutPath(Item->first) && Wanted.Values.count(ServicePath) != 0)
      continue;
    wire::PathEdit Edit = makeEdit(Item->first, &Item->second);
    Edit.Remove = true;
    Out.Edits.push_back(std::move(Edit));
  }
  return Out;
}

} // namespace persimmon
