#include "node.h"

#include <algorithm>
#include <set>

namespace persimmon {

namespace {

constexpr int MissedProbesUntilGone = 3;
/// Keeps virtual times of accounts with tiny rates bounded.
constexpr double MinAccountWeight = 0.01;
constexpr milliseconds LeaveAnnounceTime{300};
/// How long a control instance that stops waits for another one to take over
/// its vote.
constexpr milliseconds HandoverTimeout{4000};
constexpr milliseconds LeftAnnouncementInterval{200};
constexpr milliseconds StaleWarningInterval{10'000};
constexpr milliseconds ControlRefreshInterval{200};
/// Part of the time to a revocation that is left for clocks that run at
/// different rates.
constexpr int RevocationMarginDivisor = 10;
/// Least time between reports that tell new counts of roll-outs only. The end
/// of a roll-out waits for them.
constexpr milliseconds CanaryReportInterval{500};
constexpr milliseconds FullReportInterval{100};
/// While calls arrive, a daemon hears from the leader every 0.6 s.
constexpr milliseconds LeaderValidity{1500};

wire::MemberRecord recordOf(const NodeIdentity &Identity, bool IsControl) {
  wire::MemberRecord Record;
  Record.Name = Identity.Name;
  Record.Address = Identity.Address;
  Record.Zone = Identity.Zone;
  Record.Control = IsControl;
  Record.Incarnation = Identity.Incarnation;
  Record.Sequence = 1;
  Record.State = wire::Liveness::Alive;
  Record.Target = wire::TargetState::None;
  return Record;
}

/// Returns the addresses that a daemon contacts first to find the others.
std::vector<std::string> seedsOf(const NodeIdentity &Identity) {
  std::vector<std::string> Out = Identity.Seeds;
  for (const ControlPeer &Peer : Identity.ControlInstances)
    Out.push_back(Peer.Address);
  return Out;
}

/// Returns whether the setting at \p Path, TEAM/KIND/NAME, is a client account.
bool isAccountPath(std::string_view Path) {
  const std::size_t Kind = Path.find('/');
  return Kind != std::string_view::npos &&
         Path.substr(Kind).starts_with("/accounts/");
}

/// Returns the age of the last confirmation up to which calls use a version
/// that is being rolled out: a daemon that is disconnected has to go back to
/// the old version by itself. While calls arrive, confirmations are requested
/// anew after 0.6 s.
milliseconds newVersionValidity(milliseconds RollbackTime) {
  constexpr milliseconds Least{800};
  constexpr milliseconds Most{1200};
  return std::clamp(RollbackTime / 4, Least, Most);
}

template <typename T> constexpr bool HasGossipHeader = requires(const T &Body) {
  Body.Head;
};

} // namespace

Node::Node(const NodeIdentity &Identity, bool IsControl,
           const NodePolicies &Policies)
    : VersionTopology(Policies.VersionTopology),
      Members(recordOf(Identity, IsControl), seedsOf(Identity),
              Identity.Seed + 1),
      Config(Identity.Seed + 2,
             IsControl ? Distribution::TableUse::None
                       : Distribution::TableUse::RoutesCalls,
             Identity.MaxHistoryBytes, Identity.TextPrefixTeam),
      Gate(Identity.Seed + 3), Confirmation(Identity.Seed + 7),
      Scheduler(Identity.Seed + 6), Seeds(seedsOf(Identity)),
      ControlAddresses(Seeds), Stop(Identity.Stop),
      Revocation(Identity.Revocation) {}

std::unique_ptr<Node> Node::makeProxy(const NodeIdentity &Identity,
                                      const NodePolicies &Policies) {
  std::unique_ptr<Node> Out(new Node(Identity, false, Policies));
  ClaimClient Claims(Identity.Name, Identity.Address, Identity.Incarnation);
  Claims.setControlAddresses(Out->ControlAddresses);
  Out->Router.emplace(Out->Members, Out->Config, std::move(Claims),
                      Identity.Seed + 4, Policies.Choice);
  Out->Router->setRetryBurst(Identity.RetryBurst);
  Out->Router->setEvenPlacement(Identity.EvenPlacement);
  Out->Scheduler.setLinkRate(Identity.LinkMbps);
  Out->Scheduler.setMaxBodyBytes(Identity.MaxTargetBodyBytes);
  Out->Scheduler.setEvenPlacement(Identity.EvenPlacement);
  Out->Scheduler.setPeerLoads(&*Out->Router);
  if (Identity.Rollouts) {
    Out->Router->enableRollouts();
    Out->NewVersionValidity =
        newVersionValidity(Identity.Rollouts->RollbackTime);
  }
  return Out;
}

leaf::result<std::unique_ptr<Node>>
Node::makeControl(const NodeIdentity &Identity, std::int64_t DiskId,
                  const DurableState &State, const NodePolicies &Policies,
                  Time Now) {
  std::unique_ptr<Node> Out(new Node(Identity, true, Policies));
  wire::Replica Self;
  // Instances that are not named in the settings are identified by address.
  Self.Instance = Identity.Voters.open() ? Identity.Address : Identity.Name;
  Self.DiskId = DiskId;
  Self.Address = Identity.Address;
  std::vector<ControlPeer> Others;
  for (const ControlPeer &Peer : Identity.ControlInstances) {
    if (Peer.Instance != Identity.Name)
      Others.push_back(Peer);
  }
  Out->Control.emplace(std::move(Self), std::move(Others), Identity.Voters,
                       Identity.Snapshots, Identity.Seed + 5,
                       Identity.TextPrefixTeam);
  BOOST_LEAF_CHECK(Out->Control->restore(State, Now));
  if (Identity.Rollouts)
    Out->Rollouts.emplace(*Identity.Rollouts);
  return Out;
}

Effects Node::reduce(const Event &TheEvent) {
  Effects Out;
  std::visit([&](const auto &Body) { this->on(Body, TheEvent, Out); },
             TheEvent.Body);
  this->propagateChanges(TheEvent, Out);
  return Out;
}

void Node::announce(Effects &Out) {
  this->Members.announce(this->VersionTopology.announceAddresses(this->Members),
                         Out);
}

void Node::propagateChanges(const Event &TheEvent, Effects &Out) {
  const Time Now = TheEvent.At;
  if (const auto Former = this->Members.takeOwnFormerRecord())
    this->applyFormerRecord(*Former, TheEvent, Out);
  if (this->Router) {
    for (const NestedOutcome &Outcome : this->Router->takeNestedOutcomes())
      this->Scheduler.nestedEnded(Outcome, Now);
  }
  if (this->Control) {
    // A leader that starts with an empty store knows all rates that follow.
    this->updateLedger(Now);
    if (this->Control->takeStateReplaced()) {
      this->Config.replaceContent(this->Control->store().settings(),
                                  this->Control->store().version(), Out);
      this->setAllRates(Now);
      if (this->Rollouts)
        this->Rollouts->replace(this->Control->store().settings(), Now);
    }
    for (const AppliedChange &Applied : this->Control->takeAppliedChanges()) {
      this->Config.applyCommitted(Applied.Change, Out);
      for (const wire::Setting &Put : Applied.Change.Puts)
        this->setRate(Put.Path, &Put.Value, Now);
      for (const std::string &Path : Applied.Change.Removed)
        this->setRate(Path, nullptr, Now);
      if (this->Rollouts)
        this->Rollouts->apply(Applied.Change, Now);
    }
    this->Members.updateStamp(this->Control->stamp(), Now);
  }
  if (this->Config.version() == this->AnnouncedVersion)
    return;
  this->applyConfirmation();
  this->AnnouncedVersion = this->Config.version();
  this->Members.setVersion(this->AnnouncedVersion);
  this->announce(Out);
}

void Node::updateLedger(Time Now) {
  const Consensus &Replica = this->Control->consensus();
  this->Ledger.update(
      {Replica.ready(), Replica.term(), this->Control->verifiedAt()},
      this->Control->store().version() == 0, Now);
}

void Node::setAllRates(Time Now) {
  this->Ledger.clearRates(Now);
  const SettingsMap &Settings = this->Control->store().settings();
  for (auto Item = Settings.begin(); Item != Settings.end();) {
    const std::string Team = Item->first.substr(0, Item->first.find('/'));
    for (Item = Settings.lower_bound(Team + "/accounts/");
         Item != Settings.end() && isAccountPath(Item->first) &&
         Item->first.starts_with(Team + "/");
         ++Item)
      this->setRate(Item->first, &Item->second.Value, Now);
    // The character after a slash.
    Item = Settings.lower_bound(Team + "0");
  }
}

void Node::setRate(const std::string &Path, const std::string *Value,
                   Time Now) {
  if (!isAccountPath(Path))
    return;
  std::optional<AccountRate> Rate;
  if (Value != nullptr)
    handleResult([&] { return parseAccount(Path, *Value); },
                 [&](const AccountSpec &Spec) {
                   Rate = AccountRate{Spec.RatePerSecond, Spec.Burst};
                 });
  this->Ledger.setRate(Path, Rate, Now);
}

void Node::receiveAllowanceRequest(const wire::AllowanceRequest &Request,
                                   std::string_view From, Time Now,
                                   Effects &Out) {
  if (!this->Control)
    return;
  this->updateLedger(Now);
  if (auto Reply = this->Ledger.receive(Request, From, Now))
    return send(Out, From, std::move(*Reply), Channel::Datagram);
  const Consensus &Replica = this->Control->consensus();
  if (Replica.leader() || Replica.leaderAddress().empty())
    return;
  wire::AllowanceReply Elsewhere;
  Elsewhere.Number = Request.Number;
  Elsewhere.__set_LeaderAddress(Replica.leaderAddress());
  send(Out, From, std::move(Elsewhere), Channel::Datagram);
}

void Node::on(const Tick &Body, const Event &TheEvent, Effects &Out) {
  const Time Now = TheEvent.At;
  this->Scheduler.chargeLink(Body.LinkBytes, Now);
  this->refreshControlAddresses(Now);
  if (this->Control) {
    this->updateDeparted();
    this->Control->tick(Now, TheEvent.WallMs, Out);
  }
  this->Members.tick(Now, Out);
  this->Config.tick(Now, Out);
  this->Config.dropIdleReplies(Now);
  this->reportRollouts();
  this->Reports.tick(this->Members, this->Config.version(), Now, Out);
  this->advanceRollouts(Now, Out);
  if (this->Router) {
    this->Gate.tick(Now, this->Config.version(), this->Members.self(),
                    this->ControlAddresses, Out);
    this->Router->tick(Now, Out);
    this->updateConfirmation(Now, Out);
    this->Scheduler.tick(Now, Out);
  }
  if (this->Members.stale(Now) && Now >= this->NextStaleWarning) {
    this->NextStaleWarning = Now + StaleWarningInterval;
    Out.emplace_back(LogWarning{
        "event=source-stale version=" + std::to_string(this->Config.version()) +
        " stamp=" + std::to_string(this->Members.newestStamp().Counter)});
  }
  this->updateOutdated(Now, Out);
  if (this->Stopping)
    this->advanceStop(Now, Out);
}

void Node::reportRollouts() {
  const RouteTable *Table = this->Config.table().get();
  if (!this->Router || Table == nullptr)
    return;
  if (Table->rollouts().empty())
    return this->Reports.setAnswers({}, CanaryReportInterval);
  std::vector<wire::VersionAnswers> Counts = this->Router->rolloutCounts();
  const Rollout *Draining = VersionFilter::findFull(*Table);
  const bool Full = Draining != nullptr;
  const wire::MemberRecord &Self = this->Members.self();
  const Rollout *Order = Table->rollout(Self.Service);
  // Also calls of daemons whose reports do not arrive.
  if (Full && Order != nullptr && Order->running() &&
      Self.__isset.TargetVersion && Self.TargetVersion != Order->Version) {
    const wire::Load Load = this->Scheduler.load();
    wire::VersionAnswers &Own = Counts.emplace_back();
    Own.RolloutId = Order->Id;
    Own.Version = Self.TargetVersion;
    Own.UnderWay = Load.Running + Load.Queued;
  }
  this->Reports.setAnswers(std::move(Counts),
                           Full ? FullReportInterval : CanaryReportInterval,
                           Full ? Draining->Version : std::string());
}

std::size_t Node::targetCount(std::string_view Service,
                              std::string_view Version) const {
  const auto &Names = this->Members.targetsOf(Service);
  return static_cast<std::size_t>(
      std::count_if(Names.begin(), Names.end(), [&](const std::string &Name) {
        const wire::MemberRecord *Record = this->Members.find(Name);
        return Record != nullptr && Record->__isset.TargetVersion &&
               Record->TargetVersion == Version;
      }));
}

void Node::advanceRollouts(Time Now, Effects &Out) {
  if (!this->Rollouts || !this->Rollouts->due(Now))
    return;
  const ReportTree::Summary Reports = this->Reports.summary(this->Members, Now);
  const RolloutView View{
      Reports, [this](std::string_view Service, std::string_view Version) {
        return this->targetCount(Service, Version);
      }};
  const bool Leads = this->Control->consensus().ready();
  for (RolloutDecision &Made : this->Rollouts->tick(View, Leads, Now)) {
    Out.emplace_back(LogDecision{std::move(Made.Line)});
    this->Control->propose(changeRollout(Made.Current, Made.Next), Now, Out);
  }
}

void Node::on(const RolloutRequested &Body, const Event &TheEvent,
              Effects &Out) {
  if (!this->Control || !this->Rollouts)
    return;
  RolloutRequested Request = Body;
  Request.Order.Established =
      earliestVersion(this->Members, Body.Order.Service);
  Request.Order.WallMs = TheEvent.WallMs;
  Request.Order.MayRepeat =
      this->Rollouts->mayRepeat(Body.Order.Service, TheEvent.At);
  this->Control->handle(Request, TheEvent.At, Out);
}

void Node::updateOutdated(Time Now, Effects &Out) {
  if (this->Outdated == this->Config.outdated(Now))
    return;
  this->Outdated = !this->Outdated;
  Out.emplace_back(LogWarning{
      std::string(this->Outdated ? "event=outdated" : "event=current-again") +
      " version=" + std::to_string(this->Config.version()) +
      " heard=" + std::to_string(this->Config.newestKnownVersion())});
}

void Node::refreshControlAddresses(Time Now) {
  if (Now < this->NextControlRefresh)
    return;
  this->NextControlRefresh = Now + ControlRefreshInterval;
  this->ControlAddresses = this->Members.controlAddresses();
  this->ControlAddresses.insert(this->ControlAddresses.end(),
                                this->Seeds.begin(), this->Seeds.end());
  std::sort(this->ControlAddresses.begin(), this->ControlAddresses.end());
  this->ControlAddresses.erase(
      std::unique(this->ControlAddresses.begin(), this->ControlAddresses.end()),
      this->ControlAddresses.end());
  if (this->Router)
    this->Router->setControlAddresses(this->ControlAddresses);
  if (this->Control)
    this->Control->setJoinAddresses(this->ControlAddresses);
}

void Node::advanceStop(Time Now, Effects &Out) {
  if (!this->Draining && Now >= this->DrainAt)
    this->startDraining(Now, Out);
  if (this->ExitSent || !this->Draining)
    return;
  if (Now < this->GiveUpAt && !this->drained())
    return;
  if (this->ExitAt == NoDeadline) {
    if (this->awaitsHandover(Now, Out))
      return;
    this->ExitAt = Now + LeaveAnnounceTime;
    this->announceLeft(Out);
  } else if (Now >= this->ExitAt) {
    this->ExitSent = true;
    Out.emplace_back(ReadyToExit{});
  }
}

void Node::announceLeft(Effects &Out) {
  this->Members.updateSelf([](wire::MemberRecord &Record) {
    Record.State = wire::Liveness::Left;
    Record.Target = wire::TargetState::Gone;
  });
  this->announce(Out);
  if (!this->Control)
    return;
  std::vector<std::string> VoterAddresses;
  for (const wire::Replica &Voter : this->Control->consensus().voters()) {
    if (Voter.Address != this->Members.self().Address)
      VoterAddresses.push_back(Voter.Address);
  }
  this->Members.announce(VoterAddresses, Out);
}

void Node::updateDeparted() {
  if (this->DepartedRevision == this->Members.revision())
    return;
  this->DepartedRevision = this->Members.revision();
  std::set<std::string> Departed;
  for (const auto &[Name, Record] : this->Members.records()) {
    if (Record.Control && Record.State == wire::Liveness::Left)
      Departed.insert(Record.Address);
  }
  // The address may be in use by a later instance.
  for (const auto &[Name, Record] : this->Members.records()) {
    if (isAlive(Record))
      Departed.erase(Record.Address);
  }
  this->Control->setDeparted({Departed.begin(), Departed.end()});
}

bool Node::hasSuccessor() const {
  const auto &Voters = this->Control->consensus().voters();
  return std::any_of(this->Members.records().begin(),
                     this->Members.records().end(), [&](const auto &Item) {
                       const wire::MemberRecord &Record = Item.second;
                       return Record.Control && isAlive(Record) &&
                              Record.Name != this->Members.self().Name &&
                              std::none_of(Voters.begin(), Voters.end(),
                                           [&](const wire::Replica &Voter) {
                                             return Voter.Address ==
                                                    Record.Address;
                                           });
                     });
}

bool Node::awaitsHandover(Time Now, Effects &Out) {
  if (!this->Control || Now >= std::min(this->GiveUpAt, this->HandoverBy))
    return false;
  const Consensus &Replica = this->Control->consensus();
  if (!Replica.mayHandOver() || !this->hasSuccessor())
    return false;
  // The leader hands over by itself. Until then the proxies need it as the
  // source of confirmations.
  if (!Replica.leader() && Now >= this->NextLeftAnnouncement) {
    this->NextLeftAnnouncement = Now + LeftAnnouncementInterval;
    this->announceLeft(Out);
  }
  return true;
}

bool Node::nested(const wire::CallRequest &Request) {
  const wire::MemberRecord *Entry = this->Members.find(Request.Id.Sender);
  return Entry != nullptr &&
         this->NestedRoutes.recordCall(Request.Route, Entry->Service,
                                       this->Members.serviceCount());
}

void Node::on(const SettingsChanged &Body, const Event &, Effects &Out) {
  this->Seeds = Body.Seeds;
  this->Members.setSeeds(Body.Seeds);
  if (this->Router)
    this->Router->setRetryBurst(Body.RetryBurst);
  Out.emplace_back(LogDecision{"event=settings-changed seeds=" +
                               std::to_string(Body.Seeds.size())});
}

bool Node::drained() const {
  return this->Scheduler.idle() &&
         (!this->Router || this->Router->callCount() == 0);
}

void Node::on(const ProcessSuspended &Body, const Event &TheEvent,
              Effects &Out) {
  Out.emplace_back(
      LogWarning{"event=suspended ms=" + std::to_string(Body.For.count())});
  this->Confirmation.age(Body.For);
  this->Config.age(Body.For);
  if (this->Control) {
    this->Control->age(Body.For);
    this->Ledger.suspended(TheEvent.At);
  }
  if (this->Router) {
    this->Router->age(Body.For);
    this->updateConfirmation(TheEvent.At, Out);
  }
}

void Node::on(const StopRequested &, const Event &TheEvent, Effects &Out) {
  if (this->Stopping)
    return;
  this->Stopping = true;
  this->DrainAt = TheEvent.At + this->Stop.ServeOn;
  if (this->Stop.GiveUp.count() > 0)
    this->GiveUpAt = TheEvent.At + this->Stop.GiveUp;
  if (this->Router)
    this->Router->setEnd(this->GiveUpAt);
  this->Scheduler.setEnd(this->GiveUpAt);
  if (this->Control) {
    this->HandoverBy = TheEvent.At + HandoverTimeout;
    this->Control->leave();
  }
  Out.emplace_back(LogDecision{"event=stop-started"});
  this->advanceStop(TheEvent.At, Out);
}

void Node::on(const WorkContinued &, const Event &TheEvent, Effects &Out) {
  if (this->Control)
    this->Control->continueWork(TheEvent.At, Out);
}

void Node::startDraining(Time Now, Effects &Out) {
  this->Draining = true;
  // Further calls of connected callers are refused, so that they retry
  // elsewhere; the host closes the connections after the answers.
  if (this->Router)
    this->Router->stop();
  this->Scheduler.drain(Now, Out);
  if (this->Target.current().State != wire::TargetState::None) {
    this->Members.updateSelf([](wire::MemberRecord &Record) {
      Record.Target = wire::TargetState::Draining;
    });
    this->announce(Out);
  }
}

void Node::targetChanged(Time Now, Effects &Out) {
  const TargetAnnounced &Announcement = this->Target.current();
  this->Scheduler.setTarget(Announcement, Now, Out);
  Out.emplace_back(LogDecision{
      "event=target service=" + Announcement.Service + " id=" +
      Announcement.InstanceId + " born=" + std::to_string(Announcement.Born) +
      " sequence=" + std::to_string(Announcement.Sequence) +
      " state=" + wire::to_string(Announcement.State)});
  this->Members.updateSelf([&](wire::MemberRecord &Record) {
    this->fillLeavingRun(Record);
    if (this->Draining)
      return;
    Record.Service = Announcement.Service;
    Record.Run.InstanceId = Announcement.InstanceId;
    Record.Run.Born = Announcement.Born;
    Record.__isset.Run = !Announcement.InstanceId.empty();
    Record.Target = Announcement.State;
    Record.Slots = Announcement.Slots;
    Record.ColdMs = static_cast<std::int32_t>(Announcement.ColdFor.count());
    Record.TargetVersion = Announcement.Version;
    Record.__isset.TargetVersion = !Announcement.Version.empty();
  });
  this->announce(Out);
}

void Node::on(const TargetAnnounced &Body, const Event &TheEvent,
              Effects &Out) {
  this->MissedProbes = 0;
  if (takesCalls(Body.State) && !this->Target.hasLeft(Body)) {
    if (!this->Evidence.admits(Body, TheEvent.At)) {
      Out.emplace_back(
          LogDecision{"event=announcement-held id=" + Body.InstanceId +
                      " born=" + std::to_string(Body.Born) +
                      " sequence=" + std::to_string(Body.Sequence)});
      return this->useConfirmedTarget(TheEvent, Out);
    }
    this->Evidence.end();
  }
  const AnnouncementResult Result = this->Target.announce(Body);
  if (Result == AnnouncementResult::Accepted)
    return this->targetChanged(TheEvent.At, Out);
  if (Result != AnnouncementResult::Unchanged)
    Out.emplace_back(LogDecision{
        "event=announcement-ignored id=" + Body.InstanceId +
        " born=" + std::to_string(Body.Born) +
        " sequence=" + std::to_string(Body.Sequence) + " reason=" +
        (Result == AnnouncementResult::OtherRun ? "other-run" : "outdated")});
}

void Node::on(const TargetLeaving &Body, const Event &TheEvent, Effects &Out) {
  if (this->Target.leave(Body.InstanceId, Body.Born, TheEvent.WallMs))
    return this->targetChanged(TheEvent.At, Out);
  // The run may not be known yet, after a restart of this daemon.
  wire::MemberRecord Updated = this->Members.self();
  this->fillLeavingRun(Updated);
  if (Updated == this->Members.self())
    return;
  this->Members.updateSelf(
      [&](wire::MemberRecord &Record) { this->fillLeavingRun(Record); });
  this->announce(Out);
}

void Node::fillLeavingRun(wire::MemberRecord &Record) const {
  const auto Run = this->Target.leavingRun();
  Record.__isset.LeavingRun = Run.has_value();
  Record.LeavingRun = Run.value_or(wire::TargetRun());
}

void Node::noticeLeaving(const TargetNotice &Notice,
                         const std::string &InstanceId, const Event &TheEvent,
                         Effects &Out) {
  const bool Serving = takesCalls(this->Target.current().State);
  if (Notice.Leaving && Serving &&
      this->Target.leave(InstanceId, 0, TheEvent.WallMs))
    this->targetChanged(TheEvent.At, Out);
}

void Node::on(const TargetFound &Body, const Event &TheEvent, Effects &Out) {
  if (this->Evidence.ended())
    return;
  if (Body.Notice.Leaving)
    this->on(TargetLeaving{Body.InstanceId}, TheEvent, Out);
  Out.emplace_back(LogDecision{"event=target-found id=" + Body.InstanceId});
  const TargetAnnounced Found = announcementOf(Body);
  // A later run under the id of one that left may be the one that responded.
  if (!Body.Notice.Leaving) {
    this->Evidence.find(Body, TheEvent.At);
    this->useConfirmedTarget(TheEvent, Out);
  }
  if (this->Target.current().State != wire::TargetState::None ||
      !this->Target.hasLeft(Found))
    return;
  this->Target.find(Found, TheEvent.WallMs);
  this->targetChanged(TheEvent.At, Out);
}

void Node::applyFormerRecord(const wire::MemberRecord &Former,
                             const Event &TheEvent, Effects &Out) {
  Out.emplace_back(LogDecision{
      "event=former-target service=" + Former.Service + " id=" +
      Former.Run.InstanceId + " born=" + std::to_string(Former.Run.Born) +
      " leaving=" + Former.LeavingRun.InstanceId +
      " incarnation=" + std::to_string(Former.Incarnation)});
  if (Former.__isset.LeavingRun)
    this->on(
        TargetLeaving{Former.LeavingRun.InstanceId, Former.LeavingRun.Born},
        TheEvent, Out);
  this->Evidence.receive(Former);
  this->useConfirmedTarget(TheEvent, Out);
}

void Node::useConfirmedTarget(const Event &TheEvent, Effects &Out) {
  const auto Confirmed = this->Evidence.confirmed();
  if (!Confirmed || this->Target.hasLeft(Confirmed->Target))
    return;
  if (this->Target.current().State == wire::TargetState::None)
    this->Target.find(Confirmed->Target, TheEvent.WallMs);
  else if (!Confirmed->Announced || this->Target.announce(Confirmed->Target) !=
                                        AnnouncementResult::Accepted)
    return;
  this->Evidence.end();
  this->targetChanged(TheEvent.At, Out);
  this->Scheduler.noticed(Confirmed->Notice, Confirmed->FoundAt, TheEvent.At,
                          Out);
}

void Node::on(const TargetDisowned &Body, const Event &TheEvent, Effects &Out) {
  const auto &Table = this->Config.table();
  // An announcement that names no service may come from any writer.
  if (Table && Table->service(Body.Service) == nullptr)
    return;
  this->Evidence.disown(Body.InstanceId);
  if (!Table)
    return;
  const TargetAnnounced &Current = this->Target.current();
  const bool StartedLater = Current.Born != 0 && Body.Born > Current.Born;
  if (Body.InstanceId == Current.InstanceId || StartedLater)
    this->targetGone(TheEvent.At, Out);
}

void Node::targetGone(Time Now, Effects &Out) {
  if (this->Target.markGone())
    this->targetChanged(Now, Out);
}

void Node::on(const TargetProbed &Body, const Event &TheEvent, Effects &Out) {
  this->noticeLeaving(Body.Notice, this->Target.current().InstanceId, TheEvent,
                      Out);
  this->MissedProbes = Body.Reachable ? 0 : this->MissedProbes + 1;
  const wire::TargetState::type State = this->Target.current().State;
  const bool Present =
      State != wire::TargetState::None && State != wire::TargetState::Gone;
  const bool OtherRun = !Body.RespondedRun.empty() &&
                        Body.RespondedRun != Body.ExpectedRun &&
                        Body.ExpectedRun == this->Target.current().InstanceId;
  if (Present && (OtherRun || this->MissedProbes >= MissedProbesUntilGone))
    return this->targetGone(TheEvent.At, Out);
  if (!Present || !Body.Reachable || this->Stopping ||
      this->Members.self().Unwell == !Body.Healthy)
    return;
  this->Members.updateSelf(
      [&](wire::MemberRecord &Record) { Record.Unwell = !Body.Healthy; });
}

void Node::on(const RunFinished &Body, const Event &TheEvent, Effects &Out) {
  // Before the next call starts.
  this->noticeLeaving(Body.Notice, Body.TargetRun, TheEvent, Out);
  this->Scheduler.finished(Body, TheEvent.At, Out);
  const bool OfCurrentRun = Body.TargetRun == this->Target.current().InstanceId;
  if (OfCurrentRun && (Body.IsOtherRun || Body.End == RunEnd::NotConnected))
    this->targetGone(TheEvent.At, Out);
}

void Node::on(const StreamAlive &Body, const Event &, Effects &) {
  if (this->Router)
    this->Router->streamAlive(Body.Address, Body.LastActivity);
}

void Node::on(const StreamSlow &Body, const Event &TheEvent, Effects &Out) {
  if (this->Router)
    this->Router->streamSlow(Body, TheEvent.At, Out);
}

void Node::on(const StreamLost &Body, const Event &TheEvent, Effects &Out) {
  this->Config.streamLost(Body.Address, TheEvent.At, Out);
  if (this->Router)
    this->Router->streamLost(Body, TheEvent.At, Out);
}

void Node::on(const BodyProgress &Body, const Event &TheEvent, Effects &Out) {
  this->Scheduler.bodyProgress(Body, TheEvent.At, Out);
}

void Node::on(const BodyArrived &Body, const Event &TheEvent, Effects &Out) {
  this->Scheduler.bodyArrived(Body, TheEvent.At, Out);
}

void Node::on(const BodyLost &Body, const Event &TheEvent, Effects &Out) {
  this->Scheduler.bodyLost(Body, TheEvent.At, Out);
}

void Node::on(const CallArrived &Body, const Event &TheEvent, Effects &Out) {
  if (!this->Router)
    return;
  this->Confirmation.recordUse(TheEvent.At);
  this->updateConfirmation(TheEvent.At, Out);
  this->Router->reportedLocal(this->Scheduler.reportedLoad({}, TheEvent.At),
                              TheEvent.At);
  this->Router->handleCall(Body, this->Gate.open(), TheEvent.At, Out);
  if (this->Router->hasHeld())
    this->updateConfirmation(TheEvent.At, Out);
}

void Node::updateConfirmation(Time Now, Effects &Out) {
  const std::int64_t Version = this->Config.version();
  const VersionConfirmation::Peers Others{this->Members.self().Address,
                                          this->Reports.parentAddresses(),
                                          this->ControlAddresses};
  this->Confirmation.answerWaiting(Others, Version, Now, Out);
  this->Confirmation.tick(Others, this->Router->hasHeld(), Now, Out);
  const bool WasOutOfTouch = this->Router->validity().OutOfTouch;
  this->Router->setValidity(
      {this->Confirmation.deniesUntil(Version),
       this->Confirmation.servesUntil(Version),
       this->Confirmation.confirmedAt() + this->NewVersionValidity,
       this->Confirmation.outOfTouch(Now), this->keysUntil()});
  if (this->Router->validity().OutOfTouch && !WasOutOfTouch) {
    Out.emplace_back(LogWarning{"event=out-of-touch version=" +
                                std::to_string(Version) + " confirmedMsAgo=" +
                                std::to_string(millisecondsUntil(
                                    Now, this->Confirmation.confirmedAt()))});
    this->Router->routeAgain(this->Gate.open(), Now, Out);
  }
}

Time Node::keysUntil() const {
  if (this->Revocation.count() == 0)
    return NoDeadline;
  return this->Config.currentAt() + this->Revocation -
         this->Revocation / RevocationMarginDivisor;
}

void Node::applyConfirmation() {
  if (this->Confirmation.version() <= this->Config.version())
    this->Config.noteCurrent(this->Confirmation.confirmedAt());
}

void Node::on(const CallerDisconnected &Body, const Event &TheEvent,
              Effects &Out) {
  if (this->Router)
    this->Router->callerDisconnected(Body.CallNumber, TheEvent.At, Out);
}

template <typename RequestT>
void Node::on(const RequestT &Body, const Event &TheEvent, Effects &Out) {
  if (this->Control)
    this->Control->handle(Body, TheEvent.At, Out);
}

void Node::on(const MessageReceived &Body, const Event &TheEvent,
              Effects &Out) {
  // Only control instances of earlier versions send this.
  if (const auto *Target = std::get_if<wire::LeavingTarget>(&Body.Body))
    return this->on(TargetLeaving{Target->Run.InstanceId, Target->Run.Born},
                    TheEvent, Out);
  std::visit(
      [&](const auto &Content) {
        this->receive(Content, Body.From, TheEvent.At, Out);
      },
      Body.Body);
}

void Node::receiveStamp(const wire::StampReply &Reply, Time Now, Effects &Out) {
  this->Gate.receive(Reply, this->Config.version(), Out);
  if (!this->Router || !this->Confirmation.receive(Reply))
    return;
  this->applyConfirmation();
  // Only the leader answers the proxies that report to control instances.
  this->Reports.noteLeader(Reply.Source, Now + LeaderValidity);
  this->Config.noteCommittedVersion(Reply.Confirmed.Version, Now);
  this->Config.notePeerVersion(Reply.Source, Reply.Confirmed.Version, Now, Out);
  this->updateConfirmation(Now, Out);
  this->Router->routeAgain(this->Gate.open(), Now, Out);
}

void Node::receiveStampRequest(const wire::StampRequest &Request,
                               std::string_view From, Time Now, Effects &Out) {
  wire::Gossip SenderUpdate;
  SenderUpdate.Updates.push_back(Request.Who);
  this->Members.mergeGossip(SenderUpdate, Now);
  this->Members.sendFormerRecord(Request.Who.Name, From, Out);
  if (this->Control)
    return this->Control->receive(Request, From, Now, Out);
  this->Confirmation.receive(Request, From, Now);
  this->updateConfirmation(Now, Out);
}

double Node::accountWeight(const wire::CallRequest &Call) const {
  const auto &Table = this->Config.table();
  if (Call.Account.empty() || !Table)
    return 1;
  const std::string Team = Call.Service.substr(0, Call.Service.find('/'));
  return std::max(MinAccountWeight,
                  Table->relativeRate(Team + "/accounts/" + Call.Account));
}

template <typename MessageT>
void Node::receive(const MessageT &Body, const std::string &From, Time Now,
                   Effects &Out) {
  using T = MessageT;
  if constexpr (HasGossipHeader<T>) {
    // A control instance applies versions from its local replica only.
    if (!this->Control)
      this->Config.noteCommittedVersion(Body.Head.Newest.Version, Now);
    if (!this->Control &&
        this->VersionTopology.mayPull(this->Members, Body.Head.From))
      this->Config.notePeerVersion(Body.Head.Address, Body.Head.Version, Now,
                                   Out);
  }

  if constexpr (std::is_same_v<T, wire::StampRequest>)
    this->receiveStampRequest(Body, From, Now, Out);
  else if constexpr (std::is_same_v<T, wire::Probe> ||
                     std::is_same_v<T, wire::ProbeAck> ||
                     std::is_same_v<T, wire::Announce>)
    this->Members.receive(Body, From, Now, Out);
  else if constexpr (std::is_same_v<T, wire::IndirectProbe>)
    this->Members.receive(Body, Now, Out);
  else if constexpr (std::is_same_v<T, wire::SyncRequest>)
    this->Members.receive(Body, From, Out);
  else if constexpr (std::is_same_v<T, wire::SyncReply>)
    this->Members.receive(Body, From, Now, Out);
  else if constexpr (std::is_same_v<T, wire::PullRequest> ||
                     std::is_same_v<T, wire::PullReply>)
    this->Config.receive(Body, From, Now, Out);
  else if constexpr (std::is_same_v<T, wire::Report>)
    this->Reports.receive(Body, Now);
  else if constexpr (std::is_same_v<T, wire::StampReply>)
    this->receiveStamp(Body, Now, Out);
  else if constexpr (std::is_same_v<T, wire::CallRequest>) {
    const auto &Table = this->Config.table();
    this->Scheduler.receive(
        Body, From,
        {this->Members.hadIncarnation(Body.ReceiverIncarnation),
         this->nested(Body), Table ? Table->service(Body.Service) : nullptr,
         Body.Id.Sender == this->Members.self().Name,
         this->accountWeight(Body)},
        Now, Out);
  } else if constexpr (std::is_same_v<T, wire::CallQuery>)
    this->Scheduler.receive(
        Body, From, this->Members.hadIncarnation(Body.ReceiverIncarnation), Now,
        Out);
  else if constexpr (std::is_same_v<T, wire::CallCancel>)
    this->Scheduler.receive(Body, From, Now, Out);
  else if constexpr (std::is_same_v<T, wire::AnswerAck>)
    this->Scheduler.receive(Body, Now, Out);
  else if constexpr (std::is_same_v<T, wire::BodyPart> ||
                     std::is_same_v<T, wire::LeavingTarget>)
    return; // The host reassembles bodies; parts never reach the reducer.
  else if constexpr (std::is_same_v<T, wire::AllowanceRequest>)
    this->receiveAllowanceRequest(Body, From, Now, Out);
  else if constexpr (std::is_same_v<T, wire::AllowanceReply>) {
    if (this->Router)
      this->Router->receive(Body, From, Now, Out);
  } else if constexpr (std::is_same_v<T, wire::CallReply> ||
                       std::is_same_v<T, wire::ClaimReply> ||
                       std::is_same_v<T, wire::OutcomeReply>) {
    if (this->Router)
      this->Router->receive(Body, Now, Out);
  } else if constexpr (std::is_same_v<T, wire::OutcomeQuery>) {
    if (this->Router)
      this->Router->receive(Body, From, Out);
  } else if constexpr (std::is_same_v<T, wire::Heartbeat>) {
    if (this->Router)
      this->Router->receive(Body, From, Now, Out);
  } else if (this->Control)
    this->Control->receive(Body, From, Now, Out);
}

} // namespace persimmon
