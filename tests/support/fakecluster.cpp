#include "fakecluster.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr milliseconds TickInterval{20};
constexpr milliseconds Latency{1};
constexpr milliseconds LongDelay{700};
/// How long the network waits for a connection to open.
constexpr milliseconds ConnectTimeout{200};
constexpr milliseconds FaultDuration{2500};
constexpr milliseconds RestartPause{400};
constexpr std::size_t TraceLines = 400;
constexpr std::string_view Token = "token-of-team";

bool isPersist(const Effect &What) {
  return std::holds_alternative<PersistHardState>(What) ||
         std::holds_alternative<PersistEntries>(What) ||
         std::holds_alternative<PersistSnapshot>(What);
}

/// Returns whether a fault of this kind can occur at the effect.
bool canOccurAt(FaultKind Kind, const Effect &What) {
  const auto *Sent = std::get_if<SendMessage>(&What);
  const bool IsCall = std::holds_alternative<SendCall>(What) ||
                      std::holds_alternative<SendBody>(What) ||
                      std::holds_alternative<SendAnswer>(What);
  const bool Datagram = Sent != nullptr && Sent->Via == Channel::Datagram;
  switch (Kind) {
  case FaultKind::TornWrite:
    return isPersist(What);
  case FaultKind::LoseMessage:
  case FaultKind::DuplicateMessage:
    return Datagram;
  case FaultKind::DelayMessage:
    return Sent != nullptr || IsCall;
  case FaultKind::SilentConnection:
    return (Sent != nullptr && !Datagram) || IsCall;
  default:
    return true;
  }
}

std::string describeEffect(const Effect &What) {
  if (const auto *Sent = std::get_if<SendMessage>(&What))
    return "send " + std::string(nameOf(Sent->Body)) + " to " + Sent->Address;
  if (const auto *Line = std::get_if<LogDecision>(&What))
    return Line->Line;
  if (const auto *Line = std::get_if<LogWarning>(&What))
    return Line->Line;
  return "effect " + std::to_string(What.index());
}

} // namespace

const char *nameOf(FaultKind Kind) {
  switch (Kind) {
  case FaultKind::CrashBefore:
    return "crash-before";
  case FaultKind::CrashAfter:
    return "crash-after";
  case FaultKind::TornWrite:
    return "torn-write";
  case FaultKind::LostDisk:
    return "lost-disk";
  case FaultKind::Freeze:
    return "freeze";
  case FaultKind::Partition:
    return "partition";
  case FaultKind::LoseMessage:
    return "lose-message";
  case FaultKind::DuplicateMessage:
    return "duplicate-message";
  case FaultKind::DelayMessage:
    return "delay-message";
  case FaultKind::SilentConnection:
    return "silent-connection";
  }
  return "";
}

FakeCluster::FakeCluster(std::uint64_t Seed)
    : Now(std::chrono::hours(1)), Rng(Seed) {}

void FakeCluster::addControl(const std::string &Name) {
  Instance &Item = this->Instances[Name];
  Item.Control = true;
  Item.Identity.Name = Name;
  Item.Identity.Address = Name + ":1";
  Item.Identity.Zone = "zone-" + Name;
  Item.Identity.Snapshots = {8, 3};
  for (auto &[Other, Existing] : this->Instances) {
    if (Other != Name && Existing.Control)
      Item.Identity.ControlInstances = Existing.Identity.ControlInstances;
  }
  Item.Identity.ControlInstances.push_back({Name, Name + ":1"});
  for (auto &[Other, Existing] : this->Instances)
    Existing.Identity.ControlInstances = Item.Identity.ControlInstances;
}

void FakeCluster::addInitialVoters() {
  const std::vector<std::string> Names = {"c1", "c2", "c3"};
  for (const std::string &Name : Names) {
    this->addControl(Name);
    Instance &Item = this->Instances.at(Name);
    Item.Identity.Seeds = {"c1:1", "c2:1", "c3:1"};
    Item.Identity.Voters.Count = Names.size();
  }
  for (const std::string &Name : Names)
    this->Instances.at(Name).Identity.ControlInstances.clear();
}

