#pragma once

#include "edgeprotocol.h"
#include "eventsink.h"
#include "httpserver.h"

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
  /// Listens on the operators' address of \p Settings. \p Foreign decodes the
  /// requests of another system's API, or is null. \p Foreign and \p Sink must
  /// outlive the API. Errors: PortInUse.
  static leaf::result<std::unique_ptr<OperatorApi>>
  open(asio::io_context &Io, const DaemonSettings &Settings,
       const OperatorProtocol *Foreign, EventSink &Sink);

  /// Sends the response to a request that was submitted as an event.
  void answer(const AnswerOperator &Answer);

private:
  OperatorApi(const DaemonSettings &Settings, const OperatorProtocol *Foreign,
              EventSink &TheSink);

  /// A request of another system's API that has not been answered yet.
  struct ForeignRequest {
    std::string Url;
    /// The team whose subtree is read; empty for a change.
    std::string ReadTeam;
  };

  void onRequest(HttpRequest Request) override;
  void onRequestAborted(std::int64_t Id) override;

  bool foreignRequest(const HttpRequest &Request);
  void answerForeign(const ForeignRequest &Request,
                     const AnswerOperator &Answer);
  std::string leaderUrl(std::string_view LeaderAddress,
                        const std::string &Url) const;
  void change(const HttpRequest &Request);
  void team(const HttpRequest &Request);
  void form(const HttpRequest &Request);
  void recover(const HttpRequest &Request);
  void reply(std::int64_t Id, int Status, const nlohmann::json &Body);
  void refuse(std::int64_t Id, const Failure &Error);
  nlohmann::json status() const;
  nlohmann::json members() const;
  nlohmann::json settings() const;

  EventSink &Sink;
  const OperatorProtocol *Foreign;
  std::uint16_t OwnPort;
  std::vector<std::string> OpenTeams;
  std::unique_ptr<HttpServer> Port;
  std::set<std::int64_t> Reads;
  std::map<std::int64_t, ForeignRequest> ForeignRequests;
};

/// Returns a string of random hexadecimal digits from OpenSSL's random
/// generator.
std::string randomText(std::size_t Digits);

} // namespace persimmon
