#pragma once

#include "membership.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Abstract strategy for the distribution of versions: which daemons a new
/// version is announced to, and which daemons it is pulled from.
class Topology {
public:
  virtual ~Topology() = default;

  /// Returns the addresses to announce a new version to.
  virtual std::vector<std::string>
  announceAddresses(Membership &Members) const = 0;

  /// Returns whether this daemon may pull from the daemon named \p From.
  virtual bool mayPull(const Membership &Members,
                       std::string_view From) const = 0;
};

/// Every daemon announces to a few random peers, most of them in its own
/// availability zone, and pulls from any daemon that has a newer version.
class PeerTopology : public Topology {
public:
  std::vector<std::string>
  announceAddresses(Membership &Members) const override;
  bool mayPull(const Membership &Members, std::string_view From) const override;
};

/// Control instances announce to every proxy and serve every pull. Baseline for
/// benchmarks.
class StarTopology : public Topology {
public:
  std::vector<std::string>
  announceAddresses(Membership &Members) const override;
  bool mayPull(const Membership &Members, std::string_view From) const override;
};

/// Two fixed relays in each availability zone forward versions from the control
/// instances to the other proxies. Baseline for benchmarks.
class RelayTopology : public Topology {
public:
  std::vector<std::string>
  announceAddresses(Membership &Members) const override;
  bool mayPull(const Membership &Members, std::string_view From) const override;
};

} // namespace persimmon