void FakeCluster::addSuccessor(const std::string &Name) {
  Instance &Item = this->Instances[Name];
  Item.Control = true;
  Item.FirstDisk = false;
  Item.Identity = this->Instances.at("c1").Identity;
  Item.Identity.Name = Name;
  Item.Identity.Address = Name + ":1";
  Item.Identity.Zone = "zone-" + Name;
}

void FakeCluster::addProxy(const std::string &Name, const std::string &Zone,
                           const std::string &Service, int Slots) {
  Instance &Item = this->Instances[Name];
  Item.Identity.Name = Name;
  Item.Identity.Address = Name + ":1";
  Item.Identity.Zone = Zone;
  Item.Service = Service;
  Item.Slots = Slots;
  for (auto &[Other, Existing] : this->Instances) {
    if (Existing.Control)
      Item.Identity.ControlInstances = Existing.Identity.ControlInstances;
  }
}

void FakeCluster::start(const std::string &Name) {
  Instance &Item = this->Instances.at(Name);
  Item.RestartAt = NoDeadline;
  Item.Identity.Incarnation = ++Item.LastIncarnation + 1000;
  Item.Identity.Seed = this->Rng.below(1u << 30);
  Item.Identity.Revocation = this->Revocation;
  Item.NextTick = this->Now + this->Rng.between(milliseconds(0), TickInterval);
  if (!Item.Control) {
    Item.Daemon =
        Node::makeProxy(Item.Identity, {this->Choice, this->VersionTopology});
    this->addTraceLine(Name + " starts");
    TargetAnnounced Target;
    Target.Service = Item.Service;
    Target.Slots = Item.Slots;
    Target.State = wire::TargetState::Serving;
    this->submit(Item, Target);
    return;
  }
  const bool IsInitialVoter = !Item.Identity.Seeds.empty() && Item.FirstDisk;
  if (Item.DiskId == 0)
    Item.DiskId = IsInitialVoter ? initialVoterAt(Item.Identity.Address).DiskId
                                 : ++this->LastDisk;
  this->addTraceLine(Name + " starts with disk " + std::to_string(Item.DiskId));
  const Failure Error = handleResult(
      [&] {
        return Node::makeControl(Item.Identity, Item.DiskId, Item.Disk,
                                 {this->Choice, this->VersionTopology},
                                 this->Now - Item.ClockLag);
      },
      [&](std::unique_ptr<Node> Made) { Item.Daemon = std::move(Made); });
  if (Error.failed())
    this->addViolation("restore failed on " + Name);
  else if (IsInitialVoter)
    this->submit(Item, BootstrapRequested{Item.Identity.Seeds});
}

void FakeCluster::form(const std::string &Name) {
  wire::TeamGrant Grant;
  Grant.Salt = "salt";
  Grant.TokenHash = hashToken(Grant.Salt, Token);
  Instance &Item = this->Instances.at(Name);
  this->submit(Item, InitRequested{-1, Grant});
  Grant.Team = "team";
  this->submit(Item, TeamRequested{-2, Grant, std::string(Token)});
}

void FakeCluster::crash(const std::string &Name) {
  Instance &Item = this->Instances.at(Name);
  this->addTraceLine(Name + " crashes");
  Item.Daemon.reset();
  Item.FinishedCalls.clear();
  Item.ReplyBodies.clear();
  Item.AttemptCallIds.clear();
  Item.AwaitingBody.clear();
  Item.CallIds.clear();
  Item.Running = 0;
  Item.IsDraining = false;
  Item.FrozenUntil = Time();
  Item.RestartAt = this->Now + RestartPause;
  this->closeConnectionsOf(Name);
}

void FakeCluster::wipeDisk(const std::string &Name) {
  Instance &Item = this->Instances.at(Name);
  Item.Disk = DurableState();
  Item.DiskId = 0;
  Item.FirstDisk = false;
}

