#include "support/process.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace persimmon;
namespace fs = std::filesystem;

namespace {

ProgramRun run(std::vector<std::string> Words) {
  Words.insert(Words.begin(), CLIENT_PROGRAM);
  return runProgram(Words);
}

/// Runs one control instance for the lifetime of the object.
class ControlInstance {
public:
  ControlInstance() {
    std::string Name = (fs::temp_directory_path() / "one-XXXXXX").string();
    REQUIRE(::mkdtemp(Name.data()) != nullptr);
    this->Folder = Name;
    std::ofstream(this->Folder + "/c1.json")
        << R"({"role":"control","name":"c1","availabilityZone":"zone-a",
            "listen":"127.62.0.1:7100","operators":"127.62.0.1:7101",
            "controlInstances":[{"name":"c1","address":"127.62.0.1:7100"}],
            "dataFolder":")"
        << this->Folder << "/data\"}";
    REQUIRE(this->Daemon.start(
        {DAEMON_PROGRAM, "--settings", this->Folder + "/c1.json"},
        this->Folder + "/log"));
    for (int I = 0; I < 100; ++I) {
      if (run({"-c", this->address(), "members"}).Status == 0)
        return;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    FAIL("the control instance did not start");
  }
  ~ControlInstance() {
    this->Daemon.kill();
    fs::remove_all(this->Folder);
  }

  std::string address() const { return "127.62.0.1:7101"; }

  std::string write(const std::string &Name, const std::string &Text) const {
    std::string File = this->Folder + "/" + Name;
    std::ofstream(File) << Text;
    return File;
  }

private:
  std::string Folder;
  Process Daemon;
};

} // namespace

TEST_CASE("wrong use is told and ends with 2") {
  CHECK(run({"-c", "127.62.0.9:1"}).Status == 2);
  CHECK(run({"-c", "127.62.0.9:1", "frobnicate"}).Status == 2);
  CHECK(run({"--no-such-option"}).Status == 2);
  CHECK(run({"status"}).Status == 2);
  CHECK(run({"-c", "127.62.0.9:1", "put", "only-a-path"}).Status == 2);
  const ProgramRun Recover = run({"-c", "127.62.0.9:1", "recover"});
  CHECK(Recover.Status == 2);
  CHECK(Recover.says("--i-accept-loss"));
}

TEST_CASE("help exists for every command") {
  CHECK(run({"--help"}).Status == 0);
  for (const char *Name : {"init", "team", "apply", "diff", "put", "delete",
                           "get", "status", "members", "recover"}) {
    const ProgramRun Help = run({"--help", Name});
    CHECK(Help.Status == 0);
    CHECK(Help.says(Name));
  }
  CHECK(run({"--version"}).says("persimmonctl"));
}

TEST_CASE("an instance that cannot be reached is a numbered failure") {
  const ProgramRun Status = run({"-c", "127.62.0.9:1", "status"});
  CHECK(Status.Status == 1);
  CHECK(Status.says("217 Unreachable"));
}

TEST_CASE("changes from the command line") {
  const ControlInstance Control;
  const auto With = [&](const std::string &Token,
                        std::vector<std::string> Words) {
    std::vector<std::string> All = {"-c", Control.address(), "-t", Token};
    All.insert(All.end(), Words.begin(), Words.end());
    return run(std::move(All));
  };
  CHECK(run({"-c", Control.address(), "get"}).says("211 NotFormed"));
  CHECK(With("short", {"init"}).says("203 ValueInvalid"));
  CHECK(With("admin-token", {"init"}).Status == 0);
  CHECK(With("admin-token", {"init"}).says("212 AlreadyFormed"));
  CHECK(With("wrong-token", {"team", "labels", "labels-token"})
            .says("207 Unauthorized"));
  CHECK(With("admin-token", {"team", "labels", "labels-token"}).Status == 0);

  const std::string First =
      Control.write("first.json", R"({"labels/services/work":{"queue":3}})");
  CHECK(With("", {"diff", First}).says("new labels/services/work"));
  CHECK(With("wrong-token", {"apply", First}).says("207 Unauthorized"));
  CHECK(With("labels-token", {"--json", "apply", First}).Status == 0);
  // No version counts as in force before a proxy has reported.
  const ProgramRun Waited =
      With("labels-token", {"--json", "--wait=1", "apply", First});
  CHECK(Waited.Status == 3);
  CHECK(Waited.says("216"));
  CHECK(With("", {"diff", First}).says("equal labels/services/work"));
  CHECK(With("", {"get", "labels"}).says("labels/services/work @"));

  // A resent change id returns the first result and is run only once.
  const ProgramRun Once =
      With("labels-token", {"--json", "-i", "my-change", "apply", First});
  const ProgramRun Again =
      With("labels-token", {"--json", "-i", "my-change", "apply", First});
  const auto VersionOf = [](const ProgramRun &Of) {
    return Of.Output.substr(Of.Output.find("\"version\""));
  };
  CHECK(VersionOf(Once) == VersionOf(Again));

  const std::string Bad =
      Control.write("bad.json", R"({"labels/services/work":{"queue":4},
                      "labels/routes/r":{"job":"j","service":"labels/none"}})");
  const ProgramRun Refused = With("labels-token", {"apply", Bad});
  CHECK(Refused.Status == 1);
  CHECK(Refused.says("204 ReferenceMissing at labels/routes/r"));
  CHECK(With("", {"get"}).says("\"queue\":3"));
  CHECK(With("labels-token", {"delete", "labels/services/none"})
            .says("202 PathUnknown"));
  CHECK(With("labels-token", {"apply", "/nonexistent.json"})
            .says("102 FileUnreadable"));
  CHECK(With("", {"status"}).says("instance c1 (leader)"));
  CHECK(With("labels-token", {"delete", "labels/services/work"}).Status == 0);
}
