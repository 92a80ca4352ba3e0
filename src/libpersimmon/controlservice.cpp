#include "controlservice.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr milliseconds StampInterval{1000};
constexpr milliseconds RequestTimeout{5000};
constexpr milliseconds ClaimExpiryInterval{60'000};
constexpr std::int64_t ClaimRetentionMs = 3'600'000;
/// More versions than the lost disks can have committed unseen.
constexpr std::int64_t RecoveryVersionStep = 1'000'000;
constexpr std::size_t MaxWaitingWrites = 256;
constexpr std::size_t MaxWaitingClaims = 4096;
constexpr std::size_t ClaimsPerEntry = 256;

} // namespace

ControlService::ControlService(wire::Replica Self,
                               std::vector<ControlPeer> Peers,
                               VoterPolicy Voters, SnapshotPolicy ThePolicy,
                               std::uint64_t Seed)
    : Agreement(std::move(Self), std::move(Peers), Voters, Seed),
      Snapshots(ThePolicy) {}

leaf::result<void> ControlService::restore(const DurableState &State,
                                           Time Now) {
  BOOST_LEAF_CHECK(this->Store.restore(State.Snapshot));
  this->Agreement.restore(State, Now);
  this->AppliedIndex = State.Snapshot.LastIndex;
  this->AppliedTerm = State.Snapshot.LastTerm;
  this->SnapshotIndex = State.Snapshot.LastIndex;
  this->CommittedVoters = State.Snapshot.Voters;
  this->Replaced = this->Store.version() > 0;
  return {};
}

void ControlService::answer(std::int64_t RequestId, Failure Error,
                            std::int64_t Version, Effects &Out) const {
  Out.emplace_back(AnswerOperator{RequestId, std::move(Error), Version,
                                  this->Agreement.leaderAddress()});
}

bool ControlService::refuseUnlessReady(std::int64_t RequestId,
                                       Effects &Out) const {
  if (this->Agreement.ready())
    return false;
  Failure Error;
  Error.Where = this->Agreement.self().Instance;
  if (!this->Agreement.formed())
    Error.Code = ResultCode::NotFormed;
  else if (this->Agreement.leaderAddress().empty() || this->Agreement.leader())
    Error.Code = ResultCode::NoQuorum;
  else
    Error.Code = ResultCode::NotLeader;
  this->answer(RequestId, std::move(Error), 0, Out);
  return true;
}

void ControlService::tick(Time Now, std::int64_t WallMs, Effects &Out) {
  this->LastWallMs = WallMs;
  this->Agreement.tick(Now, Out);
  this->expireRequests(Now, Out);
  this->startConfirmation(Now, Out);
  this->advance(Now, Out);
}

void ControlService::enqueue(PendingWrite Write, Time Now, Effects &Out) {
  if (this->Writes.size() >= MaxWaitingWrites) {
    this->answer(Write.RequestId, {ResultCode::Busy, {}, {}}, 0, Out);
    return;
  }
  Write.Deadline = Now + RequestTimeout;
  this->Writes.push_back(std::move(Write));
  this->advance(Now, Out);
}

void ControlService::handle(const ChangeRequested &Request, Time Now,
                            Effects &Out) {
  if (this->refuseUnlessReady(Request.RequestId, Out))
    return;
  if (!this->Store.authorized(Request.TheChange.Team, Request.Token)) {
    this->answer(Request.RequestId,
                 {ResultCode::Unauthorized, Request.TheChange.Team, {}}, 0,
                 Out);
    return;
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
    this->answer(Request.RequestId,
                 {ResultCode::Unauthorized, Request.Document.Team, {}}, 0, Out);
    return;
  }
  PendingWrite Write;
  Write.RequestId = Request.RequestId;
  Write.Entry.Kind = wire::EntryKind::Change;
  Write.Entry.TheChange.ChangeId = Request.Document.Digest;
  Write.Subtree = Request.Document;
  this->enqueue(std::move(Write), Now, Out);
}

void ControlService::handle(const TeamRequested &Request, Time Now,
                            Effects &Out) {
  if (this->refuseUnlessReady(Request.RequestId, Out))
    return;
  if (!this->Store.authorized("", Request.AdminToken)) {
    this->answer(Request.RequestId,
                 {ResultCode::Unauthorized, Request.Grant.Team,
                  "the administrator's token is needed"},
                 0, Out);
    return;
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
                         this->Agreement.confirmLeadership(Now, Out),
                         Now + RequestTimeout});
  this->advance(Now, Out);
}