void FakeCluster::freeze(const std::string &Name, milliseconds For) {
  this->addTraceLine(Name + " freezes");
  this->Instances.at(Name).FrozenUntil = this->Now + For;
}

void FakeCluster::suspend(const std::string &Name, milliseconds For) {
  this->freeze(Name, For);
  Instance &Item = this->Instances.at(Name);
  Item.ClockLag += For;
  Item.UntoldLag += For;
}

void FakeCluster::partition(const std::string &Name, milliseconds For) {
  this->addTraceLine(Name + " is partitioned");
  this->Instances.at(Name).PartitionedUntil = this->Now + For;
  for (auto &[Id, Item] : this->Connections) {
    if (Item.Opener == Name || Item.Peer == Name)
      Item.Silent = true;
  }
}

void FakeCluster::delayStreams(const std::string &Name, milliseconds Delay) {
  this->addTraceLine("streams to " + Name + " are delayed by " +
                     std::to_string(Delay.count()) + " ms");
  this->Instances.at(Name).StreamDelay = Delay;
}

void FakeCluster::loseDatagrams(const std::string &Name, bool Lost) {
  this->addTraceLine("datagrams to " + Name +
                     (Lost ? " are lost" : " arrive again"));
  this->Instances.at(Name).LosesDatagrams = Lost;
}

void FakeCluster::blockConnections(const std::string &Name, bool Blocked) {
  this->addTraceLine(Name + (Blocked ? " accepts no new connections"
                                     : " accepts new connections"));
  this->Instances.at(Name).Blocked = Blocked;
}

void FakeCluster::setTarget(const std::string &Name,
                            wire::TargetState::type State) {
  Instance &Item = this->Instances.at(Name);
  TargetAnnounced Target;
  Target.Service = Item.Service;
  Target.Slots = Item.Slots;
  Target.State = State;
  this->submit(Item, Target);
  Item.IsDraining = State == wire::TargetState::Draining;
}

void FakeCluster::stop(const std::string &Name) {
  Instance &Item = this->Instances.at(Name);
  this->submit(Item, StopRequested());
  Item.IsDraining = true;
}

bool FakeCluster::exited(const std::string &Name) const {
  return this->Instances.at(Name).Exited;
}

void FakeCluster::remove(const std::string &Name) {
  this->crash(Name);
  this->Instances.at(Name).RestartAt = NoDeadline;
}

std::optional<std::string> FakeCluster::survivorOfLostQuorum() const {
  // The newest log holds the current voters.
  const Consensus *Newest = nullptr;
  for (const auto &[Name, Item] : this->Instances) {
    if (!Item.Control || Item.Daemon == nullptr)
      continue;
    const Consensus &Raft = Item.Daemon->control()->consensus();
    if (Raft.formed() &&
        (Newest == nullptr ||
         std::pair(Raft.lastTerm(), Raft.lastIndex()) >
             std::pair(Newest->lastTerm(), Newest->lastIndex())))
      Newest = &Raft;
  }
  if (Newest == nullptr)
    return std::nullopt;
  std::size_t Remaining = 0;
  for (const wire::Replica &Voter : Newest->voters())
    Remaining +=
        this->Instances.at(Voter.Instance).DiskId == Voter.DiskId ? 1 : 0;
  if (Remaining >= Newest->voters().size() / 2 + 1)
    return std::nullopt;
  return Newest->self().Instance;
}

void FakeCluster::recover(const std::string &Name) {
  Instance &Item = this->Instances.at(Name);
  this->submit(Item, RecoverRequested{-3, std::string(Token)});
  if (Item.Daemon == nullptr)
    return;
  const SettingsStore &Store = Item.Daemon->control()->store();
  std::erase_if(this->SubmittedChanges, [&](const auto &Submitted) {
    return Submitted.second.Version && !Store.outcomeOf(Submitted.first);
  });
  this->NewestAccepted = 0;
}

