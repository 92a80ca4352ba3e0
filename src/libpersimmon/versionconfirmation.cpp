#include "versionconfirmation.h"

#include <limits>

namespace persimmon {

namespace {

/// A change must be in force everywhere within two seconds of its
/// acknowledgement, so an older confirmation does not justify a denial.
constexpr milliseconds Validity{1000};
/// Several round trips between availability zones.
constexpr milliseconds RetryInterval{40};

} // namespace

void VersionConfirmation::request(const wire::MemberRecord &Self,
                                  std::span<const std::string> ControlAddresses,
                                  Time Now, Effects &Out) {
  if (Now < this->NextRequest)
    return;
  this->NextRequest = Now + RetryInterval;
  this->RequestedAt = Now;
  this->Nonce = static_cast<std::int64_t>(
      this->Rng.below(std::numeric_limits<std::int64_t>::max()));
  wire::StampRequest Request;
  Request.Nonce = this->Nonce;
  Request.Who = Self;
  for (const std::string &Address : ControlAddresses)
    send(Out, Address, Request, Channel::Datagram);
}

bool VersionConfirmation::receive(const wire::StampReply &Reply) {
  if (this->Nonce == 0 || Reply.Nonce != this->Nonce)
    return false;
  this->Nonce = 0;
  this->ConfirmedVersion = Reply.Confirmed.Version;
  // A version that was committed after the request may be newer.
  this->ValidUntil = this->RequestedAt + Validity;
  return true;
}

} // namespace persimmon
