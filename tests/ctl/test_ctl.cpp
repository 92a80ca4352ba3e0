#include "support/process.h"
#include "support/temporaryfolder.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>
#include <iterator>
#include <thread>

using namespace persimmon;

namespace {

ProgramRun runClient(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), CLIENT_PROGRAM);
  return runProgram(Arguments);
}

/// Runs one control instance for the lifetime of the object.
class ControlFixture {
public:
  ControlFixture() {
    std::ofstream(this->Folder.file("c1.json"))
        << R"({"role":"control","name":"c1","availabilityZone":"zone-a",
            "listen":"127.62.0.1:7100","operators":"127.62.0.1:7101",
            "controlInstances":[{"name":"c1","address":"127.62.0.1:7100"}],
            "dataFolder":")"
        << this->Folder.file("data") << "\"}";
    REQUIRE(this->Daemon.start(
        {DAEMON_PROGRAM, "--settings", this->Folder.file("c1.json")},
        this->Folder.file("log")));
    for (int I = 0; I < 100; ++I) {
      if (runClient({"-c", this->address(), "members"}).Status == 0)
        return;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    FAIL("the control instance did not start");
  }
  std::string address() const { return "127.62.0.1:7101"; }

  /// Returns what the daemon wrote.
  std::string logText() const {
    std::ifstream In(this->Folder.file("log"));
    return {std::istreambuf_iterator<char>(In), {}};
  }

  std::string writeFile(const std::string &Name,
                        const std::string &Text) const {
    std::string File = this->Folder.file(Name);
    std::ofstream(File) << Text;
    return File;
  }

private:
  TemporaryFolder Folder;
  /// Ends before its folder is removed.
  Process Daemon;
};

} // namespace

TEST_CASE("wrong usage is reported with exit status 2") {
  CHECK(runClient({"-c", "127.62.0.9:1"}).Status == 2);
  CHECK(runClient({"-c", "127.62.0.9:1", "frobnicate"}).Status == 2);
  CHECK(runClient({"--no-such-option"}).Status == 2);
  CHECK(runClient({"status"}).Status == 2);
  CHECK(runClient({"-c", "127.62.0.9:1", "put", "only-a-path"}).Status == 2);
  const ProgramRun Recover = runClient({"-c", "127.62.0.9:1", "recover"});
  CHECK(Recover.Status == 2);
  CHECK(Recover.outputContains("--i-accept-loss"));
}

TEST_CASE("help exists for every command") {
  CHECK(runClient({"--help"}).Status == 0);
  for (const char *Name : {"init", "team", "apply", "diff", "put", "delete",
                           "get", "status", "members", "recover"}) {
    const ProgramRun Help = runClient({"--help", Name});
    CHECK(Help.Status == 0);
    CHECK(Help.outputContains(Name));
  }
  CHECK(runClient({"--version"}).outputContains("persimmonctl"));
}

TEST_CASE("an unreachable instance is reported with its result code") {
  const ProgramRun Status = runClient({"-c", "127.62.0.9:1", "status"});
  CHECK(Status.Status == 1);
  CHECK(Status.outputContains("217 Unreachable"));
}

