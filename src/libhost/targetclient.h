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

struct TargetAnswer {
  RunEnd End = RunEnd::Broken;
  int Status = 0;
  std::vector<wire::Header> Headers;
  std::string Body;

  /// Returns the value of a header, or an empty text. Case does not matter.
  std::string_view header(std::string_view Name) const;
};

/// A request to the target beside this daemon.
struct TargetRequest {
  /// IP:PORT of the target.
  std::string Address;
  std::string Method;
  /// Path and query.
  std::string Url;
  std::vector<wire::Header> Headers;
  std::string_view Body;
  Time Deadline = NoDeadline;
  /// Says whether an answer is the one to this request. One that is not is
  /// skipped.
  std::function<bool(const TargetAnswer &)> Belongs;
};

/// HTTP requests to the target over connections that are kept open. A request
/// is written once, to one connection: nothing is ever sent again. Bytes that
/// no request waits for, and answers that end early, close the connection.
class TargetClient {
public:
  using Done = std::function<void(TargetAnswer)>;

  explicit TargetClient(asio::io_context &Io);
  ~TargetClient();
  TargetClient(const TargetClient &) = delete;
  TargetClient &operator=(const TargetClient &) = delete;

  /// Bounds the open connections to the target.
  void setMaxConnections(int Count);

  /// Bounds what all answers that are being read take in memory. The largest
  /// is ended, as Broken, where they would take more.
  void setMaxHeldBytes(std::size_t Bytes);

  /// Returns what the answers that are being read take in memory, in bytes.
  std::size_t heldBytes() const;

  /// Closes the connections that no request uses, as the target is another one
  /// from now on.
  void forgetIdle();

  /// Starts a request; \p WhenDone is called later, once. The answer's End
  /// says what is known: NotConnected only if no byte was sent. Returns the
  /// number that cancel() takes.
  std::int64_t start(const TargetRequest &Request, Done WhenDone);

  /// Ends a request by closing its connection and reports it as Broken.
  void cancel(std::int64_t Number);

private:
  class Impl;

  std::unique_ptr<Impl> Implementation;
};

} // namespace persimmon
