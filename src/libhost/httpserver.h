#pragma once

#include "daemonsettings.h"
#include "requestmemory.h"

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
  /// The memory that the request takes. Whoever keeps the body keeps it too.
  std::shared_ptr<RequestMemory::Share> Held;

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

  /// Returns the largest body that the handler accepts at present, in bytes.
  virtual std::size_t maxBodyBytes() const;

  /// Returns the response to a request that is refused before its body has
  /// arrived, and that is not passed to onRequest(). \p Request has no body.
  virtual HttpResponse makeRefusal(const HttpRequest &Request,
                                   const Failure &Error);
};

/// What clients of an HTTP server may use.
struct HttpServerLimits {
  HttpServerLimits() = default;
  HttpServerLimits(const RequestSettings &Settings, std::size_t Connections,
                   std::shared_ptr<RequestMemory> SharedMemory)
      : MaxConnections(Connections), Requests(Settings),
        Memory(std::move(SharedMemory)) {}

  /// Further connections wait until one is closed.
  std::size_t MaxConnections = 1000;
  std::size_t MaxBodyBytes = 34u << 20;
  RequestSettings Requests;
  /// Shared by the ports of a process. Null for no limit.
  std::shared_ptr<RequestMemory> Memory;
};

/// An HTTP server that listens on one address. It uses the io_context of its
/// owner, which must run on a single thread.
class HttpServer {
public:
  /// Listens on \p Listen. \p Handler must outlive the server. Errors:
  /// PortInUse.
  static leaf::result<std::unique_ptr<HttpServer>>
  open(asio::io_context &Io, const Endpoint &Listen, HttpHandler &Handler,
       const HttpServerLimits &Limits = {});

  ~HttpServer();

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
