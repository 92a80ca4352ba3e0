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

/// Transport of a message. Datagram is for small messages that may be lost,
/// Stream for all others. Deferred messages are sent together with the next
/// message on the stream, for data that no one waits for.
enum class Channel { Datagram, Stream, Deferred };

/// Writes term and vote to disk; synced before the next effect is executed.
struct PersistHardState {
  wire::HardState State;
};

/// Writes log entries to disk; synced before the next effect is executed. They
/// replace the stored entries from the first index on.
struct PersistEntries {
  std::vector<wire::LogEntry> Entries;
};

/// Writes a snapshot to disk; synced before the next effect is executed. Only
/// later entries remain in the log.
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

/// This configuration version is in force from now on.
struct VersionInForce {
  std::int64_t Version = 0;
};

/// Writes a line in key=value form to the decision log.
struct LogDecision {
  std::string Line;
};

/// Writes a warning for operators to the log.
struct LogWarning {
  std::string Line;
};

/// Largest body that is sent together with the header of its call, in bytes,
/// and the size of the parts of larger bodies. It takes 29 ms on a link of 4.45
/// Mbit/s. Waiting for admission by the target's daemon costs 0.9 ms between
/// zones, so for larger bodies the wait pays off if at least one call in thirty
/// is refused.
constexpr std::size_t InlineBodyBytes = 16u << 10;

/// Sends the header of a call to the daemon of the chosen target, with the body
/// unless the body follows later. The host holds the body under CallNumber.
struct SendCall {
  std::int64_t CallNumber = 0;
  std::string Address;
  wire::CallRequest Header;
};

/// Sends the body of an admitted call, or its part from byte Begin up to byte
/// End.
struct SendBody {
  std::int64_t CallNumber = 0;
  std::string Address;
  wire::AttemptId Id;
  std::int32_t RemainingMs = 0;
  std::int64_t Begin = 0;
  std::int64_t End = std::numeric_limits<std::int64_t>::max();
};

/// Answers a caller with an error of this daemon. RetryAfter is the time after
/// which the caller may retry; 0 for none.
struct RefuseCaller {
  std::int64_t CallNumber = 0;
  Failure Error;
  milliseconds RetryAfter{0};
};

/// Forwards the target's answer, which the host holds under Id, to the caller.
struct AnswerCaller {
  std::int64_t CallNumber = 0;
  wire::AttemptId Id;
};

/// Runs an admitted call on this daemon's target.
struct RunOnTarget {
  wire::AttemptId Id;
  Time Deadline;
};

/// Cancels a running call by closing its connection to the target.
struct CancelOnTarget {
  wire::AttemptId Id;
};

/// Sends the answer that the host holds for the attempt to the calling daemon.
/// A body of more than InlineBodyBytes follows by SendAnswerBody.
struct SendAnswer {
  wire::AttemptId Id;
  std::string Address;
  wire::Load TargetLoad;
  bool Nested = false;
  wire::ShedLoad Shed;
  /// Loads of other targets that the receiver may not know yet.
  std::vector<wire::PeerLoad> Peers = {};
};

/// Sends the part of an answer's body from byte Begin up to byte End.
struct SendAnswerBody {
  wire::AttemptId Id;
  std::string Address;
  std::int64_t Begin = 0;
  std::int64_t End = 0;
};

/// Discards the request and the answer that the host holds for the attempt.
struct DropAttempt {
  wire::AttemptId Id;
};

/// Discards a complete or partial answer received for a caller, and the unsent
/// rest of the request to Address, if any.
struct DropReceivedAnswer {
  wire::AttemptId Id;
  std::string Address;
};

/// Abandons the connection to an address if the peer showed no activity on it
/// since SilentSince; the next message opens a new one. The host answers with
/// StreamLost, which lists the attempts on the abandoned connection, or with
/// StreamAlive if there was activity. The reducer needs the host for this: a
/// missing answer alone does not distinguish a dead connection from one that is
/// busy with a large message.
struct RenewConnection {
  std::string Address;
  /// Why the connection is suspected to be dead, for the log.
  std::string_view Reason;
  Time SilentSince;
};

/// Asks for a WorkContinued event once the events that already wait were
/// handled: a large piece of work is done in steps, so that heartbeats and
/// calls do not wait for all of it.
struct ContinueWork {};

/// The planned stop is complete; the process may exit.
struct ReadyToExit {};

using Effect =
    std::variant<PersistHardState, PersistEntries, PersistSnapshot, SendMessage,
                 AnswerOperator, VersionInForce, LogDecision, LogWarning,
                 SendCall, RefuseCaller, AnswerCaller, RunOnTarget,
                 CancelOnTarget, SendAnswer, DropAttempt, DropReceivedAnswer,
                 RenewConnection, ReadyToExit, SendBody, SendAnswerBody,
                 ContinueWork>;

/// Effects in the order in which they must be executed.
using Effects = std::vector<Effect>;

/// Appends a message to \p Out.
inline void send(Effects &Out, std::string_view Address, Message Body,
                 Channel Via = Channel::Stream) {
  Out.emplace_back(SendMessage{std::string(Address), std::move(Body), Via});
}

} // namespace persimmon
