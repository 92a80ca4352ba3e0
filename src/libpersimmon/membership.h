#pragma once

#include "effects.h"
#include "random.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// The table of known daemons and the SWIM-style protocol that maintains it:
/// direct and indirect probes, suspicion with refutation, dissemination of
/// records by gossip, and periodic anti-entropy with a random peer.
class Membership {
public:
  /// \p Self is this daemon's record; \p SeedAddresses are used to join.
  Membership(wire::MemberRecord Self, std::vector<std::string> SeedAddresses,
             std::uint64_t Seed);

  /// Sends due probes, gossip and sync requests, and handles expired timeouts.
  void tick(Time Now, Effects &Out);

  /// Handles one message of the membership protocol.
  void receive(const wire::Probe &Message, std::string_view From, Time Now,
               Effects &Out);
  void receive(const wire::ProbeAck &Message, std::string_view From, Time Now,
               Effects &Out);
  void receive(const wire::Announce &Message, std::string_view From, Time Now,
               Effects &Out);
  void receive(const wire::IndirectProbe &Message, Time Now, Effects &Out);
  void receive(const wire::SyncRequest &Message, std::string_view From,
               Effects &Out);
  void receive(const wire::SyncReply &Message, std::string_view From, Time Now,
               Effects &Out);

  /// Merges the records piggybacked on a message and takes a newer stamp.
  void mergeGossip(const wire::Gossip &Head, Time Now);

  /// Changes this daemon's record and increments its sequence number, so that
  /// the change is disseminated.
  void updateSelf(const std::function<void(wire::MemberRecord &)> &Change);

  /// Sends a gossip header with pending updates to \p Addresses.
  void announce(const std::vector<std::string> &Addresses, Effects &Out);

  /// Returns addresses of random peers: \p SameZone in this daemon's
  /// availability zone and \p OtherZones in others. Missing peers of one kind
  /// are replaced by the other kind as far as there are any.
  std::vector<std::string> pickPeers(std::size_t SameZone,
                                     std::size_t OtherZones);

  /// Sets the version in force, which is piggybacked on every message.
  void setVersion(std::int64_t Version) { this->Version = Version; }

  /// Replaces the current stamp if \p Stamp is newer.
  void updateStamp(const wire::Stamp &Stamp, Time Now);

  /// Returns the newest stamp received.
  const wire::Stamp &newestStamp() const { return this->Newest; }

  /// Returns whether no newer stamp arrived within the timeout, which means
  /// that this daemon or the source of the configuration is disconnected.
  bool stale(Time Now) const { return Now >= this->StaleAt; }

  /// Returns this daemon's own record.
  const wire::MemberRecord &self() const { return this->Self; }
  const std::map<std::string, wire::MemberRecord, std::less<>> &
  records() const {
    return this->Records;
  }

  /// Returns the record of \p Name, or null.
  const wire::MemberRecord *find(std::string_view Name) const;

  /// Returns the names of the daemons whose target offers \p Service and
  /// accepts calls.
  const std::vector<std::string> &targetsOf(std::string_view Service) const;

  /// Returns the names of the daemons whose target offers \p Service, which
  /// stopped responding a short time ago without leaving.
  std::vector<std::string> silentTargetsOf(std::string_view Service,
                                           Time Now) const;

  /// Returns whether one of these announced \p TargetVersion. Unlike there, the
  /// time of the last tick counts.
  bool hasSilentTarget(std::string_view Service,
                       std::string_view TargetVersion) const;

  /// Sends the daemon \p Name at \p Address its record from before its restart,
  /// if there is one.
  void sendFormerRecord(std::string_view Name, std::string_view Address,
                        Effects &Out);

  /// Returns this daemon's own record from before its start, if a newer one was
  /// received since the previous call.
  std::optional<wire::MemberRecord> takeOwnFormerRecord();

  /// Replaces the addresses used to join.
  void setSeeds(std::vector<std::string> Addresses);

  /// Returns the number of services with targets that accept calls.
  std::size_t serviceCount() const;

