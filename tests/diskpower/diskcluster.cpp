#include "diskcluster.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t MostWiped = 2;
constexpr std::int64_t EntriesPerSnapshot = 8;
constexpr milliseconds TickInterval{20};
constexpr milliseconds RecoveryLimit{30000};
/// A member counts as lost until then after it is back (catchUpS).
constexpr milliseconds CatchUpTime{6000};
constexpr milliseconds AcknowledgementLimit{20000};
/// An instance that has just started may know of those that its settings do not
/// name only after it has compared its table of members.
constexpr std::uint64_t TableTimeMs = 10000;

bool isPersist(const Effect &What) {
  return std::holds_alternative<PersistHardState>(What) ||
         std::holds_alternative<PersistEntries>(What) ||
         std::holds_alternative<PersistSnapshot>(What);
}

} // namespace

DiskCluster::DiskCluster(std::uint64_t Seed, ClusterSize TheSize)
    : Random(Seed), Size(TheSize), Now(std::chrono::hours(1)) {
  for (int I = 1; I <= this->Size.Members; ++I) {
    const std::string Address = "10.0.0." + std::to_string(I) + ":1";
    this->Members[Address].Self = initialVoterAt(Address);
  }
}

void DiskCluster::addViolation(const std::string &Text) {
  this->Violations.push_back(
      std::to_string((this->Now.time_since_epoch() - std::chrono::hours(1)) /
                     milliseconds(1)) +
      " ms: " + Text);
}

void DiskCluster::start(Member &Item) {
  this->LastStart += 1;
  Item.Start = this->LastStart;
  Item.LosesPower = this->AtOpen && this->below(2) == 0;
  if (this->AtOpen && this->below(3) == 0)
    Item.Disk.endProcessAfter(1 + this->below(20));
  std::optional<std::int64_t> InitialDiskId;
  if (Item.Bootstrap)
    InitialDiskId = initialVoterAt(Item.Self.Address).DiskId;
  const Failure Error = handleResult(
      [&] {
        return DiskStore::open(Item.Disk.openFolder(),
                               diskIdFrom(this->Random()), InitialDiskId);
      },
      [&](DiskStore Opened) { Item.Store.emplace(std::move(Opened)); });
  if (!Item.Store) {
    if (!Item.Disk.processEnded())
      this->addViolation(Item.Self.Address + " start: " + describe(Error));
    this->endProcess(Item);
    return;
  }
  if (Item.Store->damage().failed())
    this->addViolation(Item.Self.Address +
                       " lost its disk: " + describe(Item.Store->damage()));
  Item.Self.DiskId = Item.Store->diskId();
  const DurableState &State = Item.Store->state();
  Item.AppliedIndex = State.Snapshot.LastIndex;
  Item.AppliedTerm = State.Snapshot.LastTerm;
  Item.SnapshotIndex = State.Snapshot.LastIndex;
  Item.AcknowledgedIndex = 0;
  Item.Voters = State.Snapshot.Voters;
  Item.Applied.clear();
  for (const wire::Setting &Setting : State.Snapshot.Settings)
    Item.Applied[Setting.Path] = Setting.Value;
  std::vector<ControlPeer> Peers;
  std::vector<std::string> Addresses;
  for (const auto &[Address, Other] : this->Members) {
    if (Addresses.size() == static_cast<std::size_t>(this->Size.Initial))
      break;
    Addresses.push_back(Address);
    if (Address != Item.Self.Address)
      Peers.push_back({Address, Address});
  }
  VoterPolicy Policy;
  Policy.Count = this->Size.Voters;
  Item.Logic = std::make_unique<Consensus>(Item.Self, std::move(Peers), Policy,
                                           this->Random());
  Item.TableKnownAt =
      this->Now + milliseconds(static_cast<int>(this->below(TableTimeMs)));
  Item.Logic->restore(State, this->Now);
  Item.Store->releaseState();
  Effects Out;
  if (Item.Bootstrap)
    Item.Logic->bootstrap(initialVotersAt(std::move(Addresses)), this->Now,
                          Out);
  this->execute(Item, std::move(Out));
}

