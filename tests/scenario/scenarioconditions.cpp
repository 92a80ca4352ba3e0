#include "scenariorunner.h"

#include "scripttext.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <curl/curl.h>

#include <fstream>
#include <iostream>
#include <thread>

namespace persimmon {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds PollPause{20};

/// Returns whether a count meets a condition such as 0, >=10 or <=5.
bool meets(int Count, const std::string &Condition) {
  if (Condition.starts_with(">="))
    return Count >= std::stoi(Condition.substr(2));
  if (Condition.starts_with("<="))
    return Count <= std::stoi(Condition.substr(2));
  return Count == std::stoi(Condition);
}

} // namespace

std::map<std::string, int> ScenarioRunner::countRuns() const {
  std::map<std::string, int> Out;
  for (const auto &[Name, Item] : this->Machines) {
    std::ifstream In(this->Options.Folder + "/" + Name + ".runs");
    std::string Line;
    while (std::getline(In, Line)) {
      const Words Parts = splitWords(Line);
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
  bool Passed = true;
  for (const auto &[Name, Condition] : namedValues(Line)) {
    // namedValues() splits ok>=5 into the key "ok>" and the value "5".
    std::string Key = Name;
    std::string Wanted = Condition;
    if (Key.ends_with('>') || Key.ends_with('<')) {
      Wanted.insert(0, {Key.back(), '='});
      Key.pop_back();
    }
    if (!meets(ByName.at(Key), Wanted)) {
      std::cout << "  not met: " << Key << ' ' << Wanted << '\n';
      Passed = false;
    }
  }
  return Passed;
}

std::optional<json> ScenarioRunner::statusOf(const Machine &Item) const {
  const ControlClient Direct({Item.Ip + (Item.Control ? ":7101" : ":7102")},
                             "");
  std::optional<json> Out;
  handleResult([&] { return Direct.requestFromAny("/v1/status"); },
               [&](json Answer) { Out = std::move(Answer); });
  return Out;
}

std::optional<json> ScenarioRunner::leaderStatus() const {
  for (const std::string &Name : this->InstanceNames) {
    const Machine &Item = *this->Machines.at(Name);
    if (!Item.Control)
      continue;
    auto Status = this->statusOf(Item);
    if (Status && Status->at("leading").get<bool>())
      return Status;
  }
  return std::nullopt;
}

bool ScenarioRunner::awaitCondition(const Words &Line,
                                    const std::function<bool()> &Holds) {
  const auto Started = Clock::now();
  const auto Deadline = Started + durationOf(Line.back());
  while (Clock::now() < Deadline) {
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
  for (const std::string &Name : this->InstanceNames) {
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
    return this->exitedCleanly(Words(Line.begin() + 2, Line.end() - 2));
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
    // await target NAME STATE within TIME, or state NAME STATE
    const ControlClient Client = this->client("");
    bool Found = false;
    handleResult([&] { return Client.requestFromAny("/v1/members"); },
                 [&](const json &Answer) {
                   for (const json &Item : Answer.at("members"))
                     Found = Found ||
                             (Item.at("name") == Line.at(2) &&
                              Item.at(What == "target" ? "target" : "state") ==
                                  Line.at(3));
                 });
    return Found;
  }
  throw std::invalid_argument("unknown condition " + What);
}

/// Returns the disk id of an instance among the leader's voters, or nothing.
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

bool ScenarioRunner::exitedCleanly(const Words &Names) {
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
  return !handleResult(
              [&] {
                return requestApi("POST",
                                  this->machine(Line.at(1)).Ip + ":9000",
                                  "/standin/set", "", json::parse(Text));
              },
              [](const ApiResponse &) {})
              .failed();
}

/// Sends one request and checks its HTTP status.
bool ScenarioRunner::request(const Words &Line) {
  const KeyValues Values = namedValues(Line);
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

/// Sends bytes that are not HTTP. The port must respond with status 400 or
/// close the connection.
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
