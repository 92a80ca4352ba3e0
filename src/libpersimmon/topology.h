#pragma once

#include "membership.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Abstract rule for how versions travel: whom a daemon tells of a new one,
/// and from whom it pulls.
class Topology {
public:
  virtual ~Topology() = default;

  /// Returns the addresses to announce a new version to.
  virtual std::vector<std::string> announceTo(Membership &Members) const = 0;

  /// Returns whether this daemon pulls from the daemon named \p From.
  virtual bool mayPull(const Membership &Members,
                       std::string_view From) const = 0;
};

/// Every daemon tells a few random peers, most of them in its own availability
/// zone, and pulls from whoever has a newer version.
class PeerTopology : public Topology {
public:
  std::vector<std::string> announceTo(Membership &Members) const override;
  bool mayPull(const Membership &Members, std::string_view From) const override;
};

/// Control instances tell every proxy and serve every pull; a baseline for
/// measurements.
class StarTopology : public Topology {
public:
  std::vector<std::string> announceTo(Membership &Members) const override;
  bool mayPull(const Membership &Members, std::string_view From) const override;
};

/// Two fixed relays in each availability zone stand between the control
/// instances and the other proxies; a baseline for measurements.
class RelayTopology : public Topology {
public:
  std::vector<std::string> announceTo(Membership &Members) const override;
  bool mayPull(const Membership &Members, std::string_view From) const override;
};

} // namespace persimmon
