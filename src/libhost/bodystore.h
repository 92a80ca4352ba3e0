#pragma once

#include "libpersimmon/libpersimmon.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Bytes of callers' bodies, if no other bound is set: an eighth of the 256 MB
/// that a daemon is built for.
constexpr std::size_t DefaultMaxCallerBytes = 32'000'000;

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
    /// The caller's, as the first part of the body told it.
    Time Deadline = NoDeadline;
  };

  /// An answer of the own target, held until its sender took it.
  struct Answer {
    int Status = 0;
    std::vector<wire::Header> Headers;
    std::string Body;
  };

  /// Bounds what the bodies of callers but the largest one take together, in
  /// bytes: one large body leaves room for small ones.
  void setMaxCallerBytes(std::size_t Bytes) { this->MaxCallerBytes = Bytes; }

  /// Holds a caller's body until dropCaller(). Returns false and holds nothing
  /// if there is no room for it.
  bool keepCallerBody(std::int64_t CallNumber, std::string Body);
  std::string_view callerBody(std::int64_t CallNumber) const;
  void dropCaller(std::int64_t CallNumber);

  /// Takes the first message of a request that came on \p Path. Returns it if
  /// its body is whole or follows once the call is admitted.
  std::optional<wire::CallRequest> begin(wire::CallRequest Header,
                                         std::string Path);

  /// Takes the first message of an answer. Returns it once it is whole.
  std::optional<wire::CallReply> begin(wire::CallReply Header);

  /// What a part completed or discarded, if anything.
  using Completed = std::variant<std::monostate, wire::CallRequest, BodyArrived,
                                 BodyLost, wire::CallReply>;

  /// Takes a part. Parts that do not follow each other discard the body.
  Completed addPart(const wire::BodyPart &Part, Time Now);

  /// Forgets requests that came on a connection that ended before they were
  /// whole, and returns them.
  std::vector<BodyLost> pathClosed(std::string_view Path);

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
  Completed addToRequest(const wire::BodyPart &Part, Time Now);
  Completed addToAnswer(const wire::BodyPart &Part);

  struct Arriving {
    wire::CallReply Header;
    std::string Body;
  };

  bool hasRoomFor(std::size_t Size) const;

  std::map<std::int64_t, std::string> CallerBodies;
  std::size_t CallerBytes = 0;
  std::size_t MaxCallerBytes = DefaultMaxCallerBytes;
  std::map<wire::AttemptId, Request> Requests;
  std::map<wire::AttemptId, Answer> Held;
  std::map<wire::AttemptId, Arriving> Arrivals;
};

/// Returns the first message of \p Call, whose body is \p Body.
wire::CallRequest firstMessage(const SendCall &Call, std::string_view Body);

/// Returns the parts of an admitted call's body that \p Sent names.
std::vector<wire::BodyPart> partsOf(const SendBody &Sent,
                                    std::string_view Body);

/// Cuts \p Body, which begins at the byte \p Offset of the whole, into parts
/// for \p Id.
std::vector<wire::BodyPart> cutBody(const wire::AttemptId &Id, bool OfAnswer,
                                    std::string_view Body,
                                    std::int64_t Offset = 0);

} // namespace persimmon
