#pragma once

#include "httpserver.h"
#include "targetclient.h"

#include "libpersimmon/libpersimmon.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace persimmon {

/// The metadata of a caller's request: everything but method, URL and body.
struct CallMetadata {
  /// Identifies the call in logs and in the request to the target.
  std::string CallId;
  Time Deadline = NoDeadline;
  std::string IdempotencyKey;
  /// Headers that are forwarded to the target.
  std::vector<wire::Header> Headers;
  /// As in CallArrived.
  std::string AccountKey;
  std::vector<wire::Header> IdentityHeaders;
};

/// The content of a target's health response.
struct TargetHealth {
  std::string InstanceId;
  int Slots = 0;
};

/// Maps call ids, deadlines and errors to the HTTP headers that callers and the
/// target use.
class CallProtocol {
public:
  virtual ~CallProtocol() = default;

  /// Parses the metadata of a caller's request. \p OwnService is the service of
  /// this daemon's target. Errors: RequestMalformed.
  virtual leaf::result<CallMetadata> readCall(const HttpRequest &Request,
                                              std::string_view OwnService,
                                              Time Now) const = 0;

  /// Returns the response to a call that the daemon rejected or gave up.
  /// \p NotRun tells whether the call certainly did not run.
  virtual HttpResponse makeErrorResponse(const RefuseCaller &Refusal,
                                         bool NotRun) const = 0;

  /// Returns the headers of a target's response that are forwarded to the
  /// caller.
  virtual std::vector<wire::Header>
  responseHeaders(std::vector<wire::Header> Headers) const = 0;

  /// Returns the headers of the request to the target, whose current run is
  /// \p InstanceId. \p Left is the time until the deadline.
  virtual std::vector<wire::Header>
  targetHeaders(const wire::CallRequest &Request, std::string_view InstanceId,
                milliseconds Left) const = 0;

  /// Returns whether the target's response states that the target did not run
  /// the request.
  virtual bool isNotRunResponse(const TargetResponse &Answer) const = 0;

  /// Returns whether the target's response states that the request names a run
  /// other than the one that received it.
  virtual bool isOtherRunResponse(const TargetResponse &Answer) const = 0;

  /// Returns the run that sent the response of a health endpoint, healthy or
  /// not; empty if it names none.
  virtual std::string readRun(const TargetResponse &Answer) const = 0;

  /// Returns what the target says of itself in any of its responses.
  virtual TargetNotice readNotice(const TargetResponse &Answer) const = 0;

  /// Returns whether the response belongs to the call with this id.
  virtual bool matchesCall(const TargetResponse &Answer,
                           std::string_view CallId) const = 0;

  /// Parses a response of the target's health endpoint. Returns nullopt unless
  /// the target is healthy and the response is complete.
  virtual std::optional<TargetHealth>
  readHealth(const TargetResponse &Answer) const = 0;
};

/// Limits of the numbers in a target's announcement.
constexpr std::int64_t MaxTargetSlots = 1'000'000;
constexpr std::int64_t MaxTargetConnections = 1'000'000;
constexpr std::size_t MaxAnnouncementBytes = 64u << 10;
constexpr std::size_t MaxInstanceIdBytes = 200;

/// An announcement of the daemon's target; Address is where the target listens.
struct TargetAnnouncement {
  TargetAnnounced Announced;
  std::string Address;
  /// Maximum number of connections that the target accepts; 0 if not given.
  int Connections = 0;
};

/// Asks whether this daemon is ready for calls.
struct ReadinessQuery {};

/// A decoded request to a daemon's local port; a Failure if it is invalid.
using LocalRequest =
    std::variant<Failure, TargetAnnouncement, TargetLeaving, ReadinessQuery>;

/// Decodes requests of the daemon's target and of load balancers that check the
/// daemon's readiness.
class LocalProtocol {
public:
  virtual ~LocalProtocol() = default;

  /// Decodes a request. Returns nullopt if it is not part of this protocol.
  virtual std::optional<LocalRequest>
  decode(const HttpRequest &Request) const = 0;

  /// Returns the response to a request that succeeded.
  virtual HttpResponse makeSuccessResponse() const = 0;

  /// Returns the response to a request that failed.
  virtual HttpResponse makeErrorResponse(const Failure &Error) const = 0;
};

