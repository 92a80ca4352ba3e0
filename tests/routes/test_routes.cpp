#include "libhost/requesttarget.h"
#include "platform/configuration.h"

#include <nlohmann/json.hpp>

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace persimmon;
using nlohmann::json;

namespace {

constexpr const char *Host = "a.example";

/// Returns a platform document with one route for each prefix; each route has
/// a service of its own, s0, s1, ... in the order of \p Prefixes.
json documentOf(const std::vector<std::string> &Prefixes) {
  json Out{{"version", 1}, {"baseVersion", 0}};
  Out["routes"] = json::array();
  Out["services"] = json::array();
  for (std::size_t I = 0; I < Prefixes.size(); ++I) {
    const std::string Service = "s" + std::to_string(I);
    Out["services"].push_back({{"name", Service}, {"healthPath", "/health"}});
    Out["routes"].push_back({{"name", "r" + std::to_string(I)},
                             {"host", Host},
                             {"pathPrefix", Prefixes[I]},
                             {"kind", "safe"},
                             {"timeoutS", 1},
                             {"maxAttempts", 2},
                             {"service", Service}});
  }
  return Out;
}

/// Checks \p Wanted against an empty store and applies it.
Failure submit(const SubtreeDocument &Wanted, SettingsStore &Store) {
  wire::LogEntry Entry;
  Entry.Kind = wire::EntryKind::Change;
  Entry.Index = 1;
  Failure Error = handleResult(
      [&] { return replaceSubtree(Store.settings(), Wanted); },
      [&](wire::Change Made) { Entry.TheChange = std::move(Made); });
  if (!Error.failed())
    Error = Store.check(Entry.TheChange);
  if (!Error.failed())
    Store.apply(Entry);
  return Error;
}

Failure submitDocument(const json &Document, SettingsStore &Store) {
  SubtreeDocument Wanted;
  const Failure Error =
      handleResult([&] { return platform::readConfiguration(Document.dump()); },
                   [&](SubtreeDocument Read) { Wanted = std::move(Read); });
  return Error.failed() ? Error : submit(Wanted, Store);
}

/// Returns native settings with one route for each prefix, as documentOf().
SubtreeDocument settingsOf(const std::vector<std::string> &Prefixes) {
  SubtreeDocument Out;
  Out.Team = "team";
  Out.Number = 1;
  Out.Digest = "digest";
  for (std::size_t I = 0; I < Prefixes.size(); ++I) {
    const std::string Number = std::to_string(I);
    Out.Values["team/services/s" + Number] = "{}";
    Out.Values["team/routes/r" + Number] = json{
        {"job", Host},
        {"pathPrefix", Prefixes[I]},
        {"service", "team/s" + Number}}.dump();
  }
  return Out;
}

/// Returns the number in the name of the service that \p Path is sent to; -1 if
/// there is no route.
int serviceAt(const SettingsStore &Store, const std::string &Path) {
  const RouteSpec *Route = Store.table()->match(Host, Path);
  if (Route == nullptr)
    return -1;
  const std::string &Service = Route->Parts.front().Service;
  return std::stoi(Service.substr(Service.find('/') + 2));
}

std::string withoutQuery(const std::string &Path) {
  return Path.substr(0, Path.find('?'));
}

std::string withoutLastSlashes(std::string Prefix) {
  while (!Prefix.empty() && Prefix.back() == '/')
    Prefix.pop_back();
  return Prefix;
}

/// The meaning of a platform prefix: it begins the text of the path.
bool beginsText(const std::string &Prefix, const std::string &Path) {
  return withoutQuery(Path).starts_with(Prefix);
}

/// The meaning of a native prefix: its segments are the first of the path.
bool beginsSegments(const std::string &Prefix, const std::string &Path) {
  const std::string Text = withoutQuery(Path);
  const std::string Start = withoutLastSlashes(Prefix);
  return Text == Start || Text.starts_with(Start + "/");
}

/// Returns the index of the longest prefix that begins \p Path; -1 for none.
template <typename BeginsT>
int longestPrefix(const std::vector<std::string> &Prefixes,
                  const std::string &Path, BeginsT Begins) {
  int Out = -1;
  for (std::size_t I = 0; I < Prefixes.size(); ++I) {
    const bool Longer =
        Out < 0 ||
        Prefixes[I].size() > Prefixes[static_cast<std::size_t>(Out)].size();
    if (Longer && Begins(Prefixes[I], Path))
      Out = static_cast<int>(I);
  }
  return Out;
}

/// Generates prefixes and paths from a few short segments, empty ones among
/// them, so that many of them begin alike.
class PathGenerator {
public:
  explicit PathGenerator(unsigned Seed) : Random(Seed) {}