void ControlService::handle(const InitRequested &Request, Time Now,
                            Effects &Out) {
  if (this->Agreement.formed()) {
    this->answer(
        Request.RequestId,
        {ResultCode::AlreadyFormed, this->Agreement.self().Instance, {}}, 0,
        Out);
    return;
  }
  this->Agreement.form(Now, Out);
  PendingWrite Write;
  Write.RequestId = Request.RequestId;
  Write.Entry.Kind = wire::EntryKind::Team;
  Write.Entry.Team = Request.AdminGrant;
  this->enqueue(std::move(Write), Now, Out);
}

void ControlService::handle(const BootstrapRequested &Request, Time Now,
                            Effects &Out) {
  this->Agreement.found(foundersAt(Request.Addresses), Now, Out);
}

void ControlService::handle(const RecoverRequested &Request, Time Now,
                            Effects &Out) {
  if (!this->Agreement.formed()) {
    this->answer(Request.RequestId, {ResultCode::NotFormed, {}, {}}, 0, Out);
    return;
  }
  if (!this->Store.authorized("", Request.AdminToken)) {
    this->answer(Request.RequestId, {ResultCode::Unauthorized, {}, {}}, 0, Out);
    return;
  }
  if (!this->Agreement.leaderAddress().empty()) {
    this->answer(Request.RequestId,
                 {ResultCode::AlreadyFormed, this->Agreement.self().Instance,
                  "a leader is known, so no recovery is needed"},
                 0, Out);
    return;
  }
  this->Agreement.recover(this->Store.versionBase() + RecoveryVersionStep, Now,
                          Out);
  this->answer(Request.RequestId, {}, this->Store.version(), Out);
  this->advance(Now, Out);
}

void ControlService::receive(const wire::InstallRequest &Body,
                             std::string_view From, Time Now, Effects &Out) {
  if (!this->Agreement.accepts(Body, From, Now, Out))
    return;
  const Failure Error =
      settle([&] { return this->Store.restore(Body.Snapshot); }, [] {});
  if (Error.failed()) {
    Out.emplace_back(LogWarning{"event=snapshot-refused " + describe(Error)});
    return;
  }
  this->Agreement.install(Body, From, Out);
  this->AppliedIndex = Body.Snapshot.LastIndex;
  this->AppliedTerm = Body.Snapshot.LastTerm;
  this->SnapshotIndex = Body.Snapshot.LastIndex;
  this->CommittedVoters = Body.Snapshot.Voters;
  this->Replaced = true;
  this->advance(Now, Out);
}

void ControlService::receive(const wire::StampRequest &Body,
                             std::string_view From, Time, Effects &) {
  if (!this->Agreement.ready())
    return;
  this->StampRequests.push_back({std::string(From), Body.Nonce, 0});
}

void ControlService::receive(const wire::ClaimRequest &Body,
                             std::string_view From, Time Now, Effects &Out) {
  PendingClaim Pending{std::string(From), Body.Wanted};
  if (!this->Agreement.ready() ||
      this->WaitingClaims.size() >= MaxWaitingClaims ||
      (this->Store.claims().full() && !Body.Wanted.Release)) {
    wire::ClaimReply Reply;
    Reply.CallNumber = Body.Wanted.CallNumber;
    Reply.Code = static_cast<std::int32_t>(this->Agreement.ready()
                                               ? ResultCode::ClaimUnavailable
                                               : ResultCode::NotLeader);
    Reply.LeaderAddress = this->Agreement.leaderAddress();
    send(Out, From, std::move(Reply), Channel::Datagram);
    return;
  }
  const wire::Claim *Held = this->Store.claims().find(Body.Wanted.Key);
  if (Held != nullptr && !Body.Wanted.Release) {
    this->answerClaim(Pending, Out);
    return;
  }
  Pending.Wanted.GrantedAt = this->LastWallMs;
  this->WaitingClaims.push_back(std::move(Pending));
  this->advance(Now, Out);
}

