#include "fleetbench.h"

#include "measure.h"

#include <algorithm>
#include <chrono>
#include <curl/curl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace persimmon {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr const char *Token = "bench-token";
constexpr int ControlCount = 3;
constexpr int ProxiesPerSubnet = 200;

std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                   void *User) {
  static_cast<std::string *>(User)->append(Data, Size * Count);
  return Size * Count;
}

std::string fetch(const std::string &Url) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Handle(
      curl_easy_init(), &curl_easy_cleanup);
  std::string Out;
  curl_easy_setopt(Handle.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, &append);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEDATA, &Out);
  curl_easy_perform(Handle.get());
  return Out;
}

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (const double Value : Values)
    Sum += Value;
  return Values.empty() ? 0 : Sum / static_cast<double>(Values.size());
}

/// Parses the time of day in milliseconds and the version of an in-force line.
bool parseInForceLine(const std::string &Line, double &AtMs,
                      std::int64_t &Version) {
  const std::size_t VersionPosition = Line.find("event=in-force version=");
  const std::size_t TimePosition = Line.find('T');
  if (VersionPosition == std::string::npos || TimePosition == std::string::npos)
    return false;
  Version = std::stoll(Line.substr(VersionPosition + 23));
  const double Hours = std::stod(Line.substr(TimePosition + 1, 2));
  const double Minutes = std::stod(Line.substr(TimePosition + 4, 2));
  const double Seconds = std::stod(Line.substr(TimePosition + 7, 6));
  AtMs = ((Hours * 60 + Minutes) * 60 + Seconds) * 1000;
  return true;
}

} // namespace

FleetBench::FleetBench(FleetPlan ThePlan) : Plan(std::move(ThePlan)) {}

void FleetBench::startAll() {
  json Peers = json::array();
  for (int I = 0; I < ControlCount; ++I)
    Peers.push_back(
        {{"name", "c" + std::to_string(I)},
         {"address", "127.20.0." + std::to_string(I + 1) + ":7100"}});
  for (int I = 0; I < ControlCount + this->Plan.Proxies; ++I) {
    auto Item = std::make_unique<Instance>();
    Item->Control = I < ControlCount;
    const int Number = Item->Control ? I : I - ControlCount;
    Item->Name = (Item->Control ? "c" : "p") + std::to_string(Number);
    Item->Ip = Item->Control
                   ? "127.20.0." + std::to_string(Number + 1)
                   : "127.20." + std::to_string(1 + Number / ProxiesPerSubnet) +
                         "." + std::to_string(1 + Number % ProxiesPerSubnet);
    json Settings = {
        {"role", Item->Control ? "control" : "proxy"},
        {"name", Item->Name},
        {"availabilityZone",
         "zone-" + std::to_string(Number % this->Plan.Zones)},
        {"listen", Item->Ip + ":7100"},
        {"controlInstances", Peers},
        {"log", {{"file", this->Plan.Folder + "/" + Item->Name + ".log"}}}};
    if (!this->Plan.Distribution.empty())
      Settings["baselines"] = {{"distribution", this->Plan.Distribution}};
    if (Item->Control) {
      Settings["operators"] = Item->Ip + ":7101";
      Settings["dataFolder"] = this->Plan.Folder + "/" + Item->Name;
    } else {
      Settings["callers"] = Item->Ip + ":8080";
      Settings["local"] = Item->Ip + ":7102";
    }
    const std::string File = this->Plan.Folder + "/" + Item->Name + ".json";
    std::ofstream(File) << Settings.dump();
    Item->Daemon.start({this->Plan.Daemon, "--settings", File},
                       this->Plan.Folder + "/" + Item->Name + ".out");
    this->Instances.push_back(std::move(Item));
  }
}

ControlClient FleetBench::client(const std::string &AuthToken) const {
  std::vector<std::string> Addresses;
  Addresses.reserve(ControlCount);
  for (int I = 0; I < ControlCount; ++I)
    Addresses.push_back("127.20.0." + std::to_string(I + 1) + ":7101");
  return {Addresses, AuthToken};
}

