#include "controlservice.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr milliseconds StampInterval{1000};
constexpr milliseconds RequestTimeout{5000};
/// Operators that wait for a second go on to another instance after it.
constexpr milliseconds RefusalTimeout{800};
constexpr milliseconds ClaimExpiryInterval{60'000};
constexpr std::int64_t ClaimRetentionMs = 3'600'000;
/// Exceeds the number of versions that the lost disks can have committed
/// without this replica.
constexpr std::int64_t RecoveryVersionStep = 1'000'000;
constexpr std::size_t MaxQueuedWrites = 256;
constexpr std::size_t MaxQueuedClaims = 4096;
constexpr std::size_t MaxClaimsPerEntry = 256;
/// Edits that are validated in one step. A small instance takes about ten
/// milliseconds for them.
constexpr std::size_t EditsPerStep = 64;

/// Request id of changes that no operator waits for.
constexpr std::int64_t NoRequest = INT64_MIN;

/// Returns whether the call that wants \p Wanted holds \p Existing.
bool isHeldBy(const wire::Claim &Existing, const wire::Claim &Wanted) {
  return Existing.Owner == Wanted.Owner &&
         Existing.OwnerIncarnation == Wanted.OwnerIncarnation &&
         Existing.CallNumber == Wanted.CallNumber;
}

} // namespace

ControlService::ControlService(wire::Replica Self,
                               std::vector<ControlPeer> Peers,
                               VoterPolicy Voters, SnapshotPolicy ThePolicy,
                               std::uint64_t Seed,
                               const std::string &TextPrefixTeam)
    : ConsensusModule(std::move(Self), std::move(Peers), Voters, Seed),
      Store(TextPrefixTeam), Snapshots(ThePolicy) {}

leaf::result<void> ControlService::restore(const DurableState &State,
                                           Time Now) {
  BOOST_LEAF_CHECK(this->Store.restore(State.Snapshot));
  this->ConsensusModule.restore(State, Now);
  this->AppliedIndex = State.Snapshot.LastIndex;
  this->AppliedTerm = State.Snapshot.LastTerm;
  this->SnapshotIndex = State.Snapshot.LastIndex;
  this->CommittedVoters = State.Snapshot.Voters;
  this->StateReplaced = this->Store.version() > 0;
  return {};
}

void ControlService::answer(std::int64_t RequestId, Failure Error,
                            std::int64_t Version, Effects &Out) const {
  if (RequestId == NoRequest)
    return;
  Out.emplace_back(AnswerOperator{RequestId, std::move(Error), Version,
                                  this->ConsensusModule.leaderAddress()});
}

bool ControlService::refuseUnlessReady(std::int64_t RequestId,
                                       Effects &Out) const {
  if (this->ConsensusModule.ready())
    return false;
  Failure Error;
  Error.Where = this->ConsensusModule.self().Instance;
  if (!this->ConsensusModule.formed())
    Error.Code = ResultCode::NotFormed;
  else if (this->ConsensusModule.leaderAddress().empty() ||
           this->ConsensusModule.leader())
    Error.Code = ResultCode::NoQuorum;
  else
    Error.Code = ResultCode::NotLeader;
  this->answer(RequestId, std::move(Error), 0, Out);
  return true;
}

void ControlService::tick(Time Now, std::int64_t WallMs, Effects &Out) {
  this->LastWallMs = WallMs;
  this->ConsensusModule.tick(Now, Out);
  this->expireRequests(Now, Out);
  this->startLeadershipConfirmation(Now, Out);
  this->applyAndPropose(Now, Out);
}

void ControlService::refuseConfirmed(std::int64_t RequestId, Failure Error,
                                     Time Now, Effects &Out) {
  this->Refusals.push_back({RequestId, std::move(Error),
                            this->ConsensusModule.confirmLeadership(Now, Out),
                            Now + RefusalTimeout});
}

bool ControlService::hasRoomFor(const PendingWrite &Write) const {
  if (this->Writes.size() >= MaxQueuedWrites)
    return false;
  std::size_t Sum = Write.Bytes;
  for (const PendingWrite &Item : this->Writes)
    Sum += Item.Bytes;
  return this->Writes.empty() || Sum <= this->Snapshots.MaxLogBytes;
}

