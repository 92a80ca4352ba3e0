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

/// Every daemon that this one knows of, and the protocol that keeps the table
/// current: direct and indirect probes, suspicion with refutation, records
/// spread by gossip, and a periodic comparison with a random peer.
class Membership {
public:
  /// \p Self is this daemon's record; \p SeedAddresses are daemons to join by.
  Membership(wire::MemberRecord Self, std::vector<std::string> SeedAddresses,
             std::uint64_t Seed);

  /// Probes, pushes news, compares tables and passes deadlines when due.
  void tick(Time Now, Effects &Out);

  /// Each handles one message of the protocol.
  void receive(const wire::Probe &Message, std::string_view From, Time Now,
               Effects &Out);
  void receive(const wire::ProbeAck &Message, Time Now, Effects &Out);
  void receive(const wire::IndirectProbe &Message, Time Now, Effects &Out);
  void receive(const wire::SyncRequest &Message, std::string_view From,
               Effects &Out);
  void receive(const wire::SyncReply &Message, std::string_view From, Time Now,
               Effects &Out);

  /// Merges the records that rode on a message and keeps a newer stamp.
  void absorb(const wire::Gossip &Head, Time Now);

  /// Changes the own record and raises its sequence, so that it spreads.
  void updateSelf(const std::function<void(wire::MemberRecord &)> &Change);

  /// Sends the own head with pending updates to \p Addresses.
  void announce(const std::vector<std::string> &Addresses, Effects &Out);

  /// Returns addresses of random peers: \p Near in the own availability zone
  /// and \p Far elsewhere, or as many as there are.
  std::vector<std::string> pickPeers(std::size_t Near, std::size_t Far);

  /// Notes the version in force, which rides on every message.
  void setVersion(std::int64_t Version) { this->Version = Version; }

  /// Takes a stamp if it is newer than the one held.
  void offerStamp(const wire::Stamp &Stamp, Time Now);

  /// Returns the newest stamp heard of.
  const wire::Stamp &stamp() const { return this->Newest; }

  /// Returns whether no newer stamp came for longer than is usual: this
  /// daemon or the source of the configuration is cut off.
  bool stale(Time Now) const { return Now >= this->FreshUntil; }

  /// Returns this daemon's own record.
  const wire::MemberRecord &self() const { return this->Self; }
  const std::map<std::string, wire::MemberRecord, std::less<>> &
  records() const {
    return this->Records;
  }

  /// Returns the record of \p Name, or null.
  const wire::MemberRecord *find(std::string_view Name) const;

  /// Returns the names of daemons whose target offers \p Service and takes
  /// work.
  const std::vector<std::string> &targetsOf(std::string_view Service) const;

  /// Gives the addresses to join by from now on.
  void setSeeds(std::vector<std::string> Addresses);

  /// Returns the number of services that have targets which take work.
  std::size_t serviceCount() const;

  /// Returns the number of living daemons beside targets, this one included.
  std::size_t proxyCount() const;

  /// Returns the addresses of the control instances that are known and alive.
  std::vector<std::string> controlAddresses() const;

  /// Returns whether there are records still to pass on.
  bool hasNews() const { return !this->Pending.empty(); }

  /// Counts changes of the table, so that users can refresh what they derive.
  std::uint64_t revision() const { return this->Revision; }

  /// Returns whether this process ever had \p Incarnation.
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
  struct Relay {
    std::string Address;
    std::int64_t Number = 0;
    Time Deadline;
  };

  bool merge(const wire::MemberRecord &Record, Time Now);
  void refute(const wire::MemberRecord &Record);
  void store(const wire::MemberRecord &Record, Time Now);
  void spread(const std::string &Name);
  void suspect(const std::string &Name, Time Now);
  wire::Gossip head();
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
  std::map<std::string, std::size_t, std::less<>> Pending;
  std::vector<std::string> ProbeOrder;
  ProbeState Current;
  std::map<std::int64_t, Relay> Relays;
  std::int64_t NextNumber = 0;
  std::set<std::int64_t> OwnIncarnations;
  std::int64_t Version = 0;
  wire::Stamp Newest;
  Time FreshUntil;
  Time NextProbe;
  Time NextPush;
  Time NextSync;
  Time NextJoin;
  std::uint64_t Revision = 1;
  mutable std::uint64_t IndexedRevision = 0;
  mutable std::map<std::string, std::vector<std::string>, std::less<>> Targets;
  mutable std::size_t Proxies = 1;
};

/// Returns whether a daemon is reachable as far as is known.
inline bool isAlive(const wire::MemberRecord &Record) {
  return Record.State == wire::Liveness::Alive ||
         Record.State == wire::Liveness::Suspect;
}

} // namespace persimmon
