/**
 * Messages between the processes of persimmonwheel and the records that
 * control instances store on disk. Times on the wire are remaining
 * milliseconds, because the clocks of different instances are not compared.
 */
namespace cpp persimmon.wire

/** One voter or learner of the settings store: an instance with one disk. */
struct Replica {
  1: string Instance
  2: i64 DiskId
  3: string Address
}

enum EntryKind {
  Noop = 0,
  Change = 1,
  Voters = 2,
  Team = 3,
  Claims = 4
}

/** One path of a change. ExpectedVersion 0 says that the path must not exist. */
struct PathEdit {
  1: string Path
  2: string Value
  3: bool Remove = false
  4: i64 ExpectedVersion = 0
}

/** An atomic change of paths below one team. BasedOn is the configuration version that the author read. */
struct Change {
  1: string ChangeId
  2: i64 BasedOn = 0
  3: string Team
  4: list<PathEdit> Edits
}

/** Credentials of a team for its subtree. Team "" holds the administrator's token. */
struct TeamGrant {
  1: string Team
  2: string Salt
  3: string TokenHash
}

/** Exclusive right of an attempt's sender to run the call with this idempotency key. */
struct Claim {
  1: string Key
  2: string Owner
  3: i64 OwnerIncarnation
  4: i64 CallNumber
  5: string OwnerAddress
  6: bool Release = false
  7: i64 GrantedAt = 0
}

/**
 * VersionBase is set by a recovery: it is added to later indexes to give
 * configuration versions, so that these exceed any that lost disks committed.
 */
struct LogEntry {
  1: i64 Index
  2: i64 Term
  3: EntryKind Kind
  4: Change TheChange
  5: list<Replica> Voters
  6: TeamGrant Team
  7: list<Claim> Claims
  8: i64 ExpireClaimsThrough = 0
  9: i64 VersionBase = 0
}

struct HardState {
  1: i64 Term = 0
  2: i64 VotedFor = 0
}

struct Setting {
  1: string Path
  2: string Value
  3: i64 Version
}

/** The result of the first run of a change. */
struct ChangeOutcome {
  1: string ChangeId
  2: i64 Version
}

struct StoreSnapshot {
  1: i64 LastIndex = 0
  2: i64 LastTerm = 0
  3: list<Replica> Voters
  4: i64 ConfigurationVersion = 0
  5: list<Setting> Settings
  6: list<TeamGrant> Teams
  7: list<ChangeOutcome> Outcomes
  8: i64 OutcomesEvictedThrough = 0
  9: list<Claim> Claims
  10: i64 VersionBase = 0
}

/** The effect of one change on the configuration. Hash covers the whole content after the change. */
struct Delta {
  1: i64 From
  2: i64 To
  3: list<Setting> Puts
  4: list<string> Removed
  5: i64 Hash
}

/** Proof that a quorum followed the leader when Version was the newest committed one. */
struct Stamp {
  1: i64 Term = 0
  2: i64 Version = 0
  3: i64 Counter = 0
}

// Consensus between control instances.

struct VoteRequest {
  1: i64 Term
  2: Replica Candidate
  3: i64 LastIndex
  4: i64 LastTerm
  5: bool PreVote
  6: i64 ToDisk
}

struct VoteReply {
  1: i64 Term
  2: i64 FromDisk
  3: bool Granted
  4: bool PreVote
}

struct AppendRequest {
  1: i64 Term
  2: Replica Leader
  3: i64 PrevIndex
  4: i64 PrevTerm
  5: list<LogEntry> Entries
  6: i64 Commit
  7: i64 Round
  8: i64 ToDisk
}

struct AppendReply {
  1: i64 Term
  2: i64 FromDisk
  3: bool Success
  4: i64 MatchIndex
  5: i64 Round
}

struct InstallRequest {
  1: i64 Term
  2: Replica Leader
  3: StoreSnapshot Snapshot
  4: i64 Round
  5: i64 ToDisk
}