  /// Returns the number of proxies that are alive, including this daemon if it
  /// is one.
  std::size_t proxyCount() const;

  /// Returns the addresses of the known control instances that are alive.
  std::vector<std::string> controlAddresses() const;

  /// Returns whether any record is still to be disseminated.
  bool hasPendingUpdates() const { return !this->PendingUpdates.empty(); }

  /// Returns a counter of table changes, by which callers can tell whether data
  /// derived from the table is out of date.
  std::uint64_t revision() const { return this->Revision; }

  /// Returns whether this process has ever used \p Incarnation.
  bool hadIncarnation(std::int64_t Incarnation) const {
    return this->OwnIncarnations.count(Incarnation) != 0;
  }

private:
  struct ProbeState {
    std::int64_t Number = 0;
    std::string Name;
    Time AckDeadline = NoDeadline;
    bool Indirect = false;
  };
  struct RelayedProbe {
    std::string Address;
    std::int64_t Number = 0;
    Time Deadline;
  };

  bool merge(const wire::MemberRecord &Record, Time Now);
  void refute(const wire::MemberRecord &Record);
  void store(const wire::MemberRecord &Record, Time Now);
  /// Returns the last record that tells of the target of the daemon \p Name and
  /// that is from before its restart; null if there is none.
  const wire::MemberRecord *formerRecord(std::string_view Name) const;
  void storeFormer(const wire::MemberRecord &Record, Time Now);
  void storeOwnFormer(const wire::MemberRecord &Record);
  /// Tells the daemon \p Name which run of its target left before its restart,
  /// unless its record shows that it knows.
  void sendFormerLeave(std::string_view Name, std::string_view Address,
                       Effects &Out);
  void queueUpdate(const std::string &Name);
  void suspect(const std::string &Name, Time Now);
  wire::Gossip makeGossip();
  void startProbe(Time Now, Effects &Out);
  void probeIndirectly(Time Now, Effects &Out);
  void joinSeeds(Time Now, Effects &Out);
  void startSync(Time Now, Effects &Out);
  void expire(Time Now);
  std::vector<std::int64_t> buckets() const;
  void indexTargets() const;
  std::size_t transmissionLimit() const;

  wire::MemberRecord Self;
  std::vector<std::string> SeedAddresses;
  Random Rng;
  std::map<std::string, wire::MemberRecord, std::less<>> Records;
  std::map<std::string, Time, std::less<>> SuspectUntil;
  std::map<std::string, Time, std::less<>> ForgetAt;
  /// A record of a daemon from before its restart.
  struct FormerRecord {
    wire::MemberRecord Record;
    Time ForgetAt;
  };
  std::map<std::string, FormerRecord, std::less<>> FormerRecords;
  /// The record of this daemon from before its start, as members know it.
  std::optional<wire::MemberRecord> OwnFormer;
  bool OwnFormerChanged = false;
  /// Until when members that stopped responding are tried if there are no
  /// others.
  std::map<std::string, Time, std::less<>> TryUntil;
  std::map<std::string, std::size_t, std::less<>> PendingUpdates;
  std::vector<std::string> ProbeOrder;
  ProbeState CurrentProbe;
  std::map<std::int64_t, RelayedProbe> RelayedProbes;
  std::int64_t NextNumber = 0;
  std::set<std::int64_t> OwnIncarnations;
  std::int64_t Version = 0;
  wire::Stamp Newest;
  Time StaleAt;
  Time NextProbe;
  Time NextPush;
  Time NextSync;
  Time NextJoin;
  std::uint64_t Revision = 1;
  mutable std::uint64_t IndexedRevision = 0;
  mutable std::map<std::string, std::vector<std::string>, std::less<>> Targets;
  mutable std::size_t Proxies = 1;
};

/// Returns whether a daemon is considered reachable; suspects are.
inline bool isAlive(const wire::MemberRecord &Record) {
  return Record.State == wire::Liveness::Alive ||
         Record.State == wire::Liveness::Suspect;
}

} // namespace persimmon
