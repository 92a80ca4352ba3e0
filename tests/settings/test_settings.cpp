#include "libhost/daemonsettings.h"
#include "libhost/memoryshares.h"
#include "support/process.h"
#include "support/temporaryfolder.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

using namespace persimmon;
namespace fs = std::filesystem;

namespace {

const std::string Control = R"({"role":"control","name":"c1",
  "availabilityZone":"zone-a","listen":"127.61.0.1:7100",
  "operators":"127.61.0.1:7101","dataFolder":"/nonexistent",
  "controlInstances":[{"name":"c1","address":"127.61.0.1:7100"}]})";

const std::string Proxy = R"({"role":"proxy","name":"p1",
  "availabilityZone":"zone-a","listen":"127.61.0.2:7100",
  "callers":"127.61.0.2:8080","local":"127.61.0.2:7102",
  "controlInstances":[{"name":"c1","address":"127.61.0.1:7100"}]})";

std::string replaceOnce(std::string Text, const std::string &Old,
                        const std::string &New) {
  const std::size_t At = Text.find(Old);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

Failure parse(const std::string &Text) {
  return handleResult([&] { return DaemonSettings::parse(Text, "settings"); },
                      [](const DaemonSettings &) {});
}

ProgramRun runDaemon(const std::string &Option, const std::string &Settings) {
  const TemporaryFolder Folder;
  const std::string File = Folder.file("settings.json");
  std::ofstream(File) << Settings;
  return runProgram({DAEMON_PROGRAM, Option, File});
}

} // namespace

TEST_CASE("valid settings are accepted") {
  CHECK(parse(Control).Code == ResultCode::Ok);
  CHECK(parse(Proxy).Code == ResultCode::Ok);
}

TEST_CASE("bad settings name the key and a code") {
  const Failure Unknown =
      parse(replaceOnce(Proxy, "\"name\"", "\"nmae\":1,\"name\""));
  CHECK(Unknown.Code == ResultCode::SettingsInvalid);
  CHECK(Unknown.What.find("nmae") != std::string::npos);
  const Failure Address =
      parse(replaceOnce(Proxy, "127.61.0.2:8080", "127.61.0.2:99999"));
  CHECK(Address.Code == ResultCode::AddressInvalid);
  CHECK(Address.Where == "settings[callers]");
  CHECK(parse(replaceOnce(Proxy, "127.61.0.2:8080", "host:80")).Code ==
        ResultCode::AddressInvalid);
  CHECK(parse("{").Code == ResultCode::SettingsNotJson);
  CHECK(parse("[]").Code == ResultCode::SettingsInvalid);
  CHECK(parse(replaceOnce(Proxy, "\"proxy\"", "\"relay\"")).Code ==
        ResultCode::SettingsInvalid);
  const Failure WrongRole = parse(
      replaceOnce(Proxy, "\"callers\"", "\"dataFolder\":\"x\",\"callers\""));
  CHECK(WrongRole.Code == ResultCode::SettingsInvalid);
  CHECK(WrongRole.Where == "settings[dataFolder]");
  CHECK(parse(replaceOnce(Control, "\"name\":\"c1\",\"address\"",
                          "\"name\":\"c2\",\"address\""))
            .Where == "settings[controlInstances]");
}

TEST_CASE("the daemon checks settings without running") {
  const ProgramRun Good = runDaemon("--check-settings", Proxy);
  CHECK(Good.Status == 0);
  const ProgramRun Bad =
      runDaemon("--check-settings", replaceOnce(Proxy, "\"zone-a\"", "7"));
  CHECK(Bad.Status == 1);
  CHECK(Bad.outputContains("104 SettingsInvalid"));
  CHECK(Bad.outputContains("[availabilityZone]"));
}

TEST_CASE("the daemon says in one line why it does not start") {
  const ProgramRun Folder = runDaemon(
      "--settings", replaceOnce(Control, "/nonexistent", "/proc/none/folder"));
  CHECK(Folder.Status == 1);
  CHECK(Folder.outputContains("106 DataFolderUnwritable"));

  const std::string SharedPort =
      replaceOnce(Proxy, "127.61.0.2:7102", "127.61.0.2:8080");
  const ProgramRun Port = runDaemon("--settings", SharedPort);
  CHECK(Port.Status == 1);
  CHECK(Port.outputContains("107 PortInUse"));
  CHECK(Port.outputContains("127.61.0.2:8080"));
}

TEST_CASE("the shipped examples are valid") {
  int Checked = 0;
  for (const auto &Item : fs::recursive_directory_iterator(EXAMPLES_FOLDER)) {
    const std::string File = Item.path().string();
    if (Item.path().extension() != ".json" ||
        File.find("/daemons/") == std::string::npos)
      continue;
    const Failure Error =
        handleResult([&] { return DaemonSettings::load(File); },
                     [](const DaemonSettings &) {});
    INFO(File << " " << describe(Error));
    CHECK(!Error.failed());
    ++Checked;
  }
  CHECK(Checked > 0);
}

