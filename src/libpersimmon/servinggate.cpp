#include "servinggate.h"

#include <algorithm>
#include <limits>

namespace persimmon {

namespace {

/// Interval between requests. It doubles, so that many daemons starting while
/// there is no leader do not flood the control instances.
constexpr milliseconds FirstRequestInterval{60};
constexpr milliseconds LongestRequestInterval{1000};

} // namespace

ServingGate::ServingGate(std::uint64_t Seed)
    : Rng(Seed), RequestInterval(FirstRequestInterval),
      Nonce(static_cast<std::int64_t>(
          this->Rng.below(std::numeric_limits<std::int64_t>::max()))) {}

void ServingGate::tick(Time Now, std::int64_t VersionInForce,
                       const wire::MemberRecord &Self,
                       std::span<const std::string> ControlAddresses,
                       Effects &Out) {
  if (this->Open)
    return;
  this->openIfCurrent(VersionInForce, Out);
  if (this->RequiredVersion || Now < this->NextRequest)
    return;
  this->NextRequest =
      Now + this->Rng.between(this->RequestInterval / 2, this->RequestInterval);
  this->RequestInterval =
      std::min(this->RequestInterval * 2, LongestRequestInterval);
  wire::StampRequest Request;
  Request.Nonce = this->Nonce;
  Request.Who = Self;
  for (const std::string &Address : ControlAddresses)
    send(Out, Address, Request, Channel::Datagram);
}

void ServingGate::receive(const wire::StampReply &Reply,
                          std::int64_t VersionInForce, Effects &Out) {
  if (Reply.Nonce != this->Nonce || this->RequiredVersion)
    return;
  this->RequiredVersion = Reply.Confirmed.Version;
  this->openIfCurrent(VersionInForce, Out);
}

void ServingGate::openIfCurrent(std::int64_t VersionInForce, Effects &Out) {
  if (this->Open || !this->RequiredVersion ||
      VersionInForce < *this->RequiredVersion)
    return;
  this->Open = true;
  Out.emplace_back(LogDecision{
      "event=serving-opened version=" + std::to_string(VersionInForce) +
      " required=" + std::to_string(*this->RequiredVersion)});
}

} // namespace persimmon
