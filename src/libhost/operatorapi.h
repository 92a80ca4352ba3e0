#pragma once

#include "eventsink.h"
#include "httpport.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <set>

namespace persimmon {

/// The operators' interface of a control instance: JSON over HTTP.
class OperatorApi : public HttpHandler {
public:
  /// Listens on \p Listen. \p Sink must outlive the interface. Errors:
  /// PortInUse.
  static leaf::result<std::unique_ptr<OperatorApi>>
  open(asio::io_context &Io, const Endpoint &Listen, EventSink &Sink);

  /// Passes on the answer to a request that became an event.
  void answer(const AnswerOperator &Answer);

private:
  explicit OperatorApi(EventSink &TheSink) : Sink(TheSink) {}

  void onRequest(HttpRequest Request) override;
  void onRequestGone(std::int64_t Id) override;

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
  std::unique_ptr<HttpPort> Port;
  std::set<std::int64_t> Reads;
};

/// Returns a random text of hexadecimal digits, from the system's source.
std::string randomText(std::size_t Digits);

} // namespace persimmon