  /// Returns distinct prefixes that begin and end with a slash.
  std::vector<std::string> prefixes() {
    std::set<std::string> Out;
    const unsigned Count = 1 + this->Random() % 12;
    while (Out.size() < Count)
      Out.insert(this->segments() + "/");
    return {Out.begin(), Out.end()};
  }

  /// Returns a path that may have a query, among them all variants of slashes
  /// at the end.
  std::string path() {
    constexpr std::array<const char *, 6> Ends = {"",     "/",       "//",
                                                  "?d=2", "/?a/b=/", "?x?/a/"};
    const std::string Out = this->segments() + Ends[this->Random() % 6];
    return Out.starts_with('/') ? Out : "/" + Out;
  }

private:
  std::string segments() {
    constexpr std::array<const char *, 7> Segments = {
        "/a", "/b", "/ab", "/a%2Fb", "/", "/a", "/b"};
    std::string Out;
    for (unsigned I = this->Random() % 4; I > 0; --I)
      Out += Segments[this->Random() % Segments.size()];
    return Out;
  }

  std::mt19937 Random;
};

constexpr int Documents = 200;
constexpr int PathsPerDocument = 100;

} // namespace

// Guards against review case 5: /x ran at the service of the prefix /x/.
TEST_CASE("a platform prefix does not begin the path without its last slash") {
  SettingsStore Store;
  REQUIRE(!submitDocument(documentOf({"/", "/x/"}), Store).failed());
  CHECK(serviceAt(Store, "/x/1") == 1);
  CHECK(serviceAt(Store, "/x/") == 1);
  CHECK(serviceAt(Store, "/x/?day=2") == 1);
  CHECK(serviceAt(Store, "/x") == 0);
  CHECK(serviceAt(Store, "/x?day=2") == 0);
  CHECK(serviceAt(Store, "/x?day=/2") == 0);
  CHECK(serviceAt(Store, "/xy/") == 0);
  SettingsStore WithoutRoot;
  REQUIRE(!submitDocument(documentOf({"/x/"}), WithoutRoot).failed());
  CHECK(serviceAt(WithoutRoot, "/x") == -1);
}

// Guards against a valid document that is refused because two of its prefixes
// differ only in the number of slashes.
TEST_CASE("platform prefixes that differ in slashes stand beside each other") {
  SettingsStore Store;
  const std::vector<std::string> Prefixes = {"/", "//", "/a/", "/a//"};
  const Failure Error = submitDocument(documentOf(Prefixes), Store);
  INFO(describe(Error));
  REQUIRE(!Error.failed());
  CHECK(serviceAt(Store, "/a/b") == 2);
  CHECK(serviceAt(Store, "/a//b") == 3);
  CHECK(serviceAt(Store, "//a/") == 1);
  CHECK(serviceAt(Store, "/a") == 0);
}

