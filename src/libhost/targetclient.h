#pragma once

#include "libpersimmon/libpersimmon.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon {

/// A request to the target beside this daemon.
struct TargetRequest {
  std::string Url;
  std::string Method;
  std::vector<wire::Header> Headers;
  /// Must stay valid until the request ends.
  std::string_view Body;
  Time Deadline = NoDeadline;
  /// False gives the request a connection of its own: on a reused one libcurl
  /// sends a request again when the target closes without an answer.
  bool MayRepeat = false;
};

struct TargetAnswer {
  RunEnd End = RunEnd::Broken;
  int Status = 0;
  std::vector<wire::Header> Headers;
  std::string Body;
};

/// HTTP requests to the target through libcurl, on the caller's io_context.
class TargetClient {
public:
  using Done = std::function<void(TargetAnswer)>;

  explicit TargetClient(asio::io_context &Io);
  ~TargetClient();
  TargetClient(const TargetClient &) = delete;
  TargetClient &operator=(const TargetClient &) = delete;

  /// Bounds the open connections to the target.
  void setMaxConnections(int Count);

  /// Starts a request; \p WhenDone is called later, once, unless cancelled.
  /// Returns the number that cancel() takes.
  std::int64_t start(const TargetRequest &Request, Done WhenDone);

  /// Ends a request by closing its connection and reports it as Broken.
  void cancel(std::int64_t Number);

private:
  class Impl;

  std::unique_ptr<Impl> Implementation;
};

} // namespace persimmon
