#include "libpersimmon/distribution.h"
#include "support/platformroutes.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>

using namespace persimmon;

namespace {

const Time Start = Time() + std::chrono::hours(1);

wire::Setting setting(const std::string &Path, const std::string &Value,
                      std::int64_t Version) {
  wire::Setting Out;
  Out.Path = Path;
  Out.Value = Value;
  Out.Version = Version;
  return Out;
}

/// Computes the hash from the whole content instead of incrementally.
std::uint64_t fullHash(const SettingsMap &Content) {
  std::uint64_t Sum = 0;
  for (const auto &[Path, Entry] : Content)
    Sum += hashOf(Entry);
  return Sum;
}

wire::Delta delta(const Distribution &Base, std::int64_t To,
                  std::vector<wire::Setting> Puts,
                  std::vector<std::string> Removed = {}) {
  SettingsMap Content = Base.settings();
  wire::Delta Out;
  Out.From = Base.version();
  Out.To = To;
  for (const wire::Setting &Entry : Puts)
    Content[Entry.Path] = Entry;
  for (const std::string &Path : Removed)
    Content.erase(Path);
  Out.Hash = static_cast<std::int64_t>(fullHash(Content));
  Out.Puts = std::move(Puts);
  Out.Removed = std::move(Removed);
  return Out;
}

/// A source that has committed two versions, and a proxy that pulls from it.
struct Fixture {
  Distribution Source{1};
  Distribution Proxy{2};
  Effects Out;

  Fixture() {
    this->Source.applyCommitted(
        delta(this->Source, 5,
              {setting("team/services/work", "{}", 5),
               setting("team/routes/r",
                       R"({"job":"job","service":"team/work"})", 5)}),
        this->Out);
    this->Source.applyCommitted(
        delta(this->Source, 6,
              {setting("team/services/work", R"({"queue":2})", 6)}),
        this->Out);
    this->Out.clear();
  }

  /// Commits one change at the source.
  void add(std::vector<wire::Setting> Puts) {
    const std::int64_t Version = this->Source.version() + 1;
    this->Source.applyCommitted(delta(this->Source, Version, std::move(Puts)),
                                this->Out);
    REQUIRE(this->Source.version() == Version);
    this->Out.clear();
  }

  /// Commits 2,900 routes at the source.
  void fill() {
    this->add(platformServices(7));
    this->add(platformRoutes(0, 2900, 8));
  }

  /// Returns the pull request that the proxy sends when it learns of the
  /// source's version.
  wire::PullRequest ask(Time Now) {
    this->Out.clear();
    this->Proxy.notePeerVersion("source", this->Source.version(), Now,
                                this->Out);
    this->Proxy.tick(Now, this->Out);
    for (const Effect &Item : this->Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      if (Sent != nullptr &&
          std::holds_alternative<wire::PullRequest>(Sent->Body))
        return std::get<wire::PullRequest>(Sent->Body);
    }
    FAIL("the proxy sent no pull request");
    return {};
  }

  wire::PullReply serve(const wire::PullRequest &Request, Time Now) {
    wire::PullReply Reply = this->answer(Request, Now);
    if (!Reply.TooLarge)
      return Reply;
    // The proxy then repeats the request over a stream.
    Effects Asked;
    this->Proxy.receive(Reply, "source", Now, Asked);
    const auto &Sent = std::get<SendMessage>(
        *std::find_if(Asked.begin(), Asked.end(), [](const Effect &Item) {
          const auto *Message = std::get_if<SendMessage>(&Item);
          return Message != nullptr && Message->Via == Channel::Stream;
        }));
    return this->answer(std::get<wire::PullRequest>(Sent.Body), Now);
  }

  wire::PullReply answer(const wire::PullRequest &Request, Time Now) {
    Effects Served;
    this->Source.receive(Request, "proxy", Now, Served);
    return std::get<wire::PullReply>(std::get<SendMessage>(Served.at(0)).Body);
  }
};

} // namespace

TEST_CASE("a proxy pulls a snapshot and then deltas") {
  Fixture F;
  const wire::PullReply First = F.serve(F.ask(Start), Start);
  F.Proxy.receive(First, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 6);
  CHECK(F.Proxy.hash() == F.Source.hash());
  F.Source.applyCommitted(
      delta(F.Source, 9, {setting("team/services/b", "{}", 9)}), F.Out);
  const wire::PullReply Second = F.serve(F.ask(Start), Start);
  CHECK(!Second.IsSnapshot);
  CHECK(Second.Deltas.size() == 1);
  F.Proxy.receive(Second, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 9);
}

