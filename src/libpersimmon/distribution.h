#pragma once

#include "effects.h"
#include "packedreplycache.h"
#include "random.h"
#include "routetable.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// The configuration that one daemon holds, and its exchange with peers: a
/// newer version is pulled from whoever has it, as deltas or as a snapshot,
/// checked, compiled and put in force whole. Never goes to an older version.
/// Small deltas are asked for and sent as datagrams, one source after the
/// other, so that they need no connection to open; one source is asked over a
/// connection when that does not help, or when the content is large.
class Distribution {
public:
  explicit Distribution(std::uint64_t Seed) : Rng(Seed) {}

  /// Takes the table of the local replica, whose entries need not be compiled
  /// again.
  void shareCompiled(std::shared_ptr<const RouteTable> Compiled) {
    this->Compiled = std::move(Compiled);
  }

  /// Takes a change that the local replica committed.
  void applyCommitted(const wire::Delta &Change, Effects &Out);

  /// Takes the whole content of the local replica.
  void adopt(const SettingsMap &Content, std::int64_t NewVersion, Effects &Out);

  /// Notes that the peer at \p Address holds \p PeerVersion; may start a pull.
  void heard(std::string_view Address, std::int64_t PeerVersion, Time Now,
             Effects &Out);

  /// Notes that \p NewerVersion was committed, whoever holds it.
  void expect(std::int64_t NewerVersion, Time Now);

  /// Returns whether a newer version was heard of so long ago that calls must
  /// not be answered by the one in force any more.
  bool outdated(Time Now) const {
    return !this->Awaited.empty() && Now >= this->Awaited.front().ServeUntil;
  }
  /// Returns whether a newer version than the one in force was heard of.
  bool superseded() const { return !this->Awaited.empty(); }

  /// Serves a pull, or says when to come back.
  void receive(const wire::PullRequest &Request, std::string_view From,
               Time Now, Effects &Out);
  /// Puts a pulled version in force whole, or changes nothing.
  void receive(const wire::PullReply &Reply, std::string_view From, Time Now,
               Effects &Out);
  /// Asks further sources, and has the connection to one that does not answer
  /// checked.
  void tick(Time Now, Effects &Out);
  /// Gives up on a source whose connection ended.
  void streamLost(std::string_view Address, Time Now, Effects &Out);
  /// Drops packed replies that nobody asks for any more.
  void dropUnasked(Time Now) { this->Packed.tick(Now); }

  std::int64_t version() const { return this->Version; }
  /// Returns the newest version that any peer was heard to hold.
  std::int64_t newestHeard() const {
    return std::max(this->NewestHeard, this->Version);
  }
  std::uint64_t hash() const { return this->Hash; }
  const SettingsMap &settings() const { return this->Settings; }

  /// Returns the compiled table in force; null before the first version.
  const std::shared_ptr<const RouteTable> &table() const { return this->Table; }

private:
  struct Source {
    std::string Address;
    std::int64_t Version = 0;
  };
  /// A version that is committed and not in force here.
  struct AwaitedVersion {
    std::int64_t Version = 0;
    /// When the version in force must be left.
    Time ServeUntil;
  };

  const Source *pickSource();
  wire::PullRequest request() const;
  void askByDatagram(Time Now, Effects &Out);
  void startPull(Time Now, Effects &Out);
  /// Answers a question that came as a datagram, if that carries the answer.
  void serveDatagram(const wire::PullRequest &Request, std::string_view From,
                     Effects &Out) const;
  void contentTooLarge(const wire::PullReply &Reply, std::string_view From,
                       Time Now, Effects &Out);
  void take(const wire::PullReply &Reply, std::string_view From, Time Now,
            Effects &Out);
  void dropSource(std::string_view Address);
  void logPullEnd(std::string_view From, std::string_view Outcome, Time Now,
                  Effects &Out) const;
  leaf::result<void> applyReply(const wire::PullReply &Reply);
  leaf::result<void> applyContent(const wire::PullReply &Reply);
  leaf::result<void> applyDeltas(const wire::PullReply &Reply);
  leaf::result<void> applySnapshot(const wire::PullReply &Reply);
  /// \p Sum is the hash of \p Content.
  leaf::result<void> putInForce(SettingsMap Content, std::uint64_t Sum,
                                std::int64_t NewVersion,
                                std::int64_t ExpectedHash);
  void remember(const wire::Delta &Change);
  std::deque<wire::Delta>::const_iterator deltasFrom(std::int64_t Have) const;
  bool hasDeltasFrom(std::int64_t Have, std::int64_t HaveHash) const;
  void fillContent(std::int64_t Base, wire::PullReply &Reply) const;
  bool admitPull(bool IsSnapshot, Time Now);

  Random Rng;
  SettingsMap Settings;
  std::shared_ptr<const RouteTable> Table;
  std::shared_ptr<const RouteTable> Compiled;
  std::int64_t Version = 0;
  std::uint64_t Hash = 0;
  std::deque<wire::Delta> History;
  std::int64_t HistoryBaseHash = 0;
  PackedReplies Packed;
  std::vector<Source> Sources;
  std::int64_t NewestHeard = 0;
  /// In the order of versions, which is that of their deadlines.
  std::deque<AwaitedVersion> Awaited;
  /// Datagrams that asked for the versions that are missing.
  int DatagramAsks = 0;
  Time NextDatagramAsk;
  std::string PullFrom;
  /// When the first source was asked for what is missing, for the log.
  Time PullStartedAt;
  /// When the connection of the pull is checked next.
  Time PullCheckAt = NoDeadline;
  Time NextPull;
  bool NeedsSnapshot = false;
  Time WindowEnd;
  std::size_t DeltasInWindow = 0;
  std::size_t SnapshotsInWindow = 0;
};

} // namespace persimmon