void DiskCluster::endProcess(Member &Item) {
  Item.Logic.reset();
  Item.Store.reset();
  this->Ends += 1;
  if (Item.LosesPower)
    Item.Disk.losePower(this->Random);
  else
    Item.Disk.restart();
  Item.LosesPower = false;
  Item.RestartAt =
      this->Now + milliseconds(50 + static_cast<int>(this->below(
                                        this->below(4) == 0 ? 3000 : 400)));
}

void DiskCluster::endAfter(Member &Item, std::uint64_t Steps, bool LosesPower) {
  if (!Item.Logic)
    return;
  Item.LosesPower = LosesPower;
  Item.Disk.endProcessAfter(Steps);
  if (Steps == 0)
    this->endProcess(Item);
}

void DiskCluster::wipe(Member &Item) {
  if (this->recovered())
    this->Wiped.clear();
  if (this->Wiped.size() >= MostWiped &&
      !this->Wiped.contains(Item.Self.Address))
    return;
  if (this->Wiped.contains(Item.Self.Address) || !Item.Logic)
    return;
  this->Wiped.insert(Item.Self.Address);
  this->endProcess(Item);
  Item.Disk.wipe();
  Item.Bootstrap = false;
}

void DiskCluster::perform(Member &Item, const SendMessage &What) {
  if (const auto *Vote = std::get_if<wire::VoteReply>(&What.Body)) {
    if (Vote->Granted && !Vote->PreVote)
      for (const auto &[Address, Other] : this->Members)
        if (Address == What.Address)
          this->noteVote(Vote->FromDisk, Vote->Term, Other.Self.DiskId);
  }
  if (const auto *Asked = std::get_if<wire::VoteRequest>(&What.Body)) {
    if (!Asked->PreVote)
      this->noteVote(Asked->Candidate.DiskId, Asked->Term,
                     Asked->Candidate.DiskId);
  }
  const auto Found = this->Members.find(What.Address);
  if (Found == this->Members.end())
    return;
  const bool Split = this->isSplit(Item.Self.Address, What.Address);
  if (Split && What.Via == Channel::Datagram)
    return;
  const Time Sent =
      std::max({this->Now, Item.BusyUntil, Split ? this->SplitUntil : Time()});
  this->InFlight.emplace(Sent + milliseconds(1),
                         Delivery{What.Address, Found->second.Start,
                                  Item.Self.Address, What.Body});
}

void DiskCluster::noteVote(std::int64_t DiskId, std::int64_t Term,
                           std::int64_t For) {
  const auto [Known, IsNew] =
      this->VoteOf.emplace(std::pair(DiskId, Term), For);
  if (!IsNew && Known->second != For)
    this->addViolation("disk " + std::to_string(DiskId) +
                       " voted twice in term " + std::to_string(Term));
}

void DiskCluster::execute(Member &Item, Effects What) {
  if (Item.Logic)
    this->applyCommitted(Item, What);
  for (const Effect &Next : What) {
    if (const auto *Sent = std::get_if<SendMessage>(&Next))
      this->perform(Item, *Sent);
    if (const auto *Renewed = std::get_if<RenewConnection>(&Next))
      this->dropStream(Item.Self.Address, Renewed->Address);
    if (!isPersist(Next))
      continue;
    Item.BusyUntil = std::max(Item.BusyUntil, this->Now) + Item.SyncTime;
    const Failure Error = handleResult(
        [&]() -> leaf::result<void> {
          if (const auto *Hard = std::get_if<PersistHardState>(&Next))
            return Item.Store->write(*Hard);
          if (const auto *Entries = std::get_if<PersistEntries>(&Next))
            return Item.Store->write(*Entries);
          return Item.Store->write(std::get<PersistSnapshot>(Next));
        },
        [] {});
    if (Error.failed()) {
      this->endProcess(Item);
      return;
    }
  }
  // Acknowledged last: a leader answers only after what it wrote was synced.
  if (!Item.Logic->leader() || Item.AcknowledgedIndex == Item.AppliedIndex)
    return;
  Item.AcknowledgedIndex = Item.AppliedIndex;
  for (const auto &[Id, Value] : Item.Applied)
    this->Acknowledged.emplace(Id, Value);
}

