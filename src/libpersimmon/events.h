#pragma once

#include "libwire/libwire.h"

#include "rollout.h"
#include "subtree.h"
#include "time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmon {

/// Periodic timer event. LinkBytes is what was sent to other instances since
/// the previous one, other than parts of answers, with packet headers.
struct Tick {
  std::int64_t LinkBytes = 0;
};

/// A message was received. From is the address to which replies are sent.
struct MessageReceived {
  std::string From;
  Message Body;
};

/// How a connection to a peer ended: it could not be opened, was closed or
/// failed, or was abandoned by this daemon.
enum class StreamEnd { NotOpened, Closed, Abandoned };

/// Returns the name of \p End as used in logs.
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
/// opened. A new connection to the same address may already exist, so the event
/// lists only the attempts that were sent or queued on this one.
struct StreamLost {
  std::string Address;
  StreamEnd End = StreamEnd::Closed;
  /// Attempts that were not sent completely: the peer cannot run them, because
  /// it does not have the whole request.
  std::vector<wire::AttemptId> NotSent;
  /// Attempts that were sent completely and have no outcome on this connection.
  std::vector<wire::AttemptId> Sent;
};

/// A connection to a peer's address is taking long to open and is still being
/// opened. The calls queued on it are returned and will not be sent on it.
struct StreamSlow {
  std::string Address;
  std::vector<wire::AttemptId> NotSent;
};

/// The peer at this address showed activity on a connection that was suspected
/// to be dead.
struct StreamAlive {
  std::string Address;
  Time LastActivity;
};

/// A part of the body of an admitted call for this daemon's target arrived.
struct BodyProgress {
  wire::AttemptId Id;
  /// Bytes of the body received so far.
  std::int64_t Received = 0;
};

/// The body of an admitted call for this daemon's target is complete.
struct BodyArrived {
  wire::AttemptId Id;
  std::string CallId;
  /// Deadline computed from the time that remained to the caller when the body
  /// was sent.
  Time Deadline = NoDeadline;
};

/// The body of a call for this daemon's target will never be complete.
struct BodyLost {
  wire::AttemptId Id;
};

/// A caller's request arrived completely; the host holds its body.
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
  /// The key of a client account; empty if there is none, or several.
  std::string AccountKey;
  /// Headers of the caller that carry keys or name an account. They are
  /// forwarded only if the route's team does not require keys.
  std::vector<wire::Header> IdentityHeaders;
};

/// The caller closed its connection before it was answered.
struct CallerDisconnected {
  std::int64_t CallNumber = 0;
};

/// What the target says of itself in an answer.
struct TargetNotice {
  /// Calls per second that it takes from all instances together.
  std::optional<double> CallsPerSecond;
  /// It shuts down and takes no new calls.
  bool Leaving = false;
  /// How long work takes on its machine at the moment, 100 as usual; 0 if it
  /// does not tell.
  int PacePercent = 0;
};

/// This daemon's target announced its service and state.
struct TargetAnnounced {
  std::string Service;
  wire::TargetState::type State = wire::TargetState::None;
  int Slots = 0;
  /// Identifier of this run of the target; empty if it sent none.
  std::string InstanceId;
  /// Start of this run in milliseconds since 1970, 0 if unknown. A later run
  /// supersedes an earlier one.
  std::int64_t Born = 0;
  /// Orders the announcements of one run; 0 if the target does not number them.
  std::int64_t Sequence = 0;
  /// Duration of the slow phase after the start of the target.
  milliseconds ColdFor{0};
  /// Version of its software; empty if it announced none.
  std::string Version;
};

/// Returns whether a target in this state gets new calls.
inline bool takesCalls(wire::TargetState::type State) {
  return State == wire::TargetState::Serving ||
         State == wire::TargetState::Starting;
}

/// This daemon's target announced that it is shutting down.
struct TargetLeaving {
  std::string InstanceId;
  /// Start of the run, as in its announcements; 0 if unknown.
  std::int64_t Born = 0;
};

/// A target that has not yet announced itself to this run of the daemon was
/// found healthy at the address given in the settings. Service is the one in
/// the settings: the response does not tell to which service the run belongs.
struct TargetFound {
  std::string Service;
  std::string InstanceId;
  int Slots = 0;
  TargetNotice Notice = {};
};

