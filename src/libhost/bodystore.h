#pragma once

#include "libpersimmon/libpersimmon.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Default limit for the bodies of callers: an eighth of the 256 MB that a
/// daemon is designed for.
constexpr std::size_t DefaultMaxCallerBytes = 32'000'000;

/// Stores the bodies of calls, which the reducer does not see: requests of
/// callers, requests for the local target, its responses until their senders
/// have received them, and responses that arrive in parts.
class BodyStore {
public:
  /// A request for the local target. Its body may still be arriving.
  struct Request {
    wire::CallRequest Header;
    std::string Body;
    std::string Path;
    /// The body is with the run on the target.
    bool BodyTaken = false;
    /// The deadline of the caller, which comes with the first part of the body.
    Time Deadline = NoDeadline;
  };

  /// A response of the local target, kept until its sender has received it.
  struct Response {
    int Status = 0;
    std::vector<wire::Header> Headers;
    std::string Body;
  };

  /// Limits the total size of the callers' bodies in bytes. The largest body is
  /// not counted, so that one large body leaves room for small ones.
  void setMaxCallerBytes(std::size_t Bytes) { this->MaxCallerBytes = Bytes; }

  /// Stores a caller's body until removeCallerBody(), and as long \p Held,
  /// which counts its memory. Returns false and stores nothing if the limit
  /// would be exceeded.
  bool storeCallerBody(std::int64_t CallNumber, std::string Body,
                       std::shared_ptr<void> Held = nullptr);
  std::string_view callerBody(std::int64_t CallNumber) const;
  void removeCallerBody(std::int64_t CallNumber);

  /// Adds the first message of a request that came on \p Path. Returns it if
  /// its body is complete or follows once the call is admitted.
  std::optional<wire::CallRequest> begin(wire::CallRequest Header,
                                         std::string Path);

  /// Adds the first message of a response. Returns it if the response is
  /// complete. A response that cannot be written to a caller, as a damaged or
  /// older daemon may send it, is returned as one of unknown outcome.
  std::optional<wire::CallReply> begin(wire::CallReply Header);

  /// The request or response that a part completed, or the body that was
  /// discarded.
  using PartResult = std::variant<std::monostate, wire::CallRequest,
                                  BodyArrived, BodyLost, wire::CallReply>;

  /// Adds a part of a body. A part that does not follow the previous one
  /// discards the body.
  PartResult addPart(const wire::BodyPart &Part, Time Now);

  /// Removes and returns the incomplete requests that came on the accepted
  /// connection \p Path, which has ended.
  std::vector<BodyLost> removeIncompleteRequests(std::string_view Path);

  const Request *request(const wire::AttemptId &Id) const;
  /// Moves the body of a request out of the store, for its run on the target.
  std::string takeBody(const wire::AttemptId &Id);
  /// Stores the response of the local target until removeAttempt().
  void storeResponse(const wire::AttemptId &Id, Response NewResponse);
  const Response *storedResponse(const wire::AttemptId &Id) const;

  /// Removes and returns the complete response for a caller.
  std::optional<Response> takeReceivedResponse(const wire::AttemptId &Id);

  /// Removes the response for a caller.
  void removeReceivedResponse(const wire::AttemptId &Id) {
    this->IncomingResponses.erase(Id);
  }

  /// Removes a request for the local target and its response.
  void removeAttempt(const wire::AttemptId &Id);

private:
  PartResult addToRequest(const wire::BodyPart &Part, Time Now);
  PartResult addToResponse(const wire::BodyPart &Part);

  struct IncomingResponse {
    wire::CallReply Header;
    std::string Body;
  };

  bool hasRoomFor(std::size_t Size) const;

  struct CallerBody {
    std::string Bytes;
    std::shared_ptr<void> Held;
  };

  std::map<std::int64_t, CallerBody> CallerBodies;
  std::size_t CallerBytes = 0;
  std::size_t MaxCallerBytes = DefaultMaxCallerBytes;
  std::map<wire::AttemptId, Request> Requests;
  std::map<wire::AttemptId, Response> StoredResponses;
  std::map<wire::AttemptId, IncomingResponse> IncomingResponses;
};

/// Returns the first message of \p Call with the body \p Body.
wire::CallRequest firstMessage(const SendCall &Call, std::string_view Body);

/// Returns the parts of an admitted call's body in the range given by \p Sent.
std::vector<wire::BodyPart> partsToSend(const SendBody &Sent,
                                        std::string_view Body);

/// Splits \p Body, which begins at byte \p Offset of the complete body, into
/// parts for \p Id.
std::vector<wire::BodyPart> splitBody(const wire::AttemptId &Id, bool OfAnswer,
                                      std::string_view Body,
                                      std::int64_t Offset = 0);

} // namespace persimmon
