#pragma once

#include "effects.h"
#include "packedreplycache.h"
#include "random.h"
#include "routetable.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Time for which a version is served after it was last known to be the newest
/// one. A change must be in force everywhere within 2 s of its acknowledgement,
/// and a newer version may have been committed just after that moment.
constexpr milliseconds UnconfirmedServeLimit{1800};

/// Memory for the deltas of a daemon without a memory limit in its settings.
constexpr std::size_t DefaultHistoryBytes = 16'000'000;

/// The configuration held by one daemon and its exchange with peers. A newer
/// version is pulled from any peer that has it, as deltas or as a snapshot,
/// validated, compiled and put in force atomically. The version in force never
/// decreases. Small deltas are requested and sent as datagrams, from one source
/// at a time, so that no connection has to be opened first. A stream to one
/// source is used when datagrams bring no answer or the content is large.
class Distribution {
public:
  /// Whether this daemon routes calls and so needs the compiled table.
  enum class TableUse { RoutesCalls, None };

  /// \p MaxHistoryBytes is the memory that the deltas kept for peers may take;
  /// \p TextPrefixTeam as in CompileOptions.
  explicit Distribution(std::uint64_t Seed,
                        TableUse Use = TableUse::RoutesCalls,
                        std::size_t MaxHistoryBytes = DefaultHistoryBytes,
                        const std::string &TextPrefixTeam = {})
      : Rng(Seed), Use(Use), Compilation(Validation::Skip, TextPrefixTeam),
        MaxHistoryBytes(MaxHistoryBytes) {}

  /// Applies a change that the local replica committed.
  void applyCommitted(const wire::Delta &Change, Effects &Out);

  /// Replaces the configuration with the full content of the local replica.
  void replaceContent(const SettingsMap &Content, std::int64_t NewVersion,
                      Effects &Out);

  /// Records that the peer at \p Address holds \p PeerVersion; may start a
  /// pull.
  void notePeerVersion(std::string_view Address, std::int64_t PeerVersion,
                       Time Now, Effects &Out);

  /// Records that \p NewerVersion was committed, without naming a source.
  void noteCommittedVersion(std::int64_t NewerVersion, Time Now);

  /// Records that no version newer than the one in force was committed at
  /// \p At.
  void noteCurrent(Time At) { this->CurrentAt = std::max(this->CurrentAt, At); }

  /// Returns a time at which no version newer than the one in force was
  /// committed.
  Time currentAt() const { return this->CurrentAt; }

  /// Makes what is known of the newest version older by \p By, a time that the
  /// steady clock did not count.
  void age(milliseconds By);

  /// Returns whether a newer version has been known for so long that calls must
  /// no longer be served with the version in force.
  bool outdated(Time Now) const {
    return !this->Pending.empty() && Now >= this->Pending.front().ServeUntil;
  }
  /// Returns whether calls may be served with the version in force: if a newer
  /// one is known, neither was it heard of too long ago, nor can it have been
  /// committed too long before.
  bool mayServe(Time Now) const;
  /// Returns whether a version newer than the one in force is known.
  bool superseded() const { return !this->Pending.empty(); }

  /// Answers a pull request, or replies busy with a time to retry after.
  void receive(const wire::PullRequest &Request, std::string_view From,
               Time Now, Effects &Out);
  /// Puts a pulled version in force atomically, or changes nothing.
  void receive(const wire::PullReply &Reply, std::string_view From, Time Now,
               Effects &Out);
  /// Sends pull requests that are due and requests a liveness check of the
  /// connection to a source that does not answer.
  void tick(Time Now, Effects &Out);
  /// Abandons the pull from a source whose connection ended.
  void streamLost(std::string_view Address, Time Now, Effects &Out);
  /// Drops packed replies that were not requested recently.
  void dropIdleReplies(Time Now) { this->ReplyCache.dropIdle(Now); }

  std::int64_t version() const { return this->Version; }
  /// Returns the newest version announced by any peer.
  std::int64_t newestKnownVersion() const {
    return std::max(this->NewestPeerVersion, this->Version);
  }
  std::uint64_t hash() const { return this->Hash; }
  const SettingsMap &settings() const { return this->Settings; }
  /// Returns the memory that the deltas kept for peers take.
  std::size_t historyBytes() const { return this->HistoryBytes; }

