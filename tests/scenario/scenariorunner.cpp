#include "scenariorunner.h"

#include "scripttext.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace persimmon {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::uint16_t PeerPort = 7100;
constexpr std::uint16_t RealPeerPort = 7200;
constexpr const char *AdminToken = "scenario-admin";
constexpr const char *TeamToken = "scenario-team";

/// Returns whether a request to a control instance was accepted.
template <typename RequestT> bool succeeds(const RequestT &Request) {
  return !handleResult(Request, [](const json &) {}).failed();
}

} // namespace

ScenarioRunner::ScenarioRunner(const ScenarioOptions &TheOptions)
    : Options(TheOptions) {
  this->addClusterSteps();
  this->addProcessSteps();
  this->addTrafficSteps();
}

ScenarioRunner::Machine &ScenarioRunner::machine(const std::string &Name) {
  const auto Found = this->Machines.find(Name);
  if (Found == this->Machines.end())
    throw std::invalid_argument("unknown instance " + Name);
  return *Found->second;
}

std::string ScenarioRunner::logOf(const std::string &Name) const {
  return this->Options.Folder + "/" + Name + ".log";
}

bool ScenarioRunner::runFile(const std::string &File) {
  std::ifstream In(File);
  std::string Line;
  int Number = 0;
  const auto Started = Clock::now();
  while (std::getline(In, Line)) {
    ++Number;
    if (Line.empty() || Line.starts_with('#'))
      continue;
    const std::chrono::duration<double> At = Clock::now() - Started;
    std::cout << Number << " [" << At.count() << "s] " << Line << std::endl;
    bool Passed = false;
    try {
      Passed = this->runLine(Line);
    } catch (const std::exception &Error) {
      std::cout << "  error: " << Error.what() << '\n';
    }
    if (!Passed) {
      std::cout << "FAILED at line " << Number << "; logs are in "
                << this->Options.Folder << std::endl;
      return false;
    }
  }
  return Number > 0;
}

bool ScenarioRunner::runLine(const std::string &Line) {
  const Words Parts = splitWords(Line);
  const std::size_t Brace = Line.find('{');
  const std::string Text =
      Brace == std::string::npos ? std::string() : Line.substr(Brace);
  const auto Found = this->Steps.find(Parts.front());
  if (Found == this->Steps.end())
    throw std::invalid_argument("unknown step " + Parts.front());
  return Found->second(Parts, Text);
}

void ScenarioRunner::addClusterSteps() {
  auto &S = this->Steps;
  S["forwarded"] = [this](const Words &, const std::string &) {
    this->Network = std::make_unique<Forwarder>();
    return true;
  };
  S["control"] = S["proxy"] = [this](const Words &Line, const std::string &) {
    return this->addMachine(Line);
  };
  S["init"] = [this](const Words &Line, const std::string &) {
    return this->init(this->machine(Line.at(1)));
  };
  S["team"] = [this](const Words &Line, const std::string &) {
    return succeeds([&] {
      return this->client(AdminToken)
          .requestFromLeader("POST", "/v1/teams",
                             {{"team", Line.at(1)}, {"token", TeamToken}});
    });
  };
  S["recover"] = [this](const Words &Line, const std::string &) {
    const ControlClient First({this->machine(Line.at(1)).Ip + ":7101"},
                              AdminToken);
    return succeeds([&] {
      return First.requestFromFirst("POST", "/v1/recover", json::object());
    });
  };
  S["put"] = [this](const Words &Line, const std::string &Text) {
    return this->put(Line.at(1), Text);
  };
  S["repeat-put"] = [this](const Words &Line, const std::string &) {
    for (int I = 0; I < std::stoi(Line.at(1)); ++I) {
      if (!this->put(Line.at(2), json{{"queue", I}}.dump()))
        return false;
    }
    return true;
  };
  S["race"] = [this](const Words &Line, const std::string &Text) {
    return this->race(Line, Text);
  };
  S["resend"] = [this](const Words &, const std::string &) {
    return this->resend();
  };
  S["refused"] = [this](const Words &Line, const std::string &Text) {
    return this->expectRefused(Line, Text);
  };
  S["await"] = [this](const Words &Line, const std::string &) {
    return this->await(Line);
  };
  S["sleep"] = [](const Words &Line, const std::string &) {
    std::this_thread::sleep_for(durationOf(Line.at(1)));
    return true;
  };
}