TEST_CASE("a damaged update changes nothing") {
  Fixture F;
  wire::PullReply Reply = F.serve(F.ask(Start), Start);
  // The changed value is valid; only the hash reveals the damage.
  REQUIRE(Reply.Settings.back().Path == "team/services/work");
  Reply.Settings.back().Value = R"({"queue":3})";
  F.Proxy.receive(Reply, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 0);
  CHECK(F.Proxy.table() == nullptr);
}

TEST_CASE("a partial update changes nothing") {
  Fixture F;
  wire::PullReply Reply = F.serve(F.ask(Start), Start);
  Reply.Settings.pop_back();
  F.Proxy.receive(Reply, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 0);
}

TEST_CASE("an update with a route to a missing service changes nothing") {
  Fixture F;
  wire::PullReply Reply = F.serve(F.ask(Start), Start);
  std::erase_if(Reply.Settings, [](const wire::Setting &Entry) {
    return Entry.Path == "team/services/work";
  });
  std::uint64_t Sum = 0;
  for (const wire::Setting &Entry : Reply.Settings)
    Sum += hashOf(Entry);
  Reply.Hash = static_cast<std::int64_t>(Sum);
  F.Proxy.receive(Reply, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 0);
  CHECK(F.Proxy.table() == nullptr);
}

TEST_CASE("a proxy never returns to an older version") {
  Fixture F;
  const wire::PullReply Old = F.serve(F.ask(Start), Start);
  F.Source.applyCommitted(
      delta(F.Source, 9, {setting("team/services/b", "{}", 9)}), F.Out);
  F.Proxy.receive(F.serve(wire::PullRequest(), Start), "source", Start, F.Out);
  REQUIRE(F.Proxy.version() == 9);
  // The older reply arrives after the newer one.
  F.Source.applyCommitted(
      delta(F.Source, 12, {setting("team/services/c", "{}", 12)}), F.Out);
  F.ask(Start);
  F.Proxy.receive(Old, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 9);
}

TEST_CASE("a delta from another base is rejected and a snapshot is pulled") {
  Fixture F;
  F.Proxy.receive(F.serve(F.ask(Start), Start), "source", Start, F.Out);
  F.Source.applyCommitted(
      delta(F.Source, 9, {setting("team/services/b", "{}", 9)}), F.Out);
  wire::PullReply WrongBase = F.serve(F.ask(Start), Start);
  WrongBase.Deltas[0].From = 8;
  F.Proxy.receive(WrongBase, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 6);
  const wire::PullRequest Again = F.ask(Start);
  CHECK(Again.HaveVersion == 0);
  F.Proxy.receive(F.serve(Again, Start), "source", Start, F.Out);
  CHECK(F.Proxy.version() == 9);
}

TEST_CASE("an unsolicited reply is ignored") {
  Fixture F;
  const wire::PullReply Reply = F.serve(wire::PullRequest(), Start);
  F.Proxy.receive(Reply, "stranger", Start, F.Out);
  CHECK(F.Proxy.version() == 0);
}

TEST_CASE("pulls are rate-limited and refused ones get a retry time") {
  Fixture F;
  int Served = 0;
  int Busy = 0;
  for (int I = 0; I < 500; ++I) {
    const wire::PullReply Reply = F.serve(wire::PullRequest(), Start);
    Served += Reply.Busy ? 0 : 1;
    Busy += Reply.Busy && Reply.RetryAfterMs > 0 ? 1 : 0;
  }
  CHECK(Served == 16);
  CHECK(Busy == 484);
}

TEST_CASE("a source that does not answer is replaced by another") {
  Fixture F;
  F.ask(Start);
  F.Out.clear();
  F.Proxy.notePeerVersion("other", 6, Start, F.Out);
  CHECK(F.Out.empty());
  F.Proxy.tick(Start + milliseconds(900), F.Out);
  const auto *Checked =
      F.Out.empty() ? nullptr : std::get_if<RenewConnection>(&F.Out.front());
  REQUIRE(Checked != nullptr);
  CHECK(Checked->SilentSince == Start);
  // The connection showed no activity and was abandoned.
  const std::string Silent = Checked->Address;
  F.Out.clear();
  F.Proxy.streamLost(Silent, Start + milliseconds(900), F.Out);
  bool AskedOther = false;
  for (const Effect &Item : F.Out) {
    const auto *Sent = std::get_if<SendMessage>(&Item);
    AskedOther = AskedOther || (Sent != nullptr && Sent->Address == "other");
  }
  CHECK(AskedOther);
}

