#include "daemonhost.h"

#include "logging.h"
#include "memoryshares.h"

#include <asio/post.hpp>

#include <csignal>
#include <random>

namespace persimmon {

namespace {

constexpr milliseconds TickInterval{20};
/// Time to write the last responses after the time for calls has ended. A
/// caller that does not read must not hold up the exit.
constexpr milliseconds WriteOutTime{600};
/// Interval at which the settings file is checked for changes, as it may be
/// replaced without a signal.
constexpr milliseconds SettingsCheckInterval{1000};
/// A step of the event loop that delays the events behind it noticeably.
constexpr milliseconds LongStep{5};
/// Short enough to resolve the seconds in which a link was saturated.
constexpr milliseconds TrafficLogInterval{2000};

std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

std::unique_ptr<ChoicePolicy> makeChoicePolicy(const std::string &Name) {
  if (Name == "random")
    return std::make_unique<FirstOfTwo>();
  return std::make_unique<LeastOfTwo>();
}

std::unique_ptr<Topology> makeTopology(const std::string &Name) {
  if (Name == "star")
    return std::make_unique<StarTopology>();
  if (Name == "relay")
    return std::make_unique<RelayTopology>();
  return std::make_unique<PeerTopology>();
}

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

DaemonHost::DaemonHost(const DaemonSettings &TheSettings,
                       const EdgeProtocols &TheProtocols)
    : Settings(TheSettings), Protocols(TheProtocols), TickTimer(Io),
      Signals(Io, SIGTERM, SIGINT), ReloadSignals(Io, SIGHUP),
      SettingsTimer(Io) {}

DaemonHost::~DaemonHost() = default;

leaf::result<std::unique_ptr<DaemonHost>>
DaemonHost::open(const DaemonSettings &Settings,
                 const EdgeProtocols &Protocols) {
  std::unique_ptr<DaemonHost> Out(new DaemonHost(Settings, Protocols));
  BOOST_LEAF_CHECK(Out->openNode());
  BOOST_LEAF_CHECK(Out->openPorts());
  Out->requestBootstrap();
  Out->watchSignals();
  Out->watchReloadSignal();
  Out->watchSettingsFile();
  Out->scheduleTick();
  return Out;
}

leaf::result<void> DaemonHost::openNode() {
  NodeIdentity Identity;
  Identity.Name = this->Settings.Name;
  Identity.Address = this->Settings.Advertise.toString();
  Identity.Zone = this->Settings.Zone;
  Identity.Incarnation = wallClockMs();
  Identity.Seed = randomNumber();
  Identity.ControlInstances = this->Settings.ControlInstances;
  Identity.Seeds = this->Settings.Seeds;
  Identity.Voters = this->Settings.Voters;
  Identity.Stop = this->Settings.Stop;
  Identity.RetryBurst = this->Settings.RetryBurst;
  Identity.LinkMbps = this->Settings.LinkMbps;
  Identity.Revocation = this->Settings.Revocation;
  Identity.EvenPlacement = this->Settings.EvenPlacement;
  Identity.Rollouts = this->Settings.Rollouts;
  Identity.TextPrefixTeam = this->Protocols.TextPrefixTeam;
  const MemoryShares Shares =
      MemoryShares::fromSettings(this->Settings.MemoryMb);
  Identity.Snapshots.MaxLogBytes = Shares.maxLogBytes();
  Identity.MaxHistoryBytes = Shares.maxHistoryBytes();
  Identity.MaxTargetBodyBytes =
      static_cast<std::int64_t>(Shares.maxTargetBodyBytes());
  this->TargetPolicy = makeChoicePolicy(this->Settings.Baselines.Choice);
  this->VersionTopology = makeTopology(this->Settings.Baselines.Distribution);
  if (this->Settings.Role == DaemonRole::Proxy) {
    this->LocalNode = Node::makeProxy(
        Identity, {*this->TargetPolicy, *this->VersionTopology});
    return {};
  }
  std::optional<std::int64_t> InitialDiskId;
  if (this->Settings.Bootstrap)
    InitialDiskId = initialVoterAt(Identity.Address).DiskId;
  BOOST_LEAF_ASSIGN(this->Disk,
                    DiskStore::open(this->Settings.DataFolder,
                                    diskIdFrom(randomNumber()), InitialDiskId));
  this->logDisk();
  BOOST_LEAF_ASSIGN(
      this->LocalNode,
      Node::makeControl(Identity, this->Disk->diskId(), this->Disk->state(),
                        {*this->TargetPolicy, *this->VersionTopology},
                        std::chrono::steady_clock::now()));
  this->Disk->releaseState();
  return {};
}

void DaemonHost::logDisk() {
  const DurableState &State = this->Disk->state();
  const std::string Id = std::to_string(this->Disk->diskId());
  if (this->Disk->damage().failed())
    logError("event=disk-lost disk=" + Id + " " +
             describe(this->Disk->damage()));
  const auto &Entries = State.Entries;
  logInfo("event=disk-opened disk=" + Id +
          " new=" + (this->Disk->isNew() ? "yes" : "no") +
          " term=" + std::to_string(State.HardState.Term) +
          " votedFor=" + std::to_string(State.HardState.VotedFor) +
          " snapshot=" + std::to_string(State.Snapshot.LastIndex) +
          " entries=" + std::to_string(Entries.size()) + " lastIndex=" +
          std::to_string(Entries.empty() ? State.Snapshot.LastIndex
                                         : Entries.back().Index) +
          " lastTerm=" +
          std::to_string(Entries.empty() ? State.Snapshot.LastTerm
                                         : Entries.back().Term) +
          " journalBytes=" + std::to_string(this->Disk->journalBytes()) +
          " cutBytes=" + std::to_string(this->Disk->cutBytes()));
  this->DaemonMetrics.setGauge("persimmon_disk_lost",
                               this->Disk->damage().failed() ? 1 : 0);
  this->DaemonMetrics.setGauge("persimmon_disk_cut_bytes",
                               static_cast<double>(this->Disk->cutBytes()));
}

leaf::result<void> DaemonHost::openPorts() {
  const MemoryShares Shares =
      MemoryShares::fromSettings(this->Settings.MemoryMb);
  this->Requests = RequestMemory::make(
      {Shares.maxCallerBodyBytes(), Shares.maxRequestBytes()});
  BOOST_LEAF_ASSIGN(this->Network,
                    PeerNetwork::open(this->Io, this->Settings.Listen, *this));
  if (this->Settings.Role == DaemonRole::Control) {
    BOOST_LEAF_ASSIGN(this->Operators,
                      OperatorApi::open(this->Io, this->Settings,
                                        this->Protocols.Operators.get(), *this,
                                        this->Requests));
    return {};
  }
  BOOST_LEAF_ASSIGN(this->Proxy,
                    ProxyApi::open(this->Io, this->Settings,
                                   {*this, this->Bodies, this->DaemonMetrics,
                                    this->Protocols, this->Requests}));
  return {};
}

void DaemonHost::requestBootstrap() {
  if (this->Settings.Bootstrap && this->Disk)
    this->submit(BootstrapRequested{this->Settings.Seeds});
}

void DaemonHost::scheduleTick() {
  this->TickTimer.expires_after(TickInterval);
  this->TickTimer.async_wait([this](std::error_code Error) {
    if (Error)
      return;
    const std::chrono::duration<double> Late =
        std::chrono::steady_clock::now() - this->TickTimer.expiry();
    this->DaemonMetrics.observe("persimmon_loop_late_seconds", Late.count());
    this->submit(Tick{this->Network->takeLinkBytes()});
    this->logTraffic(std::chrono::steady_clock::now());
    flushLog();
    this->scheduleTick();
  });
}

void DaemonHost::logTraffic(Time Now) {
  if (Now < this->NextTrafficLogAt)
    return;
  this->NextTrafficLogAt = Now + TrafficLogInterval;
  const auto &Traffic = this->Network->traffic();
  std::string Line = "event=peer-traffic intervalMs=" +
                     std::to_string(TrafficLogInterval.count());
  for (std::size_t I = 0; I < Traffic.size(); ++I) {
    const std::uint64_t Sent =
        Traffic[I].SentBytes - this->LoggedTraffic[I].SentBytes;
    const std::uint64_t Received =
        Traffic[I].ReceivedBytes - this->LoggedTraffic[I].ReceivedBytes;
    if (Sent + Received == 0)
      continue;
    Line.append(" ").append(messageKindName(I)).append("=");
    Line.append(std::to_string(Sent)).append("/");
    Line.append(std::to_string(Received));
  }
  this->LoggedTraffic = Traffic;
  logDecision(Line);
}

void DaemonHost::watchSignals() {
  this->Signals.async_wait([this](std::error_code Error, int) {
    if (Error)
      return;
    if (this->ExitBy == NoDeadline && this->Settings.Stop.GiveUp.count() > 0)
      this->ExitBy = std::chrono::steady_clock::now() +
                     this->Settings.Stop.GiveUp + WriteOutTime;
    this->submit(StopRequested());
    this->watchSignals();
  });
}

void DaemonHost::watchReloadSignal() {
  this->ReloadSignals.async_wait([this](std::error_code Error, int) {
    if (Error)
      return;
    this->reload("signal");
    this->watchReloadSignal();
  });
}

void DaemonHost::watchSettingsFile() {
  if (this->Settings.File.empty())
    return;
  std::error_code Unreadable;
  const auto WrittenAt =
      std::filesystem::last_write_time(this->Settings.File, Unreadable);
  const bool Changed = !Unreadable && WrittenAt != this->SettingsWrittenAt;
  if (Changed && this->SettingsWrittenAt != std::filesystem::file_time_type())
    this->reload("file");
  if (Changed)
    this->SettingsWrittenAt = WrittenAt;
  this->SettingsTimer.expires_after(SettingsCheckInterval);
  this->SettingsTimer.async_wait([this](std::error_code Error) {
    if (!Error)
      this->watchSettingsFile();
  });
}

void DaemonHost::reload(std::string_view Reason) {
  const Failure Error = handleResult(
      [&] { return DaemonSettings::load(this->Settings.File); },
      [&](const DaemonSettings &Reloaded) {
        this->Settings.Seeds = Reloaded.Seeds;
        this->Settings.RetryBurst = Reloaded.RetryBurst;
        this->submit(SettingsChanged{Reloaded.Seeds, Reloaded.RetryBurst});
      });
  logInfo("event=reload reason=" + std::string(Reason) + " outcome=" +
          (Error.failed() ? "kept-old " + describe(Error) : "done"));
}

void DaemonHost::runEvents() {
  while (true) {
    try {
      this->Io.run();
      return;
    } catch (const std::exception &Error) {
      // Thrown by a handler outside of submit(), so the node's state is intact.
      logError("event=handler-failed " +
               describe({ResultCode::InternalError, {}, Error.what()}));
      this->DaemonMetrics.incrementCounter("persimmon_handlers_failed_total");
    }
  }
}

leaf::result<void> DaemonHost::run() {
  logInfo("event=started name=" + this->Settings.Name +
          " address=" + this->Settings.Advertise.toString());
  this->runEvents();
  flushLog();
  if (this->FatalError.failed())
    return fail(this->FatalError.Code, this->FatalError.Where,
                this->FatalError.What);
  logInfo("event=stopped name=" + this->Settings.Name);
  flushLog();
  return {};
}

void DaemonHost::submit(EventBody Body) {
  const Time Now = std::chrono::steady_clock::now();
  // Read after the time of the event: what happened before it is aged first.
  if (this->Settings.Revocation.count() > 0) {
    const milliseconds Suspended =
        this->Suspension.advance(SuspensionClock::read());
    if (Suspended.count() > 0)
      this->reduce(ProcessSuspended{Suspended}, Now);
  }
  this->reduce(std::move(Body), Now);
}

void DaemonHost::reduce(EventBody Body, Time Now) {
  Event NewEvent;
  NewEvent.At = Now;
  NewEvent.WallMs = wallClockMs();
  NewEvent.Body = std::move(Body);
  try {
    this->executeAll(this->LocalNode->reduce(NewEvent));
  } catch (const std::exception &Error) {
    // The event may have been handled in part. The process stops, since its
    // state is unknown.
    this->FatalError = {ResultCode::InternalError, "event", Error.what()};
    logError("event=event-failed " + describe(this->FatalError));
    this->Io.stop();
    return;
  }
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - NewEvent.At;
  // Short steps are too many to be counted one by one.
  if (Took >= LongStep)
    this->DaemonMetrics.observe("persimmon_long_step_seconds", Took.count());
}

void DaemonHost::executeAll(const Effects &EffectList) {
  for (const Effect &Item : EffectList) {
    if (this->FatalError.failed())
      return;
    std::visit([this](const auto &Body) { this->execute(Body); }, Item);
  }
}

void DaemonHost::onMessage(std::string From, Message Body) {
  if (auto *Request = std::get_if<wire::CallRequest>(&Body)) {
    auto Complete = this->Bodies.begin(std::move(*Request), From);
    if (Complete)
      this->submit(MessageReceived{std::move(From), std::move(*Complete)});
    return;
  }
  if (auto *Reply = std::get_if<wire::CallReply>(&Body)) {
    auto Complete = this->Bodies.begin(std::move(*Reply));
    if (Complete)
      this->submit(MessageReceived{std::move(From), std::move(*Complete)});
    return;
  }
  if (const auto *Part = std::get_if<wire::BodyPart>(&Body))
    return this->onBodyPart(std::move(From), *Part);
  this->submit(MessageReceived{std::move(From), std::move(Body)});
}

void DaemonHost::onBodyPart(std::string From, const wire::BodyPart &Part) {
  auto Completed = this->Bodies.addPart(Part, std::chrono::steady_clock::now());
  if (auto *Request = std::get_if<wire::CallRequest>(&Completed))
    this->submit(MessageReceived{std::move(From), std::move(*Request)});
  else if (auto *Reply = std::get_if<wire::CallReply>(&Completed))
    this->submit(MessageReceived{std::move(From), std::move(*Reply)});
  else if (auto *Complete = std::get_if<BodyArrived>(&Completed))
    this->submit(std::move(*Complete));
  else if (auto *Lost = std::get_if<BodyLost>(&Completed))
    this->submit(std::move(*Lost));
  else if (!Part.OfAnswer)
    this->submit(BodyProgress{
        Part.Id, Part.Offset + static_cast<std::int64_t>(Part.Data.size())});
}

void DaemonHost::onStreamLost(StreamLost Lost) {
  const std::string How(nameOf(Lost.End));
  logDecision("event=connection-lost peer=" + Lost.Address + " how=" + How +
              " sent=" + std::to_string(Lost.Sent.size()) +
              " notSent=" + std::to_string(Lost.NotSent.size()));
  this->DaemonMetrics.incrementCounter(
      "persimmon_connections_lost_total{how=\"" + How + "\"}");
  this->submit(std::move(Lost));
}

void DaemonHost::onStreamSlow(StreamSlow Slow) {
  logDecision("event=connection-slow peer=" + Slow.Address +
              " notSent=" + std::to_string(Slow.NotSent.size()));
  this->DaemonMetrics.incrementCounter("persimmon_connections_slow_total");
  this->submit(std::move(Slow));
}

void DaemonHost::onStreamAlive(StreamAlive Alive) {
  this->submit(std::move(Alive));
}

void DaemonHost::onPathClosed(std::string Path) {
  for (BodyLost &Lost : this->Bodies.removeIncompleteRequests(Path))
    this->submit(std::move(Lost));
}

template <typename RecordT> void DaemonHost::persist(const RecordT &Record) {
  this->FatalError =
      handleResult([&] { return this->Disk->write(Record); }, [] {});
  if (!this->FatalError.failed())
    return;
  // After a failed write the content of the disk is unknown. The process stops
  // and reads the disk again at the next start.
  logError("event=disk-write-failed " + describe(this->FatalError));
  this->Io.stop();
}

void DaemonHost::execute(const SendMessage &Item) {
  this->Network->send(Item.Address, Item.Body, Item.Via);
}

void DaemonHost::execute(const AnswerOperator &Item) {
  if (this->Operators)
    this->Operators->respond(Item);
}

void DaemonHost::execute(const VersionInForce &Item) {
  this->DaemonMetrics.setGauge("persimmon_version_in_force",
                               static_cast<double>(Item.Version));
  logInfo("event=in-force version=" + std::to_string(Item.Version));
}

void DaemonHost::execute(const LogDecision &Item) { logDecision(Item.Line); }

void DaemonHost::execute(const LogWarning &Item) { logWarning(Item.Line); }

void DaemonHost::execute(const SendCall &Item) {
  this->Network->send(
      Item.Address,
      firstMessage(Item, this->Bodies.callerBody(Item.CallNumber)),
      Channel::Stream);
}

void DaemonHost::execute(const SendBody &Item) {
  const std::string_view Body = this->Bodies.callerBody(Item.CallNumber);
  for (wire::BodyPart &Part : partsToSend(Item, Body))
    this->Network->send(Item.Address, std::move(Part), Channel::Stream);
}

void DaemonHost::execute(const RefuseCaller &Item) {
  if (this->Proxy)
    this->Proxy->sendError(Item);
}

void DaemonHost::execute(const AnswerCaller &Item) {
  if (this->Proxy)
    this->Proxy->forwardResponse(Item);
}

void DaemonHost::execute(const RunOnTarget &Item) {
  if (this->Proxy)
    this->Proxy->runOnTarget(Item);
}

void DaemonHost::execute(const CancelOnTarget &Item) {
  if (this->Proxy)
    this->Proxy->cancelOnTarget(Item);
}

void DaemonHost::execute(const SendAnswer &Item) {
  const BodyStore::Response *StoredResponse =
      this->Bodies.storedResponse(Item.Id);
  wire::CallReply Reply;
  Reply.Id = Item.Id;
  Reply.TargetLoad = Item.TargetLoad;
  Reply.Nested = Item.Nested;
  Reply.Shed = Item.Shed;
  Reply.Peers = Item.Peers;
  Reply.__isset.Peers = !Item.Peers.empty();
  if (StoredResponse == nullptr) {
    Reply.Outcome = wire::CallOutcome::Unknown;
    Reply.Code = static_cast<std::int32_t>(ResultCode::OutcomeUnknown);
    this->Network->send(Item.Address, Reply, Channel::Stream);
    return;
  }
  Reply.Outcome = wire::CallOutcome::Finished;
  Reply.Status = StoredResponse->Status;
  Reply.Headers = StoredResponse->Headers;
  Reply.BodySize = static_cast<std::int64_t>(StoredResponse->Body.size());
  if (StoredResponse->Body.size() <= InlineBodyBytes) {
    Reply.Body = StoredResponse->Body;
    this->Network->send(Item.Address, Reply, Channel::Stream);
    return;
  }
  this->Network->send(Item.Address, Reply, Channel::Stream);
}

void DaemonHost::execute(const SendAnswerBody &Item) {
  const BodyStore::Response *StoredResponse =
      this->Bodies.storedResponse(Item.Id);
  if (StoredResponse == nullptr)
    return;
  const std::string_view Body = StoredResponse->Body;
  const auto Begin = static_cast<std::size_t>(Item.Begin);
  const auto Length = static_cast<std::size_t>(Item.End - Item.Begin);
  for (wire::BodyPart &Part :
       splitBody(Item.Id, true, Body.substr(Begin, Length), Item.Begin))
    this->Network->send(Item.Address, std::move(Part), Channel::Stream);
}

void DaemonHost::execute(const DropAttempt &Item) {
  this->Bodies.removeAttempt(Item.Id);
}

void DaemonHost::execute(const DropReceivedAnswer &Item) {
  this->Bodies.removeReceivedResponse(Item.Id);
  this->Network->endAttempt(Item.Address, Item.Id);
}

void DaemonHost::execute(const RenewConnection &Item) {
  const bool Renewed =
      this->Network->closeIfSilent(Item.Address, Item.SilentSince);
  const std::string Reason(Item.Reason);
  const std::string Outcome = Renewed ? "renewed" : "alive";
  if (Renewed)
    logDecision("event=connection-renewed peer=" + Item.Address +
                " reason=" + Reason);
  this->DaemonMetrics.incrementCounter(
      "persimmon_connections_checked_total{reason=\"" + Reason +
      "\",outcome=\"" + Outcome + "\"}");
}

void DaemonHost::execute(const ContinueWork &) {
  asio::post(this->Io, [this] { this->submit(WorkContinued()); });
}

void DaemonHost::execute(const ReadyToExit &) {
  this->stopWhenResponsesWritten();
}

void DaemonHost::stopWhenResponsesWritten() {
  // Waits until all pending responses have been written to the callers.
  if (!this->Proxy || this->Proxy->pendingResponses() == 0)
    return this->Io.stop();
  if (std::chrono::steady_clock::now() >= this->ExitBy) {
    logWarning("event=stop-incomplete unwritten=" +
               std::to_string(this->Proxy->pendingResponses()));
    return this->Io.stop();
  }
  auto Timer = std::make_shared<asio::steady_timer>(this->Io);
  Timer->expires_after(TickInterval);
  Timer->async_wait(
      [this, Timer](std::error_code) { this->stopWhenResponsesWritten(); });
}

void DaemonHost::setConsensusGauges(const Consensus &Source, Time Now) {
  const auto Set = [this](std::string_view Name, auto Value) {
    this->DaemonMetrics.setGauge(Name, static_cast<double>(Value));
  };
  Set("persimmon_term", Source.term());
  Set("persimmon_log_last_index", Source.lastIndex());
  Set("persimmon_log_commit_index", Source.commitIndex());
  Set("persimmon_voters", Source.voters().size());
  Set("persimmon_voters_needed", Source.quorum());
  Set("persimmon_voter_losses_borne", Source.lossesBorne(Now));
  Set("persimmon_voter", Source.voter() ? 1 : 0);
  Set("persimmon_leading", Source.leader() ? 1 : 0);
}

void DaemonHost::setAllowanceGauges(const AccountAllowance &Source, Time Now) {
  const AccountAllowance::Counts &Counts = Source.counts();
  const auto Set = [this](std::string_view Name, auto Value) {
    this->DaemonMetrics.setGauge(Name, static_cast<double>(Value));
  };
  Set("persimmon_allowance_calls_granted", Counts.Granted);
  Set("persimmon_allowance_calls_held", Counts.Held);
  Set("persimmon_allowance_calls_refused{reason=\"rate\"}", Counts.Exceeded);
  Set("persimmon_allowance_calls_refused{reason=\"out-of-touch\"}",
      Counts.OutOfTouch);
  Set("persimmon_allowance_requests", Counts.Requests);
  Set("persimmon_allowance_share_per_second", Source.sharesPerSecond(Now));
  Set("persimmon_allowance_used_part", Source.usedPart(Now));
}

void DaemonHost::setRolloutGauges(const RolloutController &Source) {
  const auto All = Source.figures();
  this->DaemonMetrics.setGauge("persimmon_rollouts_running",
                               static_cast<double>(All.size()));
  RolloutController::Figures Sum;
  for (const RolloutController::Figures &Item : All) {
    Sum.Total += Item.Total;
    Sum.Exposed += Item.Exposed;
    Sum.NewAnswers += Item.NewAnswers;
    Sum.NewFailures += Item.NewFailures;
  }
  const auto Set = [this](std::string_view Name, std::int64_t Value) {
    this->DaemonMetrics.setGauge(Name, static_cast<double>(Value));
  };
  Set("persimmon_rollout_calls", Sum.Total);
  Set("persimmon_rollout_exposed_calls", Sum.Exposed);
  Set("persimmon_rollout_answers", Sum.NewAnswers);
  Set("persimmon_rollout_failures", Sum.NewFailures);
}

void DaemonHost::setRequestGauges() {
  this->DaemonMetrics.setGauge("persimmon_request_bytes",
                               static_cast<double>(this->Requests->bytes()));
  this->DaemonMetrics.setGauge(
      "persimmon_request_bytes_arriving",
      static_cast<double>(this->Requests->arrivingBytes()));
  for (std::size_t I = 0; I < RequestEndCount; ++I) {
    const auto End = static_cast<RequestEnd>(I);
    this->DaemonMetrics.setGauge(
        "persimmon_requests_ended{reason=\"" + std::string(nameOf(End)) + "\"}",
        static_cast<double>(this->Requests->counted(End)));
  }
}

std::string DaemonHost::metricsText() {
  const Time Now = std::chrono::steady_clock::now();
  const Membership &Members = this->LocalNode->members();
  this->DaemonMetrics.setGauge("persimmon_members",
                               static_cast<double>(Members.records().size()));
  this->DaemonMetrics.setGauge("persimmon_source_stale",
                               Members.stale(Now) ? 1 : 0);
  this->DaemonMetrics.setGauge(
      "persimmon_version_heard",
      static_cast<double>(
          this->LocalNode->distribution().newestKnownVersion()));
  this->DaemonMetrics.setGauge("persimmon_serving",
                               this->LocalNode->serving() ? 1 : 0);
  if (const ControlService *Control = this->LocalNode->control()) {
    this->setConsensusGauges(Control->consensus(), Now);
    const AllowanceLedger &Ledger = this->LocalNode->allowanceLedger();
    this->DaemonMetrics.setGauge("persimmon_allowance_daemons",
                                 static_cast<double>(Ledger.daemonCount()));
    this->DaemonMetrics.setGauge("persimmon_allowance_requests_answered",
                                 static_cast<double>(Ledger.answeredCount()));
  }
  if (const RolloutController *Rollouts = this->LocalNode->rollouts())
    this->setRolloutGauges(*Rollouts);
  this->setRequestGauges();
  const OutgoingLink &Link = this->LocalNode->scheduler().link();
  this->DaemonMetrics.setGauge("persimmon_link_backlog_ms",
                               static_cast<double>(Link.backlog(Now).count()));
  this->DaemonMetrics.setGauge("persimmon_answer_bytes_dropped",
                               static_cast<double>(Link.droppedBytes()));
  this->DaemonMetrics.setGauge(
      "persimmon_calls_refused_by_link",
      static_cast<double>(this->LocalNode->scheduler().refusedByLink()));
  this->DaemonMetrics.setGauge(
      "persimmon_calls_refused_by_memory",
      static_cast<double>(this->LocalNode->scheduler().refusedByMemory()));
  this->DaemonMetrics.setGauge("persimmon_target_calls_per_second",
                               this->LocalNode->scheduler().callsPerSecond());
  if (const CallRouter *Router = this->LocalNode->router()) {
    this->DaemonMetrics.setGauge("persimmon_call_retries",
                                 static_cast<double>(Router->retryCount()));
    this->DaemonMetrics.setGauge("persimmon_out_of_touch",
                                 Router->validity().OutOfTouch ? 1 : 0);
    this->setAllowanceGauges(Router->allowance(), Now);
    const auto &Table = this->LocalNode->distribution().table();
    this->DaemonMetrics.setGauge(
        "persimmon_accounts",
        Table ? static_cast<double>(Table->accountCount()) : 0);
    this->DaemonMetrics.setGauge("persimmon_keys_served",
                                 Now < Router->validity().KeysUntil ? 1 : 0);
    const PlacementCounts &Placed = Router->placements();
    for (const auto &[Reason, Count] : Placed.ByReason)
      this->DaemonMetrics.setGauge("persimmon_calls_placed{reason=\"" +
                                       std::string(Reason) + "\"}",
                                   static_cast<double>(Count));
    this->DaemonMetrics.setGauge("persimmon_calls_crossed_zones",
                                 static_cast<double>(Placed.CrossedZones));
    this->DaemonMetrics.setGauge("persimmon_call_bytes_crossed_zones",
                                 static_cast<double>(Placed.CrossedBytes));
  }
  std::string Text = this->DaemonMetrics.exportText();
  const auto &Traffic = this->Network->traffic();
  Text += "# TYPE persimmon_peer_bytes_total counter\n";
  const auto AddLine = [&](std::string_view Kind, const char *Direction,
                           std::uint64_t Value) {
    Text += "persimmon_peer_bytes_total{kind=\"" + std::string(Kind) +
            "\",direction=\"" + Direction + "\"} " + std::to_string(Value) +
            "\n";
  };
  for (std::size_t I = 0; I < Traffic.size(); ++I) {
    if (Traffic[I].SentMessages + Traffic[I].ReceivedMessages == 0)
      continue;
    AddLine(messageKindName(I), "sent", Traffic[I].SentBytes);
    AddLine(messageKindName(I), "received", Traffic[I].ReceivedBytes);
  }
  return Text;
}

} // namespace persimmon
