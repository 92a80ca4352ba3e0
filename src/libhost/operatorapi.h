#pragma once

#include "edgeprotocol.h"
#include "eventsink.h"
#include "httpserver.h"

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace persimmon {

/// The operators' API of a control instance: JSON over HTTP.
class OperatorApi : public HttpHandler {
public:
  /// Listens on the operators' address of \p Settings. \p ExternalProtocol
  /// decodes the requests of another system's API; it may be null. It and
  /// \p Sink must outlive the API. Errors: PortInUse.
  static leaf::result<std::unique_ptr<OperatorApi>>
  open(asio::io_context &Io, const DaemonSettings &Settings,
       const OperatorProtocol *ExternalProtocol, EventSink &Sink,
       std::shared_ptr<RequestMemory> Requests = nullptr);

  /// Sends the response to a request that was submitted as an event.
  void respond(const AnswerOperator &Answer);

private:
  OperatorApi(asio::io_context &Context, const DaemonSettings &Settings,
              const OperatorProtocol *ExternalProtocol, EventSink &TheSink);

  /// A request of another system's API that has not been answered yet.
  struct ExternalRequest {
    std::string Url;
    /// The team whose subtree is read, or the service whose roll-out is; both
    /// empty for a change.
    std::string QueriedTeam;
    std::string QueriedRollout;
  };

  void onRequest(HttpRequest Request) override;
  void onRequestAborted(std::int64_t Id) override;
  HttpResponse makeRefusal(const HttpRequest &Request,
                           const Failure &Error) override;

  /// A document that is read in steps, and the request that it belongs to.
  struct Reading {
    std::unique_ptr<DocumentReader> Reader;
    ReplaceRequested Event;
    std::string Url;
    /// Counts the memory of the request, which the reader copies.
    std::shared_ptr<RequestMemory::Share> Held;
  };

  bool handleExternalRequest(const HttpRequest &Request);
  void handleExternalRollout(const HttpRequest &Request,
                             const OperatorRequest &Decoded);
  void startReading(const HttpRequest &Request);
  /// Continues the work on a request later. If that fails, the request is
  /// refused.
  void postStep(std::int64_t Id, void (OperatorApi::*Step)(std::int64_t));
  void continueReading(std::int64_t Id);
  void submitReplacement(ReplaceRequested Event, const std::string &Url);
  void continueWriting(std::int64_t Id);
  void refuseExternal(std::int64_t Id, const Failure &Error);
  void respondExternal(const ExternalRequest &Request,
                       const AnswerOperator &Answer);
  std::string leaderUrl(std::string_view LeaderAddress,
                        const std::string &Url) const;
  void handleChange(const HttpRequest &Request);
  void handleRollout(const HttpRequest &Request);
  void submitOrder(const HttpRequest &Request, RolloutOrder Order);
  void handleTeam(const HttpRequest &Request);
  void handleInit(const HttpRequest &Request);
  void handleRecover(const HttpRequest &Request);
  void sendJson(std::int64_t Id, int Status, const nlohmann::json &Body);
  void sendError(std::int64_t Id, const Failure &Error);
  nlohmann::json statusJson() const;
  nlohmann::json membersJson() const;
  nlohmann::json settingsJson() const;

  asio::io_context &Io;
  EventSink &Sink;
  const OperatorProtocol *ExternalProtocol;
  std::uint16_t OperatorPort;
  std::vector<std::string> OpenTeams;
  bool HasRollouts;
  std::unique_ptr<HttpServer> Server;
  std::set<std::int64_t> PendingReads;
  std::map<std::int64_t, ExternalRequest> ExternalRequests;
  /// Documents that are being read or written, by request.
  std::map<std::int64_t, Reading> Readings;
  std::map<std::int64_t, std::unique_ptr<DocumentWriter>> Writings;
};

/// Returns a string of random hexadecimal digits from OpenSSL's random
/// generator.
std::string randomHexString(std::size_t Digits);

} // namespace persimmon