TEST_CASE("random platform paths take the route of the longest prefix") {
  const unsigned Seed = GENERATE(1u, 2u, 3u);
  PathGenerator Generator(Seed);
  for (int I = 0; I < Documents; ++I) {
    const std::vector<std::string> Prefixes = Generator.prefixes();
    SettingsStore Store;
    const Failure Error = submitDocument(documentOf(Prefixes), Store);
    INFO("seed " << Seed << " " << json(Prefixes).dump() << " "
                 << describe(Error));
    REQUIRE(!Error.failed());
    for (int J = 0; J < PathsPerDocument; ++J) {
      const std::string Path = Generator.path();
      const int Expected = longestPrefix(Prefixes, Path, beginsText);
      INFO(Path);
      REQUIRE(serviceAt(Store, Path) == Expected);
    }
  }
}

TEST_CASE("random paths take the native route of the most segments") {
  const unsigned Seed = GENERATE(1u, 2u, 3u);
  PathGenerator Generator(Seed);
  for (int I = 0; I < Documents; ++I) {
    // Slashes at the end of a native prefix mean nothing.
    std::set<std::string> Stripped;
    for (const std::string &Prefix : Generator.prefixes())
      Stripped.insert(withoutLastSlashes(Prefix));
    std::vector<std::string> Prefixes;
    Prefixes.reserve(Stripped.size());
    for (const std::string &Prefix : Stripped)
      Prefixes.push_back(Prefix + (Prefix.empty() || I % 2 == 0 ? "/" : ""));
    SettingsStore Store;
    INFO("seed " << Seed << " " << json(Prefixes).dump());
    REQUIRE(!submit(settingsOf(Prefixes), Store).failed());
    for (int J = 0; J < PathsPerDocument; ++J) {
      const std::string Path = Generator.path();
      const int Expected = longestPrefix(Prefixes, Path, beginsSegments);
      INFO(Path);
      REQUIRE(serviceAt(Store, Path) == Expected);
    }
  }
}

// Guards against a valid document that is refused because its host has
// capitals.
TEST_CASE("the host of a platform route matches in any case") {
  SettingsStore Store;
  json Document = documentOf({"/x/"});
  Document["routes"][0]["host"] = "A.Example";
  const Failure Error = submitDocument(Document, Store);
  INFO(describe(Error));
  REQUIRE(!Error.failed());
  // Requests arrive with their host in lower case.
  CHECK(serviceAt(Store, "/x/1") == 0);
  CHECK(platform::writeConfiguration(Store.settings())["routes"][0]["host"] ==
        "A.Example");
  json Twice = documentOf({"/x/", "/x/"});
  Twice["routes"][0]["host"] = "A.Example";
  SettingsStore Empty;
  CHECK(submitDocument(Twice, Empty).Code == ResultCode::MatchTaken);
}

// Stored settings and peers of version 0.2.0 have no pathMatch.
TEST_CASE("a stored platform route without pathMatch has a text prefix") {
  SettingsStore Written;
  REQUIRE(!submitDocument(documentOf({"/", "/x/"}), Written).failed());
  SettingsMap Stored;
  for (auto [Path, Entry] : Written.settings()) {
    json Value = json::parse(Entry.Value);
    Value.erase("pathMatch");
    Entry.Value = Value.dump();
    Stored.emplace(Path, Entry);
  }
  const auto Compile = [&](const std::string &TextPrefixTeam) {
    std::shared_ptr<const RouteTable> Out;
    handleResult(
        [&] {
          return RouteTable::build(Stored, nullptr,
                                   {Validation::Skip, TextPrefixTeam});
        },
        [&](auto Built) { Out = std::move(Built); });
    REQUIRE(Out);
    return Out;
  };
  const auto Platform = Compile(std::string(platform::Team));
  CHECK(Platform->match(Host, "/x")->Path == "mesh/routes/r0");
  CHECK(Platform->match(Host, "/x/1")->Path == "mesh/routes/r1");
  // Routes of other teams keep the documented default.
  const auto Native = Compile("another");
  CHECK(Native->match(Host, "/x")->Path == "mesh/routes/r1");
}

