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

/// The ports of a proxy daemon: one for callers and one for the target beside
/// it, which announces itself there, and for health and metrics.
class ProxyApi {
public:
  /// What the ports work with; all of it must outlive them.
  struct Parts {
    EventSink &Sink;
    BodyStore &Bodies;
    Metrics &Numbers;
    const EdgeProtocols &Protocols;
  };

  /// Opens the ports that \p Settings name. Errors: PortInUse.
  static leaf::result<std::unique_ptr<ProxyApi>>
  open(asio::io_context &Io, const DaemonSettings &Settings, const Parts &Used);

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

  ProxyApi(asio::io_context &Io, const DaemonSettings &Settings,
           const Parts &Used);

  void callArrived(HttpRequest Request);
  void localRequest(HttpPort &Port, const HttpRequest &Request);
  HttpAnswer answerLocal(const HttpRequest &Request);
  HttpAnswer carryOut(const Failure &Error);
  HttpAnswer carryOut(const TargetStatement &Statement);
  HttpAnswer carryOut(const TargetLeaving &Leave);
  HttpAnswer carryOut(const ReadinessQuery &Query);
  Failure checkCall(const HttpRequest &Request, const std::string &Job) const;
  void applyConnectionLimit();
  void runEnded(const wire::AttemptId &Id, TargetResponse Answer);
  void probeTarget();
  /// Asks a target that runs already who it is, after \p Pause and until it
  /// announces itself.
  void findTarget(milliseconds Pause);
  void askHealth(std::string_view Path,
                 std::function<void(const TargetResponse &)> Then);
  void countCall(std::int64_t CallNumber, ResultCode Code);
  std::string statusText() const;

  EventSink &Sink;
  BodyStore &Bodies;
  Metrics &Numbers;
  const EdgeProtocols &Protocols;
  TargetClient Client;
  asio::steady_timer ProbeTimer;
  asio::steady_timer FindTimer;
  Time FindUntil;
  std::unique_ptr<CallerHandler> Callers;
  std::unique_ptr<LocalHandler> Locals;
  std::unique_ptr<LocalHandler> ReadinessCallers;
  std::unique_ptr<HttpPort> CallerPort;
  std::unique_ptr<HttpPort> LocalPort;
  std::unique_ptr<HttpPort> ReadinessPort;
  /// Service and address of the target that the settings name, or empty.
  std::string OwnService;
  std::string FixedAddress;
  std::string TargetAddress;
  milliseconds ProbeInterval;
  std::string IdPrefix;
  std::map<wire::AttemptId, std::int64_t> Running;
  std::map<std::int64_t, Time> ArrivedAt;
};

} // namespace persimmon