struct JoinRequest {
  1: Replica Joiner
}

// Membership and distribution.

enum Liveness {
  Alive = 0,
  Suspect = 1,
  Dead = 2,
  Left = 3
}

enum TargetState {
  None = 0,
  Starting = 1,
  Serving = 2,
  Draining = 3,
  Gone = 4
}

/** A run of a target. Born is its start in ms since 1970, 0 if unknown. */
struct TargetRun {
  1: string InstanceId
  2: i64 Born = 0
}

/**
 * A daemon and the target beside it. Only that daemon raises Incarnation and
 * Sequence. ColdMs is how long the target stays slow after its start. LeavingRun
 * is set while the target is leaving. Run is the target's run, if it has an id:
 * the daemon was told that it is one of Service. TargetVersion is the version of
 * the target's software, if the target announced one.
 */
struct MemberRecord {
  1: string Name
  2: string Address
  3: string Zone
  4: bool Control
  5: i64 Incarnation
  6: i64 Sequence
  7: Liveness State
  8: string Service
  9: TargetState Target
  10: i32 Slots
  11: bool Unwell
  12: i32 ColdMs = 0
  13: optional TargetRun LeavingRun
  14: optional TargetRun Run
  15: optional string TargetVersion
}

struct Gossip {
  1: string From
  2: string Address
  3: i64 Version
  4: Stamp Newest
  5: list<MemberRecord> Updates
}

struct Probe {
  1: Gossip Head
  2: i64 Number
}

/** WantsRecord asks the sender of the probe for its own member record. */
struct ProbeAck {
  1: Gossip Head
  2: i64 Number
  3: bool WantsRecord
}

struct IndirectProbe {
  1: Gossip Head
  2: i64 Number
  3: string SubjectAddress
}

struct Announce {
  1: Gossip Head
}

struct SyncRequest {
  1: list<i64> Buckets
}

/**
 * The records of every bucket that differs. Buckets lists their numbers.
 * WantsRecords asks the receiver for its own records of these buckets.
 */
struct SyncReply {
  1: list<i32> Buckets
  2: list<MemberRecord> Records
  3: bool WantsRecords
}

/**
 * TakesPacked says that the sender reads packed replies, AsDatagram that the
 * request came as a datagram and the reply is wanted as one.
 */
struct PullRequest {
  1: i64 HaveVersion
  2: i64 HaveHash
  3: bool TakesPacked = false
  4: bool AsDatagram = false
}

/**
 * In a packed reply, Packed is a PullContent of UnpackedBytes bytes in compact
 * encoding, packed by zlib; Deltas and Settings are empty. TooLarge says that
 * there is a newer version whose content does not fit into a datagram.
 */
struct PullReply {
  1: bool Busy = false
  2: i32 RetryAfterMs = 0
  3: list<Delta> Deltas
  4: bool IsSnapshot = false
  5: list<Setting> Settings
  6: i64 Version
  7: i64 Hash
  8: binary Packed
  9: i32 UnpackedBytes = 0
  10: bool TooLarge = false
}

struct Laggard {
  1: string Name
  2: i64 Version
}

/**
 * Calls to the targets of a service with one software version on one route, summed
 * over the daemons that are reported. Started counts the calls that reached a
 * target, UnderWay those of them that have not ended. RunMs is the sum of the run
 * times of the Timed answers: those that are no failures and not of a target that is
 * still slow after its start. LogRunMs is the sum of their natural logarithms, in
 * thousandths. RolloutId names the roll-out during which they were counted.
 */
struct VersionAnswers {
  1: string RolloutId
  2: string Version
  3: string Route
  4: i64 Answers
  5: i64 Failures
  6: i64 RunMs
  7: i64 Started = 0
  8: i32 UnderWay = 0
  9: i64 Timed = 0
  10: i64 LogRunMs = 0
}

