#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmon {

/// How a message travels: Datagram for small ones that may be lost, Stream for
/// the rest. Deferred is a stream whose next message takes it along, for what
/// nobody waits for.
enum class Channel { Datagram, Stream, Deferred };

/// Writes term and vote to disk and syncs before the next effect.
struct PersistHardState {
  wire::HardState State;
};

/// Writes entries to disk and syncs before the next effect. Stored entries
/// from the first index on are superseded.
struct PersistEntries {
  std::vector<wire::LogEntry> Entries;
};

/// Writes a snapshot to disk and syncs before the next effect; the log keeps
/// only entries behind it.
struct PersistSnapshot {
  wire::StoreSnapshot Snapshot;
};

struct SendMessage {
  std::string Address;
  Message Body;
  Channel Via = Channel::Stream;
};

/// Answers an operator's request.
struct AnswerOperator {
  std::int64_t RequestId = 0;
  Failure Error;
  std::int64_t Version = 0;
  std::string LeaderAddress;
};

/// The proxy serves this configuration version from now on.
struct VersionInForce {
  std::int64_t Version = 0;
};

/// One line for the decision log, in key=value form.
struct LogDecision {
  std::string Line;
};

/// Something an operator should see in the log.
struct LogWarning {
  std::string Line;
};

/// Largest body that travels with the header of its call, in bytes, and the
/// size of the parts of larger ones: 29 ms of a link of 4.45 Mbit/s. To wait
/// for the word of the target's daemon costs 0.9 ms between zones, so for
/// larger bodies it pays once one of thirty is refused.
constexpr std::size_t InlineBodyBytes = 16u << 10;

/// Sends a call's header to the daemon beside the chosen target, with its body
/// unless that follows. The host holds the body under CallNumber.
struct SendCall {
  std::int64_t CallNumber = 0;
  std::string Address;
  wire::CallRequest Header;
};

/// Sends the body of an admitted call, or the part of it from the byte Begin up
/// to the byte End.
struct SendBody {
  std::int64_t CallNumber = 0;
  std::string Address;
  wire::AttemptId Id;
  std::int32_t RemainingMs = 0;
  std::int64_t Begin = 0;
  std::int64_t End = std::numeric_limits<std::int64_t>::max();
};

/// Answers a caller with a failure of our own. RetryAfter says when the caller
/// may come back; 0 for no advice.
struct RefuseCaller {
  std::int64_t CallNumber = 0;
  Failure Error;
  milliseconds RetryAfter{0};
};

/// Answers a caller with the target's answer, held by the host under Id.
struct AnswerCaller {
  std::int64_t CallNumber = 0;
  wire::AttemptId Id;
};

/// Runs an admitted call on the target beside this daemon.
struct RunOnTarget {
  wire::AttemptId Id;
  Time Deadline;
};

/// Ends a running call on the target by closing its connection.
struct CancelOnTarget {
  wire::AttemptId Id;
};

/// Sends the answer that the host holds for the attempt to the sender.
struct SendAnswer {
  wire::AttemptId Id;
  std::string Address;
  wire::Load TargetLoad;
  bool Nested = false;
  wire::ShedLoad Shed;
};

/// Forgets the request and the answer that the host holds for the attempt.
struct DropAttempt {
  wire::AttemptId Id;
};

/// Forgets an answer, or the part of one, that arrived for a caller, and what
/// still waits of the request that was sent to Address, if there was one.
struct DropArrival {
  wire::AttemptId Id;
  std::string Address;
};

/// Abandons the connection to an address if the peer has given no sign of life
/// on it since SilentSince; the next message opens a new one. StreamLost tells
/// what the abandoned one carried, StreamAlive that there was a sign: whoever
/// waits for an answer cannot tell a dead connection from one that a large
/// message fills.
struct RenewConnection {
  std::string Address;
  /// What took the connection for dead, for the log.
  std::string_view Reason;
  Time SilentSince;
};

/// Everything planned is done; the process may end.
struct ReadyToExit {};

using Effect =
    std::variant<PersistHardState, PersistEntries, PersistSnapshot, SendMessage,
                 AnswerOperator, VersionInForce, LogDecision, LogWarning,
                 SendCall, RefuseCaller, AnswerCaller, RunOnTarget,
                 CancelOnTarget, SendAnswer, DropAttempt, DropArrival,
                 RenewConnection, ReadyToExit, SendBody>;

/// Effects in the order in which they must be carried out.
using Effects = std::vector<Effect>;

/// Appends a message to \p Out.
inline void send(Effects &Out, std::string_view Address, Message Body,
                 Channel Via = Channel::Stream) {
  Out.emplace_back(SendMessage{std::string(Address), std::move(Body), Via});
}

} // namespace persimmon
