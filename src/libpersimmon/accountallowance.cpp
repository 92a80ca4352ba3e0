#include "accountallowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmon {

namespace {

/// How long a call waits for a reply.
constexpr milliseconds HoldTime{150};
constexpr milliseconds RenewInterval{1000};
/// When a smaller share is confirmed.
constexpr milliseconds ConfirmAfter{100};
/// Between two requests while calls wait. Several round trips between
/// availability zones.
constexpr milliseconds MinRequestInterval{50};
/// Requests after which the interval between them doubles each time: without a
/// leader, all proxies ask.
constexpr int QuickRequests = 4;
constexpr milliseconds MaxRequestInterval{800};
/// Requests without a reply after which the leader is looked for elsewhere.
constexpr int RequestsToLeader = 2;
/// Control instances that are asked while the leader is not known.
constexpr std::size_t InstancesAsked = 2;
constexpr std::size_t MaxOpenRequests = 32;
constexpr std::size_t MaxHeldPerAccount = 256;
constexpr std::size_t MaxAccounts = 4096;
constexpr int MaxWaitingTold = 64;
/// Time over which the demand is averaged, and the shorter one if that has at
/// least MinRecentCalls.
constexpr double DemandSeconds = 3;
constexpr double RecentSeconds = 0.7;
constexpr double MinRecentCalls = 9;
/// Before, a single call would look like much demand.
constexpr double MinDemandSeconds = 3;
/// The demand is reported again when it differs from the last report by this
/// factor. Random arrivals of three calls per second differ by a quarter.
constexpr double ReportFactor = 1.5;
constexpr double DemandStep = 1.25;
/// An account is out of use after this time without calls.
constexpr milliseconds IdleTime{4000};
constexpr double MinDemand = 0.05;
constexpr milliseconds LogInterval{1000};
constexpr milliseconds MinRetryAfter{20};
constexpr milliseconds NotReadyRetryAfter{200};
constexpr double Milli = 1000;

double secondsBetween(Time From, Time To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

milliseconds requestInterval(int Unanswered) {
  milliseconds Out = MinRequestInterval;
  for (int I = QuickRequests; I <= Unanswered && Out < MaxRequestInterval; ++I)
    Out *= 2;
  return std::min(Out, MaxRequestInterval);
}

double roundDemand(double PerSecond) {
  if (PerSecond < MinDemand)
    return 0;
  const double Steps = std::round(std::log(PerSecond) / std::log(DemandStep));
  return std::pow(DemandStep, Steps);
}

} // namespace

AccountAllowance::AccountAllowance(std::string OwnAddress,
                                   std::int64_t OwnIncarnation)
    : OwnAddress(std::move(OwnAddress)), OwnIncarnation(OwnIncarnation),
      NextInstance(hashOf(this->OwnAddress)) {}

AccountAllowance::Account &AccountAllowance::accountAt(std::string_view Path,
                                                       Time Now) {
  const auto [Item, IsNew] = this->Accounts.try_emplace(accountNumber(Path));
  if (IsNew) {
    Item->second.Path = std::string(Path);
    Item->second.LevelAt = Now;
    Item->second.FullAt = Now;
    Item->second.AskedAt = Now;
    Item->second.FirstAskedAt = Now;
  }
  return Item->second;
}

void AccountAllowance::countAsked(Account &Of, Time Now) const {
  const double Since = secondsBetween(Of.AskedAt, Now);
  Of.Asked = Of.Asked * std::exp(-Since / DemandSeconds) + 1 / DemandSeconds;
  Of.AskedRecently =
      Of.AskedRecently * std::exp(-Since / RecentSeconds) + 1 / RecentSeconds;
  Of.AskedAt = std::max(Of.AskedAt, Now);
}

double AccountAllowance::demandOf(const Account &Of, Time Now) const {
  const double Idle = secondsBetween(Of.AskedAt, Now);
  const double Since =
      std::max(MinDemandSeconds, secondsBetween(Of.FirstAskedAt, Now));
  const double Demand = Of.Asked * std::exp(-Idle / DemandSeconds) /
                        (1 - std::exp(-Since / DemandSeconds));
  const double Recent = Of.AskedRecently * std::exp(-Idle / RecentSeconds);
  const bool IsSteady =
      std::max(Demand, Recent) * RecentSeconds < MinRecentCalls;
  return IsSteady ? Demand : Recent;
}

void AccountAllowance::updateReported(Account &Of, Time Now) const {
  const double Demand = Now >= Of.AskedAt + IdleTime ? 0 : demandOf(Of, Now);
  const bool Differs = Demand > Of.Reported * ReportFactor ||
                       Demand < Of.Reported / ReportFactor;
  if (!Differs || roundDemand(Demand) == Of.Reported)
    return;
  Of.Reported = roundDemand(Demand);
  Of.IsChanged = true;
  Of.ToldIn = 0;
}

void AccountAllowance::refill(Account &Of, Time Now) const {
  const Time End = std::min(Now, this->SharesUntil);
  const double Depth = static_cast<double>(Of.Share.MilliDepth) / Milli;
  if (End > Of.LevelAt)
    Of.Level += static_cast<double>(Of.Share.MilliPerSecond) / Milli *
                secondsBetween(Of.LevelAt, End);
  Of.LevelAt = std::max(Of.LevelAt, Now);
  Of.Level = std::min(Of.Level, Depth);
  if (Now >= this->SharesUntil)
    Of.Level = 0;
  if (Of.Level > Depth - 1)
    Of.FullAt = std::max(Of.FullAt, Now);
}

bool AccountAllowance::takeToken(Account &Of, Time Now) const {
  refill(Of, Now);
  if (Of.Level < 1)
    return false;
  Of.Level -= 1;
  return true;
}

milliseconds AccountAllowance::retryAfter(const Account &Of, Time Now) const {
  const milliseconds Denied(millisecondsUntil(Of.DeniedUntil, Now));
  if (Of.Share.MilliPerSecond > 0 &&
      static_cast<double>(Of.Share.MilliDepth) >= Milli &&
      Now < this->SharesUntil) {
    const double Missing = 1 - Of.Level;
    const milliseconds Own(static_cast<std::int64_t>(
        std::ceil(Missing * Milli * Milli /
                  static_cast<double>(Of.Share.MilliPerSecond))));
    return std::max(MinRetryAfter,
                    Denied.count() > 0 ? std::min(Own, Denied) : Own);
  }
  return std::max(MinRetryAfter, Denied);
}

AccountAllowance::Verdict AccountAllowance::refusal(Time Now) const {
  return Now < this->SharesUntil || Now < this->AnsweredAt + RenewInterval
             ? Verdict::Exceeded
             : Verdict::OutOfTouch;
}

void AccountAllowance::logRefusal(Account &Of, Verdict Result,
                                  milliseconds RetryAfter, Time Now,
                                  Effects &Out) const {
  if (Now < Of.NextLogAt) {
    Of.Suppressed += 1;
    return;
  }
  Of.NextLogAt = Now + LogInterval;
  Out.emplace_back(LogDecision{
      std::string("event=rate-refused account=") + Of.Path +
      " reason=" + (Result == Verdict::Exceeded ? "rate" : "out-of-touch") +
      " retryMs=" + std::to_string(RetryAfter.count()) + " perSecond=" +
      std::to_string(static_cast<double>(Of.Share.MilliPerSecond) / Milli) +
      " suppressed=" + std::to_string(std::exchange(Of.Suppressed, 0))});
}

AccountAllowance::Decision AccountAllowance::take(std::int64_t CallNumber,
                                                  std::string_view Path,
                                                  Time Now, Effects &Out) {
  Account &Of = this->accountAt(Path, Now);
  this->countAsked(Of, Now);
  // Earlier calls go first.
  if (Of.Waiting.empty() && this->takeToken(Of, Now)) {
    this->Count.Granted += 1;
    return {CallNumber, Verdict::Granted, milliseconds(0)};
  }
  if (Now < Of.DeniedUntil || Of.Waiting.size() >= MaxHeldPerAccount ||
      this->Accounts.size() > MaxAccounts) {
    Decision Refused{CallNumber, this->refusal(Now), this->retryAfter(Of, Now)};
    if (Refused.Result == Verdict::OutOfTouch) {
      Refused.RetryAfter = NotReadyRetryAfter;
      this->Count.OutOfTouch += 1;
    } else {
      this->Count.Exceeded += 1;
    }
    this->logRefusal(Of, Refused.Result, Refused.RetryAfter, Now, Out);
    return Refused;
  }
  Of.Waiting.push_back({CallNumber, Now + HoldTime});
  this->Count.Held += 1;
  if (this->requestDue(Now))
    this->sendRequest(Now, Out);
  return {CallNumber, Verdict::Held, milliseconds(0)};
}

void AccountAllowance::giveBack(std::string_view Path, Time TakenAt, Time Now) {
  const auto Found = this->Accounts.find(accountNumber(Path));
  if (Found == this->Accounts.end())
    return;
  Account &Of = Found->second;
  this->refill(Of, Now);
  if (TakenAt < Of.FullAt || Now >= this->SharesUntil)
    return;
  Of.Level += 1;
  this->refill(Of, Now);
  this->serveWaiting(Of, Now);
}

void AccountAllowance::cancel(std::int64_t CallNumber) {
  for (auto &[Number, Of] : this->Accounts)
    std::erase_if(Of.Waiting, [&](const HeldCall &Item) {
      return Item.Number == CallNumber;
    });
}

void AccountAllowance::serveWaiting(Account &Of, Time Now) {
  while (!Of.Waiting.empty() && this->takeToken(Of, Now)) {
    this->Count.Granted += 1;
    this->Decided.push_back(
        {Of.Waiting.front().Number, Verdict::Granted, milliseconds(0)});
    Of.Waiting.pop_front();
  }
}

void AccountAllowance::expireWaiting(Account &Of, Time Now, Effects &Out) {
  while (!Of.Waiting.empty() && Now >= Of.Waiting.front().RefuseAt) {
    const Verdict Result = this->refusal(Now);
    const milliseconds RetryAfter = Result == Verdict::OutOfTouch
                                        ? NotReadyRetryAfter
                                        : this->retryAfter(Of, Now);
    (Result == Verdict::Exceeded ? this->Count.Exceeded
                                 : this->Count.OutOfTouch) += 1;
    this->logRefusal(Of, Result, RetryAfter, Now, Out);
    this->Decided.push_back({Of.Waiting.front().Number, Result, RetryAfter});
    Of.Waiting.pop_front();
  }
}

void AccountAllowance::dropShares() {
  for (auto &[Number, Of] : this->Accounts) {
    Of.Share = {};
    Of.Level = 0;
  }
  // The leader may still count them as held.
  this->SendAll = true;
  // A late reply to an earlier request could renew what has ended.
  this->OpenRequests.clear();
}

void AccountAllowance::applyShare(const wire::AllowanceShare &Share,
                                  Time SentAt, Time Now, Effects &Out) {
  const auto Found = this->Accounts.find(Share.Account);
  if (Found == this->Accounts.end())
    return;
  Account &Of = Found->second;
  this->refill(Of, Now);
  if (Share.__isset.MilliPerSecond && Share.__isset.MilliDepth) {
    const ShareSize New{std::max<std::int64_t>(0, Share.MilliPerSecond),
                        std::max<std::int64_t>(0, Share.MilliDepth)};
    if (!(New == Of.Share))
      Out.emplace_back(LogDecision{
          "event=allowance account=" + Of.Path + " perSecond=" +
          std::to_string(static_cast<double>(New.MilliPerSecond) / Milli) +
          " depth=" +
          std::to_string(static_cast<double>(New.MilliDepth) / Milli) +
          " demand=" + std::to_string(Of.Reported)});
    if (New.MilliPerSecond < Of.Share.MilliPerSecond)
      this->ConfirmsSoon = true;
    Of.Share = New;
    // A bucket that grows has room for the tokens that were taken before.
    this->refill(Of, Now);
  }
  double Tokens = Share.__isset.Tokens && Now <= SentAt + TokenValidity
                      ? std::max(0, Share.Tokens)
                      : 0;
  while (!Of.Waiting.empty() && Tokens >= 1) {
    Tokens -= 1;
    this->Count.Granted += 1;
    this->Decided.push_back(
        {Of.Waiting.front().Number, Verdict::Granted, milliseconds(0)});
    Of.Waiting.pop_front();
  }
  Of.Level += Tokens;
  this->refill(Of, Now);
  this->serveWaiting(Of, Now);
  if (!Share.__isset.RetryMs || Share.RetryMs <= 0)
    return;
  Of.DeniedUntil = Now + milliseconds(Share.RetryMs);
  const milliseconds RetryAfter = this->retryAfter(Of, Now);
  while (!Of.Waiting.empty()) {
    this->Count.Exceeded += 1;
    this->logRefusal(Of, Verdict::Exceeded, RetryAfter, Now, Out);
    this->Decided.push_back(
        {Of.Waiting.front().Number, Verdict::Exceeded, RetryAfter});
    Of.Waiting.pop_front();
  }
}

void AccountAllowance::receive(const wire::AllowanceReply &Reply,
                               std::string_view From, Time Now, Effects &Out) {
  const auto Answered = std::find_if(
      this->OpenRequests.begin(), this->OpenRequests.end(),
      [&](const OpenRequest &Item) { return Item.Number == Reply.Number; });
  if (Answered == this->OpenRequests.end())
    return;
  if (!Reply.LeaderAddress.empty()) {
    this->Leader = Reply.LeaderAddress;
    // Two instances may take each other for the leader.
    if (Now < this->RedirectedAt + MinRequestInterval)
      return;
    this->RedirectedAt = Now;
    return this->sendRequest(Now, Out);
  }
  this->Leader = std::string(From);
  const Time SentAt = Answered->SentAt;
  // Replies are applied in the order of their requests only.
  this->OpenRequests.erase(this->OpenRequests.begin(), std::next(Answered));
  this->Unanswered = 0;
  this->AnsweredAt = std::max(this->AnsweredAt, SentAt);
  if (Reply.WantsAll) {
    this->SendAll = true;
    return this->sendRequest(Now, Out);
  }
  this->SendAll = false;
  this->ConfirmsSoon = false;
  this->Adopted = Reply.Number;
  for (auto &[Number, Of] : this->Accounts) {
    if (Of.ToldIn != 0 && Reply.Number >= Of.ToldIn)
      Of.IsChanged = false;
  }
  // A share that has ended must not be renewed by a leader that does not know
  // that it was granted to others since.
  const bool Lapsed = this->holdsShares() && Now >= this->SharesUntil;
  if (Lapsed)
    this->dropShares();
  this->RenewedAt = SentAt;
  this->SharesUntil =
      std::max(this->SharesUntil,
               SentAt + std::min(ShareValidity, milliseconds(Reply.ValidMs)));
  for (wire::AllowanceShare Share : Reply.Shares) {
    if (Lapsed) {
      Share.__isset.MilliPerSecond = false;
      Share.__isset.MilliDepth = false;
    }
    this->applyShare(Share, SentAt, Now, Out);
  }
}

bool AccountAllowance::holdsShares() const {
  return std::any_of(
      this->Accounts.begin(), this->Accounts.end(),
      [](const auto &Item) { return !Item.second.Share.empty(); });
}

bool AccountAllowance::urgent() const {
  return (this->SendAll && this->holdsShares()) ||
         std::any_of(
             this->Accounts.begin(), this->Accounts.end(),
             [](const auto &Item) { return !Item.second.Waiting.empty(); });
}

bool AccountAllowance::requestDue(Time Now) const {
  if (Now < this->LastSentAt + requestInterval(this->Unanswered))
    return false;
  if (this->urgent())
    return true;
  if (this->ConfirmsSoon && Now >= this->LastSentAt + ConfirmAfter)
    return true;
  return Now >= this->RenewedAt + RenewInterval && this->holdsShares();
}

wire::AllowanceRequest AccountAllowance::makeRequest(Time Now) {
  wire::AllowanceRequest Request;
  Request.Incarnation = this->OwnIncarnation;
  Request.Number = ++this->LastNumber;
  if (this->Adopted > 0)
    Request.__set_Adopted(this->Adopted);
  std::uint32_t Digest = 0;
  for (auto &[Number, Of] : this->Accounts) {
    this->updateReported(Of, Now);
    Digest += digestOf(Number, Of.Share);
    const bool TellsHeld = this->SendAll && !Of.Share.empty();
    // Without a share, a demand matters to the leader only with waiting calls.
    const bool TellsDemand = Of.IsChanged && !Of.Share.empty();
    if (Of.Waiting.empty() && !TellsHeld && !TellsDemand)
      continue;
    wire::AllowanceDemand Demand;
    if (Of.ToldIn == 0)
      Of.ToldIn = Request.Number;
    Demand.Account = Number;
    Demand.WantedMilliPerSecond =
        static_cast<std::int64_t>(std::round(Of.Reported * Milli));
    if (!Of.Waiting.empty())
      Demand.__set_WaitingCalls(static_cast<std::int32_t>(
          std::min<std::size_t>(MaxWaitingTold, Of.Waiting.size())));
    if (TellsHeld) {
      Demand.__set_HeldMilliPerSecond(Of.Share.MilliPerSecond);
      Demand.__set_HeldMilliDepth(Of.Share.MilliDepth);
    }
    Request.Demands.push_back(std::move(Demand));
  }
  if (Digest != 0)
    Request.__set_HeldDigest(static_cast<std::int32_t>(Digest));
  if (this->SendAll)
    Request.__set_All(true);
  return Request;
}

std::vector<std::string> AccountAllowance::receivers() const {
  std::vector<std::string> Out;
  if (!this->Leader.empty())
    Out.push_back(this->Leader);
  if (!this->Leader.empty() && this->Unanswered < RequestsToLeader)
    return Out;
  const std::size_t Count = this->ControlAddresses.size();
  for (std::size_t I = 0; I < std::min(InstancesAsked, Count); ++I) {
    const std::string &Address =
        this->ControlAddresses[(this->NextInstance + I) % Count];
    if (Address != this->Leader)
      Out.push_back(Address);
  }
  return Out;
}

void AccountAllowance::sendRequest(Time Now, Effects &Out) {
  // Shares that have ended are not told as held.
  if (Now >= this->SharesUntil && this->holdsShares())
    this->dropShares();
  const wire::AllowanceRequest Request = this->makeRequest(Now);
  this->LastSentAt = Now;
  this->ConfirmsSoon = false;
  this->OpenRequests.push_back({Request.Number, Now});
  if (this->OpenRequests.size() > MaxOpenRequests)
    this->OpenRequests.pop_front();
  for (const std::string &Address : this->receivers())
    send(Out, Address, Request, Channel::Datagram);
  this->NextInstance += InstancesAsked;
  this->Unanswered += 1;
  this->Count.Requests += 1;
}

void AccountAllowance::tick(Time Now, Effects &Out) {
  if (this->Accounts.empty())
    return;
  for (auto &[Number, Of] : this->Accounts) {
    this->serveWaiting(Of, Now);
    this->expireWaiting(Of, Now, Out);
  }
  std::erase_if(this->Accounts, [&](const auto &Item) {
    const Account &Of = Item.second;
    return Of.Waiting.empty() && Now >= Of.AskedAt + IdleTime &&
           (Of.Share.empty() || Now >= this->SharesUntil);
  });
  if (this->requestDue(Now))
    this->sendRequest(Now, Out);
}

void AccountAllowance::age(milliseconds For) {
  this->SharesUntil -= For;
  this->RenewedAt -= For;
  this->AnsweredAt -= For;
  for (OpenRequest &Item : this->OpenRequests)
    Item.SentAt -= For;
}

std::size_t AccountAllowance::heldCount() const {
  std::size_t Sum = 0;
  for (const auto &[Number, Of] : this->Accounts)
    Sum += Of.Waiting.size();
  return Sum;
}

double AccountAllowance::sharesPerSecond(Time Now) const {
  double Sum = 0;
  if (Now < this->SharesUntil) {
    for (const auto &[Number, Of] : this->Accounts)
      Sum += static_cast<double>(Of.Share.MilliPerSecond) / Milli;
  }
  return Sum;
}

double AccountAllowance::usedPart(Time Now) const {
  double Depth = 0;
  double Level = 0;
  if (Now < this->SharesUntil) {
    for (const auto &[Number, Of] : this->Accounts) {
      Depth += static_cast<double>(Of.Share.MilliDepth) / Milli;
      Level += Of.Level;
    }
  }
  return Depth > 0 ? 1 - Level / Depth : 0;
}

} // namespace persimmon