void ControlService::answerClaim(const PendingClaim &Pending,
                                 Effects &Out) const {
  if (Pending.Wanted.Release)
    return;
  const wire::Claim *Held = this->Store.claims().find(Pending.Wanted.Key);
  wire::ClaimReply Reply;
  Reply.CallNumber = Pending.Wanted.CallNumber;
  const bool Own = Held != nullptr && Held->Owner == Pending.Wanted.Owner &&
                   Held->OwnerIncarnation == Pending.Wanted.OwnerIncarnation &&
                   Held->CallNumber == Pending.Wanted.CallNumber;
  Reply.Code =
      static_cast<std::int32_t>(Own ? ResultCode::Ok : ResultCode::KeyClaimed);
  if (Held != nullptr)
    Reply.Holder = *Held;
  send(Out, Pending.From, std::move(Reply), Channel::Datagram);
}

void ControlService::advance(Time Now, Effects &Out) {
  const bool Leads = this->Agreement.leader();
  if (this->WasLeader && !Leads)
    this->dropPending(Out);
  this->WasLeader = Leads;
  std::int64_t Before = -1;
  while (Before != this->Agreement.commitIndex()) {
    Before = this->Agreement.commitIndex();
    this->applyCommitted(Out);
    if (this->Agreement.ready())
      this->startWrites(Now, Out);
  }
  this->answerConfirmed(Out);
  this->takeSnapshot(Out);
}

void ControlService::applyCommitted(Effects &Out) {
  for (const wire::LogEntry &Entry : this->Agreement.takeCommitted()) {
    auto Change = this->Store.apply(Entry);
    if (Change)
      this->Applied.push_back(std::move(*Change));
    if (Entry.Kind == wire::EntryKind::Voters)
      this->CommittedVoters = Entry.Voters;
    this->AppliedIndex = Entry.Index;
    this->AppliedTerm = Entry.Term;
    this->answerWrite(Entry, Out);
    if (Entry.Index == this->ClaimsIndex) {
      for (const PendingClaim &Pending : this->ClaimsInFlight)
        this->answerClaim(Pending, Out);
      this->ClaimsInFlight.clear();
      this->ClaimsIndex = 0;
    }
  }
}

void ControlService::answerWrite(const wire::LogEntry &Entry, Effects &Out) {
  if (this->Writes.empty() || this->Writes.front().Index != Entry.Index)
    return;
  this->answer(this->Writes.front().RequestId, {}, this->Store.version(), Out);
  this->Writes.pop_front();
}

std::optional<Failure>
ControlService::settleEarly(PendingWrite &Write, std::int64_t &Version) const {
  if (Write.Entry.Kind != wire::EntryKind::Change)
    return std::nullopt;
  wire::Change &Wanted = Write.Entry.TheChange;
  if (const auto First = this->Store.outcomeOf(Wanted.ChangeId)) {
    Version = *First;
    return Failure();
  }
  Failure Refusal;
  if (Write.Subtree)
    Refusal = settle(
        [&] { return replaceSubtree(this->Store.settings(), *Write.Subtree); },
        [&](wire::Change Made) {
          Wanted = std::move(Made);
          Wanted.BasedOn = this->Store.version();
        });
  if (!Refusal.failed())
    Refusal = this->Store.check(Wanted);
  if (!Refusal.failed())
    return std::nullopt;
  return Refusal;
}

void ControlService::startWrites(Time Now, Effects &Out) {
  // Its request may have expired while the entry itself can still commit.
  const bool Idle = this->WriteInFlight <= this->Agreement.commitIndex();
  while (Idle && !this->Writes.empty() && this->Writes.front().Index == 0) {
    PendingWrite &Write = this->Writes.front();
    std::int64_t Version = 0;
    if (auto Early = this->settleEarly(Write, Version)) {
      this->answer(Write.RequestId, std::move(*Early), Version, Out);
      this->Writes.pop_front();
      continue;
    }
    // The index is known before the effects run, because only the leader
    // appends.
    Write.Index = this->Agreement.lastIndex() + 1;
    this->WriteInFlight = Write.Index;
    this->Agreement.propose(Write.Entry, Now, Out);
    return;
  }
  const bool ExpiryDue =
      Now >= this->NextClaimExpiry && this->Store.claims().size() > 0;
  if (this->ClaimsIndex != 0 || (this->WaitingClaims.empty() && !ExpiryDue))
    return;
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Claims;
  while (!this->WaitingClaims.empty() && Entry.Claims.size() < ClaimsPerEntry) {
    Entry.Claims.push_back(this->WaitingClaims.front().Wanted);
    this->ClaimsInFlight.push_back(std::move(this->WaitingClaims.front()));
    this->WaitingClaims.pop_front();
  }
  if (ExpiryDue) {
    this->NextClaimExpiry = Now + ClaimExpiryInterval;
    Entry.ExpireClaimsThrough = this->LastWallMs - ClaimRetentionMs;
  }
  this->ClaimsIndex = this->Agreement.lastIndex() + 1;
  this->Agreement.propose(std::move(Entry), Now, Out);
}