void ScenarioRunner::addProcessSteps() {
  auto &S = this->Steps;
  S["start"] = [this](const Words &Line, const std::string &) {
    return this->forEach(Line,
                         [this](Machine &Item) { return this->start(Item); });
  };
  S["start-target"] = [this](const Words &Line, const std::string &) {
    return this->startTarget(this->machine(Line.at(1)));
  };
  S["kill"] = [this](const Words &Line, const std::string &) {
    return this->killAll(Line, true, true);
  };
  S["kill-daemon"] = [this](const Words &Line, const std::string &) {
    return this->killAll(Line, true, false);
  };
  S["kill-target"] = [this](const Words &Line, const std::string &) {
    return this->killAll(Line, false, true);
  };
  const auto Signal = [this](int Number, bool ToTarget) {
    return [this, Number, ToTarget](const Words &Line, const std::string &) {
      return this->forEach(Line, [&](Machine &Item) {
        (ToTarget ? Item.Target : Item.Daemon).signal(Number);
        return true;
      });
    };
  };
  S["term"] = Signal(SIGTERM, false);
  S["term-target"] = Signal(SIGTERM, true);
  S["freeze"] = Signal(SIGSTOP, false);
  S["freeze-target"] = Signal(SIGSTOP, true);
  S["thaw"] = Signal(SIGCONT, false);
  S["wipe"] = [this](const Words &Line, const std::string &) {
    this->WipedDisks[Line.at(1)] = this->diskOf(Line.at(1));
    std::filesystem::remove_all(this->Options.Folder + "/" + Line.at(1) +
                                "-data");
    return true;
  };
}

void ScenarioRunner::addTrafficSteps() {
  auto &S = this->Steps;
  S["cut"] = [this](const Words &Line, const std::string &) {
    this->Network->cut(this->machine(Line.at(1)).Ip);
    return true;
  };
  S["heal"] = [this](const Words &Line, const std::string &) {
    this->Network->heal(this->machine(Line.at(1)).Ip);
    return true;
  };
  S["silence"] = [this](const Words &Line, const std::string &) {
    this->Network->silence(this->machine(Line.at(1)).Ip);
    return true;
  };
  S["delay"] = [this](const Words &Line, const std::string &) {
    this->Network->delay(this->machine(Line.at(1)).Ip, durationOf(Line.at(2)));
    return true;
  };
  S["limit"] = [this](const Words &Line, const std::string &) {
    this->Network->limit(this->machine(Line.at(1)).Ip,
                         std::stoll(Line.at(2)) * 1000);
    return true;
  };
  S["shut"] = [this](const Words &Line, const std::string &) {
    return this->forEach(Line, [this](Machine &Item) {
      this->Network->shut(Item.Ip);
      return true;
    });
  };
  S["reopen"] = [this](const Words &Line, const std::string &) {
    return this->forEach(Line, [this](Machine &Item) {
      this->Network->reopen(Item.Ip);
      return true;
    });
  };
  S["load"] = [this](const Words &Line, const std::string &) {
    return this->startLoad(Line);
  };
  S["stop-load"] = [this](const Words &Line, const std::string &) {
    this->Loads.at(Line.at(1))->stop();
    return true;
  };
  S["expect"] = [this](const Words &Line, const std::string &) {
    return this->expectLoad(Line);
  };
  S["request"] = [this](const Words &Line, const std::string &) {
    return this->request(Line);
  };
  S["garbage"] = [this](const Words &Line, const std::string &) {
    return this->garbage(Line);
  };
  S["set-target"] = [this](const Words &Line, const std::string &Text) {
    return this->setTarget(Line, Text);
  };
}

bool ScenarioRunner::forEach(const Words &Line,
                             const std::function<bool(Machine &)> &Work) {
  for (std::size_t I = 1; I < Line.size(); ++I) {
    if (!Work(this->machine(Line[I])))
      return false;
  }
  return true;
}

/// Forms the system at the given instance as soon as it responds.
bool ScenarioRunner::init(const Machine &First) {
  const ControlClient Client({First.Ip + ":7101"}, "");
  return this->awaitCondition({"within", "5s"}, [&] {
    return succeeds([&] {
      return Client.requestFromFirst("POST", "/v1/init",
                                     {{"adminToken", AdminToken}});
    });
  });
}

bool ScenarioRunner::addMachine(const Words &Line) {
  auto Item = std::make_unique<Machine>();
  Item->Control = Line.at(0) == "control";
  Item->Name = Line.at(1);
  Item->Zone = Line.at(2);
  Item->Service = Item->Control ? "" : Line.at(3);
  Item->ProxyOptions = namedValues(Line);
  Item->Ip = "127." + std::to_string(this->Options.Net) + ".0." +
             std::to_string(this->Machines.size() + 1);
  if (this->Network)
    this->Network->add(Item->Ip, PeerPort, RealPeerPort);
  this->InstanceNames.push_back(Item->Name);
  this->Machines.emplace(Item->Name, std::move(Item));
  return true;
}

