#include "commands.h"

#include "libpersimmon/accountkeys.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace persimmon {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds PollInterval{20};

leaf::result<json> readJson(const std::string &File) {
  std::ostringstream Text;
  if (File == "-") {
    Text << std::cin.rdbuf();
  } else {
    std::ifstream In(File);
    if (!In)
      return fail(ResultCode::FileUnreadable, File);
    Text << In.rdbuf();
  }
  json Document = json::parse(Text.str(), nullptr, false);
  if (Document.is_discarded())
    return fail(ResultCode::SettingsNotJson, File);
  return Document;
}

std::string newChangeId() {
  std::random_device Device;
  std::ostringstream Out;
  Out << std::hex << Device() << Device() << Device();
  return Out.str();
}

/// Snapshot of the current settings, by path.
struct CurrentSettings {
  std::int64_t Version = 0;
  std::map<std::string, json> Entries;
};

leaf::result<CurrentSettings> fetchSettings(const ControlClient &Client) {
  BOOST_LEAF_AUTO(Answer,
                  Client.requestFromLeader("GET", "/v1/settings", json()));
  CurrentSettings Out;
  Out.Version = Answer.at("version").get<std::int64_t>();
  for (const json &Item : Answer.at("settings"))
    Out.Entries.emplace(Item.at("path").get<std::string>(), Item);
  return Out;
}

std::int64_t versionOf(const CurrentSettings &Current,
                       const std::string &Path) {
  const auto Found = Current.Entries.find(Path);
  return Found == Current.Entries.end()
             ? 0
             : Found->second.at("version").get<std::int64_t>();
}

/// Polls the leader until the version is in force on every proxy that is alive.
leaf::result<void> waitInForce(const CommandLine &Line,
                               const ControlClient &Client,
                               std::int64_t Version) {
  std::string LastProgress;
  while (std::chrono::steady_clock::now() < Line.WaitUntil) {
    json Status;
    const Failure Error =
        handleResult([&] { return Client.leaderStatus(); },
                     [&](json Answer) { Status = std::move(Answer); });
    if (!Error.failed()) {
      const json &InForce = Status.at("inForce");
      if (InForce.at("complete").get<bool>() &&
          InForce.at("leastVersion").get<std::int64_t>() >= Version)
        return {};
      const std::string Progress = "reported " + InForce.at("reported").dump() +
                                   " of " + InForce.at("expected").dump() +
                                   ", least version " +
                                   InForce.at("leastVersion").dump() +
                                   ", behind " + InForce.at("laggards").dump();
      if (Progress != LastProgress && !Line.Json)
        std::cerr << "waiting: " << Progress << '\n';
      LastProgress = Progress;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return fail(ResultCode::NotInForceYet, std::to_string(Version));
}

leaf::result<void> submitChange(const CommandLine &Line,
                                const ControlClient &Client,
                                std::int64_t BasedOn, const json &Edits) {
  const auto Started = std::chrono::steady_clock::now();
  const std::string First = Edits.at(0).at("path").get<std::string>();
  const std::string ChangeId =
      Line.ChangeId.empty() ? newChangeId() : Line.ChangeId;
  const json Body = {{"changeId", ChangeId},
                     {"basedOn", BasedOn},
                     {"team", Line.Team.empty()
                                  ? First.substr(0, First.find('/'))
                                  : Line.Team},
                     {"edits", Edits}};
  if (!Line.Json)
    std::cerr << "change " << ChangeId << '\n';
  BOOST_LEAF_AUTO(Answer,
                  Client.requestFromLeader("POST", "/v1/changes", Body));
  const auto Version = Answer.at("version").get<std::int64_t>();
  const auto Committed = std::chrono::steady_clock::now();
  if (Line.Wait)
    BOOST_LEAF_CHECK(waitInForce(Line, Client, Version));
  const auto Ended = std::chrono::steady_clock::now();
  const auto ElapsedMs = [&](auto End) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(End - Started)
        .count();
  };
  if (Line.Json) {
    json Out = {{"code", 0},
                {"changeId", ChangeId},
                {"version", Version},
                {"committedMs", ElapsedMs(Committed)}};
    if (Line.Wait)
      Out["inForceMs"] = ElapsedMs(Ended);
    std::cout << Out.dump() << '\n';
    return {};
  }
  std::cout << "version " << Version << " accepted after "
            << ElapsedMs(Committed) << " ms\n";
  if (Line.Wait)
    std::cout << "version " << Version << " in force on every proxy after "
              << ElapsedMs(Ended) << " ms\n";
  return {};
}

leaf::result<json> makeEdit(const std::string &Path, const json &Value,
                            const CurrentSettings &Current) {
  if (hasMaskedKeys(Path, Value))
    return fail(ResultCode::ValueInvalid, Path,
                "the keys are masked as in the output of get");
  json Edit = {{"path", Path}, {"expectedVersion", versionOf(Current, Path)}};
  if (Value.is_null())
    Edit["remove"] = true;
  else
    Edit["value"] = Value;
  return Edit;
}

class InitCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    BOOST_LEAF_AUTO(Answer,
                    Client.requestFromFirst("POST", "/v1/init",
                                            {{"adminToken", Line.Token}}));
    std::cout << (Line.Json ? Answer.dump() : "formed") << '\n';
    return {};
  }
};

class TeamCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    if (Line.Operands.size() != 3)
      return fail(ResultCode::UsageError, "team",
                  "expected a name and a token");
    BOOST_LEAF_AUTO(Answer,
                    Client.requestFromLeader("POST", "/v1/teams",
                                             {{"team", Line.Operands[1]},
                                              {"token", Line.Operands[2]}}));
    std::cout << (Line.Json ? Answer.dump() : "team " + Line.Operands[1])
              << '\n';
    return {};
  }
};

class ApplyCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    if (Line.Operands.size() != 2)
      return fail(ResultCode::UsageError, "apply", "expected a file");
    BOOST_LEAF_AUTO(Requested, readJson(Line.Operands[1]));
    if (!Requested.is_object() || Requested.empty())
      return fail(ResultCode::ValueInvalid, Line.Operands[1],
                  "expected an object of paths and values");
    BOOST_LEAF_AUTO(Current, fetchSettings(Client));
    json Edits = json::array();
    for (const auto &[Path, Value] : Requested.items()) {
      BOOST_LEAF_AUTO(Edit, makeEdit(Path, Value, Current));
      Edits.push_back(std::move(Edit));
    }
    return submitChange(Line, Client, Current.Version, Edits);
  }
};

class DiffCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    if (Line.Operands.size() != 2)
      return fail(ResultCode::UsageError, "diff", "expected a file");
    BOOST_LEAF_AUTO(Requested, readJson(Line.Operands[1]));
    BOOST_LEAF_AUTO(Current, fetchSettings(Client));
    json Out = json::object();
    for (const auto &[Path, Value] : Requested.items()) {
      const auto Found = Current.Entries.find(Path);
      const bool Exists = Found != Current.Entries.end();
      // The control instances answer with masked keys.
      const bool IsEqual =
          Exists && Found->second.at("value") == maskAccountKeys(Path, Value);
      Out[Path] = Value.is_null() ? "delete"
                  : !Exists       ? "new"
                  : IsEqual       ? "equal"
                                  : "changed";
    }
    if (Line.Json) {
      std::cout << Out.dump() << '\n';
      return {};
    }
    for (const auto &[Path, What] : Out.items())
      std::cout << What.get<std::string>() << ' ' << Path << '\n';
    return {};
  }
};

class PutCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    if (Line.Operands.size() != 3)
      return fail(ResultCode::UsageError, "put", "expected a path and a file");
    BOOST_LEAF_AUTO(Value, readJson(Line.Operands[2]));
    if (Value.is_null())
      return fail(ResultCode::ValueInvalid, Line.Operands[1],
                  "the value null deletes; use delete");
    BOOST_LEAF_AUTO(Current, fetchSettings(Client));
    BOOST_LEAF_AUTO(Edit, makeEdit(Line.Operands[1], Value, Current));
    return submitChange(Line, Client, Current.Version, json::array({Edit}));
  }
};

class DeleteCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    if (Line.Operands.size() != 2)
      return fail(ResultCode::UsageError, "delete", "expected a path");
    BOOST_LEAF_AUTO(Current, fetchSettings(Client));
    BOOST_LEAF_AUTO(Edit, makeEdit(Line.Operands[1], json(), Current));
    return submitChange(Line, Client, Current.Version, json::array({Edit}));
  }
};

class GetCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    const std::string Prefix = Line.Operands.size() > 1 ? Line.Operands[1] : "";
    BOOST_LEAF_AUTO(Current, fetchSettings(Client));
    json Items = json::array();
    for (const auto &[Path, Item] : Current.Entries) {
      if (Path.starts_with(Prefix))
        Items.push_back(Item);
    }
    if (Line.Json) {
      std::cout
          << json{{"version", Current.Version}, {"settings", Items}}.dump()
          << '\n';
      return {};
    }
    for (const json &Item : Items)
      std::cout << Item.at("path").get<std::string>() << " @"
                << Item.at("version") << ' ' << Item.at("value").dump() << '\n';
    return {};
  }
};

class StatusCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    json Status;
    const Failure NoLeader =
        handleResult([&] { return Client.leaderStatus(); },
                     [&](json Answer) { Status = std::move(Answer); });
    if (NoLeader.failed()) {
      BOOST_LEAF_ASSIGN(Status, Client.requestFromAny("/v1/status"));
    }
    if (Line.Json)
      std::cout << Status.dump() << '\n';
    else
      print(Status);
    if (NoLeader.failed())
      return fail(ResultCode::NoQuorum, Status.value("instance", ""),
                  "no control instance is the leader; changes are refused, "
                  "proxies keep using their current settings");
    return {};
  }

private:
  static void print(const json &Status) {
    const json &InForce = Status.at("inForce");
    std::cout << "instance " << Status.at("instance").get<std::string>()
              << (Status.at("leading").get<bool>() ? " (leader)" : "")
              << "\nformed " << Status.at("formed") << ", term "
              << Status.at("term") << ", version " << Status.at("version")
              << (Status.at("stale").get<bool>() ? ", STALE" : "")
              << "\nin force: least version " << InForce.at("leastVersion")
              << " on " << InForce.at("reported") << " of "
              << InForce.at("expected") << " proxies"
              << (InForce.at("complete").get<bool>() ? "" : " (incomplete)")
              << '\n';
    if (Status.at("version").get<std::int64_t>() == 0)
      std::cout << "no configuration has been applied yet, so no proxy is "
                   "ready; apply one with: persimmonctl --wait apply FILE\n";
    for (const json &Item : InForce.at("laggards"))
      std::cout << "  behind: " << Item.at("name").get<std::string>() << " at "
                << Item.at("version") << '\n';
    for (const json &Voter : Status.at("voters"))
      std::cout << "voter " << Voter.at("instance").get<std::string>() << ' '
                << Voter.at("address").get<std::string>() << " disk "
                << Voter.at("disk").get<std::string>() << '\n';
  }
};

class MembersCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    BOOST_LEAF_AUTO(Answer, Client.requestFromAny("/v1/members"));
    if (Line.Json) {
      std::cout << Answer.dump() << '\n';
      return {};
    }
    for (const json &Item : Answer.at("members"))
      std::cout << Item.at("name").get<std::string>() << ' '
                << Item.at("address").get<std::string>() << ' '
                << Item.at("availabilityZone").get<std::string>() << ' '
                << Item.at("state").get<std::string>() << ' '
                << (Item.at("control").get<bool>()
                        ? std::string("control")
                        : Item.at("service").get<std::string>() + " " +
                              Item.at("target").get<std::string>())
                << '\n';
    return {};
  }
};

class RolloutCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    const std::vector<std::string> &Operands = Line.Operands;
    if (Operands.size() == 5 && Operands[1] == "start")
      return start(Line, Client);
    if ((Operands.size() == 2 || Operands.size() == 3) && Operands[1] == "show")
      return show(Line, Client);
    return fail(ResultCode::UsageError, "rollout",
                "expected start TEAM/SERVICE VERSION SECONDS or show "
                "[TEAM/SERVICE]");
  }

