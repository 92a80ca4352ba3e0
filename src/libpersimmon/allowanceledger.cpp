#include "allowanceledger.h"

#include <algorithm>
#include <cmath>

namespace persimmon {

namespace {

/// Requests are answered this long after the last time at which no other
/// instance led. The leader confirms this about every 100 ms.
constexpr milliseconds MaxVerifiedAge{600};
/// Covers the different rates of two machines' clocks.
constexpr milliseconds ClockMargin{50};
/// How long a former leader may go on to grant tokens, and how long they can
/// be taken.
constexpr milliseconds FormerTokens =
    MaxVerifiedAge + TokenValidity + ClockMargin;
/// How long a former leader's shares may be valid.
constexpr milliseconds FormerShares =
    MaxVerifiedAge + ShareValidity + ClockMargin;
/// Span over which an account's calls are counted. In any span, an account may
/// start its rate times the span and its burst.
constexpr double SpanSeconds = 5;
/// Part of that number that may be exceeded in a span. A tenth is tolerated;
/// the rest is left for tokens, which are taken up to TokenValidity after they
/// were granted.
constexpr double OveragePart = 0.06;
/// Part of the burst that may be saved up; the rest is spread over the span.
constexpr double BurstInDepth = 0.5;
/// Tokens that may accumulate beyond that, so that accounts of one call
/// per second are served though their calls arrive at random times. A part of
/// the 20 calls that are tolerated in any span.
constexpr double ExtraDepth = 8;
/// Tokens that a new leader may grant before it knows the shares. Together with
/// ExtraDepth, three changes of the leader within one span use what is
/// tolerated.
constexpr double StartTokens = 4;
/// Parts of rate and depth that may be granted as shares. The rest stays in the
/// reserve, for daemons without a share and for fluctuations. Shares never
/// exceed this part, so that a new leader, which does not know them, can grant
/// the rest at once.
constexpr double SharedPace = 0.8;
constexpr double SharedDepth = 0.75;
/// A bucket of small depth overflows between calls that arrive at random times,
/// so that a part of its pace is lost. The pace of a share grows from the first
/// part of the daemon's part to all of it at FullPaceDepth; the reserve serves
/// the rest of the calls.
constexpr double SmallestPace = 0.7;
constexpr double FullPaceDepth = 4;
/// Accounts up to this rate have no shares at all: over many daemons a share
/// would be less than a call. A new leader can then serve them at once.
constexpr double TokensOnlyRate = 20;
/// A daemon with less demand asks for single tokens: to renew a share costs
/// about as many bytes.
constexpr double MinShareDemand = 0.7;
/// A bucket of less depth never holds a token.
constexpr double MinShareDepth = 1;
/// A share is kept until the demand is this much below MinShareDemand.
constexpr double KeepFactor = 0.6;
/// Most that a share exceeds the demand, so that the first daemons that ask do
/// not get all. A hot account has up to nine times its usual demand.
constexpr double MaxDemandFactor = 8;
/// A share is not changed for less than this difference.
constexpr double MinChange = 0.25;
/// Depths are granted in steps of this size.
constexpr double DepthStep = 0.1;
constexpr double TokenDemandSeconds = 3;
constexpr std::size_t MaxOffers = 8;
constexpr int MaxTokens = 64;
constexpr milliseconds MinRetry{50};
constexpr milliseconds MaxRetry{1000};
constexpr double Milli = 1000;
/// A daemon names each account once; a message has room for no more.
constexpr std::size_t MaxDemands = 4096;
constexpr std::size_t MaxDaemons = 4096;

double secondsBetween(Time From, Time To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

ShareSize heldIn(const wire::AllowanceDemand &Demand) {
  return {std::max<std::int64_t>(0, Demand.__isset.HeldMilliPerSecond
                                        ? Demand.HeldMilliPerSecond
                                        : 0),
          std::max<std::int64_t>(
              0, Demand.__isset.HeldMilliDepth ? Demand.HeldMilliDepth : 0)};
}

ShareSize larger(const ShareSize &Left, const ShareSize &Right) {
  return {std::max(Left.MilliPerSecond, Right.MilliPerSecond),
          std::max(Left.MilliDepth, Right.MilliDepth)};
}

ShareSize smaller(const ShareSize &Left, const ShareSize &Right) {
  return {std::min(Left.MilliPerSecond, Right.MilliPerSecond),
          std::min(Left.MilliDepth, Right.MilliDepth)};
}

std::int64_t toMilli(double Value) {
  return static_cast<std::int64_t>(std::floor(Value * Milli));
}

/// Returns the token bucket by which an account may start as many calls in any
/// span as \p Rate allows. A bucket refilled at the rate itself would refuse
/// calls of an account that asks for more all the time, although each span has
/// room for the burst; one of no depth would refuse short bursts.
AccountRate bucketOf(const AccountRate &Rate) {
  const double PerSpan = Rate.PerSecond * SpanSeconds + Rate.Burst;
  const double Depth = BurstInDepth * Rate.Burst;
  return {(PerSpan - Depth) / SpanSeconds, Depth + OveragePart * PerSpan};
}

bool isClose(std::int64_t Left, std::int64_t Right) {
  return std::abs(static_cast<double>(Left - Right)) <=
         MinChange * static_cast<double>(Left);
}

} // namespace

double AllowanceLedger::depthOf(const Account &Of) {
  return Of.Rate.limited() ? Of.Rate.Burst + ExtraDepth : 0;
}

double AllowanceLedger::refillOf(const Account &Of, Time Now) {
  if (Now < Of.SharesUnknownUntil && Of.Rate.PerSecond > TokensOnlyRate)
    return Of.Rate.PerSecond * (1 - SharedPace);
  return std::max(0.0,
                  Of.Rate.PerSecond -
                      static_cast<double>(Of.Reserved.MilliPerSecond) / Milli);
}

void AllowanceLedger::startAccount(Account &New, bool Full, Time Now) const {
  New.Level = Full ? depthOf(New) : std::min(StartTokens, depthOf(New));
  New.TokensFrom = Full ? Now : this->StartedAt + FormerTokens;
  New.SharesUnknownUntil = Full ? Now : this->StartedAt + FormerShares;
  New.LevelAt = std::max(Now, New.TokensFrom);
}

void AllowanceLedger::setRate(std::string_view Path,
                              std::optional<AccountRate> Rate, Time Now) {
  const std::int64_t Number = accountNumber(Path);
  const auto Found = this->Accounts.find(Number);
  if (!Rate || !Rate->limited()) {
    if (Found != this->Accounts.end() &&
        Found->second.RemovedAt == NoDeadline) {
      refill(Found->second, Now);
      Found->second.Rate = {};
      Found->second.Level = 0;
      Found->second.RemovedAt = Now;
    }
    return;
  }
  if (Found != this->Accounts.end()) {
    refill(Found->second, Now);
    Found->second.Rate = bucketOf(*Rate);
    Found->second.RemovedAt = NoDeadline;
    Found->second.Level = std::min(Found->second.Level, depthOf(Found->second));
    return;
  }
  Account New;
  New.Path = std::string(Path);
  New.Rate = bucketOf(*Rate);
  const bool FormerSharesEnded =
      this->Status.Ready &&
      (this->NoFormerRates || Now >= this->StartedAt + FormerShares);
  this->startAccount(New, FormerSharesEnded, Now);
  this->Accounts.emplace(Number, std::move(New));
}

void AllowanceLedger::clearRates(Time Now) {
  for (auto &[Number, Item] : this->Accounts)
    this->setRate(Item.Path, std::nullopt, Now);
}

void AllowanceLedger::update(const Leadership &Current, bool IsFirstLeader,
                             Time Now) {
  const bool Started = Current.Ready && (!this->Status.Ready ||
                                         Current.Term != this->Status.Term);
  this->Status = Current;
  if (Started) {
    this->StartedAt = Now;
    this->NoFormerRates = IsFirstLeader;
    this->Daemons.clear();
    std::erase_if(this->Accounts, [](const auto &Item) {
      return Item.second.RemovedAt != NoDeadline;
    });
    for (auto &[Number, Item] : this->Accounts) {
      Item.Reserved = {};
      Item.ShareDemand = 0;
      Item.TokenDemand = 0;
      this->startAccount(Item, IsFirstLeader, Now);
    }
  }
  if (!this->Status.Ready)
    return;
  const bool Verified = this->Status.VerifiedAt > this->StartedAt &&
                        this->Status.VerifiedAt > this->SuspendedAt;
  if (!Verified || this->Status.VerifiedAt == this->ExpiredThrough)
    return;
  this->ExpiredThrough = this->Status.VerifiedAt;
  for (auto &[Address, Item] : this->Daemons) {
    if (Item.ExpiresAt <= this->Status.VerifiedAt)
      this->releaseAll(Item, Now);
  }
  std::erase_if(this->Daemons, [&](const auto &Item) {
    return Item.second.ExpiresAt <= this->Status.VerifiedAt;
  });
  std::erase_if(this->Accounts, [&](const auto &Item) {
    return Item.second.RemovedAt != NoDeadline &&
           Item.second.Reserved.empty() &&
           Now >= Item.second.RemovedAt + FormerShares + FormerShares;
  });
}

bool AllowanceLedger::answers(Time Now) const {
  return this->Status.Ready && this->Status.VerifiedAt >= this->StartedAt &&
         this->Status.VerifiedAt > this->SuspendedAt &&
         Now <= this->Status.VerifiedAt + MaxVerifiedAge;
}

void AllowanceLedger::refill(Account &Of, Time Now) {
  if (Now <= Of.LevelAt)
    return;
  const double Room =
      depthOf(Of) - static_cast<double>(Of.Reserved.MilliDepth) / Milli;
  Of.Level = std::clamp(Of.Level + refillOf(Of, Of.LevelAt) *
                                       secondsBetween(Of.LevelAt, Now),
                        0.0, std::max(0.0, Room));
  Of.TokenDemand *=
      std::exp(-secondsBetween(Of.LevelAt, Now) / TokenDemandSeconds);
  Of.LevelAt = Now;
}

void AllowanceLedger::setReserved(std::int64_t Number, Portion &Of, Time Now) {
  ShareSize New = Of.Held;
  for (const Offer &Item : Of.Offers)
    New = larger(New, Item.Share);
  const auto Found = this->Accounts.find(Number);
  if (Found != this->Accounts.end() && !(New == Of.Reserved)) {
    Account &Owner = Found->second;
    refill(Owner, Now);
    Owner.Reserved.MilliPerSecond +=
        New.MilliPerSecond - Of.Reserved.MilliPerSecond;
    Owner.Reserved.MilliDepth += New.MilliDepth - Of.Reserved.MilliDepth;
    const double Room =
        depthOf(Owner) - static_cast<double>(Owner.Reserved.MilliDepth) / Milli;
    Owner.Level = std::clamp(Owner.Level, 0.0, std::max(0.0, Room));
  }
  Of.Reserved = New;
}

void AllowanceLedger::countDemand(std::int64_t Number, Portion &Of) {
  const double Counted = Of.Reserved.empty() ? 0 : Of.Demand;
  const auto Found = this->Accounts.find(Number);
  if (Found != this->Accounts.end())
    Found->second.ShareDemand =
        std::max(0.0, Found->second.ShareDemand + Counted - Of.CountedDemand);
  Of.CountedDemand = Counted;
}

void AllowanceLedger::releaseAll(Daemon &Of, Time Now) {
  for (auto &[Number, Part] : Of.Portions) {
    Part.Held = {};
    Part.Offers.clear();
    Part.Demand = 0;
    this->setReserved(Number, Part, Now);
    this->countDemand(Number, Part);
  }
  Of.Portions.clear();
}

void AllowanceLedger::settleAll(Daemon &Of,
                                const wire::AllowanceRequest &Request,
                                Time Now) {
  std::map<std::int64_t, ShareSize> Told;
  for (const wire::AllowanceDemand &Demand : Request.Demands)
    Told[Demand.Account] = heldIn(Demand);
  for (const auto &[Number, Share] : Told) {
    if (!Share.empty())
      Of.Portions.try_emplace(Number);
  }
  for (auto &[Number, Part] : Of.Portions) {
    const auto Found = this->Accounts.find(Number);
    const auto Claim = Told.find(Number);
    const ShareSize Claimed = Claim == Told.end() ? ShareSize() : Claim->second;
    // Once all shares are known, a share that is not known has ended.
    const bool Known = Found == this->Accounts.end() ||
                       Now >= Found->second.SharesUnknownUntil;
    Part.Held = Known ? smaller(Claimed, Part.Reserved) : Claimed;
    Part.IsOutdated = !(Part.Held == Claimed);
    std::erase_if(Part.Offers, [&](const Offer &Item) {
      return Item.Number <= Request.Adopted;
    });
    this->setReserved(Number, Part, Now);
  }
}

bool AllowanceLedger::settle(Daemon &Of, const wire::AllowanceRequest &Request,
                             Time Now) {
  const auto HeldAfter = [&](const Portion &Part) {
    ShareSize Out = Part.Held;
    for (const Offer &Item : Part.Offers) {
      if (Item.Number <= Request.Adopted)
        Out = Item.Share;
    }
    return Out;
  };
  std::uint32_t Digest = 0;
  for (const auto &[Number, Part] : Of.Portions)
    Digest += digestOf(Number, HeldAfter(Part));
  if (Digest != static_cast<std::uint32_t>(Request.HeldDigest))
    return false;
  for (auto &[Number, Part] : Of.Portions) {
    Part.Held = HeldAfter(Part);
    std::erase_if(Part.Offers, [&](const Offer &Item) {
      return Item.Number <= Request.Adopted;
    });
    this->setReserved(Number, Part, Now);
  }
  return true;
}

ShareSize AllowanceLedger::wantedShare(const Account &Of, const Portion &Part,
                                       Time Now) const {
  const double Rate = Of.Rate.PerSecond;
  if (!Of.Rate.limited() || Part.Demand <= 0)
    return {};
  const double Depth = depthOf(Of);
  if (Now < Of.SharesUnknownUntil) {
    // Only renewed, and reduced if the known shares exceed a lowered rate.
    const double Fit = std::min(
        {1.0,
         SharedPace * Rate * Milli /
             std::max(1.0, static_cast<double>(Of.Reserved.MilliPerSecond)),
         SharedDepth * Depth * Milli /
             std::max(1.0, static_cast<double>(Of.Reserved.MilliDepth))});
    return {static_cast<std::int64_t>(std::floor(
                Fit * static_cast<double>(Part.Held.MilliPerSecond))),
            static_cast<std::int64_t>(
                std::floor(Fit * static_cast<double>(Part.Held.MilliDepth)))};
  }
  const double Keep = Part.Held.empty() ? 1 : KeepFactor;
  if (Rate <= TokensOnlyRate || Part.Demand < MinShareDemand * Keep)
    return {};
  const double Total =
      std::max(Part.Demand, Of.ShareDemand - Part.CountedDemand + Part.Demand +
                                Of.TokenDemand);
  const double Fraction = Part.Demand / Total;
  double NewDepth =
      std::floor(std::min(SharedDepth * Depth * Fraction,
                          MaxDemandFactor * std::max(1.0, Part.Demand)) /
                 DepthStep) *
      DepthStep;
  // A share near the smallest depth would otherwise end and start again with
  // each change of the total demand, and each start loses the saved tokens.
  if (!Part.Held.empty() && NewDepth >= KeepFactor * MinShareDepth)
    NewDepth = std::max(NewDepth, MinShareDepth);
  const double PacePart =
      SmallestPace + (1 - SmallestPace) * NewDepth / FullPaceDepth;
  const double Pace =
      std::min(SharedPace * Rate * Fraction, MaxDemandFactor * Part.Demand) *
      std::min(1.0, PacePart);
  if (NewDepth < MinShareDepth)
    return {};
  ShareSize New{toMilli(Pace), toMilli(NewDepth)};
  const bool Fits = Of.Reserved.MilliPerSecond <= toMilli(SharedPace * Rate) &&
                    Of.Reserved.MilliDepth <= toMilli(SharedDepth * Depth);
  if (Fits && !Part.Held.empty() &&
      isClose(Part.Held.MilliPerSecond, New.MilliPerSecond) &&
      isClose(Part.Held.MilliDepth, New.MilliDepth))
    return Part.Held;
  // More is granted only as far as the others' shares leave it.
  const std::int64_t PaceLeft = toMilli(SharedPace * Rate) -
                                Of.Reserved.MilliPerSecond +
                                Part.Reserved.MilliPerSecond;
  const std::int64_t DepthLeft = toMilli(SharedDepth * Depth) -
                                 Of.Reserved.MilliDepth +
                                 Part.Reserved.MilliDepth;
  New.MilliPerSecond =
      std::min(New.MilliPerSecond,
               std::max({Part.Held.MilliPerSecond, PaceLeft, std::int64_t{0}}));
  New.MilliDepth =
      std::min(New.MilliDepth,
               std::max({Part.Held.MilliDepth, DepthLeft, std::int64_t{0}}));
  if (static_cast<double>(New.MilliDepth) < MinShareDepth * Milli)
    return {};
  return New;
}

void AllowanceLedger::offerShare(Account &From, std::int64_t Number,
                                 Portion &To, std::int64_t RequestNumber,
                                 wire::AllowanceShare &Out, Time Now) {
  if (To.Offers.size() >= MaxOffers)
    return;
  const ShareSize New = this->wantedShare(From, To, Now);
  if (New == To.Held && !To.IsOutdated)
    return;
  To.IsOutdated = false;
  const double Room =
      depthOf(From) - static_cast<double>(From.Reserved.MilliDepth) / Milli;
  const double Level = From.Level;
  const std::int64_t Before = To.Reserved.MilliDepth;
  Out.__set_MilliPerSecond(New.MilliPerSecond);
  Out.__set_MilliDepth(New.MilliDepth);
  To.Offers.push_back({RequestNumber, New});
  this->setReserved(Number, To, Now);
  // The depth moves to the daemon with its part of the tokens.
  const double Moved =
      static_cast<double>(To.Reserved.MilliDepth - Before) / Milli;
  if (Moved <= 0 || Room <= 0 || Now < From.TokensFrom)
    return;
  const double Given = std::floor(Level * std::min(1.0, Moved / Room));
  const double Left = Level - Given;
  From.Level = std::min(From.Level, Left);
  if (Given >= 1)
    Out.__set_Tokens(static_cast<std::int32_t>(Given));
}

wire::AllowanceShare AllowanceLedger::answerDemand(Daemon &Of,
                                                   std::int64_t Number,
                                                   std::int64_t RequestNumber,
                                                   int Waiting, Time Now) {
  wire::AllowanceShare Out;
  Out.Account = Number;
  Portion &Part = Of.Portions[Number];
  const auto Found = this->Accounts.find(Number);
  if (Found == this->Accounts.end()) {
    // Removed, or not limited in the version in force.
    if (!Part.Held.empty() || Part.IsOutdated) {
      Out.__set_MilliPerSecond(0);
      Out.__set_MilliDepth(0);
    }
    if (Waiting > 0)
      Out.__set_RetryMs(static_cast<std::int32_t>(MaxRetry.count()));
    return Out;
  }
  Account &From = Found->second;
  refill(From, Now);
  this->countDemand(Number, Part);
  if (Waiting > 0 && Part.Reserved.empty())
    From.TokenDemand += Waiting / TokenDemandSeconds;
  this->offerShare(From, Number, Part, RequestNumber, Out, Now);
  this->countDemand(Number, Part);
  if (Waiting <= 0)
    return Out;
  const int Given = Now < From.TokensFrom
                        ? 0
                        : static_cast<int>(std::min<double>(
                              std::min(Waiting, MaxTokens), From.Level));
  From.Level -= Given;
  const int Tokens = Given + (Out.__isset.Tokens ? Out.Tokens : 0);
  if (Tokens > 0)
    Out.__set_Tokens(Tokens);
  if (Tokens >= Waiting)
    return Out;
  const double Missing = Waiting - Tokens - From.Level;
  const double Refill = refillOf(From, Now);
  milliseconds Retry = MaxRetry;
  if (Missing < Refill * std::chrono::duration<double>(MaxRetry).count())
    Retry = milliseconds(static_cast<std::int64_t>(Missing / Refill * Milli));
  Out.__set_RetryMs(
      static_cast<std::int32_t>(std::clamp(Retry, MinRetry, MaxRetry).count()));
  return Out;
}

std::optional<wire::AllowanceReply>
AllowanceLedger::receive(const wire::AllowanceRequest &Request,
                         std::string_view From, Time Now) {
  if (!this->answers(Now) || Request.Demands.size() > MaxDemands)
    return std::nullopt;
  auto Found = this->Daemons.find(From);
  if (Found == this->Daemons.end()) {
    if (this->Daemons.size() >= MaxDaemons)
      return std::nullopt;
    Found = this->Daemons.emplace(std::string(From), Daemon()).first;
    Found->second.Incarnation = Request.Incarnation;
    Found->second.ExpiresAt = Now + ShareValidity + ClockMargin;
  }
  Daemon &Of = Found->second;
  if (Request.Incarnation < Of.Incarnation ||
      (Request.Incarnation == Of.Incarnation &&
       Request.Number <= Of.LastNumber))
    return std::nullopt;
  if (Request.Incarnation > Of.Incarnation) {
    this->releaseAll(Of, Now);
    Of.Incarnation = Request.Incarnation;
  }
  Of.LastNumber = Request.Number;
  this->Answered += 1;
  wire::AllowanceReply Reply;
  Reply.Number = Request.Number;
  if (Request.All) {
    this->settleAll(Of, Request, Now);
  } else if (!this->settle(Of, Request, Now)) {
    Reply.__set_WantsAll(true);
    return Reply;
  }
  Of.ExpiresAt = Now + ShareValidity + ClockMargin;
  Reply.ValidMs = static_cast<std::int32_t>(ShareValidity.count());
  std::map<std::int64_t, int> Waiting;
  for (const wire::AllowanceDemand &Demand : Request.Demands) {
    Of.Portions[Demand.Account].Demand =
        static_cast<double>(
            std::max<std::int64_t>(0, Demand.WantedMilliPerSecond)) /
        Milli;
    if (Demand.__isset.WaitingCalls)
      Waiting[Demand.Account] = Demand.WaitingCalls;
  }
  std::vector<std::int64_t> Numbers;
  for (const auto &[Number, Part] : Of.Portions)
    Numbers.push_back(Number);
  for (const std::int64_t Number : Numbers) {
    wire::AllowanceShare Share =
        this->answerDemand(Of, Number, Request.Number, Waiting[Number], Now);
    if (Share.__isset.MilliDepth || Share.__isset.Tokens ||
        Share.__isset.RetryMs)
      Reply.Shares.push_back(std::move(Share));
  }
  std::erase_if(Of.Portions,
                [](const auto &Item) { return Item.second.Reserved.empty(); });
  return Reply;
}

ShareSize AllowanceLedger::reservedOf(std::string_view Path) const {
  const auto Found = this->Accounts.find(accountNumber(Path));
  return Found == this->Accounts.end() ? ShareSize() : Found->second.Reserved;
}

} // namespace persimmon
