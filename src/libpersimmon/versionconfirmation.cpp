#include "versionconfirmation.h"

#include "distribution.h"

#include <algorithm>
#include <limits>

namespace persimmon {

namespace {

/// A change must be in force everywhere within two seconds of its
/// acknowledgement; a denial is not repeated by the caller, so it needs a more
/// recent confirmation than a call that is served.
constexpr milliseconds DenyValidity{1000};
/// Age of a confirmation at which the next one is requested while calls arrive.
/// The rest of UnconfirmedServeLimit is
/// left for lost requests.
constexpr milliseconds RefreshAge{600};
/// Age up to which a parent passes on its own confirmation.
constexpr milliseconds RequestedAge{200};
/// Several round trips between availability zones.
constexpr milliseconds RetryInterval{60};
/// Requests after which the interval between them doubles each time: without a
/// leader, all proxies ask.
constexpr int QuickRequests = 8;
constexpr milliseconds LongestRetryInterval{1000};
/// Requests after which every other one goes over connections: datagrams do not
/// pass a full link.
constexpr int DatagramsBeforeStream = 3;
/// Control instances that a request by datagram is sent to. The leader is not
/// known here, and the others need not hear from every proxy.
constexpr std::size_t InstancesAsked = 3;
/// Time for several requests, of which the last ones use connections.
constexpr milliseconds OutOfTouchAfter{400};
/// A pause between requests after which earlier ones tell nothing about whether
/// the control instances can be reached now.
constexpr milliseconds RequestPause{1000};
constexpr std::size_t MaxOpenRequests = 32;
constexpr std::size_t MaxWaiting = 64;
constexpr milliseconds WaitingTimeout{300};

/// Returns the pause after the request with the number \p Unanswered.
milliseconds retryInterval(int Unanswered) {
  milliseconds Out = RetryInterval;
  for (int I = QuickRequests; I <= Unanswered && Out < LongestRetryInterval;
       ++I)
    Out *= 2;
  return std::min(Out, LongestRetryInterval);
}

/// Returns \p Count random addresses.
std::vector<std::string> pickInstances(std::span<const std::string> From,
                                       std::size_t Count, Random &Rng) {
  std::vector<std::string> Out(From.begin(), From.end());
  Count = std::min(Count, Out.size());
  for (std::size_t I = 0; I < Count; ++I)
    std::swap(Out[I], Out[I + Rng.below(Out.size() - I)]);
  Out.resize(Count);
  return Out;
}

} // namespace

bool VersionConfirmation::due(bool Urgent, Time Now) const {
  if (Now < this->LastRequest + retryInterval(this->UnansweredRequests))
    return false;
  if (Urgent || !this->Waiting.empty())
    return true;
  return this->LastUse > this->ConfirmedAt &&
         Now >= this->ConfirmedAt + RefreshAge &&
         Now < this->LastUse + RequestPause;
}

void VersionConfirmation::tick(const Peers &Others, bool Urgent, Time Now,
                               Effects &Out) {
  std::erase_if(this->Waiting,
                [&](const WaitingProxy &Item) { return Now >= Item.Until; });
  if (this->due(Urgent, Now))
    this->send(Others, Now, Out);
}

void VersionConfirmation::send(const Peers &Others, Time Now, Effects &Out) {
  if (this->UnansweredSince == NoDeadline ||
      Now > this->LastRequest + RequestPause) {
    this->UnansweredSince = Now;
    this->UnansweredRequests = 0;
  }
  this->LastRequest = Now;
  this->UnansweredRequests += 1;
  wire::StampRequest Request;
  Request.Nonce = static_cast<std::int64_t>(
      this->Rng.below(std::numeric_limits<std::int64_t>::max()));
  Request.MaxAgeMs = static_cast<std::int32_t>(RequestedAge.count());
  this->OpenRequests.push_back({Request.Nonce, Now});
  if (this->OpenRequests.size() > MaxOpenRequests)
    this->OpenRequests.pop_front();
  const int Count = this->UnansweredRequests;
  const bool ByStream = Count > DatagramsBeforeStream && Count % 2 == 0;
  const Channel Via = ByStream ? Channel::Stream : Channel::Datagram;
  if (Count == 1 || ByStream) {
    for (const std::string &Address : Others.Parents)
      persimmon::send(Out, Address, Request, Via);
    if (Count == 1 && !Others.Parents.empty())
      return;
  }
  const std::size_t Instances =
      ByStream || Count > QuickRequests ? std::size_t{1} : InstancesAsked;
  for (const std::string &Address :
       pickInstances(Others.ControlInstances, Instances, this->Rng))
    persimmon::send(Out, Address, Request, Via);
}

bool VersionConfirmation::receive(const wire::StampReply &Reply) {
  const auto Answered = std::find_if(
      this->OpenRequests.begin(), this->OpenRequests.end(),
      [&](const OpenRequest &Item) { return Item.Nonce == Reply.Nonce; });
  if (Answered == this->OpenRequests.end())
    return false;
  const Time At = Answered->SentAt - milliseconds(std::max(0, Reply.AgeMs));
  this->OpenRequests.erase(this->OpenRequests.begin(), std::next(Answered));
  this->UnansweredSince = NoDeadline;
  this->UnansweredRequests = 0;
  if (At <= this->ConfirmedAt &&
      Reply.Confirmed.Version <= this->ConfirmedVersion)
    return false;
  // A version that is newer than an earlier confirmation was committed after
  // it, so the later of the two times holds for the newer version.
  this->ConfirmedAt = std::max(this->ConfirmedAt, At);
  this->ConfirmedVersion =
      std::max(this->ConfirmedVersion, Reply.Confirmed.Version);
  return true;
}

void VersionConfirmation::receive(const wire::StampRequest &Request,
                                  std::string_view From, Time Now) {
  if (Request.MaxAgeMs <= 0 || this->Waiting.size() >= MaxWaiting)
    return;
  this->Waiting.push_back({std::string(From), Request.Nonce,
                           milliseconds(Request.MaxAgeMs),
                           Now + WaitingTimeout});
}

bool VersionConfirmation::satisfies(const WaitingProxy &Item, Time Now) const {
  return Now <= this->ConfirmedAt + Item.MaxAge;
}

void VersionConfirmation::answerWaiting(const Peers &Others,
                                        std::int64_t VersionInForce, Time Now,
                                        Effects &Out) {
  std::erase_if(this->Waiting, [&](const WaitingProxy &Item) {
    if (!this->satisfies(Item, Now))
      return false;
    wire::StampReply Reply;
    Reply.Nonce = Item.Nonce;
    Reply.Confirmed.Version = this->ConfirmedVersion;
    Reply.AgeMs =
        static_cast<std::int32_t>(millisecondsUntil(Now, this->ConfirmedAt)) +
        1;
    if (VersionInForce >= this->ConfirmedVersion)
      Reply.Source = Others.SelfAddress;
    persimmon::send(Out, Item.Address, std::move(Reply), Channel::Datagram);
    return true;
  });
}

Time VersionConfirmation::deniesUntil(std::int64_t VersionInForce) const {
  return VersionInForce >= this->ConfirmedVersion
             ? this->ConfirmedAt + DenyValidity
             : Time();
}

Time VersionConfirmation::servesUntil(std::int64_t VersionInForce) const {
  return VersionInForce >= this->ConfirmedVersion
             ? this->ConfirmedAt + UnconfirmedServeLimit
             : Time();
}

void VersionConfirmation::age(milliseconds By) {
  this->ConfirmedAt -= By;
  for (OpenRequest &Item : this->OpenRequests)
    Item.SentAt -= By;
}

bool VersionConfirmation::outOfTouch(Time Now) const {
  return this->UnansweredSince != NoDeadline &&
         Now >= this->UnansweredSince + OutOfTouchAfter;
}

} // namespace persimmon
