#pragma once

#include "bodystore.h"
#include "edgeprotocol.h"
#include "eventsink.h"
#include "httpserver.h"
#include "metrics.h"
#include "targetclient.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace persimmon {

/// The HTTP interfaces of a proxy daemon: one for callers, and a local one for
/// the announcements of its target and for health, status and metrics.
class ProxyApi {
public:
  /// Objects that the API uses. They must outlive it.
  struct Parts {
    EventSink &Sink;
    BodyStore &Bodies;
    Metrics &DaemonMetrics;
    const EdgeProtocols &Protocols;
  };

  /// Listens on the addresses in \p Settings. Errors: PortInUse.
  static leaf::result<std::unique_ptr<ProxyApi>>
  open(asio::io_context &Io, const DaemonSettings &Settings, const Parts &Used);

  ~ProxyApi();
  ProxyApi(const ProxyApi &) = delete;
  ProxyApi &operator=(const ProxyApi &) = delete;

  /// Sends an error response of the daemon to a caller.
  void refuse(const RefuseCaller &Refusal);

  /// Forwards the target's response to a caller.
  void answer(const AnswerCaller &Answer);

  /// Sends an admitted call to the target.
  void run(const RunOnTarget &Run);
  void cancel(const CancelOnTarget &Cancel);

  /// Returns the number of calls whose responses have not been written.
  std::size_t pendingResponses() const {
    return this->CallerPort->pendingResponses();
  }

private:
  class CallerHandler;
  class LocalHandler;

  ProxyApi(asio::io_context &Io, const DaemonSettings &Settings,
           const Parts &Used);

  void callArrived(HttpRequest Request);
  void localRequest(HttpServer &Port, const HttpRequest &Request);
  HttpResponse answerLocal(const HttpRequest &Request);
  HttpResponse carryOut(const Failure &Error);
  HttpResponse carryOut(const TargetAnnouncement &Announcement);
  HttpResponse carryOut(const TargetLeaves &Leave);
  HttpResponse carryOut(const ReadinessQuery &Query);
  Failure checkCall(const HttpRequest &Request, const std::string &Job) const;
  void applyConnectionLimit();
  void runEnded(const wire::AttemptId &Id, TargetAnswer Answer);
  void probeTarget();
  /// Polls the health endpoint of a target that is already running, starting
  /// after \p Pause, until its state is known or the discovery period ends.
  void findTarget(milliseconds Pause);
  void askHealth(std::string_view Path,
                 std::function<void(const TargetAnswer &)> Then);
  void countCall(std::int64_t CallNumber, ResultCode Code);
  std::string statusText() const;

  EventSink &Sink;
  BodyStore &Bodies;
  Metrics &DaemonMetrics;
  const EdgeProtocols &Protocols;
  TargetClient Client;
  asio::steady_timer ProbeTimer;
  asio::steady_timer FindTimer;
  Time FindUntil;
  std::unique_ptr<CallerHandler> Callers;
  std::unique_ptr<LocalHandler> Locals;
  std::unique_ptr<LocalHandler> ReadinessCallers;
  std::unique_ptr<HttpServer> CallerPort;
  std::unique_ptr<HttpServer> LocalPort;
  std::unique_ptr<HttpServer> ReadinessPort;
  /// Service and address of the target from the settings, or empty.
  std::string OwnService;
  std::string FixedAddress;
  std::string TargetAddress;
  milliseconds ProbeInterval;
  std::string IdPrefix;
  std::map<wire::AttemptId, std::int64_t> Running;
  std::map<std::int64_t, Time> ArrivedAt;
};

} // namespace persimmon