TEST_CASE("the bounds of roll-outs are read, and absent without the key") {
  const auto Read = [](const std::string &Text) {
    DaemonSettings Out;
    const Failure Error =
        handleResult([&] { return DaemonSettings::parse(Text, "settings"); },
                     [&](DaemonSettings Parsed) { Out = std::move(Parsed); });
    INFO(describe(Error));
    REQUIRE(!Error.failed());
    return Out;
  };
  for (const std::string &Role : {Control, Proxy}) {
    CHECK(!Read(Role).Rollouts);
    const DaemonSettings Given =
        Read(replaceOnce(Role, "\"name\"",
                         R"("rollouts":{"exposureShare":0.1,"exposureSlack":50,
                            "rollbackS":2.5},"name")"));
    REQUIRE(Given.Rollouts);
    CHECK(Given.Rollouts->ExposureShare == 0.1);
    CHECK(Given.Rollouts->ExposureSlack == 50);
    CHECK(Given.Rollouts->RollbackTime == milliseconds(2500));
    CHECK(parse(replaceOnce(Role, "\"name\"",
                            R"("rollouts":{"exposureShare":10},"name")"))
              .Code == ResultCode::SettingsInvalid);
  }
}

TEST_CASE("seeds take the place of named control instances") {
  const std::string Seeds =
      R"("seeds":["10.0.0.1:8144"],"seedPort":7100,"lossesBorne":2,)";
  const std::string WithoutInstances =
      Control.substr(0, Control.find("\"controlInstances\""));
  DaemonSettings Read;
  const Failure Error = handleResult(
      [&] {
        return DaemonSettings::parse(
            WithoutInstances + Seeds + R"("found":true,"openTeams":["mesh"]})",
            "settings");
      },
      [&](DaemonSettings Parsed) { Read = std::move(Parsed); });
  INFO(describe(Error));
  REQUIRE(!Error.failed());
  CHECK(Read.Seeds == std::vector<std::string>{"10.0.0.1:7100"});
  CHECK(Read.Voters.Count == 5);
  CHECK(Read.Bootstrap);
  CHECK(parse(WithoutInstances + R"("seeds":["10.0.0.1:8144"]})").Where ==
        "settings[lossesBorne]");
  CHECK(parse(WithoutInstances + R"("found":true})").Code ==
        ResultCode::SettingsInvalid);
}

TEST_CASE("memory is what the settings allow, or the machine's up to a bound") {
  const auto Read = [](std::int64_t Mb, const std::string &Machine) {
    std::istringstream In(Machine);
    return MemoryShares::fromSettings(Mb, In).maxResponseBytes();
  };
  const std::string Small = "MemFree: 1 kB\nMemTotal:   85938 kB\nX: 1 kB\n";
  const std::string Large = "MemTotal:       65536000 kB\n";
  CHECK(Read(100, Small) == 25'000'000);
  CHECK(Read(100, Large) == 25'000'000);
  CHECK(Read(0, Small) == 85938 * 1024 / 4);
  CHECK(Read(0, Large) == 64'000'000);
  CHECK(Read(0, "") == 64'000'000);
  std::istringstream In(Large);
  CHECK(MemoryShares::fromSettings(100, In).maxCallerBodyBytes() == 12'500'000);
  CHECK(MemoryShares::fromSettings(100, In).maxRequestBytes() == 18'750'000);
  CHECK(MemoryShares::fromSettings(100, In).maxTargetBodyBytes() == 25'000'000);
  CHECK(Read(0, "MemTotal: many kB\n") == 64'000'000);
}

TEST_CASE("the limits for clients are settings") {
  DaemonSettings Settings;
  const Failure Error = handleResult(
      [&] {
        return DaemonSettings::parse(
            replaceOnce(Proxy, "\"name\"",
                        "\"requests\":{\"headerTimeoutMs\":400,"
                        "\"receiveBufferKb\":8},\"name\""),
            "settings");
      },
      [&](DaemonSettings Read) { Settings = std::move(Read); });
  CHECK(!Error.failed());
  CHECK(Settings.Requests.HeaderTimeout == milliseconds(400));
  CHECK(Settings.Requests.ReceiveBufferBytes == 8192);
  CHECK(Settings.Requests.BodyTimeout == RequestSettings().BodyTimeout);
  CHECK(Settings.Requests.IdleTimeout == RequestSettings().IdleTimeout);
  for (const char *Wrong : {"{\"bodyTimeoutMs\":0}", "{\"other\":1}"}) {
    const std::string Requests =
        "\"requests\":" + std::string(Wrong) + ",\"name\"";
    CHECK(parse(replaceOnce(Proxy, "\"name\"", Requests)).Code ==
          ResultCode::SettingsInvalid);
  }
}

TEST_CASE("the memory and the link that a proxy may use are settings") {
  DaemonSettings Settings;
  const Failure Error = handleResult(
      [&] {
        return DaemonSettings::parse(
            replaceOnce(Proxy, "\"name\"",
                        "\"memoryMb\":88,\"linkMbps\":4.45,\"name\""),
            "settings");
      },
      [&](DaemonSettings Read) { Settings = std::move(Read); });
  CHECK(!Error.failed());
  CHECK(Settings.MemoryMb == 88);
  CHECK(Settings.LinkMbps == 4.45);
  CHECK(parse(replaceOnce(Proxy, "\"name\"", "\"linkMbps\":0,\"name\"")).Code ==
        ResultCode::SettingsInvalid);
  CHECK(parse(replaceOnce(Proxy, "\"name\"", "\"memoryMb\":0,\"name\"")).Code ==
        ResultCode::SettingsInvalid);
}

