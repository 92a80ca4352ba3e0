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

/// What a caller's request says beside its method, URL and body.
struct CallTerms {
  /// Name of the call in logs and towards the target.
  std::string CallId;
  Time Deadline = NoDeadline;
  std::string IdempotencyKey;
  /// Headers that go on to the target.
  std::vector<wire::Header> Headers;
};

/// What a target's health endpoint says of it.
struct TargetHealth {
  std::string InstanceId;
  int Slots = 0;
};

/// How callers and the target name ids, deadlines and refusals in HTTP headers.
class CallProtocol {
public:
  virtual ~CallProtocol() = default;

  /// Reads a caller's request. \p OwnService is the service of the target
  /// beside this daemon. Errors: RequestMalformed.
  virtual leaf::result<CallTerms> readCall(const HttpRequest &Request,
                                           std::string_view OwnService,
                                           Time Now) const = 0;

  /// Makes the answer to a call that this system refused or gave up.
  virtual HttpAnswer makeRefusal(const RefuseCaller &Refusal,
                                 bool NotRun) const = 0;

  /// Returns the headers of a target's answer that go on to the caller.
  virtual std::vector<wire::Header>
  answerHeaders(std::vector<wire::Header> Headers) const = 0;

  /// Returns the headers of a request to the target run \p InstanceId.
  virtual std::vector<wire::Header>
  targetHeaders(const wire::CallRequest &Request, std::string_view InstanceId,
                milliseconds Left) const = 0;

  /// Returns whether an answer of the target says that it did not run the
  /// request.
  virtual bool saysNotRun(const TargetResponse &Answer) const = 0;

  /// Returns whether the answer belongs to the call with this id.
  virtual bool belongsTo(const TargetResponse &Answer,
                         std::string_view CallId) const = 0;

  /// Returns what a target says of itself in the answer of its health
  /// endpoint; nothing unless it is well and says all of it.
  virtual std::optional<TargetHealth>
  readHealth(const TargetResponse &Answer) const = 0;
};

/// The target beside a daemon said what it is; Address is where it listens.
struct TargetStatement {
  TargetAnnounced Said;
  std::string Address;
  /// Connections that it accepts; 0 if it does not say.
  int Connections = 0;
};

/// Someone asks whether this daemon takes callers.
struct ReadinessQuery {};

/// What a request to a daemon's local port asks. Failure refuses it.
using LocalCall =
    std::variant<Failure, TargetStatement, TargetLeaving, ReadinessQuery>;

/// Requests of the target beside a daemon and of whoever routes callers to it.
class LocalProtocol {
public:
  virtual ~LocalProtocol() = default;

  /// Decodes a request; returns nothing for one that is not of this protocol.
  virtual std::optional<LocalCall> decode(const HttpRequest &Request) const = 0;

  /// Makes the answer to a request that was carried out.
  virtual HttpAnswer makeDone() const = 0;

  /// Makes the answer to one that was refused.
  virtual HttpAnswer makeRefusal(const Failure &Error) const = 0;
};

/// An operator asks for a team's subtree.
struct SubtreeQuery {
  std::string Team;
};

/// An operator sends a whole subtree; its document is in the request's body.
struct SubtreeReplacement {};

/// What an operator's request asks.
using OperatorCall = std::variant<SubtreeReplacement, SubtreeQuery>;

/// Operators' requests in the terms of another system.
class OperatorProtocol {
public:
  virtual ~OperatorProtocol() = default;

  /// Decodes a request; returns nothing for one that is not of this protocol.
  virtual std::optional<OperatorCall>
  decode(const HttpRequest &Request) const = 0;

  /// Reads the document of a replacement. Kept apart from decode(), as reading
  /// a large document takes long on a small instance and only the leader has
  /// use for it. Errors: ValueInvalid.
  virtual leaf::result<SubtreeDocument>
  readDocument(const HttpRequest &Request) const = 0;

  virtual HttpAnswer makeSubtree(const SettingsMap &Settings,
                                 std::string_view Team) const = 0;
  virtual HttpAnswer makeAccepted() const = 0;

  /// Makes the answer to a request that was refused. \p LeaderUrl says where
  /// the leader takes the same request; empty if no leader is known.
  virtual HttpAnswer makeRefusal(const Failure &Error,
                                 std::string_view LeaderUrl) const = 0;
};

/// The protocols that a daemon speaks at its edges. Operators is null if only
/// the project's own interface is served.
struct EdgeProtocols {
  std::unique_ptr<CallProtocol> Calls;
  std::unique_ptr<LocalProtocol> Locals;
  std::unique_ptr<OperatorProtocol> Operators;
};

/// Returns the project's own protocols.
EdgeProtocols makeOwnProtocols();

/// Makes a header field.
wire::Header makeHeader(std::string Name, std::string Value);

/// Returns \p Headers without those that concern one connection only and
/// without those in \p Own.
std::vector<wire::Header> endToEnd(std::vector<wire::Header> Headers,
                                   std::span<const std::string_view> Own);

/// Reads a header that holds whole milliseconds. Errors: RequestMalformed.
leaf::result<Time> readDeadline(const HttpRequest &Request,
                                std::string_view Name, Time Now);

/// Returns whether \p Text has neither control characters nor spaces.
bool printable(std::string_view Text);

} // namespace persimmon