/// Returns what the announcement of a found target would say, as far as it is
/// known.
inline TargetAnnounced announcementOf(const TargetFound &Found) {
  TargetAnnounced Out;
  Out.Service = Found.Service;
  Out.State = wire::TargetState::Serving;
  Out.Slots = Found.Slots;
  Out.InstanceId = Found.InstanceId;
  return Out;
}

/// A target announced itself at the address of this daemon's target as one of
/// another service.
struct TargetDisowned {
  std::string InstanceId;
  std::string Service;
  std::int64_t Born = 0;
};

/// Result of a request to the target's health endpoint.
struct TargetProbed {
  bool Reachable = false;
  bool Healthy = false;
  TargetNotice Notice;
  /// The run that was expected to respond, and the one that did; empty if the
  /// response names none.
  std::string ExpectedRun = {};
  std::string RespondedRun = {};
};

/// How a call on this daemon's target ended. NotConnected: nothing listens
/// there. NotSent: abandoned before a byte was sent. Shed: the target reported
/// that it did not run the call. Broken: the call may have run.
enum class RunEnd { Answered, NotConnected, NotSent, Shed, Broken };

struct RunFinished {
  wire::AttemptId Id;
  RunEnd End = RunEnd::Answered;
  int Status = 0;
  std::int64_t AnswerBytes = 0;
  /// Of any answer, also one that is not forwarded.
  TargetNotice Notice;
  /// The run of the target that the request was sent to.
  std::string TargetRun;
  /// Another run listens at the target's address.
  bool IsOtherRun = false;
};

/// An operator submits a change, authorized by the team's token.
struct ChangeRequested {
  std::int64_t RequestId = 0;
  wire::Change TheChange;
  std::string Token;
};

/// An operator replaces a complete subtree. \p Trusted is set if the settings
/// allow changes to this team without a token.
struct ReplaceRequested {
  std::int64_t RequestId = 0;
  SubtreeDocument Document;
  std::string Token;
  bool Trusted = false;
};

/// An operator orders a roll-out. \p Trusted as in ReplaceRequested.
struct RolloutRequested {
  std::int64_t RequestId = 0;
  RolloutOrder Order;
  std::string Token;
  bool Trusted = false;
};

/// The administrator sets the token of a team.
struct TeamRequested {
  std::int64_t RequestId = 0;
  wire::TeamGrant Grant;
  std::string AdminToken;
};

/// An operator requests a read; answered once leadership is confirmed.
struct ReadRequested {
  std::int64_t RequestId = 0;
};

/// The administrator initializes the cluster; succeeds only once.
struct InitRequested {
  std::int64_t RequestId = 0;
  wire::TeamGrant AdminGrant;
};

/// First start of the system: the control instances at these addresses become
/// the initial voters. Ignored unless this daemon is one of them and its disk
/// is blank.
struct BootstrapRequested {
  std::vector<std::string> Addresses;
};

/// The administrator confirms the loss of a quorum of disks.
struct RecoverRequested {
  std::int64_t RequestId = 0;
  std::string AdminToken;
};

/// The settings file was changed.
struct SettingsChanged {
  std::vector<std::string> Seeds;
  int RetryBurst = 0;
};

/// Continues work that was cut into steps; answers ContinueWork.
struct WorkContinued {};

/// The machine was suspended for a time that the steady clock did not count.
/// Everything that happened before is older by this time than it seems.
struct ProcessSuspended {
  milliseconds For{0};
};

/// The process was asked to stop gracefully.
struct StopRequested {};

using EventBody =
    std::variant<Tick, MessageReceived, StreamLost, CallArrived,
                 CallerDisconnected, TargetAnnounced, TargetFound, TargetProbed,
                 RunFinished, ChangeRequested, TeamRequested, ReadRequested,
                 InitRequested, RecoverRequested, StopRequested,
                 ReplaceRequested, BootstrapRequested, TargetLeaving,
                 SettingsChanged, StreamAlive, BodyArrived, BodyLost,
                 BodyProgress, StreamSlow, WorkContinued, TargetDisowned,
                 ProcessSuspended, RolloutRequested>;

/// An input of the reducer with its time. WallMs is the wall clock in
/// milliseconds since 1970, used for retention only.
struct Event {
  Time At;
  std::int64_t WallMs = 0;
  EventBody Body;
};

} // namespace persimmon