TEST_CASE("a reply that arrives slowly is not requested again") {
  Fixture F;
  const wire::PullReply Slow = F.serve(F.ask(Start), Start);
  F.Out.clear();
  // Every check finds that bytes arrive, so the pull continues.
  for (Time Now = Start; Now < Start + milliseconds(4000);
       Now += milliseconds(20))
    F.Proxy.tick(Now, F.Out);
  for (const Effect &Item : F.Out)
    CHECK_FALSE(std::holds_alternative<SendMessage>(Item));
  F.Out.clear();
  F.Proxy.receive(Slow, "source", Start + milliseconds(4000), F.Out);
  CHECK(F.Proxy.version() == 6);
}

namespace {

/// Returns the addresses to which \p Out sends pull requests by datagram.
std::vector<std::string> datagramPullTargets(const Effects &Out) {
  std::vector<std::string> Found;
  for (const Effect &Item : Out) {
    const auto *Sent = std::get_if<SendMessage>(&Item);
    if (Sent != nullptr && Sent->Via == Channel::Datagram &&
        std::holds_alternative<wire::PullRequest>(Sent->Body))
      Found.push_back(Sent->Address);
  }
  return Found;
}

} // namespace

TEST_CASE("a small change is pulled by datagram") {
  Fixture F;
  F.Proxy.receive(F.serve(F.ask(Start), Start), "source", Start, F.Out);
  F.add({setting("team/services/late", "{}", 7)});
  const wire::PullRequest Request = F.ask(Start);
  CHECK(Request.AsDatagram);
  REQUIRE(datagramPullTargets(F.Out) == std::vector<std::string>{"source"});
  Effects Served;
  F.Source.receive(Request, "proxy", Start, Served);
  const auto &Sent = std::get<SendMessage>(Served.at(0));
  CHECK(Sent.Via == Channel::Datagram);
  F.Proxy.receive(std::get<wire::PullReply>(Sent.Body), "source", Start, F.Out);
  CHECK(F.Proxy.version() == 7);
}

TEST_CASE("other sources are asked after a lost reply") {
  Fixture F;
  F.Proxy.receive(F.serve(F.ask(Start), Start), "source", Start, F.Out);
  F.Out.clear();
  F.Proxy.notePeerVersion("source", 7, Start, F.Out);
  F.Proxy.notePeerVersion("other", 7, Start, F.Out);
  bool Connected = false;
  for (Time Now = Start; Now < Start + milliseconds(1000);
       Now += milliseconds(20))
    F.Proxy.tick(Now, F.Out);
  for (const Effect &Item : F.Out) {
    const auto *Sent = std::get_if<SendMessage>(&Item);
    Connected =
        Connected || (Sent != nullptr && Sent->Via == Channel::Stream &&
                      std::holds_alternative<wire::PullRequest>(Sent->Body));
  }
  CHECK(Connected);
  CHECK(datagramPullTargets(F.Out).size() >= 6);
}

TEST_CASE("two different replies to the same request are both applied") {
  Fixture F;
  F.Proxy.receive(F.serve(F.ask(Start), Start), "source", Start, F.Out);
  F.add({setting("team/services/b", "{}", 7)});
  const wire::PullRequest Request = F.ask(Start);
  const wire::PullReply First = F.serve(Request, Start);
  F.add({setting("team/services/c", "{}", 8)});
  const wire::PullReply Second = F.serve(Request, Start);
  REQUIRE(Second.Deltas.size() == 2);
  F.Proxy.receive(First, "source", Start, F.Out);
  REQUIRE(F.Proxy.version() == 7);
  F.Proxy.receive(Second, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 8);
  CHECK(F.Proxy.hash() == F.Source.hash());
}

