#pragma once

#include "apirequest.h"

#include <string>
#include <vector>

namespace persimmon {

/// Talks to the control instances: finds the one that can answer, and resends
/// a request whose answer was lost.
class ControlClient {
public:
  /// \p Addresses are operators' addresses; \p Token may be empty.
  ControlClient(std::vector<std::string> Addresses, std::string Token);

  /// Sends a request that only the leader answers, to each instance in turn
  /// until one accepts or refuses it or the attempts are used up. Requests
  /// must be idempotent. Errors: what the last instance said.
  leaf::result<nlohmann::json> askLeader(const std::string &Method,
                                         const std::string &Path,
                                         const nlohmann::json &Body) const;

  /// Sends a request to the first instance that answers. Errors: Unreachable.
  leaf::result<nlohmann::json> askAny(const std::string &Path) const;

  /// Sends a request to the first address only. Errors: what it said.
  leaf::result<nlohmann::json> askFirst(const std::string &Method,
                                        const std::string &Path,
                                        const nlohmann::json &Body) const;

  /// Returns the status of the leader. Errors: NoQuorum, Unreachable.
  leaf::result<nlohmann::json> leaderStatus() const;

private:
  leaf::result<nlohmann::json> ask(const std::string &Method,
                                   const std::string &Address,
                                   const std::string &Path,
                                   const nlohmann::json &Body) const;

  std::vector<std::string> Addresses;
  std::string Token;
};

} // namespace persimmon
