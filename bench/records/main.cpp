#include "libpersimmon/libpersimmon.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <unistd.h>

using namespace persimmon;
using nlohmann::json;

namespace {

constexpr int Repeats = 5;
constexpr int TargetsPerService = 22;
constexpr int RoutesPerService = 3;

double residentBytes() {
  std::ifstream In("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Runs \p Work several times and returns the minimum, median and maximum time
/// of one unit in microseconds.
json measure(double Units, const std::function<void()> &Work) {
  std::vector<double> Times;
  for (int I = 0; I < Repeats; ++I) {
    const auto Started = std::chrono::steady_clock::now();
    Work();
    const std::chrono::duration<double, std::micro> Took =
        std::chrono::steady_clock::now() - Started;
    Times.push_back(Took.count() / Units);
  }
  std::sort(Times.begin(), Times.end());
  return {{"minUs", Times.front()},
          {"medianUs", Times[Times.size() / 2]},
          {"maxUs", Times.back()}};
}

wire::MemberRecord makeRecord(int Number) {
  wire::MemberRecord Out;
  Out.Name = "proxy-" + std::to_string(Number);
  Out.Address = "10.0." + std::to_string(Number / 250) + "." +
                std::to_string(Number % 250) + ":7100";
  Out.Zone = "region-zone-" + std::to_string(Number % 9);
  Out.Incarnation = 1'700'000'000'000;
  Out.Sequence = 3;
  Out.Service = "team/service-" + std::to_string(Number / TargetsPerService);
  Out.Target = wire::TargetState::Serving;
  Out.Slots = 20;
  return Out;
}

/// A proxy that knows many members, driven without a network.
class ProxyFixture {
public:
  ProxyFixture() {
    NodeIdentity Identity;
    Identity.Name = "proxy-self";
    Identity.Address = "10.9.9.9:7100";
    Identity.Zone = "region-zone-0";
    Identity.Incarnation = 1;
    Identity.ControlInstances = {{"c1", "10.8.8.8:7100"}};
    this->Daemon =
        Node::makeProxy(Identity, {this->Choice, this->VersionTopology});
  }

  Effects submit(EventBody Body) {
    Event NewEvent;
    NewEvent.At = this->Now;
    NewEvent.Body = std::move(Body);
    return this->Daemon->reduce(NewEvent);
  }

  void addMembers(int Count) {
    for (int I = 0; I < Count; I += 100) {
      wire::SyncReply Reply;
      for (int J = I; J < std::min(Count, I + 100); ++J)
        Reply.Records.push_back(makeRecord(J));
      this->submit(MessageReceived{"#1", Reply});
    }
    // Runs until the updates have been forwarded.
    for (int I = 0; I < 200'000 && this->Daemon->members().hasPendingUpdates();
         ++I)
      this->tick();
  }

  void tick() {
    this->Now += milliseconds(20);
    this->submit(Tick());
  }

  Node &node() { return *this->Daemon; }

private:
  LeastOfTwo Choice;
  PeerTopology VersionTopology;
  std::unique_ptr<Node> Daemon;
  Time Now{std::chrono::hours(1)};
};

void measureMembers(int Count) {
  const double Before = residentBytes();
  ProxyFixture Proxy;
  Proxy.addMembers(Count);
  const double After = residentBytes();
  json Out = {{"phase", "members"},
              {"members", Count},
              {"bytesPerMember", (After - Before) / Count}};
  constexpr int Ticks = 500;
  Out["idleTick"] = measure(Ticks, [&] {
    for (int I = 0; I < Ticks; ++I)
      Proxy.tick();
  });
  constexpr int Updates = 200;
  std::int64_t Sequence = 10;
  Out["recordUpdate"] = measure(Updates, [&] {
    for (int I = 0; I < Updates; ++I) {
      wire::Announce Announcement;
      Announcement.Head.From = "proxy-1";
      Announcement.Head.Updates.push_back(makeRecord(I % Count));
      Announcement.Head.Updates.back().Sequence = ++Sequence;
      Proxy.submit(MessageReceived{"10.0.0.1:7100", Announcement});
      // The update is forwarded during these ticks.
      for (int J = 0; J < 5; ++J)
        Proxy.tick();
    }
  });
  wire::SyncRequest Request;
  Request.Buckets.assign(32, 0);
  std::size_t Bytes = 0;
  Out["fullComparison"] = measure(1, [&] {
    for (const Effect &Item : Proxy.submit(MessageReceived{"#1", Request}))
      Bytes = encode(std::get<SendMessage>(Item).Body).size();
  });
  Out["fullComparisonBytes"] = Bytes;
  std::cout << Out.dump() << std::endl;
}

/// Measures changes at a source with all settings and at a proxy that applies
/// them.
void measureChanges(int Services) {
  SettingsStore Store;
  const double Before = residentBytes();
  std::int64_t Index = 0;
  const auto Apply = [&](std::vector<wire::PathEdit> Edits) {
    wire::LogEntry Entry;
    Entry.Kind = wire::EntryKind::Change;
    Entry.Index = ++Index;
    Entry.TheChange.ChangeId = "id-" + std::to_string(Index);
    Entry.TheChange.Team = "team";
    Entry.TheChange.BasedOn = Store.version();
    Entry.TheChange.Edits = std::move(Edits);
    if (Store.check(Entry.TheChange).failed())
      std::abort();
    return Store.apply(Entry);
  };
  const auto Put = [](const std::string &Path, const json &Value,
                      std::int64_t Expected) {
    wire::PathEdit Edit;
    Edit.Path = Path;
    Edit.Value = Value.dump();
    Edit.ExpectedVersion = Expected;
    return Edit;
  };
  for (int I = 0; I < Services; ++I) {
    const std::string Name = "service-" + std::to_string(I);
    std::vector<wire::PathEdit> Edits;
    Edits.push_back(Put("team/services/" + Name, {{"queue", 10}}, 0));
    for (int J = 0; J < RoutesPerService; ++J)
      Edits.push_back(Put("team/routes/" + Name + "-" + std::to_string(J),
                          {{"job", "job-" + Name},
                           {"pathPrefix", "/part-" + std::to_string(J)},
                           {"service", "team/" + Name}},
                          0));
    Apply(std::move(Edits));
  }
  Distribution Proxy(1);
  Effects Out;
  Proxy.replaceContent(Store.settings(), Store.version(), Out);
  const double After = residentBytes();
  std::vector<wire::Delta> Deltas;
  json Line = {
      {"phase", "changes"},
      {"services", Services},
      {"settings", Store.settings().size()},
      {"bytesPerSettingTwice",
       (After - Before) / static_cast<double>(Store.settings().size())}};
  constexpr int Changes = 20;
  std::int64_t Version = 1;
  Line["checkAndApplyAtSource"] = measure(Changes, [&] {
    for (int I = 0; I < Changes; ++I) {
      const auto Applied =
          Apply({Put("team/services/service-0", {{"queue", 11 + I}}, Version)});
      Version = Store.version();
      Deltas.push_back(Applied->Change);
    }
  });
  std::size_t Next = 0;
  Line["putInForceAtProxy"] = measure(Changes, [&] {
    for (int I = 0; I < Changes; ++I)
      Proxy.applyCommitted(Deltas[Next++], Out);
  });
  wire::PullReply Reply;
  Reply.Deltas = {Deltas.back()};
  Line["deltaMessageBytes"] = encode(Reply).size();
  wire::PullReply Snapshot;
  for (const auto &[Path, Entry] : Store.settings())
    Snapshot.Settings.push_back(Entry);
  Line["snapshotMessageBytes"] = encode(Snapshot).size();
  std::cout << Line.dump() << std::endl;
}

} // namespace

int main() {
  for (const int Count : {100, 1000, 3000, 5900})
    measureMembers(Count);
  for (const int Services : {30, 90, 270})
    measureChanges(Services);
  return 0;
}