void DiskCluster::applyCommitted(Member &Item, Effects &Out) {
  for (const wire::LogEntry &Entry : Item.Logic->takeCommitted())
    this->apply(Item, Entry);
  this->takeSnapshot(Item, Out);
}

void DiskCluster::apply(Member &Item, const wire::LogEntry &Entry) {
  Item.AppliedIndex = Entry.Index;
  Item.AppliedTerm = Entry.Term;
  const std::string Id = Entry.TheChange.ChangeId;
  const auto [Known, IsNew] =
      this->Committed.emplace(Entry.Index, std::pair(Entry.Term, Id));
  if (!IsNew && Known->second != std::pair(Entry.Term, Id))
    this->addViolation(Item.Self.Address + " committed another entry at " +
                       std::to_string(Entry.Index));
  if (Entry.Kind == wire::EntryKind::Voters)
    Item.Voters = Entry.Voters;
  if (Entry.Kind == wire::EntryKind::Change)
    Item.Applied[Id] = Entry.TheChange.Edits.front().Value;
}

void DiskCluster::takeSnapshot(Member &Item, Effects &Out) {
  if (Item.AppliedIndex - Item.SnapshotIndex < EntriesPerSnapshot)
    return;
  wire::StoreSnapshot Snapshot;
  Snapshot.LastIndex = Item.AppliedIndex;
  Snapshot.LastTerm = Item.AppliedTerm;
  Snapshot.Voters = Item.Voters;
  for (const auto &[Path, Value] : Item.Applied) {
    wire::Setting Setting;
    Setting.Path = Path;
    Setting.Value = Value;
    Snapshot.Settings.push_back(std::move(Setting));
  }
  Item.SnapshotIndex = Item.AppliedIndex;
  Item.Logic->setSnapshot(Snapshot);
  Item.Logic->compact(Item.AppliedIndex -
                      static_cast<std::int64_t>(this->below(4)));
  Out.emplace_back(PersistSnapshot{std::move(Snapshot)});
}

void DiskCluster::deliver(const Delivery &What) {
  Member &Item = this->Members.at(What.To);
  if (!Item.Logic || Item.Start != What.Start)
    return;
  Effects Out;
  Consensus &Logic = *Item.Logic;
  if (const auto *Vote = std::get_if<wire::VoteRequest>(&What.Body))
    Logic.receive(*Vote, What.From, this->Now, Out);
  if (const auto *Reply = std::get_if<wire::VoteReply>(&What.Body))
    Logic.receive(*Reply, this->Now, Out);
  if (const auto *Append = std::get_if<wire::AppendRequest>(&What.Body))
    Logic.receive(*Append, What.From, this->Now, Out);
  if (const auto *Reply = std::get_if<wire::AppendReply>(&What.Body))
    Logic.receive(*Reply, this->Now, Out);
  if (const auto *Join = std::get_if<wire::JoinRequest>(&What.Body))
    Logic.receive(*Join, this->Now, Out);
  if (const auto *Install = std::get_if<wire::InstallRequest>(&What.Body)) {
    if (Logic.acceptsSnapshot(*Install, What.From, this->Now, Out)) {
      Logic.installSnapshot(*Install, What.From, Out);
      const wire::StoreSnapshot &Snapshot = Install->Snapshot;
      Item.AppliedIndex = Snapshot.LastIndex;
      Item.AppliedTerm = Snapshot.LastTerm;
      Item.SnapshotIndex = Snapshot.LastIndex;
      Item.Voters = Snapshot.Voters;
      Item.Applied.clear();
      for (const wire::Setting &Setting : Snapshot.Settings)
        Item.Applied[Setting.Path] = Setting.Value;
    }
  }
  this->execute(Item, std::move(Out));
}