/**
 * In-force versions of a daemon and of all daemons below it in the report tree.
 * NamesSum is the sum of the hashes of their names, so that a missing daemon is
 * detected even if another one is counted twice. Versions is filled while a
 * roll-out runs.
 */
struct Report {
  1: string From
  2: i64 LeastVersion
  3: i32 Count
  4: i64 NamesSum
  5: list<Laggard> Laggards
  6: list<VersionAnswers> Versions
}

/**
 * Who introduces the daemon to the leader before the reply allows it to open for calls.
 * MaxAgeMs is the age up to which an earlier confirmation may be returned; 0 asks the
 * leader for a confirmation that starts after the request.
 */
struct StampRequest {
  1: i64 Nonce
  2: MemberRecord Who
  3: i32 MaxAgeMs = 0
}

/**
 * AgeMs is how long ago Confirmed.Version was the newest one. Source is the address of
 * a daemon that has it in force; empty if the sender knows none.
 */
struct StampReply {
  1: i64 Nonce
  2: Stamp Confirmed
  3: i32 AgeMs = 0
  4: string Source
}

// Calls between daemons.

struct AttemptId {
  1: string Sender
  2: i64 SenderIncarnation
  3: i64 Number
}

struct Header {
  1: string Name
  2: string Value
}

/**
 * RemainingMs is the time until the caller's deadline, UsefulMs the time until
 * an answer is worth less to the caller; 0 if that is the deadline. Late says
 * that the time of full value has passed. BodyFollows says that the body is
 * sent in parts once the receiver has answered Admitted. Account is the client
 * account that the call belongs to; empty if there is none.
 */
struct CallRequest {
  1: AttemptId Id
  2: i64 ReceiverIncarnation
  3: string Service
  4: string Method
  5: string Url
  6: list<Header> Headers
  7: i64 BodySize
  8: binary Body
  9: i32 RemainingMs
  10: i32 Priority
  11: string CallId
  12: bool MayRepeat
  13: i32 UsefulMs = 0
  14: string Route
  15: bool Late = false
  16: bool BodyFollows = false
  17: string Account
}

/**
 * A part of a body that is too large for its first message. RemainingMs is the
 * time until the caller's deadline when the part was sent; the first part of
 * each run of parts of a request tells it.
 */
struct BodyPart {
  1: AttemptId Id
  2: bool OfAnswer
  3: i64 Offset
  4: binary Data
  5: i32 RemainingMs = 0
}

/** Admitted: a place is reserved for the call, which runs once its body is complete. */
enum CallOutcome {
  NotRun = 0,
  Running = 1,
  Finished = 2,
  Unknown = 3,
  Admitted = 4
}

/**
 * LinkMs is the time that the daemon's link needs for the answers that wait or are
 * expected. PacePercent is how long work takes on the target's machine, 100 as
 * usual; 0 if the target does not tell it. RunMs is the mean run time on this
 * target of the route of the call that the load is sent for; absent if unknown.
 */
struct Load {
  1: i32 Running
  2: i32 Queued
  3: i32 Slots
  4: i32 LinkMs = 0
  5: i32 PacePercent = 0
  6: optional i32 RunMs
}

/**
 * The load of the target beside the daemon Name as the sender knows it, AgeMs
 * after it was reported. Calls are those that ran or waited. PacePercent is how
 * long work takes there, 100 as on the mean target of its service.
 */
struct PeerLoad {
  1: string Name
  2: i32 Calls
  3: i32 Slots
  4: i32 AgeMs
  5: i32 PacePercent
}

/**
 * The share of callers' calls that a target's daemon recently shed, in
 * thousandths, and the highest priority among the shed calls; -1 for none.
 */
struct ShedLoad {
  1: i32 Priority = -1
  2: i32 PerMille = 0
}

