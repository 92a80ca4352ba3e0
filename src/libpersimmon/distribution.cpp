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
/// Interval between datagram requests to different sources. It covers many
/// round trips between availability zones, so a missing reply means that a
/// datagram was lost or that the source has nothing newer.
constexpr milliseconds DatagramAskInterval{150};
/// Unanswered datagram requests after which a stream is used as well.
constexpr int DatagramAsksAlone = 2;
/// Content that fits into one unfragmented datagram on Ethernet, after the IP
/// and UDP headers and the other fields of the reply.
constexpr std::size_t DatagramContentBytes = 1350;
/// Deltas of routes compress to a fourth of their size or less.
constexpr std::size_t LikelyPacking = 4;
/// A change must be in force everywhere within 2 s of its acknowledgement. Its
/// announcement takes a few tenths of a second to arrive, so a superseded
/// version is served only for the remaining time.
constexpr milliseconds SupersededUse{1500};
/// Further versions are not recorded; the oldest entry sets the deadline.
constexpr std::size_t MaxAwaited = 64;
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
                "the content does not match the announced hash");
  const RouteTable *Previous =
      this->Compiled ? this->Compiled.get() : this->Table.get();
  BOOST_LEAF_AUTO(Built,
                  RouteTable::build(Content, Previous, Values::Committed));
  this->Table = std::move(Built);
  this->Settings = std::move(Content);
  this->Version = NewVersion;
  this->Hash = Sum;
  this->Packed.clear();
  while (!this->Awaited.empty() &&
         this->Awaited.front().Version <= this->Version)
    this->Awaited.pop_front();
  this->DatagramAsks = 0;
  return {};
}

void Distribution::remember(const wire::Delta &Change) {
  this->History.push_back(Change);
  while (this->History.size() > MaxHistory) {
    this->HistoryBaseHash = this->History.front().Hash;
    this->History.pop_front();
  }
}

void Distribution::expect(std::int64_t NewerVersion, Time Now) {
  const std::int64_t Last =
      this->Awaited.empty() ? this->Version : this->Awaited.back().Version;
  // A daemon without a version serves no calls, so no deadline applies.
  if (this->Version == 0 || NewerVersion <= Last ||
      this->Awaited.size() == MaxAwaited)
    return;
  this->Awaited.push_back({NewerVersion, Now + SupersededUse});
}

