#include "topology.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t AnnounceSameZone = 4;
constexpr std::size_t AnnounceOtherZones = 2;
constexpr std::size_t RelaysPerZone = 2;

bool isControl(const Membership &Members, std::string_view Name) {
  const wire::MemberRecord *Record = Members.find(Name);
  return Record != nullptr && Record->Control;
}

/// Returns whether \p Proxy is a relay: one of the first proxies of its zone in
/// the order of names.
bool isRelay(const Membership &Members, const wire::MemberRecord &Proxy) {
  std::size_t EarlierProxies = 0;
  for (const auto &[Name, Record] : Members.records()) {
    if (Name == Proxy.Name)
      break;
    if (!Record.Control && isAlive(Record) && Record.Zone == Proxy.Zone)
      ++EarlierProxies;
  }
  return !Proxy.Control && EarlierProxies < RelaysPerZone;
}

template <typename PredicateT>
std::vector<std::string> addressesWhere(const Membership &Members,
                                        PredicateT Predicate) {
  std::vector<std::string> Out;
  for (const auto &[Name, Record] : Members.records()) {
    if (Name != Members.self().Name && isAlive(Record) && Predicate(Record))
      Out.push_back(Record.Address);
  }
  return Out;
}

} // namespace

std::vector<std::string>
PeerTopology::announceAddresses(Membership &Members) const {
  return Members.pickPeers(AnnounceSameZone, AnnounceOtherZones);
}

bool PeerTopology::mayPull(const Membership &, std::string_view) const {
  return true;
}

std::vector<std::string>
StarTopology::announceAddresses(Membership &Members) const {
  if (!Members.self().Control)
    return {};
  return addressesWhere(Members, [](const wire::MemberRecord &Record) {
    return !Record.Control;
  });
}

bool StarTopology::mayPull(const Membership &Members,
                           std::string_view From) const {
  return isControl(Members, From);
}

std::vector<std::string>
RelayTopology::announceAddresses(Membership &Members) const {
  const wire::MemberRecord &Self = Members.self();
  if (Self.Control)
    return addressesWhere(Members, [&](const wire::MemberRecord &Record) {
      return isRelay(Members, Record);
    });
  if (!isRelay(Members, Self))
    return {};
  return addressesWhere(Members, [&](const wire::MemberRecord &Record) {
    return !Record.Control && Record.Zone == Self.Zone;
  });
}

bool RelayTopology::mayPull(const Membership &Members,
                            std::string_view From) const {
  if (Members.self().Control || isRelay(Members, Members.self()))
    return isControl(Members, From);
  const wire::MemberRecord *Record = Members.find(From);
  return Record != nullptr && Record->Zone == Members.self().Zone &&
         isRelay(Members, *Record);
}

} // namespace persimmon
