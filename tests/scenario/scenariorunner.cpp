#include "scenariorunner.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <curl/curl.h>

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
constexpr std::chrono::milliseconds PollPause{20};
constexpr const char *AdminToken = "scenario-admin";
constexpr const char *TeamToken = "scenario-team";

std::vector<std::string> split(const std::string &Line) {
  std::istringstream In(Line);
  std::vector<std::string> Out;
  std::string Word;
  while (In >> Word)
    Out.push_back(Word);
  return Out;
}

std::map<std::string, std::string>
namedValues(const std::vector<std::string> &Line) {
  std::map<std::string, std::string> Out;
  for (const std::string &Word : Line) {
    const std::size_t Equals = Word.find('=');
    if (Equals != std::string::npos)
      Out[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  }
  return Out;
}

std::chrono::milliseconds durationOf(const std::string &Text) {
  const long Number = std::stol(Text);
  return Text.ends_with("ms") ? std::chrono::milliseconds(Number)
                              : std::chrono::seconds(Number);
}

/// Compares a count with a condition such as 0, >=10 or <=5.
bool meets(int Count, const std::string &Condition) {
  if (Condition.starts_with(">="))
    return Count >= std::stoi(Condition.substr(2));
  if (Condition.starts_with("<="))
    return Count <= std::stoi(Condition.substr(2));
  return Count == std::stoi(Condition);
}

} // namespace

ScenarioRunner::ScenarioRunner(const ScenarioOptions &TheOptions)
    : Options(TheOptions) {}

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
    bool Good = false;
    try {
      Good = this->runLine(Line);
    } catch (const std::exception &Error) {
      std::cout << "  error: " << Error.what() << '\n';
    }
    if (!Good) {
      std::cout << "FAILED at line " << Number << "; logs are in "
                << this->Options.Folder << std::endl;
      return false;
    }
  }
  return Number > 0;
}

bool ScenarioRunner::runLine(const std::string &Line) {
  const Words Line1 = split(Line);
  const std::string &Verb = Line1.front();
  const std::size_t Brace = Line.find('{');
  const std::string Text =
      Brace == std::string::npos ? std::string() : Line.substr(Brace);
  if (Verb == "forwarded") {
    this->Network = std::make_unique<Forwarder>();
    return true;
  }
  if (Verb == "control" || Verb == "proxy")
    return this->addMachine(Line1);
  if (Verb == "start") {
    for (std::size_t I = 1; I < Line1.size(); ++I) {
      if (!this->start(this->machine(Line1[I])))
        return false;
    }
    return true;
  }
  if (Verb == "init") {
    const ControlClient First({this->machine(Line1.at(1)).Ip + ":7101"}, "");
    const auto Form = [&] {
      return !settle(
                  [&] {
                    return First.askFirst("POST", "/v1/init",
                                          {{"adminToken", AdminToken}});
                  },
                  [](const json &) {})
                  .failed();
    };
    return this->awaitCondition({"within", "5s"}, Form);
  }
  if (Verb == "team")
    return !settle(
                [&] {
                  return ControlClient(this->client())
                      .askLeader("POST", "/v1/teams",
                                 {{"team", Line1.at(1)}, {"token", TeamToken}});
                },
                [](const json &) {})
                .failed();
  if (Verb == "put")
    return this->put(Line1, Text);
  if (Verb == "repeat-put") {
    for (int I = 0; I < std::stoi(Line1.at(1)); ++I) {
      if (!this->put({"put", Line1.at(2)},
                     "{\"queue\":" + std::to_string(I) + "}"))
        return false;
    }
    return true;
  }
  if (Verb == "race")
    return this->race(Line1, Text);
  if (Verb == "resend")
    return this->resend(Line1);
  if (Verb == "refused")
    return this->expectRefused(Line1, Text);
  if (Verb == "load")
    return this->startLoad(Line1);
  if (Verb == "stop-load") {
    this->Loads.at(Line1.at(1))->stop();
    return true;
  }
  if (Verb == "expect")
    return this->expectLoad(Line1);
  if (Verb == "await")
    return this->await(Line1);
  if (Verb == "kill")
    return this->killAll(Line1, true, true);
  if (Verb == "kill-daemon")
    return this->killAll(Line1, true, false);
  if (Verb == "kill-target")
    return this->killAll(Line1, false, true);
  if (Verb == "term")
    return this->signalAll(Line1, SIGTERM, false);
  if (Verb == "term-target") {
    this->machine(Line1.at(1)).Target.signal(SIGTERM);
    return true;
  }
  if (Verb == "freeze")
    return this->signalAll(Line1, SIGSTOP, false);
  if (Verb == "thaw")
    return this->signalAll(Line1, SIGCONT, false);
  if (Verb == "freeze-target") {
    this->machine(Line1.at(1)).Target.signal(SIGSTOP);
    return true;
  }
  if (Verb == "start-target")
    return this->startTarget(this->machine(Line1.at(1)));
  if (Verb == "wipe") {
    this->WipedDisks[Line1.at(1)] = this->diskOf(Line1.at(1));
    std::filesystem::remove_all(this->Options.Folder + "/" + Line1.at(1) +
                                "-data");
    return true;
  }
  if (Verb == "cut" || Verb == "heal" || Verb == "silence") {
    const std::string &Ip = this->machine(Line1.at(1)).Ip;
    if (Verb == "cut")
      this->Network->cut(Ip);
    else if (Verb == "heal")
      this->Network->heal(Ip);
    else
      this->Network->silence(Ip);
    return true;
  }
  if (Verb == "request")
    return this->request(Line1);
  if (Verb == "garbage")
    return this->garbage(Line1);
  if (Verb == "set-target")
    return this->setTarget(Line1, Text);
  if (Verb == "recover") {
    const ControlClient First({this->machine(Line1.at(1)).Ip + ":7101"},
                              AdminToken);
    return !settle(
                [&] {
                  return First.askFirst("POST", "/v1/recover", json::object());
                },
                [](const json &) {})
                .failed();
  }
  if (Verb == "sleep") {
    std::this_thread::sleep_for(durationOf(Line1.at(1)));
    return true;
  }
  throw std::invalid_argument("unknown step " + Verb);
}