TEST_CASE("a daemon compiles members of a route that it does not know") {
  SettingsMap Stored;
  SubtreeDocument Wanted = settingsOf({"/x"});
  for (auto &[Path, Value] : Wanted.Values) {
    json Changed = json::parse(Value);
    Changed["later"] = "text";
    wire::Setting Entry;
    Entry.Path = Path;
    Entry.Value = Changed.dump();
    Stored.emplace(Path, Entry);
  }
  const Failure Error = handleResult(
      [&] { return RouteTable::build(Stored, nullptr, Validation::Skip); },
      [](auto) {});
  INFO(describe(Error));
  CHECK(!Error.failed());
}

TEST_CASE("a text prefix must end with a slash") {
  SettingsStore Store;
  const Failure Error = submitDocument(documentOf({"/x"}), Store);
  CHECK(Error.Code == ResultCode::ValueInvalid);
  CHECK(Error.Where == "mesh/routes/r0");
  SubtreeDocument Wanted = settingsOf({"/x"});
  Wanted.Values["team/routes/r0"] =
      R"({"job":"a.example","pathPrefix":"/x/","pathMatch":"none",
          "service":"team/s0"})";
  CHECK(submit(Wanted, Store).Code == ResultCode::ValueInvalid);
}

TEST_CASE("both kinds of prefixes stand beside each other in one job") {
  SettingsStore Store;
  SubtreeDocument Wanted = settingsOf({"/a", "/a/", "/"});
  json Text = json::parse(Wanted.Values["team/routes/r1"]);
  Text["pathMatch"] = "text";
  Wanted.Values["team/routes/r1"] = Text.dump();
  const Failure Error = submit(Wanted, Store);
  INFO(describe(Error));
  REQUIRE(!Error.failed());
  CHECK(serviceAt(Store, "/a") == 0);
  CHECK(serviceAt(Store, "/a/") == 1);
  CHECK(serviceAt(Store, "/a/b") == 1);
  CHECK(serviceAt(Store, "/ab") == 2);
}

namespace {

struct TargetCase {
  const char *Target;
  const char *Host;
  /// Empty if the request is refused.
  std::string Job;
  std::string Url;
};

} // namespace

// Guards against a request target in absolute form that is refused.
TEST_CASE("the job and the path are read from every form of request target") {
  const std::vector<TargetCase> Cases = {
      {"/x/?a=b", "A.example:80", "a.example", "/x/?a=b"},
      {"http://b.example/x/1?y=/z", "a.example", "b.example", "/x/1?y=/z"},
      {"HTTP://B.Example:8080/x/", "", "b.example", "/x/"},
      {"https://b.example/x", "a.example", "b.example", "/x"},
      {"http://b.example", "a.example", "b.example", "/"},
      {"http://b.example?y=1", "a.example", "b.example", "/?y=1"},
      {"//x/", "a.example", "a.example", "//x/"},
      {"http:///x", "a.example", "", ""},
      {"http://u@b.example/x", "a.example", "", ""},
      {"ftp://b.example/x", "a.example", "", ""},
      {"b.example:80", "a.example", "", ""},
      {"*", "a.example", "", ""},
      {"/x", "", "", ""},
      {"/x\xc3\xa4", "a.example", "", ""},
      {"/x", "a\xe4.example", "", ""}};
  for (const TargetCase &Item : Cases) {
    HttpRequest Request;
    Request.Url = Item.Target;
    if (*Item.Host != '\0')
      Request.Headers = {makeHeader("host", Item.Host)};
    std::string Job;
    const Failure Error =
        handleResult([&] { return takeJob(Request); },
                     [&](std::string Taken) { Job = std::move(Taken); });
    INFO(Item.Target << " " << Item.Host << " " << describe(Error));
    CHECK(Job == Item.Job);
    CHECK(Error.Code ==
          (Item.Job.empty() ? ResultCode::RequestMalformed : ResultCode::Ok));
    if (Error.failed())
      continue;
    CHECK(Request.Url == Item.Url);
    // What the target is told agrees with what was asked for.
    CHECK(toLowerCase(Request.header("Host")).starts_with(Job));
    CHECK(Request.Headers.size() == 1);
  }
}
