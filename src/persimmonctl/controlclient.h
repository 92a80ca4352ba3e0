#pragma once

#include "apirequest.h"

#include <string>
#include <vector>

namespace persimmon {

/// Client of the control instances. Finds the instance that can answer and
/// resends requests whose response was lost.
class ControlClient {
public:
  /// \p Addresses are those of the operators' API; \p Token may be empty.
  ControlClient(std::vector<std::string> Addresses, std::string Token);

  /// Sends a request that only the leader answers to each instance in turn
  /// until one accepts or refuses it or the attempts are used up. The request
  /// must be idempotent. Errors: that of the last instance.
  leaf::result<nlohmann::json>
  requestFromLeader(const std::string &Method, const std::string &Path,
                    const nlohmann::json &Body) const;

  /// Sends a request to the first instance that answers. Errors: Unreachable.
  leaf::result<nlohmann::json> requestFromAny(const std::string &Path) const;

  /// Sends a request to the first address only. Errors: that of the response.
  leaf::result<nlohmann::json>
  requestFromFirst(const std::string &Method, const std::string &Path,
                   const nlohmann::json &Body) const;

  /// Returns the status of the leader. Errors: NoQuorum, Unreachable.
  leaf::result<nlohmann::json> leaderStatus() const;

private:
  leaf::result<nlohmann::json> sendRequest(const std::string &Method,
                                           const std::string &Address,
                                           const std::string &Path,
                                           const nlohmann::json &Body) const;

  std::vector<std::string> Addresses;
  std::string Token;
};

} // namespace persimmon