/**
 * Nested says that the call is treated as made by a running call; Shed is
 * sent with answers to such calls. BodyGranted, of an admitted call, is the
 * number of bytes of its body that may be sent so far; -1 for all of them.
 * RetryAfterMs, of a refused call, is the time until there may be room for it;
 * 0 if it is not known. Peers are loads of other targets.
 */
struct CallReply {
  1: AttemptId Id
  2: CallOutcome Outcome
  3: i32 Code
  4: i32 Status
  5: list<Header> Headers
  6: i64 BodySize
  7: binary Body
  8: Load TargetLoad
  10: bool Nested = false
  11: ShedLoad Shed
  12: i64 BodyGranted = -1
  13: i32 RetryAfterMs = 0
  14: optional list<PeerLoad> Peers
}

struct CallQuery {
  1: AttemptId Id
  2: i64 ReceiverIncarnation
}

struct CallCancel {
  1: AttemptId Id
}

struct AnswerAck {
  1: AttemptId Id
}

struct Heartbeat {
  1: bool IsReply = false
}

struct ClaimRequest {
  1: Claim Wanted
}

struct ClaimReply {
  1: i64 CallNumber
  2: i32 Code
  3: Claim Holder
  4: string LeaderAddress
}

/** Asks the daemon that holds a claim for the outcome of its call. */
struct OutcomeQuery {
  1: i64 RequestId
  2: i64 OwnerIncarnation
  3: i64 CallNumber
}

struct OutcomeReply {
  1: i64 RequestId
  2: CallOutcome Outcome
}

/**
 * Tells a daemon that has restarted which run of its target acknowledged to
 * leave before.
 */
struct LeavingTarget {
  1: TargetRun Run
}

/** Content of a packed PullReply. */
struct PullContent {
  1: list<Delta> Deltas
  2: list<Setting> Settings
}

// Rates of client accounts.

/**
 * The part of an account's rate that one daemon may use. Account is a hash of the
 * account's name. MilliPerSecond is the pace in thousandths of a call per second,
 * MilliDepth the most thousandths of a call that may be saved up; if they are absent,
 * the share stays as the daemon holds it. Tokens are calls that may start at once
 * beyond the share; they are given once for each request. RetryMs is set if the calls
 * that wait get no more tokens: the time until there may be some.
 */
struct AllowanceShare {
  1: i64 Account
  2: optional i64 MilliPerSecond
  3: optional i64 MilliDepth
  4: optional i32 Tokens
  5: optional i32 RetryMs
}

/**
 * Demand for an account at a daemon. Held is the share that it holds; it is absent if it
 * holds none, and in requests that do not tell all shares.
 */
struct AllowanceDemand {
  1: i64 Account
  2: i64 WantedMilliPerSecond
  3: optional i32 WaitingCalls
  4: optional i64 HeldMilliPerSecond
  5: optional i64 HeldMilliDepth
}

/**
 * A proxy asks the leader for shares. Number grows with each request of one
 * incarnation; it orders requests and names them in replies. Adopted is the number of
 * the last reply that the daemon applied: it ignores earlier ones that arrive later.
 * HeldDigest is a digest of all shares held, 0 if there is none. If All is set, Demands
 * names every share held; otherwise only accounts whose demand changed or that have
 * calls waiting.
 */
struct AllowanceRequest {
  1: i64 Incarnation
  2: i64 Number
  3: optional i64 Adopted
  4: optional i32 HeldDigest
  5: optional bool All
  6: list<AllowanceDemand> Demands
}

/**
 * The shares that changed. All shares held are valid for ValidMs from the sending of the
 * request. LeaderAddress is set, and there are no shares, if the sender does not lead.
 * WantsAll says that the leader does not know the shares held; none was renewed.
 */
struct AllowanceReply {
  1: i64 Number
  2: i32 ValidMs = 0
  3: list<AllowanceShare> Shares
  4: optional string LeaderAddress
  5: optional bool WantsAll
}