void Distribution::heard(std::string_view Address, std::int64_t PeerVersion,
                         Time Now, Effects &Out) {
  if (PeerVersion <= this->Version || Address.empty())
    return;
  this->expect(PeerVersion, Now);
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
  this->askByDatagram(Now, Out);
  this->startPull(Now, Out);
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

void Distribution::askByDatagram(Time Now, Effects &Out) {
  // A snapshot rarely fits into a datagram.
  if (Now < this->NextDatagramAsk || this->Version == 0 || this->NeedsSnapshot)
    return;
  const Source *Chosen = this->pickSource();
  if (Chosen == nullptr)
    return;
  if (this->DatagramAsks == 0 && this->PullFrom.empty())
    this->PullStartedAt = Now;
  this->NextDatagramAsk = Now + DatagramAskInterval;
  this->DatagramAsks += 1;
  Out.emplace_back(LogDecision{"event=pull-ask to=" + Chosen->Address +
                               " have=" + std::to_string(this->Version) +
                               " heard=" + std::to_string(this->newestHeard()) +
                               " try=" + std::to_string(this->DatagramAsks)});
  wire::PullRequest Request = this->request();
  Request.AsDatagram = true;
  send(Out, Chosen->Address, Request, Channel::Datagram);
}

void Distribution::startPull(Time Now, Effects &Out) {
  const bool TryDatagrams = this->Version > 0 && !this->NeedsSnapshot &&
                            this->DatagramAsks <= DatagramAsksAlone;
  if (!this->PullFrom.empty() || TryDatagrams || Now < this->NextPull)
    return;
  const Source *Chosen = this->pickSource();
  if (Chosen == nullptr)
    return;
  if (this->DatagramAsks == 0)
    this->PullStartedAt = Now;
  this->PullFrom = Chosen->Address;
  this->PullCheckAt = Now + PullCheckInterval;
  Out.emplace_back(
      LogDecision{"event=pull-start from=" + this->PullFrom +
                  " have=" + std::to_string(this->Version) +
                  " heard=" + std::to_string(this->newestHeard()) +
                  " sources=" + std::to_string(this->Sources.size())});
  send(Out, this->PullFrom, this->request());
}

void Distribution::logPullEnd(std::string_view From, std::string_view Outcome,
                              Time Now, Effects &Out) const {
  Out.emplace_back(LogDecision{
      "event=pull-end from=" + std::string(From) + " outcome=" +
      std::string(Outcome) + " inForce=" + std::to_string(this->Version) +
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
  this->askByDatagram(Now, Out);
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
  // with HaveVersion 0.
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

void Distribution::serveDatagram(const wire::PullRequest &Request,
                                 std::string_view From, Effects &Out) const {
  wire::PullReply Reply;
  Reply.Version = this->Version;
  Reply.Hash = static_cast<std::int64_t>(this->Hash);
  const bool Newer = Request.HaveVersion < this->Version;
  if (Newer && this->hasDeltasFrom(Request.HaveVersion, Request.HaveHash))
    this->fillContent(Request.HaveVersion, Reply);
  std::size_t Bytes = bytesOf(Reply);
  if (Bytes > DatagramContentBytes &&
      Bytes <= DatagramContentBytes * LikelyPacking) {
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
  const bool EndsPull = From == this->PullFrom;
  const bool IsDelta = !Reply.Busy && !Reply.IsSnapshot && !Reply.TooLarge;
  // A late reply to an earlier request may still contain the missing deltas.
  if (!EndsPull && !IsDelta && !Reply.TooLarge)
    return;
  if (Reply.TooLarge)
    return this->contentTooLarge(Reply, From, Now, Out);
  if (EndsPull) {
    this->PullFrom.clear();
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
    this->startPull(Now, Out);
    return;
  }
  this->take(Reply, From, Now, Out);
}

void Distribution::contentTooLarge(const wire::PullReply &Reply,
                                   std::string_view From, Time Now,
                                   Effects &Out) {
  if (Reply.Version <= this->Version)
    return;
  this->DatagramAsks = DatagramAsksAlone + 1;
  this->startPull(Now, Out);
  Out.emplace_back(
      LogDecision{"event=pull-too-large from=" + std::string(From) +
                  " version=" + std::to_string(Reply.Version)});
}

void Distribution::take(const wire::PullReply &Reply, std::string_view From,
                        Time Now, Effects &Out) {
  const std::int64_t Base = Reply.IsSnapshot ? 0 : this->Version;
  const Failure Error = settle([&] { return this->applyReply(Reply); }, [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=update-rejected from=" +
                                std::string(From) + " " + describe(Error)});
    this->NeedsSnapshot = true;
    this->dropSource(From);
  } else {
    this->NeedsSnapshot = false;
    this->NextDatagramAsk = Now;
    // Reuses the pulled reply for peers with the same base version, so that it
    // is not compressed again.
    this->Packed.keep(Base, Reply, Now);
    Out.emplace_back(VersionInForce{this->Version});
  }
  this->logPullEnd(From, Error.failed() ? "rejected" : "in-force", Now, Out);
  this->askByDatagram(Now, Out);
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
  std::vector<const wire::Delta *> Taken;
  for (const wire::Delta &Change : Reply.Deltas) {
    // Already applied from an earlier reply.
    if (Change.To <= this->Version)
      continue;
    if (Change.From != Reached || Change.To <= Reached)
      return fail(ResultCode::UpdateRejected, std::to_string(Change.To),
                  "the deltas are not consecutive");
    carryOut(Change, Content, Sum);
    Reached = Change.To;
    Taken.push_back(&Change);
  }
  if (Reached != Reply.Version)
    return fail(ResultCode::UpdateRejected, std::to_string(Reply.Version),
                "the deltas do not end at the announced version");
  BOOST_LEAF_CHECK(
      this->putInForce(std::move(Content), Sum, Reply.Version, Reply.Hash));
  for (const wire::Delta *Change : Taken)
    this->remember(*Change);
  return {};
}

} // namespace persimmon