void FakeCluster::closeConnectionsOf(const std::string &Name) {
  for (auto Item = this->Connections.begin();
       Item != this->Connections.end();) {
    const Connection &Current = Item->second;
    // The opener of a silent connection does not notice its peer's end.
    const bool Unnoticed = Current.Opener != Name && Current.Silent;
    if ((Current.Opener != Name && Current.Peer != Name) || Unnoticed) {
      ++Item;
      continue;
    }
    this->OpenConnections.erase({Current.Opener, Current.Peer + ":1"});
    if (Current.Opener != Name) {
      this->notifyStreamLost(this->Instances.at(Current.Opener), Current,
                             Current.Blocked ? StreamEnd::NotOpened
                                             : StreamEnd::Closed,
                             this->Now + Latency);
    }
    Item = this->Connections.erase(Item);
  }
}

StreamLost FakeCluster::makeStreamLost(const Connection &Ended, StreamEnd End) {
  StreamLost Lost;
  Lost.Address = Ended.Peer + ":1";
  Lost.End = End;
  // Attempts on a connection that never opened were not sent.
  (Ended.Blocked ? Lost.NotSent : Lost.Sent)
      .assign(Ended.UndecidedAttempts.begin(), Ended.UndecidedAttempts.end());
  return Lost;
}

void FakeCluster::notifyStreamLost(const Instance &By, const Connection &Ended,
                                   StreamEnd End, Time At) {
  Delivery Out;
  Out.To = By.Identity.Name;
  Out.Incarnation = By.LastIncarnation;
  Out.Body = makeStreamLost(Ended, End);
  this->scheduleDelivery(At, std::move(Out));
}

void FakeCluster::notifyNotOpened(const Instance &By, const SendMessage &What,
                                  Time At) {
  Connection Failed;
  Failed.Peer = What.Address.substr(0, What.Address.find(':'));
  Failed.Blocked = true;
  if (const auto *Call = std::get_if<wire::CallRequest>(&What.Body))
    Failed.UndecidedAttempts.insert(Call->Id);
  this->notifyStreamLost(By, Failed, StreamEnd::NotOpened, At);
}

void FakeCluster::eraseConnection(const Connection &Ended) {
  const auto Found =
      this->OpenConnections.find({Ended.Opener, Ended.Peer + ":1"});
  this->Connections.erase(Found->second);
  this->OpenConnections.erase(Found);
}

FakeCluster::Instance *FakeCluster::byAddress(const std::string &Address) {
  const auto Found = this->Instances.find(Address.substr(0, Address.find(':')));
  return Found == this->Instances.end() ? nullptr : &Found->second;
}

void FakeCluster::scheduleDelivery(Time At, Delivery What) {
  this->InFlight.emplace(At, std::move(What));
}

void FakeCluster::openConnection(Instance &By, const std::string &Address) {
  const auto Key = std::pair(By.Identity.Name, Address);
  if (this->OpenConnections.count(Key) != 0)
    return;
  Connection Opened;
  Opened.Opener = By.Identity.Name;
  Opened.Peer = Address.substr(0, Address.find(':'));
  Opened.Silent =
      this->isPartitioned(By) || this->isPartitioned(*this->byAddress(Address));
  Opened.Blocked = this->byAddress(Address)->Blocked;
  Opened.LastReceivedAt = this->Now;
  this->OpenConnections[Key] = ++this->LastConnection;
  this->Connections.emplace(this->LastConnection, Opened);
  if (!Opened.Blocked)
    return;
  Delivery Lost;
  Lost.To = By.Identity.Name;
  Lost.Incarnation = By.LastIncarnation;
  Lost.ConnectionId = this->LastConnection;
  Lost.Body = StreamLost{};
  this->scheduleDelivery(this->Now + ConnectTimeout, std::move(Lost));
}

