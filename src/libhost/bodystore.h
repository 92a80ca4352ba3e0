#pragma once

#include "libpersimmon/libpersimmon.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// The bodies of calls, which the reducer does not see: requests of callers,
/// requests for the own target, answers held for their senders, and answers
/// that arrive in parts.
class BodyStore {
public:
  /// A request whose whole body is here, for the own target.
  struct Request {
    wire::CallRequest Header;
    std::string Body;
    std::string Path;
  };

  /// An answer of the own target, held until its sender took it.
  struct Answer {
    int Status = 0;
    std::vector<wire::Header> Headers;
    std::string Body;
  };

  /// Holds a caller's body until dropCaller().
  void keepCallerBody(std::int64_t CallNumber, std::string Body);
  std::string_view callerBody(std::int64_t CallNumber) const;
  void dropCaller(std::int64_t CallNumber);

  /// Takes the first message of a request that came on \p Path. Returns it
  /// once its body is whole.
  std::optional<wire::CallRequest> begin(wire::CallRequest Header,
                                         std::string Path);

  /// Takes the first message of an answer. Returns it once it is whole.
  std::optional<wire::CallReply> begin(wire::CallReply Header);

  /// What a part completed, if anything.
  using Completed =
      std::variant<std::monostate, wire::CallRequest, wire::CallReply>;

  /// Takes a part. Parts that do not follow each other discard the body.
  Completed addPart(const wire::BodyPart &Part);

  /// Forgets requests that came on a connection that ended before they were
  /// whole.
  void pathClosed(std::string_view Path);

  const Request *request(const wire::AttemptId &Id) const;
  /// Holds the own target's answer until drop().
  void holdAnswer(const wire::AttemptId &Id, Answer Held);
  const Answer *heldAnswer(const wire::AttemptId &Id) const;

  /// Takes a whole answer that arrived for a caller.
  std::optional<Answer> takeArrived(const wire::AttemptId &Id);

  /// Forgets what arrived for a caller.
  void dropArrival(const wire::AttemptId &Id) { this->Arrivals.erase(Id); }

  /// Forgets the request for the own target and the answer held for it.
  void drop(const wire::AttemptId &Id);

private:
  struct Arriving {
    wire::CallReply Header;
    std::string Body;
  };

  std::map<std::int64_t, std::string> CallerBodies;
  std::map<wire::AttemptId, Request> Requests;
  std::map<wire::AttemptId, Answer> Held;
  std::map<wire::AttemptId, Arriving> Arrivals;
};

/// Largest body that travels inside its first message, and the size of the
/// parts of larger ones, in bytes: 29 ms of a link of 4.45 Mbit/s, for which a
/// small message waits behind a part.
constexpr std::size_t InlineBodyBytes = 16u << 10;

/// Cuts \p Body into parts for \p Id.
std::vector<wire::BodyPart> cutBody(const wire::AttemptId &Id, bool OfAnswer,
                                    std::string_view Body);

} // namespace persimmon
