#include "claimclient.h"

namespace persimmon {

namespace {

constexpr milliseconds ClaimRetryInterval{200};
constexpr milliseconds ClaimTimeout{2000};
constexpr int ReleaseResends = 5;
constexpr std::size_t MaxCallOutcomes = 10'000;

} // namespace

ClaimClient::ClaimClient(std::string OwnName, std::string OwnAddress,
                         std::int64_t OwnIncarnation)
    : OwnName(std::move(OwnName)), OwnAddress(std::move(OwnAddress)),
      OwnIncarnation(OwnIncarnation) {}

void ClaimClient::sendToControl(const wire::Claim &Wanted, Effects &Out) const {
  wire::ClaimRequest Request;
  Request.Wanted = Wanted;
  for (const std::string &Address : this->ControlAddresses)
    send(Out, Address, Request, Channel::Datagram);
}

void ClaimClient::request(std::int64_t CallNumber, std::string_view Key,
                          Time Now, Effects &Out) {
  OutgoingClaim Item;
  Item.Wanted.Key = std::string(Key);
  Item.Wanted.Owner = this->OwnName;
  Item.Wanted.OwnerIncarnation = this->OwnIncarnation;
  Item.Wanted.CallNumber = CallNumber;
  Item.Wanted.OwnerAddress = this->OwnAddress;
  Item.NextRequestAt = Now + ClaimRetryInterval;
  Item.GiveUpAt = Now + ClaimTimeout;
  this->sendToControl(Item.Wanted, Out);
  this->OutgoingClaims.emplace(CallNumber, std::move(Item));
}

ClaimClient::ClaimStatus ClaimClient::receive(const wire::ClaimReply &Reply) {
  const auto Found = this->OutgoingClaims.find(Reply.CallNumber);
  if (Found == this->OutgoingClaims.end() || Found->second.IsGranted)
    return ClaimStatus::Pending;
  switch (static_cast<ResultCode>(Reply.Code)) {
  case ResultCode::Ok:
    if (Reply.Holder.OwnerIncarnation != this->OwnIncarnation)
      return ClaimStatus::Pending;
    Found->second.IsGranted = true;
    return ClaimStatus::Granted;
  case ResultCode::KeyClaimed:
    if (Reply.Holder.Key != Found->second.Wanted.Key)
      return ClaimStatus::Pending;
    this->OutgoingClaims.erase(Found);
    return ClaimStatus::Taken;
  case ResultCode::ClaimUnavailable:
    return ClaimStatus::Unavailable;
  default:
    return ClaimStatus::Pending;
  }
}

std::vector<std::int64_t> ClaimClient::tick(Time Now, Effects &Out) {
  std::vector<std::int64_t> TimedOut;
  for (auto &[CallNumber, Item] : this->OutgoingClaims) {
    if (Item.IsGranted)
      continue;
    if (Now >= Item.GiveUpAt) {
      TimedOut.push_back(CallNumber);
    } else if (Now >= Item.NextRequestAt) {
      Item.NextRequestAt = Now + ClaimRetryInterval;
      this->sendToControl(Item.Wanted, Out);
    }
  }
  for (ClaimRelease &Item : this->Releases) {
    if (Now < Item.NextSendAt)
      continue;
    Item.NextSendAt = Now + ClaimRetryInterval;
    Item.SendsLeft -= 1;
    this->sendToControl(Item.Released, Out);
  }
  std::erase_if(this->Releases,
                [](const ClaimRelease &R) { return R.SendsLeft <= 0; });
  return TimedOut;
}

void ClaimClient::callFinished(std::int64_t CallNumber, bool MayHaveRun,
                               Time Now, Effects &Out) {
  const auto Found = this->OutgoingClaims.find(CallNumber);
  if (Found == this->OutgoingClaims.end())
    return;
  if (!MayHaveRun) {
    // Sent several times because a lost release would leave the key blocked.
    wire::Claim Released = Found->second.Wanted;
    Released.Release = true;
    this->sendToControl(Released, Out);
    this->Releases.push_back(
        {std::move(Released), ReleaseResends, Now + ClaimRetryInterval});
  }
  this->OutgoingClaims.erase(Found);
  this->CallOutcomes[CallNumber] =
      MayHaveRun ? wire::CallOutcome::Finished : wire::CallOutcome::NotRun;
  this->CallOutcomeOrder.push_back(CallNumber);
  if (this->CallOutcomeOrder.size() > MaxCallOutcomes) {
    this->CallOutcomes.erase(this->CallOutcomeOrder.front());
    this->CallOutcomeOrder.pop_front();
  }
}

wire::CallOutcome::type ClaimClient::outcomeOf(std::int64_t Incarnation,
                                               std::int64_t CallNumber) const {
  if (Incarnation != this->OwnIncarnation)
    return wire::CallOutcome::Unknown;
  if (this->OutgoingClaims.count(CallNumber) != 0)
    return wire::CallOutcome::Running;
  const auto Found = this->CallOutcomes.find(CallNumber);
  return Found == this->CallOutcomes.end() ? wire::CallOutcome::Unknown
                                           : Found->second;
}

} // namespace persimmon