TEST_CASE("a snapshot is small enough for a slow link") {
  // A version must be in force within two seconds. On the slowest observed
  // link, 4.45 Mbit/s, 139 kB take a quarter of a second.
  constexpr std::size_t LargestBytes = 4'450'000 / 8 / 4;
  Fixture F;
  F.fill();
  const wire::PullReply Reply = F.serve(F.ask(Start), Start);
  CHECK(encode(Reply).size() <= LargestBytes);
  F.Proxy.receive(Reply, "source", Start, F.Out);
  CHECK(F.Proxy.version() == F.Source.version());
  CHECK(F.Proxy.hash() == F.Source.hash());
}

TEST_CASE("a large delta is small enough for a slow link") {
  // The same limit for a delta that adds 1,268 routes to a proxy with 1,632.
  constexpr std::size_t LargestBytes = 4'450'000 / 8 / 4;
  Fixture F;
  F.add(platformServices(7));
  F.add(platformRoutes(0, 1632, 8));
  F.Proxy.receive(F.serve(F.ask(Start), Start), "source", Start, F.Out);
  REQUIRE(F.Proxy.version() == F.Source.version());
  F.add(platformRoutes(1632, 1268, 9));
  const wire::PullReply Reply = F.serve(F.ask(Start), Start);
  CHECK(!Reply.IsSnapshot);
  CHECK(encode(Reply).size() <= LargestBytes);
  F.Proxy.receive(Reply, "source", Start, F.Out);
  CHECK(F.Proxy.version() == F.Source.version());
  CHECK(F.Proxy.hash() == F.Source.hash());
}

TEST_CASE("a peer that does not support packed replies gets none") {
  Fixture F;
  F.fill();
  wire::PullRequest Old = F.ask(Start);
  F.serve(Old, Start);
  Old.TakesPacked = false;
  const wire::PullReply Reply = F.serve(Old, Start);
  CHECK(Reply.Packed.empty());
  CHECK(Reply.Settings.size() == F.Source.settings().size());
  F.Proxy.receive(Reply, "source", Start, F.Out);
  CHECK(F.Proxy.version() == F.Source.version());
}

TEST_CASE("a damaged or oversized packed update changes nothing") {
  Fixture F;
  F.fill();
  const wire::PullReply Intact = F.serve(F.ask(Start), Start);
  REQUIRE(!Intact.Packed.empty());
  std::vector<wire::PullReply> Damaged;
  const auto AddDamaged = [&]() -> wire::PullReply & {
    return Damaged.emplace_back(Intact);
  };
  for (std::size_t At = 0; At < Intact.Packed.size(); At += 4999)
    AddDamaged().Packed[At] ^= 1;
  AddDamaged().Packed.back() ^= 1;
  AddDamaged().Packed.pop_back();
  AddDamaged().Packed.resize(1);
  AddDamaged().Packed += '\0';
  AddDamaged().UnpackedBytes += 1;
  AddDamaged().UnpackedBytes -= 1;
  AddDamaged().UnpackedBytes = 0;
  AddDamaged().UnpackedBytes = -1;
  AddDamaged().UnpackedBytes = std::numeric_limits<std::int32_t>::max();
  for (const wire::PullReply &Reply : Damaged) {
    F.Out.clear();
    F.Proxy.receive(Reply, "source", Start, F.Out);
    REQUIRE(!F.Out.empty());
    const auto *Warning = std::get_if<LogWarning>(&F.Out.front());
    REQUIRE(Warning != nullptr);
    CHECK(Warning->Line.find("403 UpdateRejected") != std::string::npos);
    CHECK(F.Proxy.version() == 0);
    CHECK(F.Proxy.table() == nullptr);
    F.ask(Start);
  }
  F.Proxy.receive(Intact, "source", Start, F.Out);
  CHECK(F.Proxy.version() == F.Source.version());
}

TEST_CASE("a packed update without the announced hash changes nothing") {
  Fixture F;
  F.fill();
  wire::PullReply Reply = F.serve(F.ask(Start), Start);
  REQUIRE(!Reply.Packed.empty());
  Reply.Hash += 1;
  F.Proxy.receive(Reply, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 0);
  CHECK(F.Proxy.table() == nullptr);
}

