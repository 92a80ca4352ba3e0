#pragma once

#include "bodystore.h"
#include "diskstore.h"
#include "edgeprotocol.h"
#include "eventsink.h"
#include "metrics.h"
#include "operatorapi.h"
#include "peernetwork.h"
#include "proxyapi.h"
#include "suspensionclock.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <filesystem>
#include <memory>
#include <optional>
#include <string_view>

namespace persimmon {

/// Runs one daemon: passes I/O and timer events to its node and executes the
/// resulting effects in order. Everything runs on a single thread.
class DaemonHost : public PeerListener, public EventSink {
public:
  /// Opens the data folder, the ports and the timers. \p Protocols must outlive
  /// the host. Errors: those of DiskStore, PeerNetwork, OperatorApi and
  /// ProxyApi.
  static leaf::result<std::unique_ptr<DaemonHost>>
  open(const DaemonSettings &Settings, const EdgeProtocols &Protocols);

  ~DaemonHost() override;

  /// Runs the event loop until the daemon has been stopped and drained.
  /// Errors: those of DiskStore::write().
  leaf::result<void> run();

  void submit(EventBody Body) override;
  const Node &node() const override { return *this->LocalNode; }
  std::string metricsText() override;

private:
  DaemonHost(const DaemonSettings &Settings, const EdgeProtocols &Protocols);

  /// Passes an event that happened at \p Now to the node.
  void reduce(EventBody Body, Time Now);
  leaf::result<void> openNode();
  /// Logs what was found on the disk.
  void logDisk();
  void setAllowanceGauges(const AccountAllowance &Source, Time Now);
  /// Sets the gauges of the roll-outs that run, summed over them.
  void setRolloutGauges(const RolloutController &Source);
  void setConsensusGauges(const Consensus &Source, Time Now);
  void setRequestGauges();
  leaf::result<void> openPorts();
  /// Requests that the control instances form the system if the settings mark
  /// this start as the first one.
  void requestBootstrap();
  void scheduleTick();
  /// Logs the bytes sent and received per message kind since the last line.
  void logTraffic(Time Now);
  void watchSignals();
  void watchReloadSignal();
  void watchSettingsFile();
  /// Reloads the settings that may change at run time from the settings file.
  void reload(std::string_view Reason);
  void stopWhenResponsesWritten();

  void onMessage(std::string From, Message Body) override;
  void onStreamLost(StreamLost Lost) override;
  void onStreamSlow(StreamSlow Slow) override;
  void onStreamAlive(StreamAlive Alive) override;
  void onPathClosed(std::string Path) override;
  void onBodyPart(std::string From, const wire::BodyPart &Part);

  /// Runs until the process stops. An exception of a handler ends only that
  /// handler.
  void runEvents();
  void executeAll(const Effects &EffectList);
  template <typename RecordT> void persist(const RecordT &Record);
  void execute(const PersistHardState &Item) { this->persist(Item); }
  void execute(const PersistEntries &Item) { this->persist(Item); }
  void execute(const PersistSnapshot &Item) { this->persist(Item); }
  void execute(const SendMessage &Item);
  void execute(const AnswerOperator &Item);
  void execute(const VersionInForce &Item);
  void execute(const LogDecision &Item);
  void execute(const LogWarning &Item);
  void execute(const SendCall &Item);
  void execute(const SendBody &Item);
  void execute(const RefuseCaller &Item);
  void execute(const AnswerCaller &Item);
  void execute(const RunOnTarget &Item);
  void execute(const CancelOnTarget &Item);
  void execute(const SendAnswer &Item);
  void execute(const SendAnswerBody &Item);
  void execute(const DropAttempt &Item);
  void execute(const DropReceivedAnswer &Item);
  void execute(const RenewConnection &Item);
  void execute(const ContinueWork &Item);
  void execute(const ReadyToExit &Item);

  DaemonSettings Settings;
  const EdgeProtocols &Protocols;
  asio::io_context Io;
  asio::steady_timer TickTimer;
  asio::signal_set Signals;
  asio::signal_set ReloadSignals;
  asio::steady_timer SettingsTimer;
  std::filesystem::file_time_type SettingsWrittenAt;
  Time NextTrafficLogAt;
  /// When the process exits even if responses are not written.
  Time ExitBy = NoDeadline;
  std::array<TrafficCounters, std::variant_size_v<Message>> LoggedTraffic{};
  std::unique_ptr<ChoicePolicy> TargetPolicy;
  std::unique_ptr<Topology> VersionTopology;
  std::shared_ptr<RequestMemory> Requests;
  BodyStore Bodies;
  SuspensionClock Suspension;
  Metrics DaemonMetrics;
  std::optional<DiskStore> Disk;
  std::unique_ptr<Node> LocalNode;
  std::unique_ptr<PeerNetwork> Network;
  std::unique_ptr<OperatorApi> Operators;
  std::unique_ptr<ProxyApi> Proxy;
  Failure FatalError;
};

} // namespace persimmon
