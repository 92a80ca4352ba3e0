#include "callbench.h"

#include "measure.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <curl/curl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

namespace persimmon {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr const char *Token = "bench-token";

std::size_t discard(char *, std::size_t Size, std::size_t Count, void *) {
  return Size * Count;
}

double cpuSeconds(const Process &Of) {
  return usageOfProcess(Of.id()).CpuSeconds;
}

} // namespace

CallBench::CallBench(CallBenchOptions TheOptions)
    : Options(std::move(TheOptions)) {}

ControlClient CallBench::client() const { return {{"127.30.0.1:7101"}, Token}; }

void CallBench::startControl() {
  this->RunFolder =
      this->Options.Folder + "/run-" + std::to_string(++this->RunCount);
  std::filesystem::create_directories(this->RunFolder);
  auto Item = std::make_unique<Instance>();
  Item->Name = "c1";
  Item->Ip = "127.30.0.1";
  Item->Control = true;
  const json Settings = {
      {"role", "control"},
      {"name", "c1"},
      {"availabilityZone", "zone-a"},
      {"listen", Item->Ip + ":7100"},
      {"operators", Item->Ip + ":7101"},
      {"dataFolder", this->RunFolder + "/c1"},
      {"controlInstances",
       json::array({{{"name", "c1"}, {"address", Item->Ip + ":7100"}}})}};
  const std::string File = this->RunFolder + "/c1.json";
  std::ofstream(File) << Settings.dump();
  Item->Daemon.start({this->Options.Daemon, "--settings", File},
                     this->RunFolder + "/c1.log");
  this->Instances.push_back(std::move(Item));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  handleResult(
      [&] {
        return this->client().requestFromFirst("POST", "/v1/init",
                                               {{"adminToken", Token}});
      },
      [](const json &) {});
  handleResult(
      [&] {
        return this->client().requestFromLeader(
            "POST", "/v1/teams", {{"team", "team"}, {"token", Token}});
      },
      [](const json &) {});
}

CallBench::Instance &CallBench::startProxy(int Number,
                                           const std::string &Service,
                                           int Slots, int DelayMs,
                                           const std::string &Choice) {
  auto Item = std::make_unique<Instance>();
  Item->Name = "p" + std::to_string(Number);
  Item->Ip = "127.30.1." + std::to_string(Number);
  json Settings = {
      {"role", "proxy"},
      {"name", Item->Name},
      {"availabilityZone", "zone-a"},
      {"listen", Item->Ip + ":7100"},
      {"callers", Item->Ip + ":8080"},
      {"local", Item->Ip + ":7102"},
      {"log", {{"file", this->RunFolder + "/" + Item->Name + ".log"}}},
      {"controlInstances",
       json::array({{{"name", "c1"}, {"address", "127.30.0.1:7100"}}})}};
  if (!Choice.empty())
    Settings["baselines"] = {{"choice", Choice}};
  const std::string File = this->RunFolder + "/" + Item->Name + ".json";
  std::ofstream(File) << Settings.dump();
  Item->Daemon.start({this->Options.Daemon, "--settings", File},
                     this->RunFolder + "/" + Item->Name + ".out");
  Item->Target.start({this->Options.Target, "--name", Item->Name, "--listen",
                      Item->Ip + ":9000", "--daemon", Item->Ip + ":7102",
                      "--service", Service, "--slots", std::to_string(Slots),
                      "--delay-ms", std::to_string(DelayMs), "--callers",
                      Item->Ip + ":8080", "--log",
                      this->RunFolder + "/" + Item->Name + ".runs"},
                     this->RunFolder + "/" + Item->Name + ".target");
  this->Instances.push_back(std::move(Item));
  return *this->Instances.back();
}

void CallBench::stopAll() { this->Instances.clear(); }