bool FleetBench::awaitInForce(std::int64_t Version) {
  const auto Until = Clock::now() + std::chrono::seconds(60);
  while (Clock::now() < Until) {
    bool Done = false;
    handleResult([&] { return this->client("").leaderStatus(); },
                 [&](const json &Status) {
                   const json &InForce = Status.at("inForce");
                   Done = InForce.at("complete").get<bool>() &&
                          InForce.at("reported") == this->Plan.Proxies &&
                          InForce.at("leastVersion").get<std::int64_t>() >=
                              Version;
                 });
    if (Done)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

bool FleetBench::putSettings() {
  const ControlClient Client = this->client(Token);
  json Edits = json::array();
  for (int I = 0; I < this->Plan.Services; ++I) {
    const std::string Name = "s" + std::to_string(I);
    Edits.push_back(
        {{"path", "team/services/" + Name}, {"value", {{"queue", 10}}}});
    Edits.push_back(
        {{"path", "team/routes/" + Name},
         {"value", {{"job", "job-" + Name}, {"service", "team/" + Name}}}});
  }
  return !handleResult(
              [&] {
                return Client.requestFromLeader("POST", "/v1/changes",
                                                {{"changeId", "first"},
                                                 {"basedOn", 0},
                                                 {"team", "team"},
                                                 {"edits", Edits}});
              },
              [&](const json &Answer) {
                this->LastVersion = Answer.at("version").get<std::int64_t>();
              })
              .failed();
}

bool FleetBench::submitChange(int Number) {
  static std::int64_t PathVersion = 0;
  if (Number == 0)
    PathVersion = this->LastVersion;
  const json Edit = {{"path", "team/services/s0"},
                     {"value", {{"queue", 11 + Number}}},
                     {"expectedVersion", PathVersion}};
  return !handleResult(
              [&] {
                return this->client(Token).requestFromLeader(
                    "POST", "/v1/changes",
                    {{"changeId", "change-" + std::to_string(Number)},
                     {"basedOn", this->LastVersion},
                     {"team", "team"},
                     {"edits", json::array({Edit})}});
              },
              [&](const json &Answer) {
                this->LastVersion = Answer.at("version").get<std::int64_t>();
                PathVersion = this->LastVersion;
                this->Versions.push_back(this->LastVersion);
              })
              .failed();
}

FleetBench::Usage FleetBench::usageOf(const Instance &Item) const {
  Usage Out;
  const ProcessUsage Process = usageOfProcess(Item.Daemon.id());
  Out.CpuSeconds = Process.CpuSeconds;
  Out.RssMb = Process.RssMb;
  std::istringstream Lines(fetch(
      "http://" + Item.Ip + (Item.Control ? ":7101" : ":7102") + "/metrics"));
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.starts_with("persimmon_peer_bytes_total") ||
        Line.find("direction=\"sent\"") == std::string::npos)
      continue;
    const double Bytes = std::stod(Line.substr(Line.rfind(' ')));
    Out.SentBytes += Bytes;
    if (Line.find("PullReply") != std::string::npos)
      Out.PayloadBytes += Bytes;
  }
  return Out;
}

std::vector<FleetBench::Usage> FleetBench::usageOfAll() const {
  std::vector<Usage> Out;
  Out.reserve(this->Instances.size());
  for (const auto &Item : this->Instances)
    Out.push_back(this->usageOf(*Item));
  return Out;
}

void FleetBench::printCost(const char *Phase, const std::vector<Usage> &Before,
                           const std::vector<Usage> &After, double Seconds,
                           int ChangeCount) const {
  std::vector<double> Cpu;
  std::vector<double> Bytes;
  std::vector<double> Rss;
  double Payload = 0;
  double SourceBytes = 0;
  double SourceCpu = 0;
  for (std::size_t I = 0; I < After.size(); ++I) {
    const double SentBytes = After[I].SentBytes - Before[I].SentBytes;
    const double CpuTime = After[I].CpuSeconds - Before[I].CpuSeconds;
    Payload += After[I].PayloadBytes - Before[I].PayloadBytes;
    if (this->Instances[I]->Control) {
      SourceBytes += SentBytes;
      SourceCpu += CpuTime;
      continue;
    }
    Cpu.push_back(CpuTime / Seconds);
    Bytes.push_back(SentBytes / Seconds);
    Rss.push_back(After[I].RssMb);
  }
  std::cout << json{{"phase", Phase},
                    {"distribution", this->Plan.Distribution.empty()
                                         ? "peers"
                                         : this->Plan.Distribution},
                    {"proxies", this->Plan.Proxies},
                    {"seconds", Seconds},
                    {"changes", ChangeCount},
                    {"proxyCpuShareMean", mean(Cpu)},
                    {"proxyCpuShareMax", quantile(Cpu, 1)},
                    {"proxyBytesPerSecondMean", mean(Bytes)},
                    {"proxyBytesPerSecondMax", quantile(Bytes, 1)},
                    {"proxyRssMbMedian", quantile(Rss, 0.5)},
                    {"proxyRssMbMax", quantile(Rss, 1)},
                    {"payloadBytes", Payload},
                    {"sourceBytesPerSecond", SourceBytes / Seconds},
                    {"sourceCpuShare", SourceCpu / Seconds}}
                   .dump()
            << std::endl;
}

