#include "distribution.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t MaxHistory = 1024;
constexpr std::size_t MaxSources = 8;
constexpr std::size_t DeltaPullsPerWindow = 64;
constexpr std::size_t SnapshotPullsPerWindow = 16;
constexpr milliseconds PullWindow{200};
/// A source normally answers within this time unless its reply is large. The
/// connection is then checked, and the pull continues while the connection
/// shows activity.
constexpr milliseconds PullCheckInterval{800};
/// Interval between datagram requests, each to a random source. It covers many
/// round trips between availability zones, so a missing reply means that a
/// datagram was lost or that the source has nothing newer.
constexpr milliseconds DatagramPullInterval{150};
/// Unanswered datagram requests after which a stream is used as well.
constexpr int DatagramPullsBeforeStream = 2;
/// Content that fits into one unfragmented datagram on Ethernet, after the IP
/// and UDP headers and the other fields of the reply.
constexpr std::size_t DatagramContentBytes = 1350;
/// Deltas of routes compress to a fourth of their size or less.
constexpr std::size_t ExpectedPackingRatio = 4;
/// A change must be in force everywhere within 2 s of its acknowledgement. Its
/// announcement takes a few tenths of a second to arrive, so a superseded
/// version is served only for the remaining time.
constexpr milliseconds SupersededServeLimit{1500};
/// Further versions are not recorded; the oldest entry sets the deadline.
constexpr std::size_t MaxPending = 64;
/// Deltas below this size are sent as they are. Sending them costs little.
constexpr std::size_t MinSnapshotBytes = 64u << 10;
/// Deltas that take more memory do not fit into a datagram, even if they are
/// packed.
constexpr std::size_t DatagramMemoryBytes =
    4 * DatagramContentBytes * ExpectedPackingRatio;
constexpr milliseconds BusyRetryMin{50};
constexpr milliseconds BusyRetryMax{400};

} // namespace

