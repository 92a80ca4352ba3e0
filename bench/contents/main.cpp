#include "libpersimmon/libpersimmon.h"
#include "support/platformroutes.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <functional>
#include <iostream>

using namespace persimmon;
using nlohmann::json;

namespace {

constexpr int Repeats = 15;
constexpr int RoutesBefore = 1632;
constexpr int RoutesAdded = 1268;

/// Runs \p Work several times and returns the minimum, median and maximum CPU
/// time in milliseconds.
json measure(const std::function<void()> &Work) {
  std::vector<double> Times;
  for (int I = 0; I < Repeats; ++I) {
    const std::clock_t Started = std::clock();
    Work();
    Times.push_back(1000.0 * static_cast<double>(std::clock() - Started) /
                    CLOCKS_PER_SEC);
  }
  std::sort(Times.begin(), Times.end());
  return {{"minMs", Times.front()},
          {"medianMs", Times[Times.size() / 2]},
          {"maxMs", Times.back()}};
}

wire::Delta deltaOf(const Distribution &Receiver,
                    std::vector<wire::Setting> Puts) {
  SettingsMap Content = Receiver.settings();
  for (const wire::Setting &Entry : Puts)
    Content[Entry.Path] = Entry;
  wire::Delta Out;
  Out.From = Receiver.version();
  Out.To = Out.From + 1;
  Out.Hash = static_cast<std::int64_t>(hashOf(Content));
  Out.Puts = std::move(Puts);
  return Out;
}

void apply(Distribution &Receiver, std::vector<wire::Setting> Puts) {
  const wire::Delta Change = deltaOf(Receiver, std::move(Puts));
  Effects Out;
  Receiver.applyCommitted(Change, Out);
  if (Receiver.version() != Change.To)
    std::abort();
}

/// Measures the cost of one pull at the source and at the reader, which is the
/// peer that pulls.
class PullBenchmark {
public:
  PullBenchmark(Distribution &TheSource, const Distribution &TheReader)
      : Source(TheSource), Reader(TheReader) {}

  json run() {
    json Out;
    Distribution RequestingCopy = this->Reader;
    this->Request = this->makeRequest(RequestingCopy);
    Out["firstServe"] = measure([&] {
      Distribution Copy = this->Source;
      this->handleRequest(Copy);
    });
    Out["copyOfSource"] = measure([&] { Distribution Copy = this->Source; });
    this->handleRequest(this->Source);
    Out["serveAgain"] = measure([&] { this->handleRequest(this->Source); });
    Out["bytes"] = this->Bytes.size();
    Out["decode"] = measure([&] { this->decodeReply(); });
    const wire::PullReply Reply = this->decodeReply();
    Out["copyOfReader"] = measure([&] { Distribution Copy = this->Reader; });
    Out["copyAndPutInForce"] = measure([&] {
      Distribution Copy = this->Reader;
      this->makeRequest(Copy);
      Effects Ignored;
      Copy.receive(Reply, "source", this->Now, Ignored);
      if (Copy.version() != this->Source.version())
        std::abort();
    });
    return Out;
  }

private:
  /// Returns the pull request that \p Peer sends.
  wire::PullRequest makeRequest(Distribution &Peer) const {
    Effects Out;
    Peer.notePeerVersion("source", this->Source.version(), this->Now, Out);
    return std::get<wire::PullRequest>(std::get<SendMessage>(Out.at(0)).Body);
  }

  void handleRequest(Distribution &Peer) {
    this->Now += std::chrono::seconds(1);
    Effects Out;
    Peer.receive(this->Request, "reader", this->Now, Out);
    this->Bytes = encode(std::get<SendMessage>(Out.at(0)).Body);
  }

  wire::PullReply decodeReply() const {
    wire::PullReply Out;
    handleResult([&] { return decode(this->Bytes); },
                 [&](Message Body) { Out = std::get<wire::PullReply>(Body); });
    return Out;
  }

  Distribution &Source;
  const Distribution &Reader;
  wire::PullRequest Request;
  std::string Bytes;
  Time Now{std::chrono::hours(1)};
};

/// Adds the services and \p Routes routes to \p Out.
void addRoutes(Distribution &Out, int Routes) {
  apply(Out, platformServices(1));
  apply(Out, platformRoutes(0, Routes, 2));
}

void measureSnapshot(int Routes) {
  Distribution Source(1);
  addRoutes(Source, Routes);
  json Line = PullBenchmark(Source, Distribution(2)).run();
  Line["phase"] = "snapshot";
  Line["routes"] = Routes;
  std::uint64_t Sum = 0;
  Line["hashOfAll"] = measure([&] { Sum += hashOf(Source.settings()); });
  const wire::Setting FirstSetting = Source.settings().begin()->second;
  Line["oneChange"] = measure([&] {
    wire::Delta Change;
    Change.From = Source.version();
    Change.To = Change.From + 1;
    Change.Hash = static_cast<std::int64_t>(Source.hash());
    Change.Puts = {FirstSetting};
    Effects Out;
    Source.applyCommitted(Change, Out);
    if (Source.version() != Change.To)
      std::abort();
  });
  std::cout << Line.dump() << std::endl;
}

void measureDelta() {
  Distribution Source(1);
  addRoutes(Source, RoutesBefore);
  const Distribution Reader = Source;
  apply(Source, platformRoutes(RoutesBefore, RoutesAdded, 3));
  json Line = PullBenchmark(Source, Reader).run();
  Line["phase"] = "delta";
  Line["routesBefore"] = RoutesBefore;
  Line["routesAdded"] = RoutesAdded;
  std::cout << Line.dump() << std::endl;
}

} // namespace

int main() {
  measureSnapshot(1600);
  measureSnapshot(2900);
  measureDelta();
  return 0;
}