void ControlService::enqueue(PendingWrite Write, Time Now, Effects &Out) {
  Write.Bytes = memoryOf(Write.Entry);
  if (Write.Subtree) {
    for (const auto &[Path, Value] : Write.Subtree->Values)
      Write.Bytes += Path.size() + Value.size();
  }
  if (!this->hasRoomFor(Write)) {
    this->answer(Write.RequestId, {ResultCode::Busy, {}, {}}, 0, Out);
    return;
  }
  Write.Deadline = Now + RequestTimeout;
  this->Writes.push_back(std::move(Write));
  this->applyAndPropose(Now, Out);
}

void ControlService::handle(const ChangeRequested &Request, Time Now,
                            Effects &Out) {
  if (this->refuseUnlessReady(Request.RequestId, Out))
    return;
  if (!this->Store.authorized(Request.TheChange.Team, Request.Token)) {
    this->refuseConfirmed(
        Request.RequestId,
        {ResultCode::Unauthorized, Request.TheChange.Team, {}}, Now, Out);
    return this->applyAndPropose(Now, Out);
  }
  PendingWrite Write;
  Write.RequestId = Request.RequestId;
  Write.Entry.Kind = wire::EntryKind::Change;
  Write.Entry.TheChange = Request.TheChange;
  this->enqueue(std::move(Write), Now, Out);
}

void ControlService::handle(const ReplaceRequested &Request, Time Now,
                            Effects &Out) {
  if (this->refuseUnlessReady(Request.RequestId, Out))
    return;
  if (!Request.Trusted &&
      !this->Store.authorized(Request.Document.Team, Request.Token)) {
    this->refuseConfirmed(Request.RequestId,
                          {ResultCode::Unauthorized, Request.Document.Team, {}},
                          Now, Out);
    return this->applyAndPropose(Now, Out);
  }
  PendingWrite Write;
  Write.RequestId = Request.RequestId;
  Write.Entry.Kind = wire::EntryKind::Change;
  Write.Entry.TheChange.ChangeId = Request.Document.Digest;
  Write.Subtree = Request.Document;
  this->enqueue(std::move(Write), Now, Out);
}

void ControlService::handle(const RolloutRequested &Request, Time Now,
                            Effects &Out) {
  if (this->refuseUnlessReady(Request.RequestId, Out))
    return;
  const std::string &Service = Request.Order.Service;
  const std::string Team = Service.substr(0, Service.find('/'));
  if (!Request.Trusted && !this->Store.authorized(Team, Request.Token)) {
    this->refuseConfirmed(Request.RequestId,
                          {ResultCode::Unauthorized, Team, {}}, Now, Out);
    return this->applyAndPropose(Now, Out);
  }
  PendingWrite Write;
  Write.RequestId = Request.RequestId;
  Write.Entry.Kind = wire::EntryKind::Change;
  Write.Order = Request.Order;
  this->enqueue(std::move(Write), Now, Out);
}

void ControlService::propose(wire::Change TheChange, Time Now, Effects &Out) {
  const bool Waits = std::any_of(
      this->Writes.begin(), this->Writes.end(), [&](const PendingWrite &Item) {
        return Item.Entry.TheChange.ChangeId == TheChange.ChangeId;
      });
  if (!this->ConsensusModule.ready() || Waits)
    return;
  PendingWrite Write;
  Write.RequestId = NoRequest;
  Write.Entry.Kind = wire::EntryKind::Change;
  Write.Entry.TheChange = std::move(TheChange);
  Write.Entry.TheChange.BasedOn = this->Store.version();
  Write.Bytes = memoryOf(Write.Entry);
  Write.Deadline = Now + RequestTimeout;
  // A bad version must not get calls because a large document is checked.
  const bool InFlight =
      !this->Writes.empty() && this->Writes.front().Index != 0;
  if (!InFlight)
    this->Store.cancelCheck();
  this->Writes.insert(this->Writes.begin() + (InFlight ? 1 : 0),
                      std::move(Write));
  this->applyAndPropose(Now, Out);
}