void Distribution::applyCommitted(const wire::Delta &Change, Effects &Out) {
  if (Change.To <= this->Version)
    return;
  const wire::Delta *const Changes[] = {&Change};
  const Failure Error = handleResult(
      [&] { return this->putChangesInForce(Changes, Change.To, Change.Hash); },
      [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=update-rejected " + describe(Error)});
    return;
  }
  this->appendHistory(Change);
  Out.emplace_back(VersionInForce{this->Version});
}

void Distribution::replaceContent(const SettingsMap &Content,
                                  std::int64_t NewVersion, Effects &Out) {
  if (NewVersion <= this->Version)
    return;
  const Failure Error = handleResult(
      [&] {
        return this->putInForce(Content, NewVersion,
                                static_cast<std::int64_t>(hashOf(Content)));
      },
      [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=update-rejected " + describe(Error)});
    return;
  }
  this->restartHistory();
  Out.emplace_back(VersionInForce{this->Version});
}

leaf::result<void> Distribution::putInForce(SettingsMap Content,
                                            std::int64_t NewVersion,
                                            std::int64_t ExpectedHash) {
  const std::uint64_t ContentHash = hashOf(Content);
  if (static_cast<std::int64_t>(ContentHash) != ExpectedHash)
    return fail(ResultCode::UpdateRejected, std::to_string(NewVersion),
                "the content does not match the announced hash");
  if (this->Use == TableUse::RoutesCalls) {
    BOOST_LEAF_ASSIGN(this->Table, RouteTable::build(Content, this->Table.get(),
                                                     this->Compilation));
  }
  this->Settings = std::move(Content);
  this->Hash = ContentHash;
  this->versionReplaced(NewVersion);
  return {};
}

std::uint64_t
Distribution::hashAfter(std::span<const wire::Delta *const> Changes) const {
  std::uint64_t Out = this->Hash;
  // Hashes of the settings that an earlier change has already replaced.
  std::map<std::string_view, std::uint64_t> Replaced;
  const auto Replace = [&](const std::string &Path, std::uint64_t NewHash) {
    const auto [Slot, First] = Replaced.emplace(Path, 0);
    if (First) {
      const auto Current = this->Settings.find(Path);
      if (Current != this->Settings.end())
        Slot->second = hashOf(Current->second);
    }
    Out += NewHash - Slot->second;
    Slot->second = NewHash;
  };
  for (const wire::Delta *Change : Changes) {
    for (const wire::Setting &Entry : Change->Puts)
      Replace(Entry.Path, hashOf(Entry));
    for (const std::string &Path : Change->Removed)
      Replace(Path, 0);
  }
  return Out;
}

leaf::result<void>
Distribution::compileChanges(std::span<const wire::Delta *const> Changes) {
  RouteTableBuilder Builder(this->Table, this->Table.get(), this->Compilation);
  for (const wire::Delta *Change : Changes) {
    for (const wire::Setting &Entry : Change->Puts)
      BOOST_LEAF_CHECK(Builder.put(Entry.Path, Entry.Value));
    for (const std::string &Path : Change->Removed)
      BOOST_LEAF_CHECK(Builder.remove(Path));
  }
  BOOST_LEAF_ASSIGN(this->Table, Builder.finish());
  return {};
}

leaf::result<void>
Distribution::putChangesInForce(std::span<const wire::Delta *const> Changes,
                                std::int64_t NewVersion,
                                std::int64_t ExpectedHash) {
  if (static_cast<std::int64_t>(this->hashAfter(Changes)) != ExpectedHash)
    return fail(ResultCode::UpdateRejected, std::to_string(NewVersion),
                "the content does not match the announced hash");
  if (this->Use == TableUse::RoutesCalls)
    BOOST_LEAF_CHECK(this->compileChanges(Changes));
  for (const wire::Delta *Change : Changes)
    applyDelta(*Change, this->Settings, this->Hash);
  this->versionReplaced(NewVersion);
  return {};
}

void Distribution::versionReplaced(std::int64_t NewVersion) {
  this->Version = NewVersion;
  this->ReplyCache.clear();
  while (!this->Pending.empty() &&
         this->Pending.front().Version <= this->Version)
    this->Pending.pop_front();
  this->DatagramPulls = 0;
}

void Distribution::appendHistory(const wire::Delta &Change) {
  this->History.push_back(Change);
  this->HistoryBytes += memoryOf(Change);
  while (this->History.size() > MaxHistory ||
         (this->HistoryBytes > this->MaxHistoryBytes &&
          this->History.size() > 1)) {
    this->HistoryBaseHash = this->History.front().Hash;
    this->HistoryBytes -= memoryOf(this->History.front());
    this->History.pop_front();
  }
}

void Distribution::restartHistory() {
  this->History.clear();
  this->HistoryBytes = 0;
  this->HistoryBaseHash = static_cast<std::int64_t>(this->Hash);
}

std::size_t Distribution::deltaBytesFrom(std::int64_t Have) const {
  std::size_t Sum = 0;
  for (auto Change = this->deltasFrom(Have); Change != this->History.end();
       ++Change)
    Sum += memoryOf(*Change);
  return Sum;
}

bool Distribution::exceedContent(std::int64_t Have) const {
  const std::size_t DeltaBytes = this->deltaBytesFrom(Have);
  if (DeltaBytes < MinSnapshotBytes)
    return false;
  std::size_t ContentBytes = 0;
  for (const auto &[Path, Entry] : this->Settings) {
    ContentBytes += memoryOf(Entry);
    if (ContentBytes >= DeltaBytes)
      return false;
  }
  return true;
}

bool Distribution::mayServe(Time Now) const {
  return this->Pending.empty() ||
         (Now < this->Pending.front().ServeUntil &&
          Now < this->CurrentAt + UnconfirmedServeLimit);
}

void Distribution::age(milliseconds By) {
  this->CurrentAt -= By;
  for (PendingVersion &Item : this->Pending)
    Item.ServeUntil -= By;
}

void Distribution::noteCommittedVersion(std::int64_t NewerVersion, Time Now) {
  const std::int64_t Last =
      this->Pending.empty() ? this->Version : this->Pending.back().Version;
  // A daemon without a version serves no calls, so no deadline applies.
  if (this->Version == 0 || NewerVersion <= Last ||
      this->Pending.size() == MaxPending)
    return;
  this->Pending.push_back({NewerVersion, Now + SupersededServeLimit});
}

void Distribution::notePeerVersion(std::string_view Address,
                                   std::int64_t PeerVersion, Time Now,
                                   Effects &Out) {
  if (PeerVersion <= this->Version || Address.empty())
    return;
  this->noteCommittedVersion(PeerVersion, Now);
  if (PeerVersion > this->NewestPeerVersion) {
    this->NewestPeerVersion = PeerVersion;
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
  this->sendDatagramPull(Now, Out);
  this->startStreamPull(Now, Out);
}

const Distribution::Source *Distribution::pickSource() {
  std::erase_if(this->Sources,
                [&](const Source &S) { return S.Version <= this->Version; });
  if (this->Sources.empty())
    return nullptr;
  return &this->Sources[this->Rng.below(this->Sources.size())];
}

wire::PullRequest Distribution::request() const {
  wire::PullRequest Out;
  Out.HaveVersion = this->NeedsSnapshot ? 0 : this->Version;
  Out.HaveHash =
      this->NeedsSnapshot ? 0 : static_cast<std::int64_t>(this->Hash);
  Out.TakesPacked = true;
  return Out;
}

void Distribution::sendDatagramPull(Time Now, Effects &Out) {
  // A snapshot rarely fits into a datagram.
  if (Now < this->NextDatagramPull || this->Version == 0 || this->NeedsSnapshot)
    return;
  const Source *Chosen = this->pickSource();
  if (Chosen == nullptr)
    return;
  if (this->DatagramPulls == 0 && this->PullSource.empty())
    this->PullStartedAt = Now;
  this->NextDatagramPull = Now + DatagramPullInterval;
  this->DatagramPulls += 1;
  Out.emplace_back(
      LogDecision{"event=pull-ask to=" + Chosen->Address +
                  " have=" + std::to_string(this->Version) +
                  " heard=" + std::to_string(this->newestKnownVersion()) +
                  " try=" + std::to_string(this->DatagramPulls)});
  wire::PullRequest Request = this->request();
  Request.AsDatagram = true;
  send(Out, Chosen->Address, Request, Channel::Datagram);
}

void Distribution::startStreamPull(Time Now, Effects &Out) {
  const bool TryDatagrams = this->Version > 0 && !this->NeedsSnapshot &&
                            this->DatagramPulls <= DatagramPullsBeforeStream;
  if (!this->PullSource.empty() || TryDatagrams || Now < this->NextPull)
    return;
  const Source *Chosen = this->pickSource();
  if (Chosen == nullptr)
    return;
  if (this->DatagramPulls == 0)
    this->PullStartedAt = Now;
  this->PullSource = Chosen->Address;
  this->PullCheckAt = Now + PullCheckInterval;
  Out.emplace_back(
      LogDecision{"event=pull-start from=" + this->PullSource +
                  " have=" + std::to_string(this->Version) +
                  " heard=" + std::to_string(this->newestKnownVersion()) +
                  " sources=" + std::to_string(this->Sources.size())});
  send(Out, this->PullSource, this->request());
}

void Distribution::logPullEnd(std::string_view From, std::string_view Outcome,
                              Time Now, Effects &Out) const {
  Out.emplace_back(LogDecision{
      "event=pull-end from=" + std::string(From) + " outcome=" +
      std::string(Outcome) + " inForce=" + std::to_string(this->Version) +
      " heard=" + std::to_string(this->newestKnownVersion()) + " tookMs=" +
      std::to_string(millisecondsUntil(Now, this->PullStartedAt))});
}

void Distribution::dropSource(std::string_view Address) {
  std::erase_if(this->Sources,
                [&](const Source &S) { return S.Address == Address; });
}

void Distribution::tick(Time Now, Effects &Out) {
  if (!this->PullSource.empty() && Now >= this->PullCheckAt) {
    Out.emplace_back(RenewConnection{this->PullSource, "pull-timeout",
                                     this->PullCheckAt - PullCheckInterval});
    this->PullCheckAt = Now + PullCheckInterval;
  }
  this->sendDatagramPull(Now, Out);
  this->startStreamPull(Now, Out);
}

void Distribution::streamLost(std::string_view Address, Time Now,
                              Effects &Out) {
  if (Address != this->PullSource)
    return;
  this->logPullEnd(Address, "connection-lost", Now, Out);
  this->dropSource(Address);
  this->PullSource.clear();
  this->PullCheckAt = NoDeadline;
  this->startStreamPull(Now, Out);
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
  if (Request.AsDatagram)
    return this->serveDatagram(Request, From, Out);
  wire::PullReply Reply;
  Reply.Version = this->Version;
  Reply.Hash = static_cast<std::int64_t>(this->Hash);
  if (Request.HaveVersion >= this->Version) {
    send(Out, From, std::move(Reply));
    return;
  }
  // A peer without a version, or one that rejected a delta, requests a snapshot
  // with HaveVersion 0. A peer that is many versions behind gets one as well.
  const bool HasDeltas =
      Request.HaveVersion > 0 &&
      this->hasDeltasFrom(Request.HaveVersion, Request.HaveHash) &&
      !this->exceedContent(Request.HaveVersion);
  if (!this->admitPull(!HasDeltas, Now)) {
    Reply.Busy = true;
    Reply.RetryAfterMs = static_cast<std::int32_t>(
        this->Rng.between(BusyRetryMin, BusyRetryMax).count());
    send(Out, From, std::move(Reply));
    return;
  }
  const std::int64_t Base = HasDeltas ? Request.HaveVersion : 0;
  const wire::PullReply *Cached =
      Request.TakesPacked ? this->ReplyCache.find(Base, Now) : nullptr;
  if (Cached != nullptr) {
    send(Out, From, *Cached);
    return;
  }
  this->fillContent(Base, Reply);
  if (Request.TakesPacked)
    this->ReplyCache.pack(Base, Reply, Now);
  send(Out, From, std::move(Reply));
}

void Distribution::serveDatagram(const wire::PullRequest &Request,
                                 std::string_view From, Effects &Out) const {
  wire::PullReply Reply;
  Reply.Version = this->Version;
  Reply.Hash = static_cast<std::int64_t>(this->Hash);
  const bool Newer = Request.HaveVersion < this->Version;
  if (Newer && this->hasDeltasFrom(Request.HaveVersion, Request.HaveHash) &&
      this->deltaBytesFrom(Request.HaveVersion) <= DatagramMemoryBytes)
    this->fillContent(Request.HaveVersion, Reply);
  std::size_t Bytes = bytesOf(Reply);
  if (Bytes > DatagramContentBytes &&
      Bytes <= DatagramContentBytes * ExpectedPackingRatio) {
    pack(Reply);
    Bytes = bytesOf(Reply) + Reply.Packed.size();
  }
  if (Newer && (Bytes == 0 || Bytes > DatagramContentBytes)) {
    Reply.Deltas.clear();
    Reply.Packed.clear();
    Reply.UnpackedBytes = 0;
    Reply.TooLarge = true;
  }
  send(Out, From, std::move(Reply), Channel::Datagram);
}

void Distribution::receive(const wire::PullReply &Reply, std::string_view From,
                           Time Now, Effects &Out) {
  const bool EndsPull = From == this->PullSource;
  const bool IsDelta = !Reply.Busy && !Reply.IsSnapshot && !Reply.TooLarge;
  // A late reply to an earlier request may still contain the missing deltas.
  if (!EndsPull && !IsDelta && !Reply.TooLarge)
    return;
  if (Reply.TooLarge)
    return this->processTooLarge(Reply, From, Now, Out);
  if (EndsPull) {
    this->PullSource.clear();
    this->PullCheckAt = NoDeadline;
  }
  if (Reply.Busy) {
    this->logPullEnd(From, "busy", Now, Out);
    this->dropSource(From);
    this->NextPull = Now + milliseconds(Reply.RetryAfterMs);
    return;
  }
  if (Reply.Version <= this->Version) {
    if (EndsPull)
      this->logPullEnd(From, "not-newer", Now, Out);
    this->dropSource(From);
    this->startStreamPull(Now, Out);
    return;
  }
  this->processContent(Reply, From, Now, Out);
}

void Distribution::processTooLarge(const wire::PullReply &Reply,
                                   std::string_view From, Time Now,
                                   Effects &Out) {
  if (Reply.Version <= this->Version)
    return;
  this->DatagramPulls = DatagramPullsBeforeStream + 1;
  this->startStreamPull(Now, Out);
  Out.emplace_back(
      LogDecision{"event=pull-too-large from=" + std::string(From) +
                  " version=" + std::to_string(Reply.Version)});
}

void Distribution::processContent(const wire::PullReply &Reply,
                                  std::string_view From, Time Now,
                                  Effects &Out) {
  const std::int64_t Base = Reply.IsSnapshot ? 0 : this->Version;
  const Failure Error =
      handleResult([&] { return this->applyReply(Reply); }, [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=update-rejected from=" +
                                std::string(From) + " " + describe(Error)});
    this->NeedsSnapshot = true;
    this->dropSource(From);
  } else {
    this->NeedsSnapshot = false;
    this->NextDatagramPull = Now;
    // Reuses the pulled reply for peers with the same base version, so that it
    // is not compressed again.
    this->ReplyCache.store(Base, Reply, Now);
    Out.emplace_back(VersionInForce{this->Version});
  }
  this->logPullEnd(From, Error.failed() ? "rejected" : "in-force", Now, Out);
  this->sendDatagramPull(Now, Out);
  this->startStreamPull(Now, Out);
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
  BOOST_LEAF_CHECK(
      this->putInForce(std::move(Content), Reply.Version, Reply.Hash));
  this->restartHistory();
  return {};
}

leaf::result<void> Distribution::applyDeltas(const wire::PullReply &Reply) {
  std::int64_t Reached = this->Version;
  std::vector<const wire::Delta *> Applied;
  for (const wire::Delta &Change : Reply.Deltas) {
    // Already applied from an earlier reply.
    if (Change.To <= this->Version)
      continue;
    if (Change.From != Reached || Change.To <= Reached)
      return fail(ResultCode::UpdateRejected, std::to_string(Change.To),
                  "the deltas are not consecutive");
    Reached = Change.To;
    Applied.push_back(&Change);
  }
  if (Reached != Reply.Version)
    return fail(ResultCode::UpdateRejected, std::to_string(Reply.Version),
                "the deltas do not end at the announced version");
  BOOST_LEAF_CHECK(this->putChangesInForce(Applied, Reply.Version, Reply.Hash));
  for (const wire::Delta *Change : Applied)
    this->appendHistory(*Change);
  return {};
}

} // namespace persimmon