void DiskCluster::run(milliseconds For) {
  const Time End = this->Now + For;
  for (; this->Now < End; this->Now += milliseconds(1)) {
    while (!this->InFlight.empty() &&
           this->InFlight.begin()->first <= this->Now) {
      Delivery Next = std::move(this->InFlight.begin()->second);
      this->InFlight.erase(this->InFlight.begin());
      const Member &To = this->Members.at(Next.To);
      const Time Free = std::max(To.FrozenUntil, To.BusyUntil);
      if (To.Logic && Free > this->Now)
        this->InFlight.emplace(Free, std::move(Next));
      else
        this->deliver(Next);
    }
    const bool TickIsDue = (this->Now.time_since_epoch() / milliseconds(1)) %
                               TickInterval.count() ==
                           0;
    for (auto &[Address, Item] : this->Members) {
      if (!Item.Logic && this->Now >= Item.RestartAt)
        this->start(Item);
      if (!Item.Logic || !TickIsDue || this->Now < Item.FrozenUntil ||
          this->Now < Item.BusyUntil)
        continue;
      if (this->Now >= Item.TableKnownAt)
        this->fillTable(Item);
      Effects Out;
      Item.Logic->tick(this->Now, Out);
      this->execute(Item, std::move(Out));
    }
  }
}

void DiskCluster::fillTable(Member &Item) {
  Item.TableKnownAt = NoDeadline;
  std::vector<std::string> Addresses;
  for (const auto &[Address, Other] : this->Members)
    Addresses.push_back(Address);
  Item.Logic->setJoinAddresses(std::move(Addresses));
}

DiskCluster::Member *DiskCluster::leader() {
  Member *Out = nullptr;
  for (auto &[Address, Item] : this->Members)
    if (Item.Logic && Item.Logic->leader() &&
        (Out == nullptr || Item.Logic->term() > Out->Logic->term()))
      Out = &Item;
  return Out;
}

void DiskCluster::proposeChange() {
  Member *Item = this->leader();
  if (Item == nullptr)
    return;
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Change;
  Entry.TheChange.ChangeId = "change-" + std::to_string(++this->LastChange);
  Entry.TheChange.Edits.resize(1);
  Entry.TheChange.Edits[0].Value =
      std::string(this->below(this->below(4) == 0 ? 6000 : 300),
                  static_cast<char>('a' + this->below(26)));
  Effects Out;
  Item->Logic->propose(std::move(Entry), this->Now, Out);
  this->execute(*Item, std::move(Out));
}

void DiskCluster::injectFault() {
  const auto Kind = this->below(10);
  const bool LosesPower = this->below(2) == 0;
  const auto Chosen =
      std::next(this->Members.begin(),
                static_cast<int>(this->below(this->Members.size())));
  if (Kind < 3) {
    this->endAfter(Chosen->second, this->below(12), LosesPower);
    return;
  }
  if (Kind == 3) {
    this->wipe(Chosen->second);
    return;
  }
  if (Kind == 4)
    return;
  this->endAll(LosesPower);
  if (Kind < 7)
    return;
  // What the successors read and answered for must outlast a loss of power.
  this->run(milliseconds(static_cast<int>(this->below(2500))));
  this->endAll(true);
}

void DiskCluster::endAll(bool LosesPower) {
  for (auto &[Address, Item] : this->Members)
    this->endAfter(Item, 1 + this->below(8), LosesPower);
  for (auto Changes = this->below(4); Changes > 0; --Changes)
    this->proposeChange();
  this->run(milliseconds(static_cast<int>(this->below(5))));
  for (auto &[Address, Item] : this->Members)
    this->endAfter(Item, 0, LosesPower);
}

void DiskCluster::runFaults(int Count) {
  this->AtOpen = true;
  this->run(milliseconds(2000));
  for (int I = 0; I < Count; ++I) {
    for (auto Changes = this->below(6); Changes > 0; --Changes) {
      this->proposeChange();
      this->run(milliseconds(static_cast<int>(this->below(4))));
    }
    this->injectFault();
    this->run(milliseconds(static_cast<int>(
        this->below(3) == 0 ? this->below(5000) : this->below(60))));
  }
  this->AtOpen = false;
}

