#pragma once

#include "bodystore.h"
#include "diskstore.h"
#include "edgeprotocol.h"
#include "eventsink.h"
#include "metrics.h"
#include "operatorapi.h"
#include "peernetwork.h"
#include "proxyapi.h"

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
  const Node &node() const override { return *this->Daemon; }
  std::string metricsText() override;

private:
  DaemonHost(const DaemonSettings &Settings, const EdgeProtocols &Protocols);

  leaf::result<void> openNode();
  leaf::result<void> openPorts();
  /// Requests that the control instances form the system if the settings mark
  /// this start as the first one.
  void found();
  void startTicks();
  /// Logs the bytes sent and received per message kind since the last line.
  void logTraffic(Time Now);
  void watchSignals();
  void watchReloadSignal();
  void watchSettingsFile();
  /// Reloads the settings that may change at run time from the settings file.
  void reload(std::string_view Reason);
  void stopWhenWritten();

  void onMessage(std::string From, Message Body) override;
  void onStreamLost(StreamLost Lost) override;
  void onStreamSlow(StreamSlow Slow) override;
  void onStreamAlive(StreamAlive Sign) override;
  void onPathClosed(std::string Path) override;
  void onBodyPart(std::string From, const wire::BodyPart &Part);

  void perform(const Effects &All);
  template <typename RecordT> void persist(const RecordT &Record);
  void carryOut(const PersistHardState &Item) { this->persist(Item); }
  void carryOut(const PersistEntries &Item) { this->persist(Item); }
  void carryOut(const PersistSnapshot &Item) { this->persist(Item); }
  void carryOut(const SendMessage &Item);
  void carryOut(const AnswerOperator &Item);
  void carryOut(const VersionInForce &Item);
  void carryOut(const LogDecision &Item);
  void carryOut(const LogWarning &Item);
  void carryOut(const SendCall &Item);
  void carryOut(const SendBody &Item);
  void carryOut(const RefuseCaller &Item);
  void carryOut(const AnswerCaller &Item);
  void carryOut(const RunOnTarget &Item);
  void carryOut(const CancelOnTarget &Item);
  void carryOut(const SendAnswer &Item);
  void carryOut(const DropAttempt &Item);
  void carryOut(const DropArrival &Item);
  void carryOut(const RenewConnection &Item);
  void carryOut(const ReadyToExit &Item);

  DaemonSettings Settings;
  const EdgeProtocols &Protocols;
  asio::io_context Io;
  asio::steady_timer TickTimer;
  asio::signal_set Signals;
  asio::signal_set ReloadSignals;
  asio::steady_timer SettingsTimer;
  std::filesystem::file_time_type SettingsWrittenAt;
  Time NextTrafficLine;
  std::array<TrafficCount, std::variant_size_v<Message>> LoggedTraffic{};
  std::unique_ptr<ChoicePolicy> Choice;
  std::unique_ptr<Topology> Spread;
  BodyStore Bodies;
  Metrics DaemonMetrics;
  std::optional<DiskStore> Disk;
  std::unique_ptr<Node> Daemon;
  std::unique_ptr<PeerNetwork> Network;
  std::unique_ptr<OperatorApi> Operators;
  std::unique_ptr<ProxyApi> Proxy;
  Failure Fatal;
};

} // namespace persimmon
