#pragma once

#include "bodystore.h"
#include "eventsink.h"
#include "httpport.h"
#include "metrics.h"
#include "targetclient.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace persimmon {

/// The ports of a proxy daemon: one for callers and one for the target beside
/// it, which announces itself there, and for health and metrics.
class ProxyApi {
public:
  /// \p Sink, \p Bodies and \p Numbers must outlive the ports. Errors:
  /// PortInUse.
  static leaf::result<std::unique_ptr<ProxyApi>>
  open(asio::io_context &Io, const DaemonSettings &Settings, EventSink &Sink,
       BodyStore &Bodies, Metrics &Numbers);

  ~ProxyApi();
  ProxyApi(const ProxyApi &) = delete;
  ProxyApi &operator=(const ProxyApi &) = delete;

  /// Answers a caller with a failure of our own.
  void refuse(const RefuseCaller &Refusal);

  /// Answers a caller with the target's answer.
  void answer(const AnswerCaller &Answer);

  /// Runs an admitted call on the target.
  void run(const RunOnTarget &Run);
  void cancel(const CancelOnTarget &Cancel);

  /// Returns the number of answers that callers have not received whole.
  std::size_t pendingAnswers() const {
    return this->CallerPort->pendingAnswers();
  }

private:
  class CallerHandler;
  class LocalHandler;

  ProxyApi(asio::io_context &Io, EventSink &Sink, BodyStore &Bodies,
           Metrics &Numbers);

  void callArrived(HttpRequest Request);
  void localRequest(const HttpRequest &Request);
  void targetAnnounced(const HttpRequest &Request);
  void runEnded(const wire::AttemptId &Id, TargetAnswer Answer);
  void probeTarget();
  void countCall(std::int64_t CallNumber, ResultCode Code);
  std::string statusText() const;

  EventSink &Sink;
  BodyStore &Bodies;
  Metrics &Numbers;
  TargetClient Client;
  asio::steady_timer ProbeTimer;
  std::unique_ptr<CallerHandler> Callers;
  std::unique_ptr<LocalHandler> Locals;
  std::unique_ptr<HttpPort> CallerPort;
  std::unique_ptr<HttpPort> LocalPort;
  std::string TargetAddress;
  std::string IdPrefix;
  std::map<wire::AttemptId, std::int64_t> Running;
  std::map<std::int64_t, Time> ArrivedAt;
};

} // namespace persimmon