std::string ScenarioRunner::settingsOf(const Machine &Item) const {
  json Peers = json::array();
  for (const std::string &Name : this->InstanceNames) {
    const Machine &Other = *this->Machines.at(Name);
    if (Other.Control)
      Peers.push_back({{"name", Name},
                       {"address", Other.Ip + ":" + std::to_string(PeerPort)}});
  }
  json Out = {{"role", Item.Control ? "control" : "proxy"},
              {"name", Item.Name},
              {"availabilityZone", Item.Zone},
              {"controlInstances", Peers}};
  const std::string Peer = Item.Ip + ":" + std::to_string(PeerPort);
  if (this->Network) {
    Out["listen"] = Item.Ip + ":" + std::to_string(RealPeerPort);
    Out["advertise"] = Peer;
  } else {
    Out["listen"] = Peer;
  }
  if (Item.Control) {
    Out["operators"] = Item.Ip + ":7101";
    Out["dataFolder"] = this->Options.Folder + "/" + Item.Name + "-data";
  } else {
    Out["callers"] = Item.Ip + ":8080";
    Out["local"] = Item.Ip + ":7102";
    const auto Memory = Item.ProxyOptions.find("memory");
    if (Memory != Item.ProxyOptions.end())
      Out["memoryMb"] = std::stoi(Memory->second);
    const auto Link = Item.ProxyOptions.find("link");
    if (Link != Item.ProxyOptions.end())
      Out["linkMbps"] = std::stod(Link->second);
  }
  return Out.dump();
}

bool ScenarioRunner::start(Machine &Item) {
  const std::string File = this->Options.Folder + "/" + Item.Name + ".json";
  std::ofstream(File) << this->settingsOf(Item);
  if (!Item.Daemon.start({this->Options.Daemon, "--settings", File},
                         this->logOf(Item.Name)))
    return false;
  return Item.Control || Item.Target.running() || this->startTarget(Item);
}

bool ScenarioRunner::startTarget(Machine &Item) {
  const auto Get = [&](const char *Key, const char *Default) {
    const auto Found = Item.ProxyOptions.find(Key);
    return Found == Item.ProxyOptions.end() ? std::string(Default)
                                            : Found->second;
  };
  return Item.Target.start(
      {this->Options.Target, "--name", Item.Name, "--listen", Item.Ip + ":9000",
       "--daemon", Item.Ip + ":7102", "--service", Item.Service, "--slots",
       Get("slots", "20"), "--connections", Get("connections", "100"),
       "--delay-ms", Get("delay", "2"), "--cold-start-ms", Get("cold", "0"),
       "--log", this->Options.Folder + "/" + Item.Name + ".runs"},
      this->logOf("target-" + Item.Name));
}

bool ScenarioRunner::killAll(const Words &Line, bool KillDaemon,
                             bool KillTarget) {
  for (std::size_t I = 1; I < Line.size(); ++I) {
    std::string Name = Line[I];
    if (Name == "leader" || Name == "follower") {
      const auto Status = this->leaderStatus();
      if (!Status)
        return false;
      const std::string Leader = Status->at("instance").get<std::string>();
      for (const std::string &Other : this->InstanceNames) {
        if (this->machine(Other).Control &&
            this->machine(Other).Daemon.running() &&
            (Other == Leader) == (Name == "leader")) {
          Name = Other;
          break;
        }
      }
      std::cout << "  " << Line[I] << " is " << Name << '\n';
    }
    Machine &Item = this->machine(Name);
    if (KillDaemon)
      Item.Daemon.kill();
    if (KillTarget && !Item.Control)
      Item.Target.kill();
  }
  return true;
}

ControlClient ScenarioRunner::client(const std::string &Token) const {
  std::vector<std::string> Addresses;
  for (const std::string &Name : this->InstanceNames) {
    const Machine &Item = *this->Machines.at(Name);
    if (Item.Control)
      Addresses.push_back(Item.Ip + ":7101");
  }
  return {Addresses, Token};
}

leaf::result<json> ScenarioRunner::change(const std::string &ChangeId,
                                          const std::string &Path,
                                          const json &Value,
                                          std::int64_t Expected) const {
  return this->client(TeamToken).requestFromLeader(
      "POST", "/v1/changes",
      {{"changeId", ChangeId},
       {"basedOn", this->LastVersion},
       {"team", Path.substr(0, Path.find('/'))},
       {"edits", json::array({{{"path", Path},
                               {"value", Value},
                               {"expectedVersion", Expected}}})}});
}