void ControlService::handle(const TeamRequested &Request, Time Now,
                            Effects &Out) {
  if (this->refuseUnlessReady(Request.RequestId, Out))
    return;
  if (!this->Store.authorized("", Request.AdminToken)) {
    this->refuseConfirmed(Request.RequestId,
                          {ResultCode::Unauthorized, Request.Grant.Team,
                           "the administrator token is required"},
                          Now, Out);
    return this->applyAndPropose(Now, Out);
  }
  PendingWrite Write;
  Write.RequestId = Request.RequestId;
  Write.Entry.Kind = wire::EntryKind::Team;
  Write.Entry.Team = Request.Grant;
  this->enqueue(std::move(Write), Now, Out);
}

void ControlService::handle(const ReadRequested &Request, Time Now,
                            Effects &Out) {
  if (this->refuseUnlessReady(Request.RequestId, Out))
    return;
  this->Reads.push_back({Request.RequestId,
                         this->ConsensusModule.confirmLeadership(Now, Out),
                         Now + RequestTimeout});
  this->applyAndPropose(Now, Out);
}

void ControlService::handle(const InitRequested &Request, Time Now,
                            Effects &Out) {
  if (this->ConsensusModule.formed()) {
    this->answer(
        Request.RequestId,
        {ResultCode::AlreadyFormed, this->ConsensusModule.self().Instance, {}},
        0, Out);
    return;
  }
  this->ConsensusModule.form(Now, Out);
  PendingWrite Write;
  Write.RequestId = Request.RequestId;
  Write.Entry.Kind = wire::EntryKind::Team;
  Write.Entry.Team = Request.AdminGrant;
  this->enqueue(std::move(Write), Now, Out);
}

void ControlService::handle(const BootstrapRequested &Request, Time Now,
                            Effects &Out) {
  this->ConsensusModule.bootstrap(initialVotersAt(Request.Addresses), Now, Out);
}

void ControlService::handle(const RecoverRequested &Request, Time Now,
                            Effects &Out) {
  if (!this->ConsensusModule.formed()) {
    this->answer(Request.RequestId, {ResultCode::NotFormed, {}, {}}, 0, Out);
    return;
  }
  if (!this->Store.authorized("", Request.AdminToken)) {
    this->answer(Request.RequestId, {ResultCode::Unauthorized, {}, {}}, 0, Out);
    return;
  }
  if (!this->ConsensusModule.leaderAddress().empty()) {
    this->answer(Request.RequestId,
                 {ResultCode::AlreadyFormed,
                  this->ConsensusModule.self().Instance,
                  "a leader is known; recovery is not needed"},
                 0, Out);
    return;
  }
  this->ConsensusModule.recover(this->Store.versionBase() + RecoveryVersionStep,
                                Now, Out);
  this->answer(Request.RequestId, {}, this->Store.version(), Out);
  this->applyAndPropose(Now, Out);
}

