#include "distribution.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t MaxHistory = 1024;
constexpr std::size_t MaxSources = 8;
constexpr std::size_t DeltaPullsPerWindow = 64;
constexpr std::size_t SnapshotPullsPerWindow = 16;
constexpr milliseconds PullWindow{200};
/// A source that is asked answers within this time or its answer is large; the
/// pull goes on as long as the connection gives signs of life.
constexpr milliseconds PullCheckInterval{800};
constexpr milliseconds BusyRetryMin{50};
constexpr milliseconds BusyRetryMax{400};

} // namespace

void Distribution::applyCommitted(const wire::Delta &Change, Effects &Out) {
  if (Change.To <= this->Version)
    return;
  SettingsMap Content = this->Settings;
  std::uint64_t Sum = this->Hash;
  carryOut(Change, Content, Sum);
  const Failure Error = settle(
      [&] {
        return this->putInForce(std::move(Content), Sum, Change.To,
                                Change.Hash);
      },
      [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=update-rejected " + describe(Error)});
    return;
  }
  this->remember(Change);
  Out.emplace_back(VersionInForce{this->Version});
}

void Distribution::adopt(const SettingsMap &Content, std::int64_t NewVersion,
                         Effects &Out) {
  if (NewVersion <= this->Version)
    return;
  const std::uint64_t Sum = hashOf(Content);
  const Failure Error = settle(
      [&] {
        return this->putInForce(Content, Sum, NewVersion,
                                static_cast<std::int64_t>(Sum));
      },
      [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=update-rejected " + describe(Error)});
    return;
  }
  this->History.clear();
  this->HistoryBaseHash = static_cast<std::int64_t>(this->Hash);
  Out.emplace_back(VersionInForce{this->Version});
}

leaf::result<void> Distribution::putInForce(SettingsMap Content,
                                            std::uint64_t Sum,
                                            std::int64_t NewVersion,
                                            std::int64_t ExpectedHash) {
  if (static_cast<std::int64_t>(Sum) != ExpectedHash)
    return fail(ResultCode::UpdateRejected, std::to_string(NewVersion),
                "the content does not have the announced hash");
  const RouteTable *Previous =
      this->Compiled ? this->Compiled.get() : this->Table.get();
  BOOST_LEAF_AUTO(Built,
                  RouteTable::build(Content, Previous, Values::Committed));
  this->Table = std::move(Built);
  this->Settings = std::move(Content);
  this->Version = NewVersion;
  this->Hash = Sum;
  this->Packed.clear();
  return {};
}

void Distribution::remember(const wire::Delta &Change) {
  this->History.push_back(Change);
  while (this->History.size() > MaxHistory) {
    this->HistoryBaseHash = this->History.front().Hash;
    this->History.pop_front();
  }
}

void Distribution::heard(std::string_view Address, std::int64_t PeerVersion,
                         Time Now, Effects &Out) {
  if (PeerVersion <= this->Version || Address.empty())
    return;
  if (PeerVersion > this->NewestHeard) {
    this->NewestHeard = PeerVersion;
    Out.emplace_back(LogDecision{
        "event=version-heard version=" + std::to_string(PeerVersion) +
        " from=" + std::string(Address) +
        " inForce=" + std::to_string(this->Version)});
  }
  const auto Known =
      std::find_if(this->Sources.begin(), this->Sources.end(),
                   [&](const Source &S) { return S.Address == Address; });
  if (Known != this->Sources.end()) {
    Known->Version = std::max(Known->Version, PeerVersion);
  } else {
    if (this->Sources.size() == MaxSources)
      this->Sources.erase(this->Sources.begin());
    this->Sources.push_back({std::string(Address), PeerVersion});
  }
  this->startPull(Now, Out);
}

void Distribution::startPull(Time Now, Effects &Out) {
  std::erase_if(this->Sources,
                [&](const Source &S) { return S.Version <= this->Version; });
  if (!this->PullFrom.empty() || Now < this->NextPull || this->Sources.empty())
    return;
  const Source &Chosen = this->Sources[this->Rng.below(this->Sources.size())];
  this->PullFrom = Chosen.Address;
  this->PullStartedAt = Now;
  this->PullCheckAt = Now + PullCheckInterval;
  Out.emplace_back(LogDecision{
      "event=pull-start from=" + this->PullFrom +
      " have=" + std::to_string(this->Version) +
      " heard=" + std::to_string(this->newestHeard()) +
      " sources=" + std::to_string(this->Sources.size())});
  wire::PullRequest Request;
  Request.HaveVersion = this->NeedsSnapshot ? 0 : this->Version;
  Request.HaveHash =
      this->NeedsSnapshot ? 0 : static_cast<std::int64_t>(this->Hash);
  Request.TakesPacked = true;
  send(Out, this->PullFrom, Request);
}

void Distribution::logPullEnd(std::string_view From, std::string_view Outcome,
                              Time Now, Effects &Out) const {
  Out.emplace_back(LogDecision{
      "event=pull-end from=" + std::string(From) +
      " outcome=" + std::string(Outcome) +
      " inForce=" + std::to_string(this->Version) +
      " heard=" + std::to_string(this->newestHeard()) + " tookMs=" +
      std::to_string(millisecondsUntil(Now, this->PullStartedAt))});
}

void Distribution::dropSource(std::string_view Address) {
  std::erase_if(this->Sources,
                [&](const Source &S) { return S.Address == Address; });
}

void Distribution::tick(Time Now, Effects &Out) {
  if (!this->PullFrom.empty() && Now >= this->PullCheckAt) {
    Out.emplace_back(RenewConnection{this->PullFrom, "pull-timeout",
                                     this->PullCheckAt - PullCheckInterval});
    this->PullCheckAt = Now + PullCheckInterval;
  }
  this->startPull(Now, Out);
}

void Distribution::streamLost(std::string_view Address, Time Now,
                              Effects &Out) {
  if (Address != this->PullFrom)
    return;
  this->logPullEnd(Address, "connection-lost", Now, Out);
  this->dropSource(Address);
  this->PullFrom.clear();
  this->PullCheckAt = NoDeadline;
  this->startPull(Now, Out);
}

bool Distribution::admitPull(bool IsSnapshot, Time Now) {
  if (Now >= this->WindowEnd) {
    this->WindowEnd = Now + PullWindow;
    this->DeltasInWindow = 0;
    this->SnapshotsInWindow = 0;
  }
  std::size_t &Served =
      IsSnapshot ? this->SnapshotsInWindow : this->DeltasInWindow;
  if (Served >= (IsSnapshot ? SnapshotPullsPerWindow : DeltaPullsPerWindow))
    return false;
  ++Served;
  return true;
}

std::deque<wire::Delta>::const_iterator
Distribution::deltasFrom(std::int64_t Have) const {
  return std::find_if(this->History.begin(), this->History.end(),
                      [&](const wire::Delta &D) { return D.From == Have; });
}

bool Distribution::hasDeltasFrom(std::int64_t Have,
                                 std::int64_t HaveHash) const {
  const auto First = this->deltasFrom(Have);
  if (First == this->History.end())
    return false;
  const std::int64_t BaseHash = First == this->History.begin()
                                    ? this->HistoryBaseHash
                                    : std::prev(First)->Hash;
  return BaseHash == HaveHash;
}

void Distribution::fillContent(std::int64_t Base,
                               wire::PullReply &Reply) const {
  if (Base > 0) {
    Reply.Deltas.assign(this->deltasFrom(Base), this->History.end());
    return;
  }
  Reply.IsSnapshot = true;
  for (const auto &[Path, Entry] : this->Settings)
    Reply.Settings.push_back(Entry);
}

void Distribution::receive(const wire::PullRequest &Request,
                           std::string_view From, Time Now, Effects &Out) {
  wire::PullReply Reply;
  Reply.Version = this->Version;
  Reply.Hash = static_cast<std::int64_t>(this->Hash);
  if (Request.HaveVersion >= this->Version) {
    send(Out, From, std::move(Reply));
    return;
  }
  // Whoever has nothing, or rejected a delta, asks for all of it.
  const bool HasDeltas =
      Request.HaveVersion > 0 &&
      this->hasDeltasFrom(Request.HaveVersion, Request.HaveHash);
  if (!this->admitPull(!HasDeltas, Now)) {
    Reply.Busy = true;
    Reply.RetryAfterMs = static_cast<std::int32_t>(
        this->Rng.between(BusyRetryMin, BusyRetryMax).count());
    send(Out, From, std::move(Reply));
    return;
  }
  const std::int64_t Base = HasDeltas ? Request.HaveVersion : 0;
  const wire::PullReply *Kept =
      Request.TakesPacked ? this->Packed.find(Base, Now) : nullptr;
  if (Kept != nullptr) {
    send(Out, From, *Kept);
    return;
  }
  this->fillContent(Base, Reply);
  if (Request.TakesPacked)
    this->Packed.pack(Base, Reply, Now);
  send(Out, From, std::move(Reply));
}

void Distribution::receive(const wire::PullReply &Reply, std::string_view From,
                           Time Now, Effects &Out) {
  if (From != this->PullFrom)
    return;
  this->PullFrom.clear();
  this->PullCheckAt = NoDeadline;
  if (Reply.Busy) {
    this->logPullEnd(From, "busy", Now, Out);
    this->dropSource(From);
    this->NextPull = Now + milliseconds(Reply.RetryAfterMs);
    return;
  }
  if (Reply.Version <= this->Version) {
    this->logPullEnd(From, "not-newer", Now, Out);
    this->dropSource(From);
    this->startPull(Now, Out);
    return;
  }
  const std::int64_t Base = Reply.IsSnapshot ? 0 : this->Version;
  const Failure Error = settle([&] { return this->applyReply(Reply); }, [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=update-rejected from=" +
                                std::string(From) + " " + describe(Error)});
    this->NeedsSnapshot = true;
    this->dropSource(From);
  } else {
    this->NeedsSnapshot = false;
    // Peers with the same base get what was pulled, without another packing.
    this->Packed.keep(Base, Reply, Now);
    Out.emplace_back(VersionInForce{this->Version});
  }
  this->logPullEnd(From, Error.failed() ? "rejected" : "in-force", Now, Out);
  this->startPull(Now, Out);
}

leaf::result<void> Distribution::applyReply(const wire::PullReply &Reply) {
  if (Reply.Packed.empty())
    return this->applyContent(Reply);
  BOOST_LEAF_AUTO(Unpacked, unpack(Reply));
  return this->applyContent(Unpacked);
}

leaf::result<void> Distribution::applyContent(const wire::PullReply &Reply) {
  return Reply.IsSnapshot ? this->applySnapshot(Reply)
                          : this->applyDeltas(Reply);
}

leaf::result<void> Distribution::applySnapshot(const wire::PullReply &Reply) {
  SettingsMap Content;
  for (const wire::Setting &Entry : Reply.Settings)
    Content[Entry.Path] = Entry;
  const std::uint64_t Sum = hashOf(Content);
  BOOST_LEAF_CHECK(
      this->putInForce(std::move(Content), Sum, Reply.Version, Reply.Hash));
  this->History.clear();
  this->HistoryBaseHash = static_cast<std::int64_t>(this->Hash);
  return {};
}

leaf::result<void> Distribution::applyDeltas(const wire::PullReply &Reply) {
  SettingsMap Content = this->Settings;
  std::uint64_t Sum = this->Hash;
  std::int64_t Reached = this->Version;
  for (const wire::Delta &Change : Reply.Deltas) {
    if (Change.From != Reached || Change.To <= Reached)
      return fail(ResultCode::UpdateRejected, std::to_string(Change.To),
                  "the deltas do not follow each other");
    carryOut(Change, Content, Sum);
    Reached = Change.To;
  }
  if (Reached != Reply.Version)
    return fail(ResultCode::UpdateRejected, std::to_string(Reply.Version),
                "the deltas end at another version");
  BOOST_LEAF_CHECK(
      this->putInForce(std::move(Content), Sum, Reply.Version, Reply.Hash));
  for (const wire::Delta &Change : Reply.Deltas)
    this->remember(Change);
  return {};
}

} // namespace persimmon
