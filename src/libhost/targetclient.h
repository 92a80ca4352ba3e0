#pragma once

#include "libpersimmon/libpersimmon.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon {

struct TargetResponse {
  RunEnd End = RunEnd::Broken;
  int Status = 0;
  std::vector<wire::Header> Headers;
  std::string Body;
  /// The connection has carried an earlier request, whose response the target
  /// may have sent twice.
  bool OnUsedConnection = false;

  /// Returns the value of a header, or an empty string. Header names are
  /// case-insensitive.
  std::string_view header(std::string_view Name) const;
};

/// A request to the target on the same instance.
struct TargetRequest {
  /// IP:PORT of the target.
  std::string Address;
  std::string Method;
  /// Path and query string.
  std::string Url;
  std::vector<wire::Header> Headers;
  std::string Body;
  Time Deadline = NoDeadline;
  /// Returns whether a response belongs to this request. Other responses are
  /// skipped.
  std::function<bool(const TargetResponse &)> ResponseMatches;
};

/// An HTTP client for the target with persistent connections. A request is
/// written once, to one connection, and is never sent again. Unexpected bytes
/// and truncated responses close the connection.
class TargetClient {
public:
  using ResponseHandler = std::function<void(TargetResponse)>;

  explicit TargetClient(asio::io_context &Io);
  ~TargetClient();
  TargetClient(const TargetClient &) = delete;
  TargetClient &operator=(const TargetClient &) = delete;

  /// Limits the number of open connections to the target.
  void setMaxConnections(int Count);

  /// Limits the memory of all responses that are being read. When it is
  /// exceeded, the largest response is aborted and reported as Broken.
  void setMaxHeldBytes(std::size_t Bytes);

  /// Returns the memory that the responses being read take, in bytes.
  std::size_t heldBytes() const;

  /// Closes the idle connections, because the target has been replaced.
  void closeIdleConnections();

  /// Starts a request. \p WhenDone is called exactly once, later. The End of
  /// the response tells how the request ended: NotConnected only if no byte was
  /// sent. Returns the number to pass to cancel().
  std::int64_t start(TargetRequest Request, ResponseHandler WhenDone);

  /// Cancels a request by closing its connection. It is reported as Broken, or
  /// as NotSent if no connection was open yet.
  void cancel(std::int64_t Number);

private:
  class Impl;

  std::unique_ptr<Impl> Implementation;
};

} // namespace persimmon