bool DiskCluster::recovered() const {
  const auto Leading = std::find_if(
      this->Members.begin(), this->Members.end(), [](const auto &Item) {
        return Item.second.Logic && Item.second.Logic->ready();
      });
  if (Leading == this->Members.end())
    return false;
  const Consensus &Leader = *Leading->second.Logic;
  const auto Holds = [&](const auto &Other) {
    return Other.second.Logic &&
           Other.second.AppliedIndex == Leader.lastIndex();
  };
  const auto VotersBack = std::count_if(
      this->Members.begin(), this->Members.end(), [&](const auto &Other) {
        return Holds(Other) && Other.second.Logic->voter();
      });
  return Leader.voters().size() == this->Size.Voters &&
         static_cast<std::size_t>(VotersBack) == this->Size.Voters &&
         std::all_of(this->Members.begin(), this->Members.end(), Holds);
}

bool DiskCluster::isSplit(const std::string &Left,
                          const std::string &Right) const {
  return this->Now < this->SplitUntil &&
         this->Half.contains(Left) != this->Half.contains(Right);
}

void DiskCluster::dropStream(const std::string &From, const std::string &To) {
  std::erase_if(this->InFlight, [&](const auto &Item) {
    return Item.second.From == From && Item.second.To == To;
  });
}

void DiskCluster::splitFor(milliseconds For) {
  this->Half.clear();
  while (this->Half.size() < this->Members.size() / 2)
    this->Half.insert(
        std::next(this->Members.begin(),
                  static_cast<int>(this->below(this->Members.size())))
            ->first);
  this->SplitUntil = this->Now + For;
  for (auto &[Address, Item] : this->Members)
    if (this->Now < Item.LostUntil)
      Item.LostUntil = std::max(Item.LostUntil, this->SplitUntil + CatchUpTime);
}

std::vector<DiskCluster::Member *> DiskCluster::drawMembers(std::size_t Count) {
  std::vector<Member *> Sound;
  for (auto &[Address, Item] : this->Members)
    if (this->Now >= Item.LostUntil && Item.Logic)
      Sound.push_back(&Item);
  const std::size_t Lost = this->Members.size() - Sound.size();
  if (Lost + Count > MostWiped)
    return {};
  std::shuffle(Sound.begin(), Sound.end(), this->Random);
  Sound.resize(Count);
  return Sound;
}

void DiskCluster::loseDisk(Member &Item, milliseconds Down) {
  this->endProcess(Item);
  Item.Disk.wipe();
  Item.Bootstrap = false;
  Item.FrozenUntil = Time();
  Item.BusyUntil = Time();
  Item.RestartAt = this->Now + Down;
  // Whoever is split from the leader cannot be filled.
  Item.LostUntil = std::max(Item.RestartAt, this->SplitUntil) + CatchUpTime;
}

void DiskCluster::loseDisks(const std::vector<Member *> &Lost, bool All) {
  const milliseconds Down(static_cast<int>(this->below(3000)) + 50);
  for (Member *Item : Lost)
    this->loseDisk(*Item, Down);
  if (!All)
    return;
  for (auto &[Address, Item] : this->Members) {
    if (std::find(Lost.begin(), Lost.end(), &Item) != Lost.end())
      continue;
    Item.FrozenUntil = Time();
    Item.BusyUntil = Time();
    this->endAfter(Item, 0, true);
  }
}

bool DiskCluster::runUntilAcknowledged(milliseconds Limit) {
  const std::size_t Before = this->Acknowledged.size();
  const Time End = this->Now + Limit;
  Time NextChange = this->Now;
  while (this->Acknowledged.size() == Before && this->Now < End) {
    if (this->Now >= NextChange) {
      this->proposeChange();
      NextChange = this->Now + milliseconds(200);
    }
    this->run(milliseconds(1));
  }
  return this->Acknowledged.size() != Before;
}

void DiskCluster::runChanges(milliseconds For, milliseconds Pause) {
  for (const Time End = this->Now + For; this->Now < End;) {
    this->proposeChange();
    this->run(
        milliseconds(1 + static_cast<int>(this->below(
                             static_cast<std::uint64_t>(Pause.count())))));
  }
}

