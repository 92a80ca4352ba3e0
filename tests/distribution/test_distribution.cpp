#include "libpersimmon/distribution.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

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

wire::Delta delta(const Distribution &On, std::int64_t To,
                  std::vector<wire::Setting> Puts,
                  std::vector<std::string> Removed = {}) {
  SettingsMap Content = On.settings();
  wire::Delta Out;
  Out.From = On.version();
  Out.To = To;
  for (const wire::Setting &Entry : Puts)
    Content[Entry.Path] = Entry;
  for (const std::string &Path : Removed)
    Content.erase(Path);
  std::uint64_t Sum = 0;
  for (const auto &[Path, Entry] : Content)
    Sum += hashOf(Entry);
  Out.Hash = static_cast<std::int64_t>(Sum);
  Out.Puts = std::move(Puts);
  Out.Removed = std::move(Removed);
  return Out;
}

/// A source with some versions, and a proxy that pulls from it.
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

  /// Returns what the proxy asks once it hears of the source's version.
  wire::PullRequest ask(Time Now) {
    this->Out.clear();
    this->Proxy.heard("source", this->Source.version(), Now, this->Out);
    this->Proxy.tick(Now, this->Out);
    for (const Effect &Item : this->Out) {
      const auto *Sent = std::get_if<SendMessage>(&Item);
      if (Sent != nullptr &&
          std::holds_alternative<wire::PullRequest>(Sent->Body))
        return std::get<wire::PullRequest>(Sent->Body);
    }
    FAIL("the proxy did not ask");
    return {};
  }

  wire::PullReply serve(const wire::PullRequest &Request, Time Now) {
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
  // A value that is valid by itself; only the hash tells.
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

TEST_CASE("a proxy never goes back") {
  Fixture F;
  const wire::PullReply Old = F.serve(F.ask(Start), Start);
  F.Source.applyCommitted(
      delta(F.Source, 9, {setting("team/services/b", "{}", 9)}), F.Out);
  F.Proxy.receive(F.serve(wire::PullRequest(), Start), "source", Start, F.Out);
  REQUIRE(F.Proxy.version() == 9);
  // The older answer crosses the newer one on its way.
  F.Source.applyCommitted(
      delta(F.Source, 12, {setting("team/services/c", "{}", 12)}), F.Out);
  F.ask(Start);
  F.Proxy.receive(Old, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 9);
}

TEST_CASE("a delta on another base is refused and a snapshot repairs it") {
  Fixture F;
  F.Proxy.receive(F.serve(F.ask(Start), Start), "source", Start, F.Out);
  F.Source.applyCommitted(
      delta(F.Source, 9, {setting("team/services/b", "{}", 9)}), F.Out);
  wire::PullReply Crossed = F.serve(F.ask(Start), Start);
  Crossed.Deltas[0].From = 8;
  F.Proxy.receive(Crossed, "source", Start, F.Out);
  CHECK(F.Proxy.version() == 6);
  const wire::PullRequest Again = F.ask(Start);
  CHECK(Again.HaveVersion == 0);
  F.Proxy.receive(F.serve(Again, Start), "source", Start, F.Out);
  CHECK(F.Proxy.version() == 9);
}

TEST_CASE("an answer that was not asked for is ignored") {
  Fixture F;
  const wire::PullReply Reply = F.serve(wire::PullRequest(), Start);
  F.Proxy.receive(Reply, "stranger", Start, F.Out);
  CHECK(F.Proxy.version() == 0);
}

TEST_CASE("a storm of pulls is bounded and told when to return") {
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

TEST_CASE("a source that does not answer is left for another") {
  Fixture F;
  F.ask(Start);
  F.Out.clear();
  F.Proxy.heard("other", 6, Start, F.Out);
  CHECK(F.Out.empty());
  F.Proxy.tick(Start + milliseconds(900), F.Out);
  const auto *Checked =
      F.Out.empty() ? nullptr : std::get_if<RenewConnection>(&F.Out.front());
  REQUIRE(Checked != nullptr);
  CHECK(Checked->SilentSince == Start);
  // The connection gave no sign of life, so it has ended.
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

TEST_CASE("an answer that a thin link brings slowly is not asked for again") {
  Fixture F;
  const wire::PullReply Slow = F.serve(F.ask(Start), Start);
  F.Out.clear();
  // Each check finds that bytes arrive, so nothing ends the pull.
  for (Time Now = Start; Now < Start + milliseconds(4000);
       Now += milliseconds(20))
    F.Proxy.tick(Now, F.Out);
  for (const Effect &Item : F.Out)
    CHECK_FALSE(std::holds_alternative<SendMessage>(Item));
  F.Out.clear();
  F.Proxy.receive(Slow, "source", Start + milliseconds(4000), F.Out);
  CHECK(F.Proxy.version() == 6);
}
