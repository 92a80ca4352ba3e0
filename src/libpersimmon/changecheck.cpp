#include "changecheck.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t MaxSettings = 20'000;
constexpr std::size_t MaxValueBytes = 16'384;

} // namespace

ChangeCheck::ChangeCheck(const SettingsMap &TheSettings,
                         const std::shared_ptr<const RouteTable> &Table,
                         const wire::Change &TheCandidate,
                         std::string TextPrefixTeam)
    : Settings(TheSettings), Candidate(TheCandidate),
      Builder(Table, Table.get(),
              {Validation::Required, std::move(TextPrefixTeam)}),
      ResultingCount(TheSettings.size()) {}

leaf::result<void> ChangeCheck::checkEdit(const wire::PathEdit &Edit) {
  BOOST_LEAF_AUTO(Parts, parseSettingPath(Edit.Path));
  if (Parts.Team != this->Candidate.Team)
    return fail(ResultCode::OutsideSubtree, Edit.Path);
  if (!this->Seen.insert(Edit.Path).second)
    return fail(ResultCode::ValueInvalid, Edit.Path,
                "the path occurs twice in the change");
  if (Edit.Value.size() > MaxValueBytes)
    return fail(ResultCode::LimitExceeded, Edit.Path, "value too large");
  const auto Found = this->Settings.find(Edit.Path);
  const std::int64_t Current =
      Found == this->Settings.end() ? 0 : Found->second.Version;
  if (Current != Edit.ExpectedVersion)
    return fail(ResultCode::Conflict, Edit.Path,
                "the current version is " + std::to_string(Current) +
                    ", the change expects " +
                    std::to_string(Edit.ExpectedVersion));
  if (Edit.Remove && Current == 0)
    return fail(ResultCode::PathUnknown, Edit.Path);
  if (!Edit.Remove && Current == 0)
    this->ResultingCount += 1;
  if (Edit.Remove) {
    this->ResultingCount -= 1;
    return this->Builder.remove(Edit.Path);
  }
  return this->Builder.put(Edit.Path, Edit.Value);
}

leaf::result<void> ChangeCheck::checkNext(std::size_t MaxEdits) {
  const std::size_t End =
      std::min(this->Candidate.Edits.size(), this->NextEdit + MaxEdits);
  for (; this->NextEdit < End; ++this->NextEdit)
    BOOST_LEAF_CHECK(this->checkEdit(this->Candidate.Edits[this->NextEdit]));
  return {};
}

leaf::result<void> ChangeCheck::finish() {
  if (this->ResultingCount > MaxSettings)
    return fail(ResultCode::LimitExceeded, this->Candidate.ChangeId,
                "too many settings");
  BOOST_LEAF_ASSIGN(this->CheckedTable, this->Builder.finish());
  return {};
}

std::optional<Failure> ChangeCheck::advance(std::size_t MaxEdits) {
  Failure Refusal =
      handleResult([&] { return this->checkNext(MaxEdits); }, [] {});
  if (Refusal.failed())
    return Refusal;
  if (this->NextEdit < this->Candidate.Edits.size())
    return std::nullopt;
  return handleResult([&] { return this->finish(); }, [] {});
}

} // namespace persimmon
