#pragma once

#include "daemonsettings.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// A complete HTTP request. Id identifies it in HttpServer::respond().
struct HttpRequest {
  std::int64_t Id = 0;
  std::string Method;
  std::string Url;
  std::vector<wire::Header> Headers;
  std::string Body;

  /// Returns the value of a header, or an empty string. The name is matched
  /// case-insensitively.
  std::string_view header(std::string_view Name) const;
};

/// An HTTP response. The server adds the length and connection headers.
struct HttpResponse {
  int Status = 200;
  std::vector<wire::Header> Headers;
  std::string Body;
  bool CloseConnection = false;
};

/// Compares two header names case-insensitively.
bool sameHeaderName(std::string_view Left, std::string_view Right);

/// Returns \p Text with the letters A to Z in lower case.
std::string toLowerCase(std::string_view Text);

/// Receives the requests of an HTTP server.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  virtual void onRequest(HttpRequest Request) = 0;

  /// Called when the connection of an unanswered request was closed.
  virtual void onRequestAborted(std::int64_t Id) = 0;
};

/// An HTTP server that listens on one address. It uses the io_context of its
/// owner, which must run on a single thread.
class HttpServer {
public:
  /// Listens on \p Listen. \p Handler must outlive the server. Has at most
  /// \p MaxConnections connections; further ones wait until one is closed.
  /// Errors: PortInUse.
  static leaf::result<std::unique_ptr<HttpServer>>
  open(asio::io_context &Io, const Endpoint &Listen, HttpHandler &Handler,
       std::size_t MaxConnections = DefaultMaxConnections);

  ~HttpServer();
  static constexpr std::size_t DefaultMaxConnections = 1000;

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Sends the response to a request. Does nothing if the connection has been
  /// closed.
  void respond(std::int64_t Id, HttpResponse Response);

  /// Sends fewer body bytes than Content-Length states and closes the
  /// connection. Used in tests.
  void sendTruncatedResponse(std::int64_t Id);

  /// Returns the number of requests whose responses have not been written.
  std::size_t pendingResponses() const;

private:
  class Impl;

  explicit HttpServer(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace persimmon