TEST_CASE("the time to a revocation is given in milliseconds or seconds") {
  const auto Read = [](const std::string &Keys) {
    milliseconds Out{-1};
    handleResult(
        [&] {
          return DaemonSettings::parse(
              replaceOnce(Proxy, "\"name\"", Keys + "\"name\""), "settings");
        },
        [&](const DaemonSettings &Settings) { Out = Settings.Revocation; });
    return Out;
  };
  CHECK(Read("") == milliseconds(0));
  CHECK(Read("\"revocationMs\":5000,") == milliseconds(5000));
  CHECK(Read("\"revocationS\":2.5,") == milliseconds(2500));
  CHECK(Read("\"revocationS\":1,\"revocationMs\":1000,") == milliseconds(-1));
  CHECK(Read("\"revocationS\":-1,") == milliseconds(-1));
}

namespace {

/// Renders a template of the deployment: sections named in \p Present are kept,
/// others removed; values are replaced by \p Values.
std::string render(const std::string &File,
                   const std::set<std::string> &Present,
                   const std::map<std::string, std::string> &Values) {
  std::ifstream In(std::string(DEPLOY_FOLDER) + "/" + File);
  std::ostringstream Text;
  Text << In.rdbuf();
  std::string Out = Text.str();
  REQUIRE(!Out.empty());
  for (std::size_t At = Out.find("{{#"); At != std::string::npos;
       At = Out.find("{{#")) {
    const std::size_t NameEnd = Out.find("}}", At);
    const std::string Name = Out.substr(At + 3, NameEnd - At - 3);
    const std::string EndTag = "{{/" + Name + "}}";
    const std::size_t End = Out.find(EndTag);
    REQUIRE(End != std::string::npos);
    std::string Inner = Out.substr(NameEnd + 2, End - NameEnd - 2);
    if (Present.count(Name) == 0)
      Inner.clear();
    Out.replace(At, End + EndTag.size() - At, Inner);
  }
  for (const auto &[Name, Value] : Values) {
    const std::string Tag = "{{" + Name + "}}";
    for (std::size_t At = Out.find(Tag); At != std::string::npos;
         At = Out.find(Tag))
      Out.replace(At, Tag.size(), Value);
  }
  return Out;
}

} // namespace

// Guards against settings files that are not valid where a bound is not given.
TEST_CASE("the templates of the deployment give valid settings") {
  const std::map<std::string, std::string> Values = {
      {"nodeName", "n-1"},
      {"zone", "z-1"},
      {"ip", "10.0.0.1"},
      {"internalPorts.0", "7100"},
      {"listen.outbound", "10.0.0.1:7101"},
      {"listen.control", "10.0.0.1:7102"},
      {"listen.readinessAddress", "10.0.0.1:7103"},
      {"dataDir", "/nonexistent"},
      {"bootstrap", "true"},
      {"faultTolerance.machines", "2"},
      {"service", "one"},
      {"appAddress", "10.0.0.1:80"},
      {"limits.memoryMb", "160"},
      {"limits.linkMbps", "4.7"},
      {"bounds.revokeS", "5"},
      {".", "10.0.0.2:7100"},
      {",", ""}};
  for (const char *File : {"proxy.template.json", "control.template.json"}) {
    for (const bool HasBounds : {false, true}) {
      std::set<std::string> Present = {"seeds"};
      if (HasBounds)
        Present.insert({"bounds.strictRevocation", "bounds.quotaWindowS"});
      const std::string Text = render(File, Present, Values);
      INFO(Text);
      DaemonSettings Settings;
      const Failure Error = handleResult(
          [&] { return DaemonSettings::parse(Text, "settings"); },
          [&](DaemonSettings Read) { Settings = std::move(Read); });
      CHECK(describe(Error) == describe(Failure()));
      CHECK(Settings.Revocation == milliseconds(HasBounds ? 5000 : 0));
      const bool IsProxy = Settings.Role == DaemonRole::Proxy;
      CHECK(Settings.EvenPlacement == (IsProxy && HasBounds));
    }
  }
}

TEST_CASE("the even placement is a setting") {
  const auto Read = [](const std::string &Text) {
    DaemonSettings Out;
    handleResult([&] { return DaemonSettings::parse(Text, "settings"); },
                 [&](DaemonSettings Parsed) { Out = std::move(Parsed); });
    return Out.EvenPlacement;
  };
  CHECK(!Read(Proxy));
  CHECK(
      Read(replaceOnce(Proxy, "\"name\"", "\"placement\":\"even\",\"name\"")));
  CHECK(parse(replaceOnce(Proxy, "\"name\"", "\"placement\":\"odd\",\"name\""))
            .Code == ResultCode::SettingsInvalid);
}