void DiskCluster::injectBorneFault() {
  const auto Kind = this->below(8);
  if (Kind < 4) {
    const std::vector<Member *> Lost = this->drawMembers(1 + this->below(2));
    if (Lost.empty())
      return;
    if (Kind < 2)
      this->runUntilAcknowledged(AcknowledgementLimit);
    this->loseDisks(Lost, Kind == 0);
    return;
  }
  if (Kind == 4) {
    for (Member *Item : this->drawMembers(1)) {
      Item->FrozenUntil =
          this->Now + milliseconds(static_cast<int>(this->below(6000)));
      Item->LostUntil = Item->FrozenUntil + CatchUpTime;
    }
    return;
  }
  if (Kind == 5)
    return this->splitFor(milliseconds(static_cast<int>(this->below(6000))));
  if (Kind == 6) {
    for (Member *Item : this->drawMembers(1)) {
      Item->SyncTime = milliseconds(30);
      Item->SlowUntil = this->Now + milliseconds(4000);
      Item->LostUntil = Item->SlowUntil + CatchUpTime;
    }
    return;
  }
  for (auto &[Address, Item] : this->Members)
    this->endAfter(Item, this->below(8), this->below(2) == 0);
}

void DiskCluster::runBorneLosses(int Rounds) {
  for (auto &[Address, Item] : this->Members)
    Item.SyncTime = milliseconds(1);
  this->run(milliseconds(3000));
  for (int Round = 0; Round < Rounds; ++Round) {
    this->injectBorneFault();
    const auto Limit = this->below(2) == 0 ? 9000U : 1500U;
    this->runChanges(milliseconds(static_cast<int>(this->below(Limit))),
                     milliseconds(this->below(2) == 0 ? 30 : 400));
    for (auto &[Address, Item] : this->Members)
      if (this->Now >= Item.SlowUntil)
        Item.SyncTime = milliseconds(1);
  }
  std::vector<Member *> Lost;
  const Time Limit = this->Now + milliseconds(60000);
  while ((Lost = this->drawMembers(MostWiped)).empty() && this->Now < Limit)
    this->runChanges(milliseconds(20), milliseconds(20));
  for (auto &[Address, Item] : this->Members)
    Item.SyncTime = milliseconds(1);
  if (!this->runUntilAcknowledged(AcknowledgementLimit))
    this->addViolation("nothing is acknowledged before the last loss");
  this->checkVoters();
  this->loseDisks(Lost, this->below(2) == 0);
}

void DiskCluster::checkVoters() {
  const Member *Leading = this->leader();
  if (Leading == nullptr)
    return;
  const std::vector<wire::Replica> &Voters = Leading->Logic->voters();
  const auto Living = static_cast<std::size_t>(
      std::count_if(Voters.begin(), Voters.end(), [&](const auto &Voter) {
        return this->Members.at(Voter.Address).Self.DiskId == Voter.DiskId;
      }));
  if (Living < Leading->Logic->quorum() + MostWiped)
    this->addViolation(std::to_string(Living) + " of " +
                       std::to_string(Voters.size()) + " voters live");
}

void DiskCluster::checkRecovery() {
  for (auto &[Address, Item] : this->Members)
    if (Item.Logic && !Item.Disk.processEnded())
      Item.Disk.restart();
  const Time Limit = this->Now + RecoveryLimit;
  while (!this->recovered() && this->Now < Limit)
    this->run(milliseconds(100));
  if (!this->recovered())
    this->addViolation("no quorum, or a member is not back");
  for (const auto &[Address, Item] : this->Members) {
    if (!Item.Logic)
      continue;
    for (const auto &[Id, Value] : this->Acknowledged) {
      const auto Found = Item.Applied.find(Id);
      if (Found == Item.Applied.end() || Found->second != Value) {
        std::string Text = Address;
        this->addViolation(Text.append(" lacks the acknowledged ").append(Id));
        break;
      }
    }
  }
}

} // namespace persimmon
