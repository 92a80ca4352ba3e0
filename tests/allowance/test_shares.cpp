#include "libpersimmon/accountallowance.h"
#include "libpersimmon/allowanceledger.h"

#include <catch2/catch.hpp>

using namespace persimmon;

namespace {

const Time Start{std::chrono::hours(1)};
const std::string Path = "team/accounts/acme";
constexpr double Milli = 1000;
/// Longer than any former leader's shares.
constexpr milliseconds LongTime{6000};

/// A leader that confirms its leadership at each time that it is asked.
struct Leader {
  AllowanceLedger Ledger;
  std::int64_t Number = 0;
  std::int64_t Term = 1;

  explicit Leader(bool IsFirst, AccountRate Rate = {300, 300}) {
    if (!IsFirst)
      this->Ledger.setRate(Path, Rate, Start);
    this->confirm(Start, IsFirst);
    this->Ledger.setRate(Path, Rate, Start);
  }

  void confirm(Time Now, bool IsFirst = false) {
    this->Ledger.update({true, this->Term, Now}, IsFirst, Now);
  }

  /// Sends a request of \p From with the demand \p PerSecond.
  std::optional<wire::AllowanceReply>
  request(const std::string &From, double PerSecond, int Waiting, Time Now,
          std::int64_t Adopted = 0, ShareSize Held = {}) {
    wire::AllowanceDemand Demand;
    Demand.Account = accountNumber(Path);
    Demand.WantedMilliPerSecond = static_cast<std::int64_t>(PerSecond * Milli);
    if (Waiting > 0)
      Demand.__set_WaitingCalls(Waiting);
    wire::AllowanceRequest Request;
    Request.Incarnation = 1;
    Request.Number = ++this->Number;
    Request.__set_Adopted(Adopted);
    Request.__set_HeldDigest(
        static_cast<std::int32_t>(digestOf(Demand.Account, Held)));
    Request.Demands.push_back(Demand);
    return this->Ledger.receive(Request, From, Now);
  }
};

ShareSize shareIn(const wire::AllowanceReply &Reply) {
  for (const wire::AllowanceShare &Share : Reply.Shares) {
    if (Share.__isset.MilliPerSecond)
      return {Share.MilliPerSecond, Share.MilliDepth};
  }
  return {};
}

int tokensIn(const wire::AllowanceReply &Reply) {
  int Sum = 0;
  for (const wire::AllowanceShare &Share : Reply.Shares)
    Sum += Share.Tokens;
  return Sum;
}

/// A proxy's allowance, with the requests that it sent last.
struct Proxy {
  AccountAllowance Allowance{"proxy:1", 1};
  std::vector<wire::AllowanceRequest> Sent;

  Proxy() { this->Allowance.setControlAddresses({"control:1"}); }

  void collect(const Effects &Out) {
    for (const Effect &Item : Out) {
      if (const auto *Message = std::get_if<SendMessage>(&Item))
        this->Sent.push_back(std::get<wire::AllowanceRequest>(Message->Body));
    }
  }
  AccountAllowance::Verdict take(std::int64_t Number, Time Now) {
    Effects Out;
    const auto Result = this->Allowance.take(Number, Path, Now, Out);
    this->collect(Out);
    return Result.Result;
  }
  void tick(Time Now) {
    Effects Out;
    this->Allowance.tick(Now, Out);
    this->collect(Out);
  }
  /// Replies to the request at \p Index with a share and tokens.
  void reply(std::size_t Index, std::optional<ShareSize> Share, int Tokens,
             Time Now) {
    wire::AllowanceShare Item;
    Item.Account = accountNumber(Path);
    if (Share) {
      Item.__set_MilliPerSecond(Share->MilliPerSecond);
      Item.__set_MilliDepth(Share->MilliDepth);
    }
    Item.__set_Tokens(Tokens);
    wire::AllowanceReply Reply;
    Reply.Number = this->Sent.at(Index).Number;
    Reply.ValidMs = static_cast<std::int32_t>(ShareValidity.count());
    Reply.Shares.push_back(Item);
    Effects Out;
    this->Allowance.receive(Reply, "control:1", Now, Out);
    this->collect(Out);
  }
  /// Returns how many calls are granted now.
  int grants(Time Now) {
    int Count = 0;
    constexpr int Most = 1000;
    while (Count < Most &&
           this->take(Most + Count, Now) == AccountAllowance::Verdict::Granted)
      ++Count;
    return Count;
  }
};

constexpr ShareSize TenPerSecond{10'000, 10'000};
/// Pace at which a rate of 300 with a burst of 300 is refilled: half of the
/// burst is spread over the 5 s of a span.
constexpr double RefillPerSecond = 330;
/// Four fifths of it are granted as shares.
constexpr std::int64_t SharedMilliPace = 264'000;

} // namespace