bool CallBench::put(const json &Settings) {
  json Edits = json::array();
  for (const auto &[Path, Value] : Settings.items())
    Edits.push_back({{"path", Path}, {"value", Value}});
  return !handleResult(
              [&] {
                return this->client().requestFromLeader("POST", "/v1/changes",
                                                        {{"changeId", "first"},
                                                         {"basedOn", 0},
                                                         {"team", "team"},
                                                         {"edits", Edits}});
              },
              [](const json &) {})
              .failed();
}

bool CallBench::awaitReady(std::size_t Proxies) {
  const auto Until = Clock::now() + std::chrono::seconds(30);
  while (Clock::now() < Until) {
    std::size_t Serving = 0;
    handleResult([&] { return this->client().requestFromAny("/v1/members"); },
                 [&](const json &Answer) {
                   for (const json &Item : Answer.at("members"))
                     Serving += Item.at("target") == "Serving" ? 1 : 0;
                 });
    if (Serving == Proxies) {
      // Time for every proxy to learn of every target and to open.
      std::this_thread::sleep_for(std::chrono::seconds(3));
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

CallBench::LoadResult CallBench::runLoad(const LoadPlan &Plan) const {
  LoadResult Out;
  std::mutex Lock;
  std::vector<std::thread> Threads;
  const auto Start = Clock::now();
  const auto End = Start + std::chrono::seconds(this->Options.Seconds);
  const std::chrono::duration<double> Pause(Plan.Threads / Plan.Rate);
  Threads.reserve(static_cast<std::size_t>(Plan.Threads));
  for (int Number = 0; Number < Plan.Threads; ++Number)
    Threads.emplace_back([&, Number] {
      const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Handle(
          curl_easy_init(), &curl_easy_cleanup);
      curl_slist *HeaderList =
          curl_slist_append(nullptr, ("Host: " + Plan.Job).c_str());
      if (Plan.DeadlineMs > 0)
        HeaderList =
            curl_slist_append(HeaderList, ("Persimmon-Deadline-Ms: " +
                                           std::to_string(Plan.DeadlineMs))
                                              .c_str());
      curl_easy_setopt(Handle.get(), CURLOPT_URL,
                       ("http://" + Plan.Address + Plan.Path).c_str());
      curl_easy_setopt(Handle.get(), CURLOPT_PROXY, "");
      curl_easy_setopt(Handle.get(), CURLOPT_NOSIGNAL, 1L);
      curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, HeaderList);
      curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS, 30'000L);
      curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, &discard);
      auto Next = Start + std::chrono::duration_cast<Clock::duration>(
                              Pause * Number / Plan.Threads);
      LoadResult ThreadResult;
      while (Next < End) {
        std::this_thread::sleep_until(Next);
        const auto Sent = Clock::now();
        const CURLcode Code = curl_easy_perform(Handle.get());
        const std::chrono::duration<double, std::milli> Latency =
            Clock::now() - Sent;
        long Status = 0;
        curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Status);
        if (Code == CURLE_OK && Status == 200) {
          ThreadResult.Succeeded += 1;
          ThreadResult.LatenciesMs.push_back(Latency.count());
        } else if (Status == 503) {
          ThreadResult.Refused += 1;
        } else {
          ThreadResult.Other += 1;
        }
        Next += std::chrono::duration_cast<Clock::duration>(Pause);
        // A caller that is behind its schedule does not catch up in a burst.
        Next = std::max(Next, Clock::now());
      }
      curl_slist_free_all(HeaderList);
      const std::lock_guard<std::mutex> Guard(Lock);
      Out.LatenciesMs.insert(Out.LatenciesMs.end(),
                             ThreadResult.LatenciesMs.begin(),
                             ThreadResult.LatenciesMs.end());
      Out.Succeeded += ThreadResult.Succeeded;
      Out.Refused += ThreadResult.Refused;
      Out.Other += ThreadResult.Other;
    });
  for (std::thread &Item : Threads)
    Item.join();
  return Out;
}