TEST_CASE("settings are changed from the command line") {
  const ControlFixture Control;
  const auto RunWithToken = [&](const std::string &Token,
                                std::vector<std::string> Arguments) {
    std::vector<std::string> All = {"-c", Control.address(), "-t", Token};
    All.insert(All.end(), Arguments.begin(), Arguments.end());
    return runClient(std::move(All));
  };
  CHECK(runClient({"-c", Control.address(), "get"})
            .outputContains("211 NotFormed"));
  CHECK(RunWithToken("short", {"init"}).outputContains("203 ValueInvalid"));
  CHECK(RunWithToken("admin-token", {"init"}).Status == 0);
  CHECK(RunWithToken("admin-token", {"init"})
            .outputContains("212 AlreadyFormed"));
  const ProgramRun NothingApplied = RunWithToken("", {"status"});
  CHECK(NothingApplied.outputContains("no proxy is ready"));
  CHECK(NothingApplied.outputContains("persimmonctl --wait apply FILE"));
  CHECK(RunWithToken("wrong-token", {"team", "labels", "labels-token"})
            .outputContains("207 Unauthorized"));
  CHECK(
      RunWithToken("admin-token", {"team", "labels", "labels-token"}).Status ==
      0);

  const std::string FirstFile = Control.writeFile(
      "first.json", R"({"labels/services/work":{"queue":3}})");
  CHECK(RunWithToken("", {"diff", FirstFile})
            .outputContains("new labels/services/work"));
  CHECK(RunWithToken("wrong-token", {"apply", FirstFile})
            .outputContains("207 Unauthorized"));
  CHECK(RunWithToken("labels-token", {"--json", "apply", FirstFile}).Status ==
        0);
  // No version counts as in force before a proxy has reported.
  const ProgramRun Waited =
      RunWithToken("labels-token", {"--json", "--wait=1", "apply", FirstFile});
  CHECK(Waited.Status == 3);
  CHECK(Waited.outputContains("216"));
  CHECK(RunWithToken("", {"diff", FirstFile})
            .outputContains("equal labels/services/work"));
  CHECK(RunWithToken("", {"get", "labels"})
            .outputContains("labels/services/work @"));

  // A resent change id returns the first result and is run only once.
  const ProgramRun Once = RunWithToken(
      "labels-token", {"--json", "-i", "my-change", "apply", FirstFile});
  const ProgramRun Again = RunWithToken(
      "labels-token", {"--json", "-i", "my-change", "apply", FirstFile});
  const auto VersionOf = [](const ProgramRun &Of) {
    return Of.Output.substr(Of.Output.find("\"version\""));
  };
  CHECK(VersionOf(Once) == VersionOf(Again));

  const std::string InvalidFile =
      Control.writeFile("bad.json", R"({"labels/services/work":{"queue":4},
                      "labels/routes/r":{"job":"j","service":"labels/none"}})");
  const ProgramRun Refused =
      RunWithToken("labels-token", {"apply", InvalidFile});
  CHECK(Refused.Status == 1);
  CHECK(Refused.outputContains("204 ReferenceMissing at labels/routes/r"));
  CHECK(RunWithToken("", {"get"}).outputContains("\"queue\":3"));
  CHECK(RunWithToken("labels-token", {"delete", "labels/services/none"})
            .outputContains("202 PathUnknown"));
  CHECK(RunWithToken("labels-token", {"apply", "/nonexistent.json"})
            .outputContains("102 FileUnreadable"));
  const ProgramRun Status = RunWithToken("", {"status"});
  CHECK(Status.outputContains("instance c1 (leader)"));
  CHECK_FALSE(Status.outputContains("no proxy is ready"));
  CHECK(
      RunWithToken("labels-token", {"delete", "labels/services/work"}).Status ==
      0);
}

// The keys of accounts are secret: no output, error or log line shows them.
TEST_CASE("keys of client accounts are masked in every output") {
  const ControlFixture Control;
  std::string Outputs;
  const auto Run = [&](std::vector<std::string> Arguments) {
    std::vector<std::string> All = {"-c", Control.address(), "-t",
                                    "labels-token"};
    All.insert(All.end(), Arguments.begin(), Arguments.end());
    ProgramRun Out = runClient(std::move(All));
    Outputs += Out.Output;
    return Out;
  };
  CHECK(runClient({"-c", Control.address(), "-t", "admin-token", "init"})
            .Status == 0);
  CHECK(runClient({"-c", Control.address(), "-t", "admin-token", "team",
                   "labels", "labels-token"})
            .Status == 0);
  const std::string File = Control.writeFile(
      "accounts.json", R"({"labels/accounts/acme":{"keys":["secret-1"]},
                           "labels/accounts/bare":{"keys":["secret-2"]},
                           "labels/access/callers":{"keyRequired":true}})");
  REQUIRE(Run({"apply", File}).Status == 0);
  const ProgramRun Read = Run({"--json", "get", "labels"});
  CHECK(Read.outputContains("masked:"));
  CHECK(Run({"diff", File}).outputContains("equal labels/accounts/acme"));
  const std::string Changed = Control.writeFile(
      "changed.json", R"({"labels/accounts/acme":{"keys":["secret-3"]}})");
  CHECK(Run({"diff", Changed}).outputContains("changed labels/accounts/acme"));
  const std::string Taken = Control.writeFile(
      "taken.json", R"({"labels/accounts/acme":{"keys":["secret-2"]}})");
  CHECK(Run({"apply", Taken}).outputContains("218 KeyTaken"));
  const std::string Twice = Control.writeFile(
      "twice.json",
      R"({"labels/accounts/acme":{"keys":["secret-4","secret-4"]}})");
  CHECK(Run({"apply", Twice}).outputContains("218 KeyTaken"));
  const std::string Odd = Control.writeFile(
      "odd.json", R"({"labels/accounts/acme":{"keys":{"secret-5":1}}})");
  CHECK(Run({"apply", Odd}).outputContains("203 ValueInvalid"));
  const std::string Masked =
      Control.writeFile("masked.json", R"({"keys":["masked:0a1b"]})");
  CHECK(Run({"put", "labels/accounts/acme", Masked})
            .outputContains("203 ValueInvalid"));
  CHECK(Run({"diff", File}).outputContains("equal labels/accounts/acme"));
  CHECK(Outputs.find("secret-") == std::string::npos);
  CHECK(Control.logText().find("secret-") == std::string::npos);
  CHECK(!Control.logText().empty());
}
