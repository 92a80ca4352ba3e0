#include "claimclient.h"

namespace persimmon {

namespace {

constexpr milliseconds ClaimRetryInterval{200};
constexpr milliseconds ClaimTimeout{2000};
constexpr int ReleaseSends = 5;
constexpr std::size_t MaxEnded = 10'000;

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
  Claiming Item;
  Item.Wanted.Key = std::string(Key);
  Item.Wanted.Owner = this->OwnName;
  Item.Wanted.OwnerIncarnation = this->OwnIncarnation;
  Item.Wanted.CallNumber = CallNumber;
  Item.Wanted.OwnerAddress = this->OwnAddress;
  Item.NextRequest = Now + ClaimRetryInterval;
  Item.GiveUpAt = Now + ClaimTimeout;
  this->sendToControl(Item.Wanted, Out);
  this->Open.emplace(CallNumber, std::move(Item));
}

ClaimClient::Verdict ClaimClient::receive(const wire::ClaimReply &Reply) {
  const auto Found = this->Open.find(Reply.CallNumber);
  if (Found == this->Open.end() || Found->second.Held)
    return Verdict::Waiting;
  switch (static_cast<ResultCode>(Reply.Code)) {
  case ResultCode::Ok:
    if (Reply.Holder.OwnerIncarnation != this->OwnIncarnation)
      return Verdict::Waiting;
    Found->second.Held = true;
    return Verdict::Granted;
  case ResultCode::KeyClaimed:
    if (Reply.Holder.Key != Found->second.Wanted.Key)
      return Verdict::Waiting;
    this->Open.erase(Found);
    return Verdict::Taken;
  case ResultCode::ClaimUnavailable:
    return Verdict::Unavailable;
  default:
    return Verdict::Waiting;
  }
}

std::vector<std::int64_t> ClaimClient::tick(Time Now, Effects &Out) {
  std::vector<std::int64_t> TimedOut;
  for (auto &[CallNumber, Item] : this->Open) {
    if (Item.Held)
      continue;
    if (Now >= Item.GiveUpAt) {
      TimedOut.push_back(CallNumber);
    } else if (Now >= Item.NextRequest) {
      Item.NextRequest = Now + ClaimRetryInterval;
      this->sendToControl(Item.Wanted, Out);
    }
  }
  for (Release &Item : this->Releases) {
    if (Now < Item.Next)
      continue;
    Item.Next = Now + ClaimRetryInterval;
    Item.Left -= 1;
    this->sendToControl(Item.Given, Out);
  }
  std::erase_if(this->Releases, [](const Release &R) { return R.Left <= 0; });
  return TimedOut;
}

void ClaimClient::finished(std::int64_t CallNumber, bool MayHaveRun, Time Now,
                           Effects &Out) {
  const auto Found = this->Open.find(CallNumber);
  if (Found == this->Open.end())
    return;
  if (!MayHaveRun) {
    // Sent several times because a lost release would leave the key blocked.
    wire::Claim Given = Found->second.Wanted;
    Given.Release = true;
    this->sendToControl(Given, Out);
    this->Releases.push_back(
        {std::move(Given), ReleaseSends, Now + ClaimRetryInterval});
  }
  this->Open.erase(Found);
  this->Ended[CallNumber] =
      MayHaveRun ? wire::CallOutcome::Finished : wire::CallOutcome::NotRun;
  this->EndedOrder.push_back(CallNumber);
  if (this->EndedOrder.size() > MaxEnded) {
    this->Ended.erase(this->EndedOrder.front());
    this->EndedOrder.pop_front();
  }
}

wire::CallOutcome::type ClaimClient::outcomeOf(std::int64_t Incarnation,
                                               std::int64_t CallNumber) const {
  if (Incarnation != this->OwnIncarnation)
    return wire::CallOutcome::Unknown;
  if (this->Open.count(CallNumber) != 0)
    return wire::CallOutcome::Running;
  const auto Found = this->Ended.find(CallNumber);
  return Found == this->Ended.end() ? wire::CallOutcome::Unknown
                                    : Found->second;
}

} // namespace persimmon