void ControlService::receive(const wire::InstallRequest &Body,
                             std::string_view From, Time Now, Effects &Out) {
  if (!this->ConsensusModule.acceptsSnapshot(Body, From, Now, Out))
    return;
  const Failure Error =
      handleResult([&] { return this->Store.restore(Body.Snapshot); }, [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=snapshot-refused " + describe(Error)});
    return;
  }
  this->ConsensusModule.installSnapshot(Body, From, Out);
  this->AppliedIndex = Body.Snapshot.LastIndex;
  this->AppliedTerm = Body.Snapshot.LastTerm;
  this->SnapshotIndex = Body.Snapshot.LastIndex;
  this->CommittedVoters = Body.Snapshot.Voters;
  this->StateReplaced = true;
  this->applyAndPropose(Now, Out);
}

void ControlService::receive(const wire::StampRequest &Body,
                             std::string_view From, Time Now, Effects &Out) {
  if (!this->ConsensusModule.ready())
    return;
  if (Body.MaxAgeMs <= 0 ||
      Now > this->VerifiedAt + milliseconds(Body.MaxAgeMs)) {
    this->StampRequests.push_back({std::string(From), Body.Nonce, 0});
    return;
  }
  wire::StampReply Reply = this->makeStampReply(Body.Nonce);
  Reply.AgeMs =
      static_cast<std::int32_t>(millisecondsUntil(Now, this->VerifiedAt)) + 1;
  send(Out, From, std::move(Reply), Channel::Datagram);
}

wire::StampReply ControlService::makeStampReply(std::int64_t Nonce) const {
  wire::StampReply Out;
  Out.Nonce = Nonce;
  Out.Confirmed.Term = this->ConsensusModule.term();
  Out.Confirmed.Version = this->Store.version();
  Out.Confirmed.Counter = this->IssuedStamp.Counter;
  Out.Source = this->ConsensusModule.self().Address;
  return Out;
}

void ControlService::receive(const wire::ClaimRequest &Body,
                             std::string_view From, Time Now, Effects &Out) {
  PendingClaim Pending{std::string(From), Body.Wanted};
  const std::size_t Waiting =
      this->QueuedClaims.size() + this->DoubtfulClaims.size();
  if (!this->ConsensusModule.ready() || Waiting >= MaxQueuedClaims ||
      (this->Store.claims().full() && !Body.Wanted.Release)) {
    wire::ClaimReply Reply;
    Reply.CallNumber = Body.Wanted.CallNumber;
    Reply.Code = static_cast<std::int32_t>(this->ConsensusModule.ready()
                                               ? ResultCode::ClaimUnavailable
                                               : ResultCode::NotLeader);
    Reply.LeaderAddress = this->ConsensusModule.leaderAddress();
    send(Out, From, std::move(Reply), Channel::Datagram);
    return;
  }
  const wire::Claim *ExistingClaim = this->Store.claims().find(Body.Wanted.Key);
  if (ExistingClaim != nullptr && !Body.Wanted.Release) {
    if (isHeldBy(*ExistingClaim, Body.Wanted))
      return this->answerClaim(Pending, Out);
    // A later leader may have released it.
    Pending.Round = this->ConsensusModule.confirmLeadership(Now, Out);
    this->DoubtfulClaims.push_back(std::move(Pending));
    return this->applyAndPropose(Now, Out);
  }
  Pending.Wanted.GrantedAt = this->LastWallMs;
  this->QueuedClaims.push_back(std::move(Pending));
  this->applyAndPropose(Now, Out);
}

void ControlService::answerClaim(const PendingClaim &Pending,
                                 Effects &Out) const {
  if (Pending.Wanted.Release)
    return;
  const wire::Claim *ExistingClaim =
      this->Store.claims().find(Pending.Wanted.Key);
  wire::ClaimReply Reply;
  Reply.CallNumber = Pending.Wanted.CallNumber;
  const bool Own =
      ExistingClaim != nullptr && isHeldBy(*ExistingClaim, Pending.Wanted);
  Reply.Code =
      static_cast<std::int32_t>(Own ? ResultCode::Ok : ResultCode::KeyClaimed);
  if (ExistingClaim != nullptr)
    Reply.Holder = *ExistingClaim;
  send(Out, Pending.From, std::move(Reply), Channel::Datagram);
}

void ControlService::applyAndPropose(Time Now, Effects &Out) {
  const bool IsLeader = this->ConsensusModule.leader();
  if (this->WasLeader && !IsLeader)
    this->failPendingRequests(Out);
  this->WasLeader = IsLeader;
  std::int64_t Before = -1;
  while (Before != this->ConsensusModule.commitIndex()) {
    Before = this->ConsensusModule.commitIndex();
    this->applyCommitted(Out);
    if (this->ConsensusModule.ready())
      this->proposeQueued(Now, Out);
  }
  this->answerConfirmedRequests(Now, Out);
  this->takeSnapshot(Out);
}

void ControlService::applyCommitted(Effects &Out) {
  for (const wire::LogEntry &Entry : this->ConsensusModule.takeCommitted()) {
    auto Change = this->Store.apply(Entry);
    if (Change)
      this->AppliedChanges.push_back(std::move(*Change));
    if (Entry.Kind == wire::EntryKind::Voters) {
      this->CommittedVoters = Entry.Voters;
      Out.emplace_back(LogDecision{
          "event=voters-committed index=" + std::to_string(Entry.Index) +
          " count=" + std::to_string(Entry.Voters.size()) +
          " voter=" + (this->ConsensusModule.voter() ? "yes" : "no")});
    }
    this->AppliedIndex = Entry.Index;
    this->AppliedTerm = Entry.Term;
    this->answerWrite(Entry, Out);
    if (Entry.Index == this->InFlightClaimsIndex) {
      for (const PendingClaim &Pending : this->InFlightClaims)
        this->answerClaim(Pending, Out);
      this->InFlightClaims.clear();
      this->InFlightClaimsIndex = 0;
    }
  }
}

void ControlService::answerWrite(const wire::LogEntry &Entry, Effects &Out) {
  if (this->Writes.empty() || this->Writes.front().Index != Entry.Index)
    return;
  this->answer(this->Writes.front().RequestId, {}, this->Store.version(), Out);
  this->Writes.pop_front();
}

std::optional<Failure> ControlService::prepareWrite(PendingWrite &Write,
                                                    std::int64_t &Version) {
  wire::Change &Wanted = Write.Entry.TheChange;
  if (const auto First = this->Store.outcomeOf(Wanted.ChangeId)) {
    Version = *First;
    return Failure();
  }
  Failure Refusal;
  if (Write.Subtree)
    Refusal = handleResult(
        [&] { return replaceSubtree(this->Store.settings(), *Write.Subtree); },
        [&](wire::Change NewChange) {
          Wanted = std::move(NewChange);
          Wanted.BasedOn = this->Store.version();
        });
  bool IsResend = false;
  if (Write.Order)
    Refusal = handleResult(
        [&] {
          return startRollout(this->Store.settings(), this->Store.version(),
                              *Write.Order);
        },
        [&](std::optional<wire::Change> NewChange) {
          IsResend = !NewChange;
          if (NewChange)
            Wanted = std::move(*NewChange);
        });
  if (Refusal.failed())
    return Refusal;
  if (IsResend) {
    Version = this->Store.version();
    return Failure();
  }
  this->Store.startCheck(Wanted);
  return std::nullopt;
}

void ControlService::continueWork(Time Now, Effects &Out) {
  this->WorkRequested = false;
  this->applyAndPropose(Now, Out);
}

bool ControlService::answerFirstWrite(Failure Result, std::int64_t Version,
                                      Time Now, Effects &Out) {
  const std::int64_t RequestId = this->Writes.front().RequestId;
  // A change that was committed once stays so, whoever leads now.
  if (Result.failed())
    this->refuseConfirmed(RequestId, std::move(Result), Now, Out);
  else
    this->answer(RequestId, {}, Version, Out);
  this->Writes.pop_front();
  return true;
}

void ControlService::requestWork(Effects &Out) {
  if (!this->WorkRequested)
    Out.emplace_back(ContinueWork{});
  this->WorkRequested = true;
}

bool ControlService::needsNoCheck(const PendingWrite &Write) const {
  if (Write.RequestId != NoRequest || this->Store.table() ||
      this->Store.outcomeOf(Write.Entry.TheChange.ChangeId))
    return false;
  const SettingsMap &Settings = this->Store.settings();
  return std::all_of(Write.Entry.TheChange.Edits.begin(),
                     Write.Entry.TheChange.Edits.end(),
                     [&](const wire::PathEdit &Edit) {
                       const auto Found = Settings.find(Edit.Path);
                       return Found != Settings.end() &&
                              Found->second.Version == Edit.ExpectedVersion;
                     });
}

bool ControlService::advanceFirstWrite(Time Now, Effects &Out) {
  PendingWrite &Write = this->Writes.front();
  if (Write.Entry.Kind == wire::EntryKind::Change &&
      !this->needsNoCheck(Write)) {
    std::int64_t Version = 0;
    if (!this->Store.checking()) {
      if (auto Early = this->prepareWrite(Write, Version))
        return this->answerFirstWrite(std::move(*Early), Version, Now, Out);
    }
    auto Checked = this->Store.advanceCheck(EditsPerStep);
    if (!Checked) {
      this->requestWork(Out);
      return false;
    }
    if (Checked->failed())
      return this->answerFirstWrite(std::move(*Checked), 0, Now, Out);
  }
  // The index is known before the effects are executed, because only the
  // leader appends entries.
  Write.Index = this->ConsensusModule.lastIndex() + 1;
  this->InFlightWriteIndex = Write.Index;
  this->ConsensusModule.propose(Write.Entry, Now, Out);
  return false;
}

void ControlService::proposeQueued(Time Now, Effects &Out) {
  // The request of the in-flight write may have expired while its entry can
  // still be committed.
  const bool NoWriteInFlight =
      this->InFlightWriteIndex <= this->ConsensusModule.commitIndex();
  while (NoWriteInFlight && !this->Writes.empty() &&
         this->Writes.front().Index == 0) {
    if (!this->advanceFirstWrite(Now, Out))
      break;
  }
  this->proposeClaims(Now, Out);
}

void ControlService::proposeClaims(Time Now, Effects &Out) {
  const bool ExpiryDue =
      Now >= this->NextClaimExpiry && this->Store.claims().size() > 0;
  if (this->InFlightClaimsIndex != 0 ||
      (this->QueuedClaims.empty() && !ExpiryDue))
    return;
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Claims;
  while (!this->QueuedClaims.empty() &&
         Entry.Claims.size() < MaxClaimsPerEntry) {
    Entry.Claims.push_back(this->QueuedClaims.front().Wanted);
    this->InFlightClaims.push_back(std::move(this->QueuedClaims.front()));
    this->QueuedClaims.pop_front();
  }
  if (ExpiryDue) {
    this->NextClaimExpiry = Now + ClaimExpiryInterval;
    Entry.ExpireClaimsThrough = this->LastWallMs - ClaimRetentionMs;
  }
  this->InFlightClaimsIndex = this->ConsensusModule.lastIndex() + 1;
  this->ConsensusModule.propose(std::move(Entry), Now, Out);
}

void ControlService::startLeadershipConfirmation(Time Now, Effects &Out) {
  if (!this->ConsensusModule.ready())
    return;
  if (this->VerifyRound == 0) {
    this->VerifyRound = this->ConsensusModule.nextRound();
    this->VerifyStartedAt = Now;
  }
  const bool StampRequested =
      std::any_of(this->StampRequests.begin(), this->StampRequests.end(),
                  [](const PendingStamp &Item) { return Item.Round == 0; });
  const bool StampDue = Now >= this->NextStamp && this->StampRound == 0;
  if (!StampRequested && !StampDue)
    return;
  const std::int64_t Round = this->ConsensusModule.confirmLeadership(Now, Out);
  for (PendingStamp &Item : this->StampRequests) {
    if (Item.Round == 0)
      Item.Round = Round;
  }
  if (StampDue) {
    this->NextStamp = Now + StampInterval;
    this->StampRound = Round;
  }
}

void ControlService::answerConfirmedRequests(Time Now, Effects &Out) {
  if (!this->ConsensusModule.ready()) {
    this->StampRequests.clear();
    this->StampRound = 0;
    this->VerifyRound = 0;
    this->VerifiedAt = Time();
    return;
  }
  const std::int64_t Confirmed = this->ConsensusModule.confirmedRound();
  std::erase_if(this->StampRequests, [&](const PendingStamp &Item) {
    if (Item.Round == 0 || Item.Round > Confirmed)
      return false;
    send(Out, Item.From, this->makeStampReply(Item.Nonce), Channel::Datagram);
    return true;
  });
  if (this->StampRound != 0 && this->StampRound <= Confirmed) {
    this->StampRound = 0;
    this->IssuedStamp = this->makeStampReply(0).Confirmed;
    this->IssuedStamp.Counter += 1;
  }
  if (this->VerifyRound != 0 && this->VerifyRound <= Confirmed) {
    this->VerifyRound = 0;
    this->VerifiedAt = this->VerifyStartedAt;
  }
  std::erase_if(this->Reads, [&](const PendingRead &Item) {
    if (Item.Round > Confirmed)
      return false;
    this->answer(Item.RequestId, {}, this->Store.version(), Out);
    return true;
  });
  std::erase_if(this->Refusals, [&](PendingRefusal &Item) {
    if (Item.Round > Confirmed)
      return false;
    this->answer(Item.RequestId, std::move(Item.Error), 0, Out);
    return true;
  });
  this->answerConfirmedClaims(Confirmed, Now, Out);
}

void ControlService::answerConfirmedClaims(std::int64_t Confirmed, Time Now,
                                           Effects &Out) {
  bool Released = false;
  std::erase_if(this->DoubtfulClaims, [&](PendingClaim &Item) {
    if (Item.Round > Confirmed)
      return false;
    if (this->Store.claims().find(Item.Wanted.Key) != nullptr) {
      this->answerClaim(Item, Out);
      return true;
    }
    Item.Wanted.GrantedAt = this->LastWallMs;
    this->QueuedClaims.push_back(std::move(Item));
    Released = true;
    return true;
  });
  if (Released)
    this->proposeClaims(Now, Out);
}

void ControlService::expireRequests(Time Now, Effects &Out) {
  const std::size_t Before = this->Writes.size();
  std::erase_if(this->Writes, [&](const PendingWrite &Item) {
    if (Now < Item.Deadline)
      return false;
    this->answer(
        Item.RequestId,
        {Item.Index == 0 ? ResultCode::NoQuorum : ResultCode::OutcomePending,
         {},
         {}},
        0, Out);
    return true;
  });
  // The check in progress refers to a write that may have moved.
  if (this->Writes.size() != Before)
    this->Store.cancelCheck();
  const auto Expire = [&](const auto &Item) {
    if (Now < Item.Deadline)
      return false;
    this->answer(Item.RequestId, {ResultCode::NoQuorum, {}, {}}, 0, Out);
    return true;
  };
  std::erase_if(this->Reads, Expire);
  std::erase_if(this->Refusals, Expire);
}

void ControlService::failPendingRequests(Effects &Out) {
  for (const PendingWrite &Item : this->Writes)
    this->answer(
        Item.RequestId,
        {Item.Index == 0 ? ResultCode::NotLeader : ResultCode::OutcomePending,
         {},
         {}},
        0, Out);
  for (const PendingRead &Item : this->Reads)
    this->answer(Item.RequestId, {ResultCode::NotLeader, {}, {}}, 0, Out);
  for (const PendingRefusal &Item : this->Refusals)
    this->answer(Item.RequestId, {ResultCode::NotLeader, {}, {}}, 0, Out);
  this->Store.cancelCheck();
  this->Writes.clear();
  this->Reads.clear();
  this->Refusals.clear();
  this->QueuedClaims.clear();
  this->DoubtfulClaims.clear();
  this->InFlightClaims.clear();
  this->InFlightClaimsIndex = 0;
  this->InFlightWriteIndex = 0;
}

void ControlService::takeSnapshot(Effects &Out) {
  const std::int64_t Covered = this->AppliedIndex - this->SnapshotIndex;
  const bool LogTooLarge =
      this->ConsensusModule.logBytes() > this->Snapshots.MaxLogBytes;
  if (Covered < this->Snapshots.EntriesPerSnapshot &&
      !(LogTooLarge && Covered > 0))
    return;
  wire::StoreSnapshot Snapshot =
      this->Store.snapshot(this->AppliedIndex, this->AppliedTerm);
  Snapshot.Voters = this->CommittedVoters;
  this->SnapshotIndex = this->AppliedIndex;
  this->ConsensusModule.setSnapshot(Snapshot);
  const std::int64_t FirstKept = std::max(
      this->AppliedIndex - this->Snapshots.EntriesKept + 1,
      this->ConsensusModule.firstIndexWithin(this->Snapshots.MaxLogBytes / 2));
  this->ConsensusModule.compact(std::min(FirstKept - 1, this->AppliedIndex));
  Out.emplace_back(PersistSnapshot{std::move(Snapshot)});
}

std::vector<AppliedChange> ControlService::takeAppliedChanges() {
  return std::exchange(this->AppliedChanges, {});
}

bool ControlService::takeStateReplaced() {
  return std::exchange(this->StateReplaced, false);
}

} // namespace persimmon