/// An operator's request to read a team's subtree.
struct SubtreeQuery {
  std::string Team;
};

/// An operator's request to replace a team's subtree by the document in the
/// request's body.
struct SubtreeReplacement {};

/// An operator's request for the state of the last roll-out of a service.
struct RolloutQuery {
  /// TEAM/SERVICE.
  std::string Service;
};

/// A decoded operator request; a Failure if it is invalid.
using OperatorRequest = std::variant<SubtreeReplacement, SubtreeQuery,
                                     RolloutOrder, RolloutQuery, Failure>;

/// Reads an operator's document in bounded steps, since the control instance
/// has to send heartbeats meanwhile.
class DocumentReader {
public:
  virtual ~DocumentReader() = default;

  /// Reads some entries; returns whether the document is complete. Errors:
  /// ValueInvalid.
  virtual leaf::result<bool> step() = 0;

  /// Returns the complete document.
  virtual SubtreeDocument take() = 0;
};

/// Writes a team's subtree as a document in bounded steps.
class DocumentWriter {
public:
  virtual ~DocumentWriter() = default;

  /// Writes some entries; returns whether the document is complete.
  virtual bool step() = 0;

  /// Returns the response with the complete document.
  virtual HttpResponse take() = 0;
};

/// Translates the operator requests of another system's API.
class OperatorProtocol {
public:
  virtual ~OperatorProtocol() = default;

  /// Decodes a request. Returns nullopt if it is not part of this protocol.
  virtual std::optional<OperatorRequest>
  decode(const HttpRequest &Request) const = 0;

  /// Starts to read the document of a SubtreeReplacement. Separate from
  /// decode(), because only the leader needs the document. Errors:
  /// ValueInvalid.
  virtual leaf::result<std::unique_ptr<DocumentReader>>
  openDocument(const HttpRequest &Request) const = 0;

  /// Starts to write the response to a SubtreeQuery from a copy of what is
  /// needed of \p Settings.
  virtual std::unique_ptr<DocumentWriter>
  writeSubtree(const SettingsMap &Settings, std::string_view Team) const = 0;
  virtual HttpResponse makeAcceptedResponse() const = 0;
  virtual HttpResponse makeRolloutResponse(const Rollout &Item) const = 0;

  /// Returns the response to a request that failed. \p LeaderUrl is the URL of
  /// the same request at the leader; empty if no leader is known.
  virtual HttpResponse makeErrorResponse(const Failure &Error,
                                         std::string_view LeaderUrl) const = 0;
};

/// The protocols that a daemon uses towards callers, its target and operators.
/// Operators is null if only persimmonwheel's native API is served.
struct EdgeProtocols {
  std::unique_ptr<CallProtocol> Calls;
  std::unique_ptr<LocalProtocol> Locals;
  std::unique_ptr<OperatorProtocol> Operators;
  /// Team whose subtree Operators stores; as in CompileOptions.
  std::string TextPrefixTeam;
};

/// Returns persimmonwheel's native protocols.
EdgeProtocols makeNativeProtocols();

wire::Header makeHeader(std::string Name, std::string Value);

/// Returns \p Headers without hop-by-hop headers and without those named in
/// \p Excluded.
std::vector<wire::Header>
endToEndHeaders(std::vector<wire::Header> Headers,
                std::span<const std::string_view> Excluded);

/// Moves the headers \p KeyName, which holds the key of an account, and
/// \p AccountName from Out.Headers to Out.IdentityHeaders.
void takeIdentity(CallMetadata &Out, std::string_view KeyName,
                  std::string_view AccountName);

/// Reads what a target says of itself from the header \p LimitName, a decimal
/// number of calls per second, and \p LeavingName, "1" if it shuts down. A
/// limit that is not a number is ignored.
TargetNotice noticeOf(const TargetResponse &Answer, std::string_view LimitName,
                      std::string_view LeavingName);

/// Parses a header that holds the milliseconds left until the deadline. Returns
/// NoDeadline if the header is missing. Errors: RequestMalformed.
leaf::result<Time> readDeadline(const HttpRequest &Request,
                                std::string_view Name, Time Now);

/// Returns whether \p Text consists of visible ASCII characters only: no spaces
/// or control characters.
bool isVisibleAscii(std::string_view Text);

} // namespace persimmon