// Guards against granting one share twice: the daemon may not have received
// the reply that reduced its share.
TEST_CASE("a share is granted to others once its reduction is confirmed") {
  Leader Of(true);
  const ShareSize First = shareIn(*Of.request("a:1", 200, 1, Start));
  CHECK(First.MilliPerSecond > 230'000);
  const std::int64_t FirstNumber = Of.Number;
  Time Now = Start + milliseconds(100);
  Of.confirm(Now);
  // Nothing is left for the second daemon.
  CHECK(shareIn(*Of.request("b:1", 200, 1, Now)).empty());
  // The first one is offered less, but may not have received it yet.
  const ShareSize Less =
      shareIn(*Of.request("a:1", 10, 0, Now, FirstNumber, First));
  const std::int64_t SecondNumber = Of.Number;
  CHECK(Less.MilliPerSecond < First.MilliPerSecond / 2);
  CHECK(shareIn(*Of.request("b:1", 200, 1, Now)).empty());
  // A request that does not confirm the reply changes nothing.
  Of.request("a:1", 10, 0, Now, FirstNumber, First);
  CHECK(shareIn(*Of.request("b:1", 200, 1, Now)).empty());
  Of.request("a:1", 10, 0, Now, SecondNumber, Less);
  const ShareSize Second = shareIn(*Of.request("b:1", 200, 1, Now));
  CHECK(Second.MilliPerSecond > 0);
  CHECK(Second.MilliPerSecond + Less.MilliPerSecond <= SharedMilliPace);
}

// Guards against a later leader that renewed the share meanwhile.
TEST_CASE("an ended share is granted to others after a confirmation") {
  Leader Of(true);
  REQUIRE(!shareIn(*Of.request("a:1", 200, 1, Start)).empty());
  const Time Ended = Start + ShareValidity + milliseconds(200);
  // Confirmed shortly before the end of the share.
  Of.Ledger.update({true, 1, Ended - milliseconds(400)}, false, Ended);
  CHECK(shareIn(*Of.request("b:1", 200, 1, Ended)).empty());
  Of.confirm(Ended);
  CHECK(!shareIn(*Of.request("b:1", 200, 1, Ended)).empty());
}

// Guards against a new leader that grants what the former one granted.
TEST_CASE("a new leader only renews until former shares have ended") {
  Leader Of(false);
  Time Now = Start + milliseconds(1000);
  Of.confirm(Now);
  const auto Fresh = Of.request("b:1", 200, 100, Now);
  CHECK(shareIn(*Fresh).empty());
  CHECK(tokensIn(*Fresh) <= 20);
  // A daemon that holds a share is asked to name it.
  const auto Unknown = Of.request("a:1", 200, 0, Now, 7, TenPerSecond);
  CHECK(Unknown->WantsAll);
  CHECK(Unknown->ValidMs == 0);
  wire::AllowanceRequest All;
  All.Incarnation = 1;
  All.Number = ++Of.Number;
  All.__set_All(true);
  wire::AllowanceDemand Demand;
  Demand.Account = accountNumber(Path);
  Demand.WantedMilliPerSecond = 10'000;
  Demand.__set_HeldMilliPerSecond(TenPerSecond.MilliPerSecond);
  Demand.__set_HeldMilliDepth(TenPerSecond.MilliDepth);
  All.Demands.push_back(Demand);
  const auto Renewed = Of.Ledger.receive(All, "a:1", Now);
  CHECK(Renewed->ValidMs == ShareValidity.count());
  CHECK(Renewed->Shares.empty());
  CHECK(Of.Ledger.reservedOf(Path) == TenPerSecond);
  // Later, what is not known has ended.
  Now = Start + LongTime;
  Of.confirm(Now);
  CHECK(!shareIn(*Of.request("b:1", 200, 1, Now)).empty());
  All.Number = ++Of.Number;
  All.Demands[0].WantedMilliPerSecond = 0;
  const auto Stale = Of.Ledger.receive(All, "c:1", Now);
  REQUIRE(Stale->Shares.size() == 1);
  CHECK(Stale->Shares[0].__isset.MilliDepth);
  CHECK(Stale->Shares[0].MilliDepth == 0);
  CHECK(Of.Ledger.reservedOf(Path).MilliPerSecond <= SharedMilliPace);
}

// Guards against a leader that was replaced while its process or machine stood
// still.
TEST_CASE("a leader answers only while its leadership is confirmed") {
  Leader Of(true);
  CHECK(Of.request("a:1", 1, 1, Start + milliseconds(500)).has_value());
  CHECK(!Of.request("a:1", 1, 1, Start + milliseconds(700)).has_value());
  Of.confirm(Start + milliseconds(800));
  CHECK(Of.request("a:1", 1, 1, Start + milliseconds(800)).has_value());
  Of.Ledger.suspended(Start + milliseconds(810));
  CHECK(!Of.request("a:1", 1, 1, Start + milliseconds(820)).has_value());
  Of.confirm(Start + milliseconds(900));
  CHECK(Of.request("a:1", 1, 1, Start + milliseconds(900)).has_value());
}

// Guards against tokens that a repeated message takes again.
TEST_CASE("tokens are given once for each request") {
  Leader Of(true, {5, 5});
  wire::AllowanceRequest Request;
  Request.Incarnation = 1;
  Request.Number = 3;
  wire::AllowanceDemand Demand;
  Demand.Account = accountNumber(Path);
  Demand.__set_WaitingCalls(4);
  Request.Demands.push_back(Demand);
  CHECK(tokensIn(*Of.Ledger.receive(Request, "a:1", Start)) == 4);
  CHECK(!Of.Ledger.receive(Request, "a:1", Start).has_value());
  Request.Number = 2;
  CHECK(!Of.Ledger.receive(Request, "a:1", Start).has_value());
  Request.Number = 4;
  CHECK(tokensIn(*Of.Ledger.receive(Request, "a:1", Start)) == 4);
}

// Guards against keeping the share of a process that is gone.
TEST_CASE("a new incarnation of a daemon frees its share") {
  Leader Of(true);
  REQUIRE(!shareIn(*Of.request("a:1", 200, 1, Start)).empty());
  wire::AllowanceRequest Restarted;
  Restarted.Incarnation = 2;
  Restarted.Number = 1;
  REQUIRE(Of.Ledger.receive(Restarted, "a:1", Start).has_value());
  CHECK(Of.Ledger.reservedOf(Path).empty());
  CHECK(!Of.request("a:1", 1, 1, Start).has_value());
}

TEST_CASE("a call is held until the reply to its request") {
  Proxy P;
  CHECK(P.take(1, Start) == AccountAllowance::Verdict::Held);
  REQUIRE(P.Sent.size() == 1);
  CHECK(P.Sent[0].Demands.at(0).WaitingCalls == 1);
  P.reply(0, std::nullopt, 1, Start + milliseconds(5));
  const auto Decided = P.Allowance.takeDecided();
  REQUIRE(Decided.size() == 1);
  CHECK(Decided[0].CallNumber == 1);
  CHECK(Decided[0].Result == AccountAllowance::Verdict::Granted);
}

// Guards against calls that wait without end when no leader answers.
TEST_CASE("a call is refused if no leader answers") {
  Proxy P;
  CHECK(P.take(1, Start) == AccountAllowance::Verdict::Held);
  P.tick(Start + milliseconds(60));
  CHECK(P.Sent.size() == 2);
  CHECK(P.Allowance.takeDecided().empty());
  P.tick(Start + milliseconds(150));
  const auto Decided = P.Allowance.takeDecided();
  REQUIRE(Decided.size() == 1);
  CHECK(Decided[0].Result == AccountAllowance::Verdict::OutOfTouch);
}

// Guards against an earlier reply that raises a share which was reduced since.
TEST_CASE("a reply is not applied after the reply to a later request") {
  Proxy P;
  P.take(1, Start);
  P.tick(Start + milliseconds(60));
  REQUIRE(P.Sent.size() == 2);
  P.reply(1, ShareSize{1000, 1000}, 1, Start + milliseconds(70));
  P.reply(0, TenPerSecond, 10, Start + milliseconds(80));
  CHECK(P.Allowance.sharesPerSecond(Start + milliseconds(80)) == 1);
}

// Guards against a share that a later leader granted to others: a new leader
// renews what a daemon held when it sent its request.
TEST_CASE("a renewal that arrives after the end of the share is ignored") {
  Proxy P;
  P.take(1, Start);
  P.reply(0, TenPerSecond, 1, Start + milliseconds(5));
  const Time Renewed = Start + ShareValidity - milliseconds(500);
  P.tick(Renewed);
  REQUIRE(P.Sent.size() == 2);
  SECTION("in time") {
    P.reply(1, std::nullopt, 0, Start + ShareValidity - milliseconds(1));
    CHECK(P.grants(Start + ShareValidity + milliseconds(100)) == 10);
  }
  SECTION("late") {
    P.reply(1, std::nullopt, 0, Start + ShareValidity + milliseconds(1));
    CHECK(P.grants(Start + ShareValidity + milliseconds(100)) == 0);
  }
  SECTION("after another request") {
    CHECK(P.take(2, Start + ShareValidity + milliseconds(1)) ==
          AccountAllowance::Verdict::Held);
    P.reply(1, ShareSize{5000, 5000}, 0,
            Start + ShareValidity + milliseconds(2));
    CHECK(P.Allowance.sharesPerSecond(Start + ShareValidity +
                                      milliseconds(3)) == 0);
  }
}

// Guards against shares that outlive a suspension of the machine.
TEST_CASE("a suspension makes a share older") {
  Proxy P;
  P.take(1, Start);
  P.reply(0, TenPerSecond, 1, Start + milliseconds(5));
  CHECK(P.Allowance.sharesPerSecond(Start + milliseconds(100)) == 10);
  P.Allowance.age(ShareValidity - milliseconds(50));
  CHECK(P.Allowance.sharesPerSecond(Start + milliseconds(100)) == 0);
  CHECK(P.grants(Start + milliseconds(100)) == 0);
}

// Guards against tokens of a former leader that are taken while the next one
// grants its own.
TEST_CASE("tokens that arrive late are not taken") {
  Proxy P;
  P.take(1, Start);
  P.reply(0, std::nullopt, 1, Start + TokenValidity + milliseconds(1));
  for (const auto &Item : P.Allowance.takeDecided())
    CHECK(Item.Result != AccountAllowance::Verdict::Granted);
}

// Guards against a bucket that saves more than its depth by returned tokens.
TEST_CASE("a returned token is kept only if there was room for it all along") {
  Proxy P;
  P.take(1, Start);
  P.reply(0, TenPerSecond, 1, Start + milliseconds(5));
  Time Now = Start + milliseconds(2000);
  CHECK(P.grants(Now) == 10);
  P.Allowance.takeDecided();
  const Time TakenAt = Now;
  SECTION("while the bucket is empty") {
    P.Allowance.giveBack(Path, TakenAt, Now + milliseconds(10));
    const auto Decided = P.Allowance.takeDecided();
    REQUIRE(Decided.size() == 1);
    CHECK(Decided[0].Result == AccountAllowance::Verdict::Granted);
  }
  SECTION("after the bucket was full") {
    P.Allowance.cancel(1010);
    Now += milliseconds(1000);
    CHECK(P.grants(Now) == 10);
    P.Allowance.takeDecided();
    P.Allowance.giveBack(Path, TakenAt, Now + milliseconds(10));
    CHECK(P.Allowance.takeDecided().empty());
  }
}

// Guards against messages for accounts that are not in use.
TEST_CASE("a share that is not used is given up") {
  Leader Of(true);
  const ShareSize Share = shareIn(*Of.request("a:1", 200, 1, Start));
  REQUIRE(!Share.empty());
  const auto Reply = Of.request("a:1", 0, 0, Start, Of.Number, Share);
  REQUIRE(Reply->Shares.size() == 1);
  CHECK(Reply->Shares[0].MilliPerSecond == 0);
}

// Guards against tokens that are used after the share went to others.
TEST_CASE("saved tokens end with their share") {
  Proxy P;
  P.take(1, Start);
  P.reply(0, TenPerSecond, 1, Start + milliseconds(5));
  SECTION("before") {
    CHECK(P.grants(Start + ShareValidity - milliseconds(1)) == 10);
  }
  SECTION("after") {
    CHECK(P.grants(Start + ShareValidity + milliseconds(1)) == 0);
  }
}

// Guards against a new leader that grants the whole rate as tokens while shares
// of the former one are in use.
TEST_CASE("a new leader grants as tokens only what no share can have") {
  Leader Of(false);
  int Tokens = 0;
  constexpr milliseconds Step{100};
  constexpr milliseconds Time1{4000};
  for (Time Now = Start + Step; Now < Start + Time1; Now += Step) {
    Of.confirm(Now);
    Tokens += tokensIn(*Of.request("a:1", 300, 60, Now));
    if (Now <= Start + milliseconds(700))
      CHECK(Tokens == 0);
  }
  CHECK(Tokens > 150);
  // A fifth of the rate for 3.2 s, and 4.
  CHECK(Tokens <= 0.2 * RefillPerSecond * 3.2 + 4);
}