void ControlService::startConfirmation(Time Now, Effects &Out) {
  if (!this->Agreement.ready())
    return;
  const bool Asked =
      std::any_of(this->StampRequests.begin(), this->StampRequests.end(),
                  [](const PendingStamp &Item) { return Item.Round == 0; });
  const bool Due = Now >= this->NextStamp && this->StampRound == 0;
  if (!Asked && !Due)
    return;
  const std::int64_t Round = this->Agreement.confirmLeadership(Now, Out);
  for (PendingStamp &Item : this->StampRequests) {
    if (Item.Round == 0)
      Item.Round = Round;
  }
  if (Due) {
    this->NextStamp = Now + StampInterval;
    this->StampRound = Round;
  }
}

void ControlService::answerConfirmed(Effects &Out) {
  if (!this->Agreement.ready()) {
    this->StampRequests.clear();
    this->StampRound = 0;
    return;
  }
  const std::int64_t Confirmed = this->Agreement.confirmedRound();
  wire::Stamp Proof;
  Proof.Term = this->Agreement.term();
  Proof.Version = this->Store.version();
  Proof.Counter = this->Issued.Counter;
  std::erase_if(this->StampRequests, [&](const PendingStamp &Item) {
    if (Item.Round == 0 || Item.Round > Confirmed)
      return false;
    wire::StampReply Reply;
    Reply.Nonce = Item.Nonce;
    Reply.Confirmed = Proof;
    send(Out, Item.From, std::move(Reply), Channel::Datagram);
    return true;
  });
  if (this->StampRound != 0 && this->StampRound <= Confirmed) {
    this->StampRound = 0;
    Proof.Counter += 1;
    this->Issued = Proof;
  }
  std::erase_if(this->Reads, [&](const PendingRead &Item) {
    if (Item.Round > Confirmed)
      return false;
    this->answer(Item.RequestId, {}, this->Store.version(), Out);
    return true;
  });
}

void ControlService::expireRequests(Time Now, Effects &Out) {
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
  std::erase_if(this->Reads, [&](const PendingRead &Item) {
    if (Now < Item.Deadline)
      return false;
    this->answer(Item.RequestId, {ResultCode::NoQuorum, {}, {}}, 0, Out);
    return true;
  });
}

void ControlService::dropPending(Effects &Out) {
  for (const PendingWrite &Item : this->Writes)
    this->answer(
        Item.RequestId,
        {Item.Index == 0 ? ResultCode::NotLeader : ResultCode::OutcomePending,
         {},
         {}},
        0, Out);
  for (const PendingRead &Item : this->Reads)
    this->answer(Item.RequestId, {ResultCode::NotLeader, {}, {}}, 0, Out);
  this->Writes.clear();
  this->Reads.clear();
  this->WaitingClaims.clear();
  this->ClaimsInFlight.clear();
  this->ClaimsIndex = 0;
  this->WriteInFlight = 0;
}

void ControlService::takeSnapshot(Effects &Out) {
  if (this->AppliedIndex - this->SnapshotIndex <
      this->Snapshots.EntriesPerSnapshot)
    return;
  wire::StoreSnapshot Snapshot =
      this->Store.snapshot(this->AppliedIndex, this->AppliedTerm);
  Snapshot.Voters = this->CommittedVoters;
  this->SnapshotIndex = this->AppliedIndex;
  this->Agreement.setSnapshot(Snapshot);
  this->Agreement.compact(this->AppliedIndex - this->Snapshots.EntriesKept);
  Out.emplace_back(PersistSnapshot{std::move(Snapshot)});
}

std::vector<AppliedChange> ControlService::takeApplied() {
  return std::exchange(this->Applied, {});
}

bool ControlService::takeReplaced() {
  return std::exchange(this->Replaced, false);
}

} // namespace persimmon