bool CallBench::runLatency() {
  this->startControl();
  Instance &Entry = this->startProxy(1, "team/entry", 20, 0, "");
  Instance &Remote = this->startProxy(2, "team/work", 200, 0, "");
  if (!this->put(
          {{"team/services/entry", {{"queue", 100}}},
           {"team/services/work", {{"queue", 100}}},
           {"team/routes/work", {{"job", "job"}, {"service", "team/work"}}}}) ||
      !this->awaitReady(2))
    return false;
  for (const double Rate : {254.0, 1000.0, 2000.0, 4000.0}) {
    LoadPlan DirectPlan;
    DirectPlan.Address = Remote.Ip + ":9000";
    DirectPlan.Job = "job";
    DirectPlan.Rate = Rate;
    LoadPlan ViaProxy = DirectPlan;
    ViaProxy.Address = Entry.Ip + ":8080";
    const LoadResult DirectResult = this->runLoad(DirectPlan);
    const double EntryCpu = cpuSeconds(Entry.Daemon);
    const double RemoteCpu = cpuSeconds(Remote.Daemon);
    const LoadResult ProxyResult = this->runLoad(ViaProxy);
    const double Calls = std::max(1, ProxyResult.Succeeded);
    const auto Added = [&](double Share) {
      return quantile(ProxyResult.LatenciesMs, Share) -
             quantile(DirectResult.LatenciesMs, Share);
    };
    std::cout << json{{"phase", "latency"},
                      {"rate", Rate},
                      {"good", ProxyResult.Succeeded},
                      {"other", ProxyResult.Other + ProxyResult.Refused},
                      {"directP50Ms", quantile(DirectResult.LatenciesMs, 0.5)},
                      {"directP99Ms", quantile(DirectResult.LatenciesMs, 0.99)},
                      {"p50Ms", quantile(ProxyResult.LatenciesMs, 0.5)},
                      {"p99Ms", quantile(ProxyResult.LatenciesMs, 0.99)},
                      {"addedP50Ms", Added(0.5)},
                      {"addedP99Ms", Added(0.99)},
                      {"addedP999Ms", Added(0.999)},
                      {"entryCpuUsPerCall",
                       (cpuSeconds(Entry.Daemon) - EntryCpu) * 1e6 / Calls},
                      {"targetDaemonCpuUsPerCall",
                       (cpuSeconds(Remote.Daemon) - RemoteCpu) * 1e6 / Calls}}
                     .dump()
              << std::endl;
  }
  this->stopAll();
  return true;
}