TEST_CASE("the snapshot and the deltas from three versions are cached") {
  PackedReplyCache Replies;
  wire::PullReply Large;
  Large.Settings = platformRoutes(0, 100, 1);
  for (const std::int64_t Base : {1, 2, 3, 4, 0}) {
    wire::PullReply Reply = Large;
    Replies.pack(Base, Reply, Start);
    // Deltas from a fourth base version stay unpacked; the snapshot is always
    // packed.
    CHECK(Reply.Packed.empty() == (Base == 4));
    CHECK(Reply.Settings.empty() == (Base != 4));
  }
  CHECK(Replies.size() == 4);
  REQUIRE(Replies.find(0, Start) != nullptr);
  CHECK(Replies.find(0, Start) == Replies.find(0, Start));
  CHECK(Replies.find(4, Start) == nullptr);
}

TEST_CASE("packed content is dropped after 10 s without a request") {
  PackedReplyCache Replies;
  wire::PullReply Reply;
  Reply.Settings = platformRoutes(0, 100, 1);
  Replies.pack(0, Reply, Start);
  const Time Later = Start + std::chrono::seconds(9);
  Replies.dropIdle(Later);
  REQUIRE(Replies.find(0, Later) != nullptr);
  Replies.dropIdle(Later + std::chrono::seconds(9));
  CHECK(Replies.size() == 1);
  Replies.dropIdle(Later + std::chrono::seconds(10));
  CHECK(Replies.size() == 0);
}

TEST_CASE("packed content of an older version is not served") {
  Fixture F;
  F.fill();
  F.serve(F.ask(Start), Start);
  F.add({setting("mesh/services/late", "{}", 9)});
  wire::PullRequest All;
  All.TakesPacked = true;
  F.Proxy.receive(F.serve(All, Start), "source", Start, F.Out);
  CHECK(F.Proxy.version() == F.Source.version());
  CHECK(F.Proxy.hash() == F.Source.hash());
}

TEST_CASE("a pulled reply is passed on without packing it again") {
  Fixture F;
  F.fill();
  wire::PullRequest Request = F.ask(Start);
  wire::PullReply Pulled = F.serve(Request, Start);
  REQUIRE((Pulled.Packed.substr(0, 2) == "\x78\x5e"));
  // The same content, with a header that names another compression level.
  Pulled.Packed[1] = '\x9c';
  F.Proxy.receive(Pulled, "source", Start, F.Out);
  REQUIRE(F.Proxy.version() == F.Source.version());
  Effects Served;
  F.Proxy.receive(Request, "other", Start, Served);
  const auto Forwarded =
      std::get<wire::PullReply>(std::get<SendMessage>(Served.at(0)).Body);
  CHECK((Forwarded.Packed == Pulled.Packed));
  CHECK(Forwarded.IsSnapshot);
  CHECK(Forwarded.Hash == Pulled.Hash);
}

TEST_CASE("the incremental hash equals the hash of the whole content") {
  Random Rng(7);
  SettingsMap Content;
  std::uint64_t Hash = 0;
  for (int Version = 1; Version <= 500; ++Version) {
    wire::Delta Change;
    for (int I = 0; I < 3; ++I) {
      // Added, replaced, unchanged, or put twice in one change.
      const std::string Path = "team/routes/r-" + std::to_string(Rng.below(40));
      Change.Puts.push_back(
          setting(Path, std::to_string(Rng.below(3)),
                  static_cast<std::int64_t>(1 + Rng.below(3))));
      // Removed, or not present.
      Change.Removed.push_back("team/routes/r-" +
                               std::to_string(Rng.below(40)));
    }
    applyDelta(Change, Content, Hash);
    REQUIRE(Hash == fullHash(Content));
  }
  CHECK(!Content.empty());
}

TEST_CASE("a delta that does not match the announced hash is rejected") {
  Fixture F;
  F.Proxy.receive(F.serve(F.ask(Start), Start), "source", Start, F.Out);
  F.Source.applyCommitted(
      delta(F.Source, 9, {setting("team/services/work", "{}", 9)}), F.Out);
  wire::PullReply Damaged = F.serve(F.ask(Start), Start);
  REQUIRE(Damaged.Deltas.size() == 1);
  Damaged.Deltas[0].Puts[0].Value = R"({"queue":3})";
  F.Proxy.receive(Damaged, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 6);
  wire::Delta Committed = delta(F.Source, 12, {});
  Committed.Hash += 1;
  F.Source.applyCommitted(Committed, F.Out);
  CHECK(F.Source.version() == 9);
}
