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
  struct Dependencies {
    EventSink &Sink;
    BodyStore &Bodies;
    Metrics &DaemonMetrics;
    const EdgeProtocols &Protocols;
    std::shared_ptr<RequestMemory> Requests;
  };

  /// Listens on the addresses in \p Settings. Errors: PortInUse.
  static leaf::result<std::unique_ptr<ProxyApi>>
  open(asio::io_context &Io, const DaemonSettings &Settings,
       const Dependencies &Required);

  ~ProxyApi();
  ProxyApi(const ProxyApi &) = delete;
  ProxyApi &operator=(const ProxyApi &) = delete;

  /// Sends an error response of the daemon to a caller.
  void sendError(const RefuseCaller &Refusal);

  /// Forwards the target's response to a caller.
  void forwardResponse(const AnswerCaller &Answer);

  /// Sends an admitted call to the target.
  void runOnTarget(const RunOnTarget &Run);
  void cancelOnTarget(const CancelOnTarget &Cancel);

  /// Returns the number of calls whose responses have not been written.
  std::size_t pendingResponses() const {
    return this->CallerServer->pendingResponses();
  }

private:
  class CallerHandler;
  class LocalHandler;

  ProxyApi(asio::io_context &Io, const DaemonSettings &Settings,
           const Dependencies &Required);

  void handleCall(HttpRequest Request);
  void handleLocalRequest(HttpServer &Server, const HttpRequest &Request);
  HttpResponse dispatchLocalRequest(const HttpRequest &Request);
  HttpResponse execute(const Failure &Error);
  HttpResponse execute(const TargetAnnouncement &Announcement);
  HttpResponse execute(const TargetLeaving &Leave);
  HttpResponse execute(const ReadinessQuery &Query);
  CallerLimits callerLimits() const;
  Failure checkSize(const HttpRequest &Request, std::size_t BodyBytes) const;
  HttpResponse refuseArriving(const HttpRequest &Request, Failure Error);
  void applyConnectionLimit();
  void onTargetFinished(const wire::AttemptId &Id, const std::string &TargetRun,
                        TargetResponse Answer);
  void scheduleProbe();
  /// Polls the health endpoint of the target, starting after \p Pause, while a
  /// response is needed to use it: in the discovery period after the start, and
  /// as long as an announcement is held.
  void scheduleDiscovery(milliseconds Pause);
  void handleDiscovery(const TargetResponse &Answer);
  void requestHealth(std::string_view Path,
                     std::function<void(const TargetResponse &)> OnResponse);
  void recordCall(std::int64_t CallNumber, ResultCode Code);
  std::string statusJson() const;

  EventSink &Sink;
  BodyStore &Bodies;
  Metrics &DaemonMetrics;
  const EdgeProtocols &Protocols;
  TargetClient Client;
  asio::steady_timer ProbeTimer;
  asio::steady_timer DiscoveryTimer;
  Time DiscoveryDeadline;
  /// A health request is outstanding.
  bool HealthRequested = false;
  std::unique_ptr<CallerHandler> CallerHttpHandler;
  std::unique_ptr<LocalHandler> LocalHttpHandler;
  std::unique_ptr<LocalHandler> ReadinessHttpHandler;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> LocalServer;
  std::unique_ptr<HttpServer> ReadinessServer;
  /// Service and address of the target from the settings, or empty.
  std::string ConfiguredService;
  std::string ConfiguredAddress;
  std::string TargetAddress;
  milliseconds ProbeInterval;
  std::string IdPrefix;
  std::map<wire::AttemptId, std::int64_t> Running;
  std::map<std::int64_t, Time> ArrivedAt;
};

} // namespace persimmon
