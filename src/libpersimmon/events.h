#pragma once

#include "libwire/libwire.h"

#include "subtree.h"
#include "time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmon {

/// Time has passed.
struct Tick {};

/// A message arrived. From is the path on which an answer reaches its sender.
struct MessageReceived {
  std::string From;
  Message Body;
};

/// How a connection to a peer ended: it could not be opened, was closed or
/// broke, or was given up by this daemon.
enum class StreamEnd { NotOpened, Closed, Abandoned };

/// Returns the name of \p End, for logs.
inline std::string_view nameOf(StreamEnd End) {
  switch (End) {
  case StreamEnd::NotOpened:
    return "not-opened";
  case StreamEnd::Closed:
    return "closed";
  case StreamEnd::Abandoned:
    break;
  }
  return "abandoned";
}

/// A connection to a peer's address ended, was abandoned, or could not be
/// opened. Another connection may bear the address by now, so this tells of the
/// attempts that this one carried and of no others.
struct StreamLost {
  std::string Address;
  StreamEnd End = StreamEnd::Closed;
  /// Attempts of which at least a part never left: the peer has no whole
  /// request and cannot run them.
  std::vector<wire::AttemptId> NotSent;
  /// Attempts that left and were not decided on this connection.
  std::vector<wire::AttemptId> Sent;
};

/// A connection to a peer's address has not opened yet and goes on opening. The
/// calls that waited for it are given back and will not be sent on it.
struct StreamSlow {
  std::string Address;
  std::vector<wire::AttemptId> NotSent;
};

/// The peer at this address gave a sign of life on a connection that was taken
/// for silent.
struct StreamAlive {
  std::string Address;
  /// When it gave the last sign.
  Time SignAt;
};

/// A part of the body of an admitted call for the own target is here.
struct BodyProgress {
  wire::AttemptId Id;
  /// Bytes of the body that are here.
  std::int64_t Received = 0;
};

/// The body of an admitted call for the own target is whole.
struct BodyArrived {
  wire::AttemptId Id;
  std::string CallId;
  /// What was left of the caller's time when the body left its sender.
  Time Deadline = NoDeadline;
};

/// The body of a call for the own target will never be whole here.
struct BodyLost {
  wire::AttemptId Id;
};

/// A caller's whole request has arrived; the host holds its body.
struct CallArrived {
  std::int64_t CallNumber = 0;
  std::string CallId;
  std::string Job;
  std::string Method;
  std::string Url;
  std::vector<wire::Header> Headers;
  std::int64_t BodySize = 0;
  Time Deadline = NoDeadline;
  std::string IdempotencyKey;
};

/// The caller closed its connection before it was answered.
struct CallerGone {
  std::int64_t CallNumber = 0;
};

/// The target beside this daemon said what it is and how it is.
struct TargetAnnounced {
  std::string Service;
  wire::TargetState::type State = wire::TargetState::None;
  int Slots = 0;
  /// Name of this run of the target; empty if it does not give one.
  std::string InstanceId;
  /// Start of this run in milliseconds since 1970, 0 if unknown. A later run
  /// supersedes an earlier one.
  std::int64_t Born = 0;
  /// Orders what one run says of itself, 0 if it does not count.
  std::int64_t Sequence = 0;
  /// How long it stays slow after its start.
  milliseconds ColdFor{0};
};

/// The target beside this daemon said that it leaves.
struct TargetLeaves {
  std::string InstanceId;
};

/// A target that has not announced itself to this run of the daemon yet was
/// found well at the address of the settings.
struct TargetFound {
  std::string Service;
  std::string InstanceId;
  int Slots = 0;
};

/// The target's health endpoint was asked.
struct TargetProbed {
  bool Reachable = false;
  bool Well = false;
};

/// How a call on the target beside this daemon ended. NotConnected: nothing
/// listens there. NotSent: given up before a byte was sent. Shed: the target
/// says that it did not run it. Broken: it may have run.
enum class RunEnd { Answered, NotConnected, NotSent, Shed, Broken };

struct RunFinished {
  wire::AttemptId Id;
  RunEnd End = RunEnd::Answered;
  int Status = 0;
  std::int64_t AnswerBytes = 0;
};

/// An operator's change, authorized by the team's token.
struct ChangeRequested {
  std::int64_t RequestId = 0;
  wire::Change TheChange;
  std::string Token;
};

/// An operator's whole subtree. \p Trusted says that the settings let this
/// team be changed without a token.
struct ReplaceRequested {
  std::int64_t RequestId = 0;
  SubtreeDocument Document;
  std::string Token;
  bool Trusted = false;
};

/// The administrator gives a team its token.
struct TeamRequested {
  std::int64_t RequestId = 0;
  wire::TeamGrant Grant;
  std::string AdminToken;
};

/// An operator asks to read; answered once leadership is confirmed.
struct ReadRequested {
  std::int64_t RequestId = 0;
};

/// The administrator forms the cluster, once.
struct FormRequested {
  std::int64_t RequestId = 0;
  wire::TeamGrant AdminGrant;
};

/// The system starts for the first time: the control instances at these
/// addresses are the first voters. Ignored unless the own disk is blank and
/// belongs to one of them.
struct FoundRequested {
  std::vector<std::string> Addresses;
};

/// The administrator accepts that a quorum of disks is lost.
struct RecoverRequested {
  std::int64_t RequestId = 0;
  std::string AdminToken;
};

/// The settings file has changed.
struct SettingsChanged {
  std::vector<std::string> Seeds;
  int RetryBurst = 0;
};

/// The process was asked to stop gracefully.
struct StopRequested {};

using EventBody =
    std::variant<Tick, MessageReceived, StreamLost, CallArrived, CallerGone,
                 TargetAnnounced, TargetFound, TargetProbed, RunFinished,
                 ChangeRequested, TeamRequested, ReadRequested, FormRequested,
                 RecoverRequested, StopRequested, ReplaceRequested,
                 FoundRequested, TargetLeaves, SettingsChanged, StreamAlive,
                 BodyArrived, BodyLost, BodyProgress, StreamSlow>;

/// Something that happened at a time. WallMs is the wall clock in milliseconds
/// since 1970, for retention only.
struct Event {
  Time At;
  std::int64_t WallMs = 0;
  EventBody Body;
};

} // namespace persimmon
