#include "membership.h"

#include <algorithm>
#include <bit>

namespace persimmon {

namespace {

constexpr milliseconds ProbeInterval{1000};
constexpr milliseconds AckTimeout{300};
constexpr milliseconds IndirectTimeout{500};
constexpr milliseconds SuspicionTimeout{1500};
constexpr milliseconds ForgetTimeout{600'000};
/// Targets that are only silent are tried this long if a service has no others.
constexpr milliseconds SilentTryTime{10'000};
/// Longer than a target that leaves goes on serving.
constexpr milliseconds FormerRecordTimeout{120'000};
constexpr milliseconds PushInterval{100};
constexpr milliseconds SyncInterval{10'000};
constexpr milliseconds ShortSyncInterval{1000};
constexpr milliseconds JoinIntervalMin{200};
constexpr milliseconds JoinIntervalMax{1000};
constexpr milliseconds StaleTimeout{10'000};
constexpr std::size_t IndirectProbers = 3;
constexpr std::size_t PushPeers = 2;
constexpr std::size_t UpdatesPerMessage = 8;
constexpr std::size_t RecordsForNewMember = 5;
constexpr std::size_t SyncBuckets = 32;
constexpr std::size_t ManyChangedRecords = 50;
constexpr std::size_t BaseTransmissions = 4;

std::size_t bucketOf(std::string_view Name) {
  return hashOf(Name) % SyncBuckets;
}

/// Returns whether \p New replaces \p Old. At equal incarnation and sequence,
/// the worse state wins until the member refutes it with a higher sequence.
bool supersedes(const wire::MemberRecord &New, const wire::MemberRecord &Old) {
  if (New.Incarnation != Old.Incarnation)
    return New.Incarnation > Old.Incarnation;
  if (New.Sequence != Old.Sequence)
    return New.Sequence > Old.Sequence;
  return New.State > Old.State;
}

bool tellsOfTarget(const wire::MemberRecord &Record) {
  return Record.__isset.Run || Record.__isset.LeavingRun;
}

/// Replaces \p Held by \p Record if that tells of a target and is newer; a
/// leaving run that it does not name is kept. Returns whether it was replaced.
bool updateFormer(std::optional<wire::MemberRecord> &Held,
                  const wire::MemberRecord &Record) {
  if (!tellsOfTarget(Record) || (Held && !supersedes(Record, *Held)))
    return false;
  wire::MemberRecord Next = Record;
  if (Held && Held->__isset.LeavingRun && !Next.__isset.LeavingRun)
    Next.__set_LeavingRun(Held->LeavingRun);
  Held = std::move(Next);
  return true;
}

} // namespace

Membership::Membership(wire::MemberRecord OwnRecord,
                       std::vector<std::string> Seeds, std::uint64_t Seed)
    : Self(std::move(OwnRecord)), Rng(Seed) {
  this->setSeeds(std::move(Seeds));
  this->OwnIncarnations.insert(this->Self.Incarnation);
  this->Records.emplace(this->Self.Name, this->Self);
  this->queueUpdate(this->Self.Name);
}

std::size_t Membership::transmissionLimit() const {
  return BaseTransmissions + std::bit_width(this->Records.size());
}

void Membership::queueUpdate(const std::string &Name) {
  this->PendingUpdates[Name] = this->transmissionLimit();
}

void Membership::updateSelf(
    const std::function<void(wire::MemberRecord &)> &Change) {
  Change(this->Self);
  this->Self.Sequence += 1;
  this->Records[this->Self.Name] = this->Self;
  this->Revision += 1;
  this->queueUpdate(this->Self.Name);
}

void Membership::refute(const wire::MemberRecord &Record) {
  if (Record.Incarnation > this->Self.Incarnation) {
    // The clock was set back since an earlier run of this daemon.
    this->storeOwnFormer(Record);
    this->Self.Incarnation = Record.Incarnation + 1;
    this->OwnIncarnations.insert(this->Self.Incarnation);
  }
  this->Self.Sequence = std::max(this->Self.Sequence, Record.Sequence);
  this->updateSelf([](wire::MemberRecord &) {});
}

bool Membership::merge(const wire::MemberRecord &Record, Time Now) {
  if (Record.Name.empty())
    return false;
  if (Record.Name == this->Self.Name) {
    if (supersedes(Record, this->Self))
      this->refute(Record);
    else if (!this->hadIncarnation(Record.Incarnation))
      this->storeOwnFormer(Record);
    return false;
  }
  const auto Found = this->Records.find(Record.Name);
  if (Found != this->Records.end() && !supersedes(Record, Found->second)) {
    if (Record.Incarnation < Found->second.Incarnation)
      this->storeFormer(Record, Now);
    return false;
  }
  this->store(Record, Now);
  return true;
}

void Membership::store(const wire::MemberRecord &Record, Time Now) {
  const auto Known = this->Records.find(Record.Name);
  if (Known != this->Records.end() &&
      Known->second.Incarnation < Record.Incarnation)
    this->storeFormer(Known->second, Now);
  this->Records[Record.Name] = Record;
  this->Revision += 1;
  this->SuspectUntil.erase(Record.Name);
  this->ForgetAt.erase(Record.Name);
  this->TryUntil.erase(Record.Name);
  if (Record.State == wire::Liveness::Dead)
    this->TryUntil[Record.Name] = Now + SilentTryTime;
  if (Record.State == wire::Liveness::Suspect)
    this->SuspectUntil[Record.Name] = Now + SuspicionTimeout;
  if (!isAlive(Record))
    this->ForgetAt[Record.Name] = Now + ForgetTimeout;
  this->queueUpdate(Record.Name);
}

void Membership::storeFormer(const wire::MemberRecord &Record, Time Now) {
  const auto Found = this->FormerRecords.find(Record.Name);
  std::optional<wire::MemberRecord> Held;
  if (Found != this->FormerRecords.end())
    Held = Found->second.Record;
  if (updateFormer(Held, Record))
    this->FormerRecords[Record.Name] = {*Held, Now + FormerRecordTimeout};
}

void Membership::storeOwnFormer(const wire::MemberRecord &Record) {
  if (updateFormer(this->OwnFormer, Record))
    this->OwnFormerChanged = true;
}

const wire::MemberRecord *
Membership::formerRecord(std::string_view Name) const {
  const auto Found = this->FormerRecords.find(Name);
  return Found == this->FormerRecords.end() ? nullptr : &Found->second.Record;
}

void Membership::sendFormerRecord(std::string_view Name,
                                  std::string_view Address, Effects &Out) {
  const wire::MemberRecord *Former = this->formerRecord(Name);
  if (Former == nullptr)
    return;
  wire::Announce Message;
  Message.Head = this->makeGossip();
  Message.Head.Updates.push_back(*Former);
  send(Out, Address, std::move(Message), Channel::Datagram);
}

void Membership::sendFormerLeave(std::string_view Name,
                                 std::string_view Address, Effects &Out) {
  const wire::MemberRecord *Former = this->formerRecord(Name);
  const wire::MemberRecord *Current = this->find(Name);
  if (Former == nullptr || Current == nullptr || !Former->__isset.LeavingRun ||
      Current->__isset.LeavingRun)
    return;
  const wire::TargetRun &Left = Former->LeavingRun;
  const bool UsesOther =
      Current->__isset.Run && (Current->Run.InstanceId != Left.InstanceId ||
                               Current->Run.Born > Left.Born);
  if (!UsesOther)
    this->sendFormerRecord(Name, Address, Out);
}

std::optional<wire::MemberRecord> Membership::takeOwnFormerRecord() {
  if (!std::exchange(this->OwnFormerChanged, false))
    return std::nullopt;
  return this->OwnFormer;
}

void Membership::suspect(const std::string &Name, Time Now) {
  const auto Found = this->Records.find(Name);
  if (Found == this->Records.end() ||
      Found->second.State != wire::Liveness::Alive)
    return;
  wire::MemberRecord Record = Found->second;
  Record.State = wire::Liveness::Suspect;
  this->store(Record, Now);
}

void Membership::expire(Time Now) {
  std::vector<std::string> Overdue;
  for (const auto &[Name, Deadline] : this->SuspectUntil) {
    if (Now >= Deadline)
      Overdue.push_back(Name);
  }
  for (const std::string &Name : Overdue) {
    wire::MemberRecord Record = this->Records[Name];
    Record.State = wire::Liveness::Dead;
    this->store(Record, Now);
  }
  std::erase_if(this->ForgetAt, [&](const auto &Item) {
    if (Now < Item.second)
      return false;
    this->Records.erase(Item.first);
    this->PendingUpdates.erase(Item.first);
    this->Revision += 1;
    return true;
  });
  std::erase_if(this->FormerRecords,
                [&](const auto &Item) { return Now >= Item.second.ForgetAt; });
  std::erase_if(this->TryUntil,
                [&](const auto &Item) { return Now >= Item.second; });
  std::erase_if(this->RelayedProbes,
                [&](const auto &Item) { return Now >= Item.second.Deadline; });
}

void Membership::updateStamp(const wire::Stamp &Stamp, Time Now) {
  const bool Newer =
      Stamp.Term > this->Newest.Term ||
      (Stamp.Term == this->Newest.Term && Stamp.Counter > this->Newest.Counter);
  if (!Newer)
    return;
  this->Newest = Stamp;
  this->StaleAt = Now + StaleTimeout;
}

void Membership::mergeGossip(const wire::Gossip &Head, Time Now) {
  for (const wire::MemberRecord &Record : Head.Updates)
    this->merge(Record, Now);
  this->updateStamp(Head.Newest, Now);
}

wire::Gossip Membership::makeGossip() {
  wire::Gossip Out;
  Out.From = this->Self.Name;
  Out.Address = this->Self.Address;
  Out.Version = this->Version;
  Out.Newest = this->Newest;
  std::vector<std::pair<std::size_t, std::string>> Order;
  for (const auto &[Name, Remaining] : this->PendingUpdates)
    Order.emplace_back(Remaining, Name);
  const std::size_t Count = std::min(Order.size(), UpdatesPerMessage);
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end(), std::greater<>());
  for (std::size_t I = 0; I < Count; ++I) {
    const std::string &Name = Order[I].second;
    Out.Updates.push_back(this->Records[Name]);
    if (--this->PendingUpdates[Name] == 0)
      this->PendingUpdates.erase(Name);
  }
  return Out;
}

std::vector<std::string> Membership::pickPeers(std::size_t SameZone,
                                               std::size_t OtherZones) {
  std::vector<std::string> SameZonePeers;
  std::vector<std::string> OtherPeers;
  for (const auto &[Name, Record] : this->Records) {
    if (Name == this->Self.Name || !isAlive(Record))
      continue;
    (Record.Zone == this->Self.Zone ? SameZonePeers : OtherPeers)
        .push_back(Record.Address);
  }
  std::vector<std::string> Out;
  const auto Draw = [&](std::vector<std::string> &From, std::size_t Count) {
    while (Count-- > 0 && !From.empty()) {
      const std::size_t Index = this->Rng.below(From.size());
      Out.push_back(std::move(From[Index]));
      From[Index] = std::move(From.back());
      From.pop_back();
    }
  };
  Draw(SameZonePeers, SameZone);
  Draw(OtherPeers,
       OtherZones + (SameZone > Out.size() ? SameZone - Out.size() : 0));
  if (Out.size() < SameZone + OtherZones)
    Draw(SameZonePeers, SameZone + OtherZones - Out.size());
  return Out;
}

void Membership::announce(const std::vector<std::string> &Addresses,
                          Effects &Out) {
  for (const std::string &Address : Addresses) {
    wire::Announce Message;
    Message.Head = this->makeGossip();
    send(Out, Address, std::move(Message), Channel::Datagram);
  }
}

void Membership::tick(Time Now, Effects &Out) {
  this->expire(Now);
  this->joinSeeds(Now, Out);
  if (Now >= this->CurrentProbe.AckDeadline)
    this->probeIndirectly(Now, Out);
  if (Now >= this->NextProbe)
    this->startProbe(Now, Out);
  if (Now >= this->NextSync)
    this->startSync(Now, Out);
  if (Now >= this->NextPush && !this->PendingUpdates.empty()) {
    this->NextPush = Now + PushInterval;
    this->announce(this->pickPeers(1, PushPeers - 1), Out);
  }
}

void Membership::joinSeeds(Time Now, Effects &Out) {
  if (Now < this->NextJoin || this->SeedAddresses.empty())
    return;
  this->NextJoin = Now + this->Rng.between(JoinIntervalMin, JoinIntervalMax);
  const bool Joined = std::any_of(
      this->Records.begin(), this->Records.end(), [&](const auto &Item) {
        return Item.first != this->Self.Name && isAlive(Item.second);
      });
  if (Joined && !this->stale(Now))
    return;
  const std::string &Address =
      this->SeedAddresses[this->Rng.below(this->SeedAddresses.size())];
  this->queueUpdate(this->Self.Name);
  wire::Probe Message;
  Message.Head = this->makeGossip();
  send(Out, Address, std::move(Message), Channel::Datagram);
}

void Membership::startProbe(Time Now, Effects &Out) {
  this->NextProbe = Now + ProbeInterval;
  if (this->ProbeOrder.empty()) {
    for (const auto &[Name, Record] : this->Records) {
      if (Name != this->Self.Name && isAlive(Record))
        this->ProbeOrder.push_back(Name);
    }
    for (std::size_t I = this->ProbeOrder.size(); I > 1; --I)
      std::swap(this->ProbeOrder[I - 1], this->ProbeOrder[this->Rng.below(I)]);
  }
  while (!this->ProbeOrder.empty()) {
    const std::string Name = this->ProbeOrder.back();
    this->ProbeOrder.pop_back();
    const wire::MemberRecord *Record = this->find(Name);
    if (Record == nullptr || !isAlive(*Record))
      continue;
    this->CurrentProbe = {++this->NextNumber, Name, Now + AckTimeout, false};
    wire::Probe Message;
    Message.Head = this->makeGossip();
    Message.Number = this->CurrentProbe.Number;
    send(Out, Record->Address, std::move(Message), Channel::Datagram);
    return;
  }
}

void Membership::probeIndirectly(Time Now, Effects &Out) {
  this->CurrentProbe.AckDeadline = NoDeadline;
  if (this->CurrentProbe.Indirect) {
    this->suspect(this->CurrentProbe.Name, Now);
    return;
  }
  const wire::MemberRecord *Record = this->find(this->CurrentProbe.Name);
  if (Record == nullptr || !isAlive(*Record))
    return;
  this->CurrentProbe.Indirect = true;
  this->CurrentProbe.AckDeadline = Now + IndirectTimeout;
  for (const std::string &Address : this->pickPeers(1, IndirectProbers - 1)) {
    wire::IndirectProbe Message;
    Message.Head = this->makeGossip();
    Message.Number = this->CurrentProbe.Number;
    Message.SubjectAddress = Record->Address;
    send(Out, Address, std::move(Message), Channel::Datagram);
  }
}

void Membership::receive(const wire::Probe &Message, std::string_view From,
                         Time Now, Effects &Out) {
  const wire::MemberRecord *Held = this->find(Message.Head.From);
  const bool Known = Held != nullptr;
  // A member that is considered suspect or dead is sent its record, so that it
  // can refute it.
  const bool SendsItsRecord = Known && Held->State != wire::Liveness::Alive;
  this->mergeGossip(Message.Head, Now);
  wire::ProbeAck Reply;
  Reply.Head = this->makeGossip();
  Reply.Number = Message.Number;
  if (SendsItsRecord)
    Reply.Head.Updates.push_back(*this->find(Message.Head.From));
  if (const auto *Former = this->formerRecord(Message.Head.From))
    Reply.Head.Updates.push_back(*Former);
  Reply.WantsRecord = !Known;
  if (!Known) {
    // Sends a new member the records of a few others, so that its first sync
    // does not load the control instances.
    std::vector<const wire::MemberRecord *> Alive;
    for (const auto &[Name, Record] : this->Records) {
      if (isAlive(Record))
        Alive.push_back(&Record);
    }
    for (std::size_t I = 0; I < RecordsForNewMember && !Alive.empty(); ++I)
      Reply.Head.Updates.push_back(*Alive[this->Rng.below(Alive.size())]);
    Reply.Head.Updates.push_back(this->Self);
  }
  send(Out, From, std::move(Reply), Channel::Datagram);
}

void Membership::receive(const wire::Announce &Message, std::string_view From,
                         Time Now, Effects &Out) {
  this->mergeGossip(Message.Head, Now);
  this->sendFormerLeave(Message.Head.From, From, Out);
}

void Membership::receive(const wire::ProbeAck &Message, std::string_view From,
                         Time Now, Effects &Out) {
  this->mergeGossip(Message.Head, Now);
  this->sendFormerLeave(Message.Head.From, From, Out);
  if (Message.WantsRecord)
    this->queueUpdate(this->Self.Name);
  const auto Relayed = this->RelayedProbes.find(Message.Number);
  if (Relayed != this->RelayedProbes.end()) {
    wire::ProbeAck Forward;
    Forward.Head = this->makeGossip();
    Forward.Number = Relayed->second.Number;
    send(Out, Relayed->second.Address, std::move(Forward), Channel::Datagram);
    this->RelayedProbes.erase(Relayed);
    return;
  }
  if (Message.Number == this->CurrentProbe.Number && Message.Number != 0)
    this->CurrentProbe.AckDeadline = NoDeadline;
}

void Membership::receive(const wire::IndirectProbe &Message, Time Now,
                         Effects &Out) {
  this->mergeGossip(Message.Head, Now);
  const std::int64_t Number = ++this->NextNumber;
  this->RelayedProbes[Number] = {Message.Head.Address, Message.Number,
                                 Now + IndirectTimeout};
  wire::Probe Probe;
  Probe.Head = this->makeGossip();
  Probe.Number = Number;
  send(Out, Message.SubjectAddress, std::move(Probe), Channel::Datagram);
}

std::vector<std::int64_t> Membership::buckets() const {
  std::vector<std::uint64_t> Sums(SyncBuckets, 0);
  for (const auto &[Name, Record] : this->Records)
    Sums[bucketOf(Name)] += hashOf(Record);
  return {Sums.begin(), Sums.end()};
}

void Membership::startSync(Time Now, Effects &Out) {
  const std::vector<std::string> Peers = this->pickPeers(1, 1);
  // The reply sets the normal interval; without one, another peer is tried.
  this->NextSync = Now + ShortSyncInterval;
  if (Peers.empty())
    return;
  wire::SyncRequest Request;
  Request.Buckets = this->buckets();
  send(Out, Peers[this->Rng.below(Peers.size())], std::move(Request));
}

void Membership::receive(const wire::SyncRequest &Message,
                         std::string_view From, Effects &Out) {
  if (Message.Buckets.size() != SyncBuckets)
    return;
  const std::vector<std::int64_t> OwnBuckets = this->buckets();
  wire::SyncReply Reply;
  Reply.WantsRecords = true;
  for (std::size_t I = 0; I < SyncBuckets; ++I) {
    if (OwnBuckets[I] != Message.Buckets[I])
      Reply.Buckets.push_back(static_cast<std::int32_t>(I));
  }
  for (const auto &[Name, Record] : this->Records) {
    const auto Bucket = bucketOf(Name);
    if (OwnBuckets[Bucket] != Message.Buckets[Bucket])
      Reply.Records.push_back(Record);
  }
  send(Out, From, std::move(Reply));
}

void Membership::receive(const wire::SyncReply &Message, std::string_view From,
                         Time Now, Effects &Out) {
  std::map<std::string_view, const wire::MemberRecord *> PeerRecords;
  std::size_t ChangedRecords = 0;
  for (const wire::MemberRecord &Record : Message.Records) {
    PeerRecords.emplace(Record.Name, &Record);
    ChangedRecords += this->merge(Record, Now) ? 1 : 0;
  }
  this->NextSync =
      Now +
      (ChangedRecords >= ManyChangedRecords ? ShortSyncInterval : SyncInterval);
  if (!Message.WantsRecords)
    return;
  const std::set<std::int32_t> Wanted(Message.Buckets.begin(),
                                      Message.Buckets.end());
  wire::SyncReply Answer;
  for (const auto &[Name, Record] : this->Records) {
    if (Wanted.count(static_cast<std::int32_t>(bucketOf(Name))) == 0)
      continue;
    const auto Other = PeerRecords.find(Name);
    if (Other == PeerRecords.end() || supersedes(Record, *Other->second))
      Answer.Records.push_back(Record);
  }
  if (!Answer.Records.empty())
    send(Out, From, std::move(Answer));
}

const wire::MemberRecord *Membership::find(std::string_view Name) const {
  const auto Found = this->Records.find(Name);
  return Found == this->Records.end() ? nullptr : &Found->second;
}

void Membership::indexTargets() const {
  if (this->IndexedRevision == this->Revision)
    return;
  this->IndexedRevision = this->Revision;
  this->Targets.clear();
  this->Proxies = 0;
  for (const auto &[Name, Record] : this->Records) {
    this->Proxies += isAlive(Record) && !Record.Control ? 1 : 0;
    if (isAlive(Record) && Record.Target == wire::TargetState::Serving)
      this->Targets[Record.Service].push_back(Name);
  }
}

void Membership::setSeeds(std::vector<std::string> Addresses) {
  this->SeedAddresses = std::move(Addresses);
  std::erase(this->SeedAddresses, this->Self.Address);
}

std::size_t Membership::serviceCount() const {
  this->indexTargets();
  return this->Targets.size();
}

std::size_t Membership::proxyCount() const {
  this->indexTargets();
  return this->Proxies;
}

std::vector<std::string> Membership::controlAddresses() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Record] : this->Records) {
    if (Record.Control && isAlive(Record))
      Out.push_back(Record.Address);
  }
  return Out;
}

const std::vector<std::string> &
Membership::targetsOf(std::string_view Service) const {
  static const std::vector<std::string> None;
  this->indexTargets();
  const auto Found = this->Targets.find(Service);
  return Found == this->Targets.end() ? None : Found->second;
}

std::vector<std::string> Membership::silentTargetsOf(std::string_view Service,
                                                     Time Now) const {
  std::vector<std::string> Out;
  for (const auto &[Name, Until] : this->TryUntil) {
    const wire::MemberRecord *Record = this->find(Name);
    if (Now < Until && Record != nullptr && Record->Service == Service &&
        Record->Target == wire::TargetState::Serving)
      Out.push_back(Name);
  }
  return Out;
}

bool Membership::hasSilentTarget(std::string_view Service,
                                 std::string_view TargetVersion) const {
  return std::any_of(
      this->TryUntil.begin(), this->TryUntil.end(), [&](const auto &Item) {
        const wire::MemberRecord *Record = this->find(Item.first);
        return Record != nullptr && Record->Service == Service &&
               Record->Target == wire::TargetState::Serving &&
               Record->TargetVersion == TargetVersion;
      });
}

} // namespace persimmon