  /// Returns the compiled table in force; null before the first version.
  const std::shared_ptr<const RouteTable> &table() const { return this->Table; }

private:
  struct Source {
    std::string Address;
    std::int64_t Version = 0;
  };
  /// A committed version that is not yet in force in this daemon.
  struct PendingVersion {
    std::int64_t Version = 0;
    /// When calls must no longer be served with the version in force.
    Time ServeUntil;
  };

  const Source *pickSource();
  wire::PullRequest request() const;
  void sendDatagramPull(Time Now, Effects &Out);
  void startStreamPull(Time Now, Effects &Out);
  /// Answers a pull request by datagram if the content fits into one.
  void serveDatagram(const wire::PullRequest &Request, std::string_view From,
                     Effects &Out) const;
  void processTooLarge(const wire::PullReply &Reply, std::string_view From,
                       Time Now, Effects &Out);
  void processContent(const wire::PullReply &Reply, std::string_view From,
                      Time Now, Effects &Out);
  void dropSource(std::string_view Address);
  void logPullEnd(std::string_view From, std::string_view Outcome, Time Now,
                  Effects &Out) const;
  leaf::result<void> applyReply(const wire::PullReply &Reply);
  leaf::result<void> applyContent(const wire::PullReply &Reply);
  leaf::result<void> applyDeltas(const wire::PullReply &Reply);
  leaf::result<void> applySnapshot(const wire::PullReply &Reply);
  /// Puts \p Content in force as a whole.
  leaf::result<void> putInForce(SettingsMap Content, std::int64_t NewVersion,
                                std::int64_t ExpectedHash);
  /// Puts the result of \p Changes in force. The work is in proportion to the
  /// changes.
  leaf::result<void>
  putChangesInForce(std::span<const wire::Delta *const> Changes,
                    std::int64_t NewVersion, std::int64_t ExpectedHash);
  leaf::result<void>
  compileChanges(std::span<const wire::Delta *const> Changes);
  /// Returns the hash of the configuration after \p Changes.
  std::uint64_t hashAfter(std::span<const wire::Delta *const> Changes) const;
  void versionReplaced(std::int64_t NewVersion);
  void appendHistory(const wire::Delta &Change);
  /// Drops all deltas; the version in force becomes the base of later ones.
  void restartHistory();
  /// Returns the memory that the deltas since \p Have take.
  std::size_t deltaBytesFrom(std::int64_t Have) const;
  /// Returns whether the deltas since \p Have are many and take more memory
  /// than the whole content.
  bool exceedContent(std::int64_t Have) const;
  std::deque<wire::Delta>::const_iterator deltasFrom(std::int64_t Have) const;
  bool hasDeltasFrom(std::int64_t Have, std::int64_t HaveHash) const;
  void fillContent(std::int64_t Base, wire::PullReply &Reply) const;
  bool admitPull(bool IsSnapshot, Time Now);

  Random Rng;
  TableUse Use;
  /// Committed settings were validated before the commit.
  CompileOptions Compilation;
  SettingsMap Settings;
  std::shared_ptr<const RouteTable> Table;
  std::int64_t Version = 0;
  std::uint64_t Hash = 0;
  std::deque<wire::Delta> History;
  std::size_t HistoryBytes = 0;
  std::size_t MaxHistoryBytes;
  std::int64_t HistoryBaseHash = 0;
  PackedReplyCache ReplyCache;
  std::vector<Source> Sources;
  std::int64_t NewestPeerVersion = 0;
  /// Ordered by version, hence also by deadline.
  std::deque<PendingVersion> Pending;
  /// When the version in force was last known to be the newest one.
  Time CurrentAt;
  /// Number of datagram pull requests sent for the missing versions.
  int DatagramPulls = 0;
  Time NextDatagramPull;
  std::string PullSource;
  /// When the first request for the missing versions was sent, for the log.
  Time PullStartedAt;
  /// When the connection of the current pull is checked next.
  Time PullCheckAt = NoDeadline;
  Time NextPull;
  bool NeedsSnapshot = false;
  Time WindowEnd;
  std::size_t DeltasInWindow = 0;
  std::size_t SnapshotsInWindow = 0;
};

} // namespace persimmon
