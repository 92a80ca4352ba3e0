#include "controlclient.h"

#include <chrono>
#include <thread>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr int MaxRounds = 20;
constexpr std::chrono::milliseconds RetryInterval{250};

/// Returns whether another instance, or this one later, may accept the request.
bool isRetryable(ResultCode Code) {
  switch (Code) {
  case ResultCode::NotLeader:
  case ResultCode::NoQuorum:
  case ResultCode::Busy:
  case ResultCode::OutcomePending:
  case ResultCode::Unreachable:
    return true;
  default:
    return false;
  }
}

} // namespace

ControlClient::ControlClient(std::vector<std::string> TheAddresses,
                             std::string TheToken)
    : Addresses(std::move(TheAddresses)), Token(std::move(TheToken)) {}

leaf::result<json> ControlClient::sendRequest(const std::string &Method,
                                              const std::string &Address,
                                              const std::string &Path,
                                              const json &Body) const {
  BOOST_LEAF_AUTO(Answer, requestApi(Method, Address, Path, this->Token, Body));
  const int Code = Answer.Body.value("code", 0);
  if (Code != 0)
    return fail(static_cast<ResultCode>(Code), Answer.Body.value("where", ""),
                Answer.Body.value("text", ""));
  return std::move(Answer.Body);
}

leaf::result<json> ControlClient::requestFromLeader(const std::string &Method,
                                                    const std::string &Path,
                                                    const json &Body) const {
  Failure Last;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    if (Round > 0)
      std::this_thread::sleep_for(RetryInterval);
    bool AnyFormed = false;
    for (const std::string &Address : this->Addresses) {
      json Out;
      const Failure Error = handleResult(
          [&] { return this->sendRequest(Method, Address, Path, Body); },
          [&](json Answer) { Out = std::move(Answer); });
      if (!Error.failed())
        return Out;
      // NotFormed from an uninitialized instance is reported only if no formed
      // instance has answered.
      if (Error.Code == ResultCode::NotFormed) {
        if (!Last.failed())
          Last = Error;
        continue;
      }
      AnyFormed = true;
      Last = Error;
      if (!isRetryable(Error.Code))
        return fail(Error.Code, Error.Where, Error.What);
    }
    if (!AnyFormed)
      break;
  }
  return fail(Last.Code, Last.Where, Last.What);
}

leaf::result<json>
ControlClient::requestFromAny(const std::string &Path) const {
  Failure Last{ResultCode::Unreachable, {}, {}};
  for (const std::string &Address : this->Addresses) {
    json Out;
    Last = handleResult(
        [&] { return this->sendRequest("GET", Address, Path, json()); },
        [&](json Answer) { Out = std::move(Answer); });
    if (!Last.failed())
      return Out;
  }
  return fail(Last.Code, Last.Where, Last.What);
}

leaf::result<json> ControlClient::requestFromFirst(const std::string &Method,
                                                   const std::string &Path,
                                                   const json &Body) const {
  return this->sendRequest(Method, this->Addresses.front(), Path, Body);
}

leaf::result<json> ControlClient::leaderStatus() const {
  Failure Last{ResultCode::NoQuorum, {}, {}};
  for (const std::string &Address : this->Addresses) {
    json Out;
    const Failure Error = handleResult(
        [&] { return this->sendRequest("GET", Address, "/v1/status", json()); },
        [&](json Answer) { Out = std::move(Answer); });
    if (!Error.failed() && Out.value("leading", false))
      return Out;
    if (Error.failed())
      Last = Error;
  }
  return fail(Last.Code, Last.Where, Last.What);
}

} // namespace persimmon