bool CallBench::runOverload() {
  // Ten slots of 20 ms serve 500 calls a second.
  constexpr double Capacity = 500;
  constexpr int CallerTimeoutMs = 400;
  for (const bool Limits : {true, false}) {
    this->startControl();
    Instance &Entry = this->startProxy(1, "team/entry", 20, 0, "");
    this->startProxy(2, "team/work", 10, 20, "");
    const json Work = Limits ? json{{"queue", 16}}
                             : json{{"queue", 1000}, {"deadlineMs", 600'000}};
    if (!this->put({{"team/services/entry", {{"queue", 100}}},
                    {"team/services/work", Work},
                    {"team/routes/work",
                     {{"job", "job"}, {"service", "team/work"}}}}) ||
        !this->awaitReady(2))
      return false;
    for (const double Factor : {1.0, 2.0, 3.0}) {
      LoadPlan Plan;
      Plan.Address = Entry.Ip + ":8080";
      Plan.Job = "job";
      Plan.Rate = Capacity * Factor;
      Plan.Threads = 1000;
      Plan.DeadlineMs = Limits ? CallerTimeoutMs : 0;
      const LoadResult Measured = this->runLoad(Plan);
      // Responses that come after the caller's deadline do not count as
      // goodput.
      const auto InTime = std::count_if(
          Measured.LatenciesMs.begin(), Measured.LatenciesMs.end(),
          [](double Ms) { return Ms <= CallerTimeoutMs; });
      std::cout << json{{"phase", "overload"},
                        {"limits", Limits},
                        {"factor", Factor},
                        {"goodput",
                         static_cast<double>(InTime) / this->Options.Seconds},
                        {"shareOfCapacity", static_cast<double>(InTime) /
                                                this->Options.Seconds /
                                                Capacity},
                        {"late", Measured.Succeeded - InTime},
                        {"refused", Measured.Refused},
                        {"other", Measured.Other},
                        {"p50Ms", quantile(Measured.LatenciesMs, 0.5)},
                        {"p99Ms", quantile(Measured.LatenciesMs, 0.99)}}
                       .dump()
                << std::endl;
    }
    this->stopAll();
  }
  return true;
}

bool CallBench::runChoice() {
  for (const char *Choice : {"", "random"}) {
    this->startControl();
    Instance &Entry = this->startProxy(1, "team/entry", 20, 0, Choice);
    for (int Number = 2; Number <= 5; ++Number)
      this->startProxy(Number, "team/work", 10, Number == 5 ? 100 : 10, Choice);
    if (!this->put({{"team/services/entry", {{"queue", 100}}},
                    {"team/services/work", {{"queue", 100}}},
                    {"team/routes/work",
                     {{"job", "job"}, {"service", "team/work"}}}}) ||
        !this->awaitReady(5))
      return false;
    LoadPlan Plan;
    Plan.Address = Entry.Ip + ":8080";
    Plan.Job = "job";
    Plan.Rate = 600;
    Plan.Threads = 200;
    const LoadResult Measured = this->runLoad(Plan);
    std::cout << json{{"phase", "choice"},
                      {"choice", *Choice == '\0' ? "least-of-two" : Choice},
                      {"good", Measured.Succeeded},
                      {"refused", Measured.Refused},
                      {"other", Measured.Other},
                      {"p50Ms", quantile(Measured.LatenciesMs, 0.5)},
                      {"p99Ms", quantile(Measured.LatenciesMs, 0.99)}}
                     .dump()
              << std::endl;
    this->stopAll();
  }
  return true;
}

bool CallBench::runChains() {
  for (const int Depth : {5, 10, 25}) {
    this->startControl();
    // Two targets forward calls; both targets of the last service close the
    // connection without a response.
    Instance &Entry = this->startProxy(1, "team/hop", 100, 0, "");
    this->startProxy(2, "team/hop", 100, 0, "");
    Instance &Last = this->startProxy(3, "team/last", 100, 0, "");
    Instance &Other = this->startProxy(4, "team/last", 100, 0, "");
    if (!this->put(
            {{"team/services/hop", {{"queue", 100}}},
             {"team/services/last", {{"queue", 100}}},
             {"team/routes/hop", {{"job", "hop"}, {"service", "team/hop"}}},
             {"team/routes/last",
              {{"job", "last"}, {"service", "team/last"}}}}) ||
        !this->awaitReady(4))
      return false;
    for (const Instance *Item : {&Last, &Other}) {
      handleResult(
          [&] {
            return requestApi("POST", Item->Ip + ":9000", "/standin/set", "",
                              {{"hangingUp", true}});
          },
          [](const ApiResponse &) {});
    }
    LoadPlan Plan;
    Plan.Address = Entry.Ip + ":8080";
    Plan.Job = "hop";
    Plan.Path = "/chain/" + std::to_string(Depth - 1);
    Plan.Rate = 40;
    const LoadResult Measured = this->runLoad(Plan);
    int Runs = 0;
    for (const Instance *Item : {&Last, &Other}) {
      std::ifstream In(this->RunFolder + "/" + Item->Name + ".runs");
      std::string Line;
      while (std::getline(In, Line))
        Runs += Line.starts_with("run ") ? 1 : 0;
    }
    const int Calls = Measured.Succeeded + Measured.Refused + Measured.Other;
    std::cout << json{{"phase", "chain"},
                      {"depth", Depth},
                      {"calls", Calls},
                      {"runsOfLast", Runs},
                      {"attemptsPerCall",
                       static_cast<double>(Runs) / std::max(1, Calls)}}
                     .dump()
              << std::endl;
    this->stopAll();
  }
  return true;
}

} // namespace persimmon