void FakeCluster::sendMessage(Instance &By, const SendMessage &What,
                              std::optional<FaultKind> Fault) {
  Delivery Out;
  Out.Sender = By.Identity.Name;
  Time At = this->Now + Latency;
  std::string From = By.Identity.Address;
  if (What.Via == Channel::Datagram && !What.Address.starts_with('#')) {
    Instance *To = this->byAddress(What.Address);
    if (To == nullptr || To->LosesDatagrams || Fault == FaultKind::LoseMessage)
      return;
    Out.To = To->Identity.Name;
    Out.Incarnation = To->LastIncarnation;
    Out.Body = MessageReceived{From, What.Body};
    if (Fault == FaultKind::DelayMessage)
      At += LongDelay;
    if (Fault == FaultKind::DuplicateMessage)
      this->scheduleDelivery(At + LongDelay, Out);
    this->scheduleDelivery(At, std::move(Out));
    return;
  }
  std::int64_t Id = 0;
  if (What.Address.starts_with('#')) {
    Id = std::stoll(What.Address.substr(1));
  } else {
    Instance *To = this->byAddress(What.Address);
    if (To == nullptr)
      return;
    const bool Known =
        this->OpenConnections.count({By.Identity.Name, What.Address}) != 0;
    if (To->Daemon == nullptr && !Known) {
      // A partitioned address times out, otherwise the connection is refused.
      const bool Partitioned =
          this->isPartitioned(By) || this->isPartitioned(*To);
      this->notifyNotOpened(By, What,
                            Partitioned ? this->Now + ConnectTimeout : At);
      return;
    }
    this->openConnection(By, What.Address);
    Id = this->OpenConnections.at({By.Identity.Name, What.Address});
  }
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  Connection &Carrier = Found->second;
  if (const auto *Call = std::get_if<wire::CallRequest>(&What.Body))
    Carrier.UndecidedAttempts.insert(Call->Id);
  if (Fault == FaultKind::SilentConnection)
    Carrier.Silent = true;
  if (Carrier.Silent || Carrier.Blocked)
    return;
  const bool Forward =
      Carrier.Opener == By.Identity.Name && !What.Address.starts_with('#');
  Instance &To = this->Instances.at(Forward ? Carrier.Peer : Carrier.Opener);
  Out.To = To.Identity.Name;
  Out.Incarnation = To.LastIncarnation;
  Out.ConnectionId = Id;
  Out.Body =
      MessageReceived{Forward ? "#" + std::to_string(Id) : From, What.Body};
  // Streams keep their order, so a delay also holds up later messages.
  if (Fault == FaultKind::DelayMessage)
    At += LongDelay;
  At += To.StreamDelay;
  if (To.StreamDelay.count() > 0 &&
      std::holds_alternative<wire::PullReply>(What.Body))
    By.DelayedPullReplies += 1;
  At = std::max(At, Carrier.LastDelivery);
  Carrier.LastDelivery = At;
  this->scheduleDelivery(At, std::move(Out));
}

std::optional<FaultKind> FakeCluster::nextFault(const Effect &What) {
  if (!this->Armed)
    return std::nullopt;
  this->Step += 1;
  for (const PlannedFault &Item : this->Plan) {
    if (Item.Step == this->Step && canOccurAt(Item.Kind, What)) {
      this->InjectedCount += 1;
      return Item.Kind;
    }
  }
  return std::nullopt;
}