bool ScenarioRunner::addMachine(const Words &Line) {
  auto Item = std::make_unique<Machine>();
  Item->Control = Line.at(0) == "control";
  Item->Name = Line.at(1);
  Item->Zone = Line.at(2);
  Item->Service = Item->Control ? "" : Line.at(3);
  Item->Extra = namedValues(Line);
  Item->Ip = "127." + std::to_string(this->Options.Net) + ".0." +
             std::to_string(this->Machines.size() + 1);
  if (this->Network)
    this->Network->add(Item->Ip, PeerPort, RealPeerPort);
  this->Order.push_back(Item->Name);
  this->Machines.emplace(Item->Name, std::move(Item));
  return true;
}

std::string ScenarioRunner::settingsOf(const Machine &Item) const {
  json Peers = json::array();
  for (const std::string &Name : this->Order) {
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
    const auto Found = Item.Extra.find(Key);
    return Found == Item.Extra.end() ? std::string(Default) : Found->second;
  };
  return Item.Target.start(
      {this->Options.Target, "--name", Item.Name, "--listen", Item.Ip + ":9000",
       "--daemon", Item.Ip + ":7102", "--service", Item.Service, "--slots",
       Get("slots", "20"), "--connections", Get("connections", "100"),
       "--delay-ms", Get("delay", "2"), "--cold-start-ms", Get("cold", "0"),
       "--log", this->Options.Folder + "/" + Item.Name + ".runs"},
      this->logOf("target-" + Item.Name));
}

bool ScenarioRunner::signalAll(const Words &Line, int Number, bool TargetToo) {
  for (std::size_t I = 1; I < Line.size(); ++I) {
    Machine &Item = this->machine(Line[I]);
    Item.Daemon.signal(Number);
    if (TargetToo)
      Item.Target.signal(Number);
  }
  return true;
}