std::int64_t ScenarioRunner::versionOf(const std::string &Path) const {
  std::int64_t Out = 0;
  handleResult(
      [&] {
        return this->client(AdminToken)
            .requestFromLeader("GET", "/v1/settings", {});
      },
      [&](const json &Answer) {
        for (const json &Item : Answer.at("settings")) {
          if (Item.at("path") == Path)
            Out = Item.at("version").get<std::int64_t>();
        }
      });
  return Out;
}

bool ScenarioRunner::put(const std::string &Path, const std::string &Text) {
  const std::string Id = "scenario-" + std::to_string(++this->ChangeCount);
  const std::int64_t Expected = this->versionOf(Path);
  const Failure Error = handleResult(
      [&] { return this->change(Id, Path, json::parse(Text), Expected); },
      [&](const json &Answer) {
        this->LastVersion = Answer.at("version").get<std::int64_t>();
        std::cout << "  version " << this->LastVersion << '\n';
      });
  if (Error.failed())
    std::cout << "  " << describe(Error) << '\n';
  this->LastChangeId = Id;
  this->LastEdit = {
      {"path", Path}, {"value", json::parse(Text)}, {"expected", Expected}};
  return !Error.failed();
}

bool ScenarioRunner::expectRefused(const Words &Line, const std::string &Text) {
  const Failure Error = handleResult(
      [&] {
        return this->change("scenario-" + std::to_string(++this->ChangeCount),
                            Line.at(2), json::parse(Text),
                            this->versionOf(Line.at(2)));
      },
      [](const json &) {});
  std::cout << "  " << describe(Error) << '\n';
  return nameOf(Error.Code) == Line.at(1);
}

bool ScenarioRunner::race(const Words &Line, const std::string &Text) {
  const std::int64_t Expected = this->versionOf(Line.at(1));
  json Values[2] = {json::parse(Text), json::parse(Text)};
  Values[1]["queue"] = 99;
  Failure Errors[2];
  std::vector<std::thread> Operators;
  Operators.reserve(2);
  for (int I = 0; I < 2; ++I)
    Operators.emplace_back([&, I] {
      Errors[I] = handleResult(
          [&] {
            return this->change("race-" + std::to_string(this->ChangeCount) +
                                    "-" + std::to_string(I),
                                Line.at(1), Values[I], Expected);
          },
          [](const json &) {});
    });
  for (std::thread &Item : Operators)
    Item.join();
  ++this->ChangeCount;
  std::cout << "  " << describe(Errors[0]) << " / " << describe(Errors[1])
            << '\n';
  const int Conflicts = (Errors[0].Code == ResultCode::Conflict ? 1 : 0) +
                        (Errors[1].Code == ResultCode::Conflict ? 1 : 0);
  const int Wins = (Errors[0].failed() ? 0 : 1) + (Errors[1].failed() ? 0 : 1);
  return Conflicts == 1 && Wins == 1;
}

/// Resends the last change, as after a lost response.
bool ScenarioRunner::resend() {
  std::int64_t Version = 0;
  handleResult(
      [&] {
        return this->change(this->LastChangeId, this->LastEdit.at("path"),
                            this->LastEdit.at("value"),
                            this->LastEdit.at("expected"));
      },
      [&](const json &Answer) {
        Version = Answer.at("version").get<std::int64_t>();
      });
  std::cout << "  answered with version " << Version << '\n';
  return Version == this->LastVersion;
}

bool ScenarioRunner::startLoad(const Words &Line) {
  const KeyValues Values = namedValues(Line);
  LoadPlan Plan;
  Plan.Name = Line.at(1);
  std::istringstream Via(Values.at("via"));
  std::string Name;
  while (std::getline(Via, Name, ','))
    Plan.Callers.push_back(this->machine(Name).Ip + ":8080");
  Plan.Job = Values.at("job");
  const auto Get = [&](const char *Key, const std::string &Default) {
    const auto Found = Values.find(Key);
    return Found == Values.end() ? Default : Found->second;
  };
  Plan.Path = Get("path", "/work");
  Plan.Method = Get("method", "GET");
  Plan.Rate = std::stod(Get("rate", "100"));
  Plan.Workers = std::stoi(Get("workers", "8"));
  Plan.BodyBytes = std::stoi(Get("body", "0"));
  Plan.Keyed = Get("keyed", "no") == "yes";
  Plan.IdPrefix = Get("ids", Plan.Name);
  this->Loads[Plan.Name] = std::make_unique<LoadGenerator>(Plan);
  return true;
}

} // namespace persimmon