/// Returns false if the instance ended at this effect.
bool FakeCluster::carryOut(Instance &By, const Effect &What) {
  const std::string Name = By.Identity.Name;
  const auto Fault = this->nextFault(What);
  if (Fault)
    this->addTraceLine("step " + std::to_string(this->Step) + " fault " +
                       nameOf(*Fault) + " at " + Name + ": " +
                       describeEffect(What));
  if (Fault == FaultKind::CrashBefore) {
    this->crash(Name);
    return false;
  }
  if (Fault == FaultKind::TornWrite) {
    if (const auto *Entries = std::get_if<PersistEntries>(&What)) {
      // Only the first half of the entries reached the disk.
      PersistEntries Torn = *Entries;
      Torn.Entries.resize(Torn.Entries.size() / 2);
      if (!Torn.Entries.empty())
        this->perform(By, Torn);
    }
    this->crash(Name);
    return false;
  }
  if (Fault == FaultKind::LostDisk) {
    this->crash(Name);
    if (By.Control)
      this->wipeDisk(Name);
    return false;
  }
  const auto *Sent = std::get_if<SendMessage>(&What);
  if (Sent != nullptr) {
    this->sendMessage(By, *Sent, Fault);
  } else if (Fault && std::holds_alternative<SendCall>(What)) {
    const auto &Call = std::get<SendCall>(What);
    By.CallIds[Call.CallNumber] = Call.Header.CallId;
    this->sendMessage(By, {Call.Address, Call.Header, Channel::Stream}, Fault);
  } else if (const auto *Body = std::get_if<SendBody>(&What)) {
    this->sendBody(By, *Body, Fault);
  } else {
    std::visit([&](const auto &Item) { this->perform(By, Item); }, What);
  }
  const bool Exited = std::holds_alternative<ReadyToExit>(What);
  if (Fault == FaultKind::CrashAfter || Exited) {
    this->crash(Name);
    return false;
  }
  if (Fault == FaultKind::Freeze)
    this->freeze(Name, FaultDuration);
  if (Fault == FaultKind::Partition)
    this->partition(Name, FaultDuration);
  return true;
}

std::uint64_t FakeCluster::compiledBy(const Instance &Item) {
  if (Item.Daemon == nullptr || Item.Daemon->control() == nullptr)
    return 0;
  return Item.Daemon->control()->store().compiledSettings();
}

void FakeCluster::submit(Instance &To, EventBody Body) {
  if (To.Daemon == nullptr)
    return;
  if (const auto *Message = std::get_if<MessageReceived>(&Body)) {
    if (const auto *Part = std::get_if<wire::BodyPart>(&Message->Body))
      return this->submit(
          To, BodyArrived{Part->Id, To.AttemptCallIds[Part->Id],
                          this->Now + milliseconds(Part->RemainingMs)});
    if (const auto *Call = std::get_if<wire::CallRequest>(&Message->Body)) {
      To.AttemptCallIds[Call->Id] = Call->CallId;
      if (Call->BodyFollows)
        To.AwaitingBody.insert(Call->Id);
    }
    if (const auto *Reply = std::get_if<wire::CallReply>(&Message->Body)) {
      if (Reply->Outcome == wire::CallOutcome::Finished)
        To.ReplyBodies[Reply->Id] = Reply->Body;
    }
  }
  if (const auto *Whole = std::get_if<BodyArrived>(&Body))
    To.AwaitingBody.erase(Whole->Id);
  if (const auto *Done = std::get_if<RunFinished>(&Body)) {
    To.Running -= 1;
    To.FinishedCalls[Done->Id] = To.AttemptCallIds[Done->Id];
  }
  if (To.Identity.Revocation.count() > 0 && To.UntoldLag.count() > 0 &&
      this->Now >= To.FrozenUntil)
    this->submit(To, ProcessSuspended{std::exchange(To.UntoldLag, {})});
  Event What;
  What.At = this->Now - To.ClockLag;
  What.WallMs = 1'000'000;
  What.Body = std::move(Body);
  const std::uint64_t CompiledBefore = compiledBy(To);
  const Effects All = To.Daemon->reduce(What);
  const auto Compiled =
      static_cast<std::int64_t>(compiledBy(To) - CompiledBefore);
  if (Compiled > 0 && this->CompileTime.count() > 0)
    To.FrozenUntil =
        std::max(To.FrozenUntil, this->Now + this->CompileTime * Compiled);
  for (const Effect &Item : All) {
    if (!this->carryOut(To, Item))
      return;
  }
  this->checkAll(To);
}