private:
  static leaf::result<void> start(const CommandLine &Line,
                                  const ControlClient &Client) {
    double Seconds = 0;
    const std::string &Text = Line.Operands[4];
    const auto [End, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
    if (Error != std::errc() || End != Text.data() + Text.size())
      return fail(ResultCode::UsageError, "rollout",
                  "expected a number of seconds");
    BOOST_LEAF_AUTO(
        Answer, Client.requestFromLeader("POST", "/v1/rollouts",
                                         {{"service", Line.Operands[2]},
                                          {"targetVersion", Line.Operands[3]},
                                          {"durationS", Seconds}}));
    std::cout << (Line.Json ? Answer.dump() : "roll-out accepted") << '\n';
    return {};
  }

  static leaf::result<void> show(const CommandLine &Line,
                                 const ControlClient &Client) {
    BOOST_LEAF_AUTO(Current, fetchSettings(Client));
    json Items = json::array();
    for (const auto &[Path, Item] : Current.Entries) {
      const std::size_t Kind = Path.find("/rollouts/");
      if (Kind == std::string::npos || Kind != Path.find('/'))
        continue;
      const std::string Service =
          Path.substr(0, Kind) + Path.substr(Path.rfind('/'));
      if (Line.Operands.size() == 3 && Line.Operands[2] != Service)
        continue;
      json Shown = Item.at("value");
      Shown["service"] = Service;
      Items.push_back(std::move(Shown));
    }
    if (Items.empty() && Line.Operands.size() == 3)
      return fail(ResultCode::RolloutUnknown, Line.Operands[2]);
    if (Line.Json) {
      std::cout << json{{"rollouts", Items}}.dump() << '\n';
      return {};
    }
    for (const json &Item : Items)
      std::cout << Item.at("service").get<std::string>() << ' '
                << Item.value("established", "-") << " -> "
                << Item.at("version").get<std::string>() << ' '
                << Item.at("state").get<std::string>() << ' '
                << Item.at("stage").get<std::string>() << ", canary "
                << Item.at("canaryPerMille") << " per mille, after "
                << Item.at("elapsedMs") << " of " << Item.at("durationMs")
                << " ms\n";
    return {};
  }
};

class RecoverCommand : public Command {
public:
  leaf::result<void> run(const CommandLine &Line,
                         const ControlClient &Client) const override {
    if (!Line.AcceptLoss)
      return fail(ResultCode::UsageError, "recover",
                  "changes that only the lost disks held are lost; repeat with "
                  "--i-accept-loss");
    BOOST_LEAF_AUTO(
        Answer, Client.requestFromFirst("POST", "/v1/recover", json::object()));
    std::cout << (Line.Json ? Answer.dump() : "recovered") << '\n';
    return {};
  }
};

} // namespace

leaf::result<std::unique_ptr<Command>> makeCommand(const CommandLine &Line) {
  if (Line.Operands.empty())
    return fail(ResultCode::UsageError, {}, "a command is missing; see --help");
  const std::string &Name = Line.Operands.front();
  std::unique_ptr<Command> Out;
  if (Name == "init")
    Out = std::make_unique<InitCommand>();
  else if (Name == "team")
    Out = std::make_unique<TeamCommand>();
  else if (Name == "apply")
    Out = std::make_unique<ApplyCommand>();
  else if (Name == "diff")
    Out = std::make_unique<DiffCommand>();
  else if (Name == "put")
    Out = std::make_unique<PutCommand>();
  else if (Name == "delete")
    Out = std::make_unique<DeleteCommand>();
  else if (Name == "get")
    Out = std::make_unique<GetCommand>();
  else if (Name == "status")
    Out = std::make_unique<StatusCommand>();
  else if (Name == "members")
    Out = std::make_unique<MembersCommand>();
  else if (Name == "rollout")
    Out = std::make_unique<RolloutCommand>();
  else if (Name == "recover")
    Out = std::make_unique<RecoverCommand>();
  else
    return fail(ResultCode::UsageError, Name, "unknown command; see --help");
  return Out;
}

} // namespace persimmon