void FleetBench::printConvergence() const {
  std::map<std::int64_t, double> CommittedAt;
  std::map<std::int64_t, std::vector<double>> InForceAt;
  for (const auto &Item : this->Instances) {
    std::ifstream Log(this->Plan.Folder + "/" + Item->Name + ".log");
    std::string Line;
    while (std::getline(Log, Line)) {
      double AtMs = 0;
      std::int64_t Version = 0;
      if (!parseInForceLine(Line, AtMs, Version))
        continue;
      if (Item->Control) {
        const auto [Known, Inserted] = CommittedAt.emplace(Version, AtMs);
        Known->second = std::min(Known->second, AtMs);
      } else {
        InForceAt[Version].push_back(AtMs);
      }
    }
  }
  std::vector<double> ConvergenceMs;
  std::vector<double> SlowestMs;
  for (const std::int64_t Version : this->Versions) {
    double SlowestOfChange = 0;
    for (const double AtMs : InForceAt[Version]) {
      ConvergenceMs.push_back(AtMs - CommittedAt[Version]);
      SlowestOfChange = std::max(SlowestOfChange, ConvergenceMs.back());
    }
    SlowestMs.push_back(SlowestOfChange);
  }
  std::cout << json{{"phase", "convergence"},
                    {"distribution", this->Plan.Distribution.empty()
                                         ? "peers"
                                         : this->Plan.Distribution},
                    {"proxies", this->Plan.Proxies},
                    {"changes", this->Versions.size()},
                    {"samples", ConvergenceMs.size()},
                    {"p50Ms", quantile(ConvergenceMs, 0.5)},
                    {"p99Ms", quantile(ConvergenceMs, 0.99)},
                    {"maxMs", quantile(ConvergenceMs, 1)},
                    {"lastProxyMedianMs", quantile(SlowestMs, 0.5)}}
                   .dump()
            << std::endl;
}

bool FleetBench::run() {
  this->startAll();
  const ControlClient First({"127.20.0.1:7101"}, Token);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  handleResult(
      [&] {
        return First.requestFromFirst("POST", "/v1/init",
                                      {{"adminToken", Token}});
      },
      [](const json &) {});
  handleResult(
      [&] {
        return this->client(Token).requestFromLeader(
            "POST", "/v1/teams", {{"team", "team"}, {"token", Token}});
      },
      [](const json &) {});
  if (!this->putSettings() || !this->awaitInForce(this->LastVersion))
    return false;
  // Lets member tables and connections reach a steady state before measuring.
  std::this_thread::sleep_for(std::chrono::seconds(12));
  auto Before = this->usageOfAll();
  auto Started = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(this->Plan.IdleSeconds));
  auto After = this->usageOfAll();
  std::chrono::duration<double> Took = Clock::now() - Started;
  this->printCost("idle", Before, After, Took.count(), 0);
  Before = this->usageOfAll();
  Started = Clock::now();
  for (int I = 0; I < this->Plan.Changes; ++I) {
    if (!this->submitChange(I))
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  const bool AllInForce = this->awaitInForce(this->LastVersion);
  After = this->usageOfAll();
  Took = Clock::now() - Started;
  this->printCost("changes", Before, After, Took.count(), this->Plan.Changes);
  this->printConvergence();
  return AllInForce;
}

} // namespace persimmon