void FakeCluster::sendDueTicks() {
  for (auto &[Name, Item] : this->Instances) {
    if (Item.Daemon == nullptr || this->Now < Item.NextTick)
      continue;
    // The tick of a busy instance is late, not lost.
    if (this->Now < Item.FrozenUntil)
      continue;
    Item.NextTick = this->Now + TickInterval;
    this->submit(Item, Tick());
  }
}

void FakeCluster::restartDueInstances() {
  for (auto &[Name, Item] : this->Instances) {
    if (this->Now >= Item.RestartAt)
      this->start(Name);
  }
}

void FakeCluster::run(milliseconds For) {
  this->run(For, [] { return false; });
}

bool FakeCluster::run(milliseconds Limit, const std::function<bool()> &Until) {
  const Time End = this->Now + Limit;
  while (this->Now < End) {
    if (Until())
      return true;
    this->Now += milliseconds(1);
    this->restartDueInstances();
    this->resendChanges();
    this->sendDueTicks();
    while (!this->InFlight.empty() &&
           this->InFlight.begin()->first <= this->Now) {
      auto First = this->InFlight.extract(this->InFlight.begin());
      Delivery &Item = First.mapped();
      Instance &To = this->Instances.at(Item.To);
      if (To.LastIncarnation != Item.Incarnation)
        continue;
      if (this->Now < To.FrozenUntil) {
        this->scheduleDelivery(To.FrozenUntil, std::move(Item));
        continue;
      }
      const bool IsMessage = std::holds_alternative<MessageReceived>(Item.Body);
      if (IsMessage && (this->isPartitioned(To) ||
                        this->isPartitioned(this->Instances.at(Item.Sender))))
        continue;
      if (Item.ConnectionId != 0) {
        const auto Carrier = this->Connections.find(Item.ConnectionId);
        if (Carrier == this->Connections.end())
          continue;
        if (Carrier->second.Blocked) {
          Item.Body = makeStreamLost(Carrier->second, StreamEnd::NotOpened);
          this->eraseConnection(Carrier->second);
        } else if (Carrier->second.Silent) {
          continue;
        } else if (To.Identity.Name == Carrier->second.Opener) {
          Carrier->second.LastReceivedAt = this->Now;
        }
      }
      this->submit(To, std::move(Item.Body));
    }
  }
  return Until();
}

void FakeCluster::arm(std::vector<PlannedFault> Faults) {
  this->Plan = std::move(Faults);
  this->Step = 0;
  this->InjectedCount = 0;
  this->Armed = true;
}

void FakeCluster::disarm() { this->Armed = false; }

int FakeCluster::delayedPullReplies(const std::string &Name) const {
  return this->Instances.at(Name).DelayedPullReplies;
}

const Node *FakeCluster::node(const std::string &Name) const {
  return this->Instances.at(Name).Daemon.get();
}

const Node *FakeCluster::leader() const {
  for (const auto &[Name, Item] : this->Instances) {
    if (Item.Control && Item.Daemon != nullptr &&
        Item.Daemon->control()->consensus().ready() &&
        !this->isPartitioned(Item))
      return Item.Daemon.get();
  }
  return nullptr;
}

std::vector<std::string> FakeCluster::names() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Item] : this->Instances)
    Out.push_back(Name);
  return Out;
}

void FakeCluster::addViolation(const std::string &Text) {
  this->addTraceLine("VIOLATION " + Text);
  if (std::find(this->Violations.begin(), this->Violations.end(), Text) ==
      this->Violations.end())
    this->Violations.push_back(Text);
}

void FakeCluster::addTraceLine(const std::string &Line) {
  const auto Ms =
      std::chrono::duration_cast<milliseconds>(this->Now.time_since_epoch())
          .count() -
      std::chrono::milliseconds(std::chrono::hours(1)).count();
  this->Trace.push_back("t=" + std::to_string(Ms) + " " + Line);
  if (this->Trace.size() > TraceLines)
    this->Trace.pop_front();
}

} // namespace persimmon