bool ScenarioRunner::killAll(const Words &Line, bool DaemonToo,
                             bool TargetToo) {
  for (std::size_t I = 1; I < Line.size(); ++I) {
    std::string Name = Line[I];
    if (Name == "leader" || Name == "follower") {
      const auto Status = this->leaderStatus();
      if (!Status)
        return false;
      const std::string Leader = Status->at("instance").get<std::string>();
      for (const std::string &Other : this->Order) {
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
    if (DaemonToo)
      Item.Daemon.kill();
    if (TargetToo && !Item.Control)
      Item.Target.kill();
  }
  return true;
}

ControlClient ScenarioRunner::client() const {
  std::vector<std::string> Addresses;
  for (const std::string &Name : this->Order) {
    const Machine &Item = *this->Machines.at(Name);
    if (Item.Control)
      Addresses.push_back(Item.Ip + ":7101");
  }
  return ControlClient(Addresses, AdminToken);
}

leaf::result<json> ScenarioRunner::change(const std::string &ChangeId,
                                          const std::string &Path,
                                          const json &Value,
                                          std::int64_t Expected) const {
  std::vector<std::string> Addresses;
  for (const std::string &Name : this->Order) {
    const Machine &Item = *this->Machines.at(Name);
    if (Item.Control)
      Addresses.push_back(Item.Ip + ":7101");
  }
  const ControlClient Team(Addresses, TeamToken);
  return Team.askLeader(
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
  settle([&] { return this->client().askLeader("GET", "/v1/settings", {}); },
         [&](const json &Answer) {
           for (const json &Item : Answer.at("settings")) {
             if (Item.at("path") == Path)
               Out = Item.at("version").get<std::int64_t>();
           }
         });
  return Out;
}

bool ScenarioRunner::put(const Words &Line, const std::string &Text) {
  const std::string Id = "scenario-" + std::to_string(++this->Changes);
  const std::int64_t Expected = this->versionOf(Line.at(1));
  const Failure Error = settle(
      [&] { return this->change(Id, Line.at(1), json::parse(Text), Expected); },
      [&](const json &Answer) {
        this->LastVersion = Answer.at("version").get<std::int64_t>();
        std::cout << "  version " << this->LastVersion << '\n';
      });
  if (Error.failed())
    std::cout << "  " << describe(Error) << '\n';
  this->LastChangeId = Id;
  this->LastBody = {{"path", Line.at(1)},
                    {"value", json::parse(Text)},
                    {"expected", Expected}};
  return !Error.failed();
}

bool ScenarioRunner::expectRefused(const Words &Line, const std::string &Text) {
  const Failure Error = settle(
      [&] {
        return this->change("scenario-" + std::to_string(++this->Changes),
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
  for (int I = 0; I < 2; ++I)
    Operators.emplace_back([&, I] {
      Errors[I] = settle(
          [&] {
            return this->change("race-" + std::to_string(this->Changes) + "-" +
                                    std::to_string(I),
                                Line.at(1), Values[I], Expected);
          },
          [](const json &) {});
    });
  for (std::thread &Item : Operators)
    Item.join();
  ++this->Changes;
  std::cout << "  " << describe(Errors[0]) << " / " << describe(Errors[1])
            << '\n';
  const int Conflicts = (Errors[0].Code == ResultCode::Conflict ? 1 : 0) +
                        (Errors[1].Code == ResultCode::Conflict ? 1 : 0);
  const int Wins = (Errors[0].failed() ? 0 : 1) + (Errors[1].failed() ? 0 : 1);
  return Conflicts == 1 && Wins == 1;
}

/// Sends the last change again, as after a lost answer.
bool ScenarioRunner::resend(const Words &) {
  std::int64_t Version = 0;
  settle(
      [&] {
        return this->change(this->LastChangeId, this->LastBody.at("path"),
                            this->LastBody.at("value"),
                            this->LastBody.at("expected"));
      },
      [&](const json &Answer) {
        Version = Answer.at("version").get<std::int64_t>();
      });
  std::cout << "  answered with version " << Version << '\n';
  return Version == this->LastVersion;
}

bool ScenarioRunner::startLoad(const Words &Line) {
  const Named Values = namedValues(Line);
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
  this->Loads[Plan.Name] = std::make_unique<LoadGenerator>(Plan);
  return true;
}

std::map<std::string, int> ScenarioRunner::countRuns() const {
  std::map<std::string, int> Out;
  for (const auto &[Name, Item] : this->Machines) {
    std::ifstream In(this->Options.Folder + "/" + Name + ".runs");
    std::string Line;
    while (std::getline(In, Line)) {
      const Words Parts = split(Line);
      if (Parts.size() > 1 && Parts[0] == "run")
        Out[Parts[1]] += 1;
    }
  }
  return Out;
}

bool ScenarioRunner::expectLoad(const Words &Line) {
  const LoadCounts Counts =
      this->Loads.at(Line.at(1))->count(this->countRuns());
  const std::map<std::string, int> ByName = {
      {"sent", Counts.Sent},       {"ok", Counts.Ok},
      {"notrun", Counts.NotRun},   {"unknown", Counts.Unknown},
      {"broken", Counts.Broken},   {"crossed", Counts.Crossed},
      {"doubled", Counts.Doubled}, {"lied", Counts.Lied}};
  std::cout << "  counted:";
  for (const auto &[Name, Value] : ByName)
    std::cout << ' ' << Name << '=' << Value;
  std::cout << '\n';
  bool Good = true;
  for (const auto &[Name, Condition] : namedValues(Line)) {
    // ok>=5 is split at the equals sign.
    std::string Key = Name;
    std::string Wanted = Condition;
    if (Key.ends_with('>') || Key.ends_with('<')) {
      Wanted = std::string(1, Key.back()) + "=" + Wanted;
      Key.pop_back();
    }
    if (!meets(ByName.at(Key), Wanted)) {
      std::cout << "  not met: " << Key << ' ' << Wanted << '\n';
      Good = false;
    }
  }
  return Good;
}

std::optional<json> ScenarioRunner::statusOf(const Machine &Item) const {
  const ControlClient Direct({Item.Ip + (Item.Control ? ":7101" : ":7102")},
                             "");
  std::optional<json> Out;
  settle([&] { return Direct.askAny("/v1/status"); },
         [&](json Answer) { Out = std::move(Answer); });
  return Out;
}

std::optional<json> ScenarioRunner::leaderStatus() const {
  for (const std::string &Name : this->Order) {
    const Machine &Item = *this->Machines.at(Name);
    if (!Item.Control)
      continue;
    const auto Status = this->statusOf(Item);
    if (Status && Status->at("leading").get<bool>())
      return Status;
  }
  return std::nullopt;
}

bool ScenarioRunner::awaitCondition(const Words &Line,
                                    const std::function<bool()> &Holds) {
  const auto Started = Clock::now();
  const auto Until = Started + durationOf(Line.back());
  while (Clock::now() < Until) {
    if (Holds()) {
      std::cout << "  after "
                << std::chrono::duration_cast<std::chrono::milliseconds>(
                       Clock::now() - Started)
                       .count()
                << " ms\n";
      return true;
    }
    std::this_thread::sleep_for(PollPause);
  }
  for (const std::string &Name : this->Order) {
    const auto Status = this->statusOf(this->machine(Name));
    std::cout << "  " << Name << ' ' << (Status ? Status->dump() : "down")
              << '\n';
  }
  return false;
}

bool ScenarioRunner::await(const Words &Line) {
  return this->awaitCondition(Line, [&] { return this->holds(Line); });
}

bool ScenarioRunner::holds(const Words &Line) {
  const std::string &What = Line.at(1);
  if (What == "leader")
    return this->leaderStatus().has_value();
  if (What == "no-leader")
    return !this->leaderStatus().has_value();
  if (What == "exit")
    return this->notRunning(Words(Line.begin() + 2, Line.end() - 2));
  if (What == "voters") {
    const auto Status = this->leaderStatus();
    return Status && Status->at("voters").size() ==
                         static_cast<std::size_t>(std::stoi(Line.at(2)));
  }
  if (What == "replaced") {
    const std::string Disk = this->diskOf(Line.at(2));
    const auto Status = this->leaderStatus();
    return Status && Status->at("voters").size() == 3 && !Disk.empty() &&
           Disk != this->WipedDisks[Line.at(2)];
  }
  if (What == "in-force") {
    const auto Status = this->leaderStatus();
    return Status && Status->at("inForce").at("complete").get<bool>() &&
           Status->at("inForce").at("leastVersion").get<std::int64_t>() >=
               this->LastVersion;
  }
  if (What == "serving" || What == "stale" || What == "fresh") {
    for (std::size_t I = 2; I + 2 < Line.size(); ++I) {
      const auto Status = this->statusOf(this->machine(Line[I]));
      if (!Status)
        return false;
      if (What == "serving"
              ? !Status->value("serving", false)
              : Status->value("stale", false) != (What == "stale"))
        return false;
    }
    return true;
  }
  if (What == "target" || What == "state") {
    // await target NAME Serving seen-by PROXY-OR-CONTROL within TIME
    const ControlClient Client = this->client();
    bool Found = false;
    settle([&] { return Client.askAny("/v1/members"); },
           [&](const json &Answer) {
             for (const json &Item : Answer.at("members"))
               Found =
                   Found || (Item.at("name") == Line.at(2) &&
                             Item.at(What == "target" ? "target" : "state") ==
                                 Line.at(3));
           });
    return Found;
  }
  throw std::invalid_argument("unknown condition " + What);
}

/// Returns the disk of an instance as the leader's voters name it.
std::string ScenarioRunner::diskOf(const std::string &Name) const {
  const auto Status = this->leaderStatus();
  std::string Out;
  if (!Status)
    return Out;
  for (const json &Voter : Status->at("voters")) {
    if (Voter.at("instance") == Name)
      Out = Voter.at("disk").get<std::string>();
  }
  return Out;
}

bool ScenarioRunner::notRunning(const Words &Names) {
  for (const std::string &Name : Names) {
    Process &Daemon = this->machine(Name).Daemon;
    if (Daemon.running())
      return false;
    if (Daemon.exitStatus() != 0)
      throw std::runtime_error(Name + " did not exit with status 0");
  }
  return true;
}

bool ScenarioRunner::setTarget(const Words &Line, const std::string &Text) {
  return !settle(
              [&] {
                return requestApi("POST",
                                  this->machine(Line.at(1)).Ip + ":9000",
                                  "/standin/set", "", json::parse(Text));
              },
              [](const ApiAnswer &) {})
              .failed();
}

/// Sends one request and compares the HTTP status.
bool ScenarioRunner::request(const Words &Line) {
  const Named Values = namedValues(Line);
  const auto Get = [&](const char *Key, const char *Default) {
    const auto Found = Values.find(Key);
    return Found == Values.end() ? std::string(Default) : Found->second;
  };
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Easy(
      curl_easy_init(), &curl_easy_cleanup);
  const std::string Url =
      "http://" + this->machine(Line.at(1)).Ip + ":8080" + Get("path", "/work");
  const std::string Body(std::stoul(Get("bodyBytes", "0")), 'x');
  curl_slist *List =
      curl_slist_append(nullptr, ("Host: " + Get("job", "job")).c_str());
  const std::string Filler(std::stoul(Get("headerBytes", "0")), 'h');
  if (!Filler.empty())
    List = curl_slist_append(List, ("X-Filler: " + Filler).c_str());
  if (Values.count("deadline") != 0)
    List = curl_slist_append(
        List, ("Persimmon-Deadline-Ms: " + Get("deadline", "")).c_str());
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> Owner(
      List, &curl_slist_free_all);
  curl_easy_setopt(Easy.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(Easy.get(), CURLOPT_HTTPHEADER, List);
  curl_easy_setopt(Easy.get(), CURLOPT_TIMEOUT_MS, 15'000L);
  curl_easy_setopt(
      Easy.get(), CURLOPT_WRITEFUNCTION,
      +[](char *, std::size_t Size, std::size_t Count, void *) {
        return Size * Count;
      });
  if (!Body.empty()) {
    curl_easy_setopt(Easy.get(), CURLOPT_POSTFIELDS, Body.data());
    curl_easy_setopt(Easy.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Body.size()));
  }
  const CURLcode Code = curl_easy_perform(Easy.get());
  long Status = 0;
  curl_easy_getinfo(Easy.get(), CURLINFO_RESPONSE_CODE, &Status);
  std::cout << "  status " << Status << " (" << curl_easy_strerror(Code)
            << ")\n";
  return Status == std::stol(Line.at(2));
}

/// Sends bytes that are not HTTP; the connection must be closed or answered
/// with 400.
bool ScenarioRunner::garbage(const Words &Line) {
  asio::io_context Io;
  asio::ip::tcp::socket Socket(Io);
  Socket.connect({asio::ip::make_address(this->machine(Line.at(1)).Ip), 8080});
  const std::string Bytes = "\x01\x02 not http\r\n\r\n";
  asio::write(Socket, asio::buffer(Bytes));
  std::string Answer;
  std::error_code Error;
  asio::read(Socket, asio::dynamic_buffer(Answer), Error);
  std::cout << "  answered with " << Answer.size() << " bytes, "
            << Error.message() << '\n';
  return Answer.empty() || Answer.find(" 400 ") != std::string::npos;
}

} // namespace persimmon
