#include "fakecluster.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr milliseconds ChangeRetry{400};
constexpr std::string_view Token = "token-of-team";

} // namespace

std::string FakeCluster::change(const std::string &Path,
                                const std::string &Value,
                                std::int64_t Expected) {
  wire::PathEdit Edit;
  Edit.Path = Path;
  Edit.Value = Value;
  Edit.ExpectedVersion = Expected;
  return this->submitChange({std::move(Edit)});
}

std::string FakeCluster::changeRoutes(int Count) {
  std::vector<wire::PathEdit> Edits(static_cast<std::size_t>(Count) + 1);
  Edits[0].Path = "team/services/many";
  Edits[0].Value = "{}";
  for (int I = 1; I <= Count; ++I) {
    wire::PathEdit &Edit = Edits[static_cast<std::size_t>(I)];
    Edit.Path = "team/routes/many-" + std::to_string(I);
    Edit.Value = R"({"job":"many","service":"team/many","pathPrefix":"/p)" +
                 std::to_string(I) + "\"}";
  }
  return this->submitChange(std::move(Edits));
}

std::string FakeCluster::submitChange(std::vector<wire::PathEdit> Edits) {
  SubmittedChange Submitted;
  Submitted.TheChange.ChangeId =
      "change-" + std::to_string(this->SubmittedChanges.size());
  const std::string &Path = Edits.front().Path;
  Submitted.TheChange.Team = Path.substr(0, Path.find('/'));
  Submitted.TheChange.BasedOn = this->NewestAccepted;
  Submitted.TheChange.Edits = std::move(Edits);
  std::string Id = Submitted.TheChange.ChangeId;
  Submitted.NextTry = this->Now;
  this->SubmittedChanges.emplace(Id, std::move(Submitted));
  this->resendChanges();
  return Id;
}

void FakeCluster::resendChanges() {
  for (auto &[Id, Submitted] : this->SubmittedChanges) {
    if (Submitted.Version || this->Now < Submitted.NextTry)
      continue;
    Submitted.NextTry = this->Now + ChangeRetry;
    std::vector<std::string> Controls;
    for (const auto &[Name, Item] : this->Instances) {
      if (Item.Control && Item.Daemon != nullptr &&
          this->Now >= Item.FrozenUntil && !this->isPartitioned(Item))
        Controls.push_back(Name);
    }
    // All resends share one request id, so that an answer to any of them is
    // matched.
    if (Submitted.RequestId == 0)
      Submitted.RequestId = ++this->LastRequest;
    for (const std::string &Name : Controls) {
      Instance &Item = this->Instances.at(Name);
      if (Item.Daemon != nullptr)
        this->submit(Item,
                     ChangeRequested{Submitted.RequestId, Submitted.TheChange,
                                     std::string(Token)});
    }
  }
}

std::string FakeCluster::call(const std::string &Entry, bool OnceOnly,
                              const std::string &Key, std::int64_t BodyBytes) {
  CallArrived Call;
  Call.Job = OnceOnly ? "job-once" : "job";
  Call.Method = OnceOnly ? "POST" : "GET";
  Call.BodySize = BodyBytes;
  Call.IdempotencyKey = Key;
  return this->submitCall(Entry, std::move(Call));
}

std::string FakeCluster::callWithKey(const std::string &Entry,
                                     const std::string &AccountKey) {
  CallArrived Call;
  Call.Job = "job";
  Call.Method = "GET";
  Call.AccountKey = AccountKey;
  return this->submitCall(Entry, std::move(Call));
}

std::string FakeCluster::submitCall(const std::string &Entry,
                                    CallArrived Call) {
  Instance &Item = this->Instances.at(Entry);
  Call.CallNumber = ++this->LastCall;
  Call.CallId = "call-" + std::to_string(this->LastCall);
  Call.Url = "/work";
  Call.Deadline = this->Now - Item.ClockLag + milliseconds(8000);
  CallRecord &Record = this->Calls[Call.CallId];
  Record.Entry = Entry;
  Record.OnceOnly = Call.Method == "POST";
  Item.CallIds[Call.CallNumber] = Call.CallId;
  std::string Id = Call.CallId;
  // A suspended machine reads the request when it goes on.
  if (Item.UntoldLag.count() > 0 && this->Now < Item.FrozenUntil)
    this->scheduleDelivery(
        Item.FrozenUntil,
        {Entry, Item.LastIncarnation, std::move(Call), 0, {}});
  else
    this->submit(Item, std::move(Call));
  return Id;
}

std::optional<std::int64_t>
FakeCluster::acceptedVersion(const std::string &ChangeId) const {
  return this->SubmittedChanges.at(ChangeId).Version;
}

} // namespace persimmon
