#pragma once

#include "daemonsettings.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// One whole HTTP request. Id names it when it is answered.
struct HttpRequest {
  std::int64_t Id = 0;
  std::string Method;
  std::string Url;
  std::vector<wire::Header> Headers;
  std::string Body;

  /// Returns the value of a header, or an empty text. Case does not matter.
  std::string_view header(std::string_view Name) const;
};

/// An HTTP answer. Length and connection headers are added by the port.
struct HttpAnswer {
  int Status = 200;
  std::vector<wire::Header> Headers;
  std::string Body;
  bool CloseConnection = false;
};

/// Compares two header names without regard to case.
bool sameHeader(std::string_view Left, std::string_view Right);

/// Receives the requests of an HTTP port.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  virtual void onRequest(HttpRequest Request) = 0;

  /// The connection of an unanswered request was closed by the other end.
  virtual void onRequestGone(std::int64_t Id) = 0;
};

/// An HTTP server on one address. It runs on the caller's io_context, which
/// must be run by one thread.
class HttpPort {
public:
  /// Listens on \p Listen. \p Handler must outlive the port. Errors: PortInUse.
  static leaf::result<std::unique_ptr<HttpPort>>
  open(asio::io_context &Io, const Endpoint &Listen, HttpHandler &Handler);

  ~HttpPort();
  HttpPort(const HttpPort &) = delete;
  HttpPort &operator=(const HttpPort &) = delete;

  /// Answers a request; does nothing if its connection is gone.
  void answer(std::int64_t Id, HttpAnswer Answer);

  /// Answers with less than is announced and closes; for tests of callers.
  void breakOff(std::int64_t Id);

  /// Returns the number of requests whose answer is not written yet.
  std::size_t pendingAnswers() const;

private:
  class Impl;

  explicit HttpPort(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace persimmon
