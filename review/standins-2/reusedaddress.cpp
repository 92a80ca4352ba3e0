#include "backend.h"
#include "cases.h"
#include "clients.h"
#include "deployment.h"

#include <algorithm>
#include <memory>
#include <thread>

namespace review {

namespace {

/// Above addressReuseS, which is two seconds, counted from the complete end of
/// the backend.
constexpr milliseconds AddressReuse{2100};
/// After the end of the backend; the daemon is back a short delay later.
constexpr milliseconds KillAfter{1000};
constexpr milliseconds RestartDelay{300};
constexpr milliseconds Steady{4000};
constexpr milliseconds Observed{6000};

} // namespace

Verdict runReusedAddress(Record &Out, bool Trouble) {
  const std::vector<std::string> Services = {"alpha", "alpha", "beta", "beta"};
  Deployment Site(Services, 110, Out);
  Site.startAll();
  std::vector<std::unique_ptr<Backend>> Backends;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    Backends.push_back(std::make_unique<Backend>(
        Site.sidecars()[I].Ip, Services[I], "i-" + std::to_string(I + 1), Out));
    if (!Backends.back()->start())
      return Verdict::CouldNotRun;
  }
  // All requests of the clients go by this route, which leads to alpha.
  const std::vector<Route> Routes = {
      {"r-alpha", "alpha.example", "/alpha/", "safe", 1.0, "alpha"},
      {"r-beta", "beta.example", "/beta/", "safe", 1.0, "beta"}};
  if (Site.replaceConfiguration(
          configurationText(1, 0, Routes, {"alpha", "beta"})) != 200 ||
      !Site.awaitReady(milliseconds(20'000)))
    return Verdict::CouldNotRun;
  Clients Callers(Out);
  for (std::size_t I = 1; I < Services.size(); ++I) {
    Load Wanted;
    Wanted.Ip = Site.sidecars()[I].Ip;
    Wanted.Host = "alpha.example";
    Wanted.PathPrefix = "/alpha/";
    Wanted.Pause = milliseconds(40);
    Callers.add(Wanted);
  }
  std::this_thread::sleep_for(Steady);

  Deployment::Machine &Reused = Site.sidecars()[0];
  Backends[0]->stop();
  const Time EndedAt = Clock::now();
  std::this_thread::sleep_until(EndedAt + KillAfter);
  if (Trouble) {
    Out.line("platform: kills the daemon of " + Reused.Name);
    Site.kill(Reused);
    std::this_thread::sleep_for(RestartDelay);
    Site.start(Reused);
  }
  std::this_thread::sleep_until(EndedAt + AddressReuse);
  Backend Successor(Reused.Ip, "beta", "i-new", Out);
  if (!Successor.start())
    return Verdict::CouldNotRun;
  std::this_thread::sleep_for(Observed);
  Callers.stop();

  Out.copyLines(Site.logFile(Reused), "event=target ");
  Out.copyLines(Site.logFile(Reused), "announcement-refused");
  // The same check for all backends of beta.
  std::size_t Wrong = 0;
  std::vector<Backend *> OfBeta = {Backends[2].get(), Backends[3].get(),
                                   &Successor};
  for (Backend *Item : OfBeta) {
    for (const Backend::Run &Done : Item->runs())
      Wrong += Done.Path.starts_with("/alpha/") ? 1 : 0;
  }
  const std::vector<Call> Calls = Callers.calls();
  const auto Answered =
      std::count_if(Calls.begin(), Calls.end(), [](const Call &Item) {
        return Item.Status == 200 && Item.Seal.starts_with("i-new.");
      });
  Out.line("requests: " + std::to_string(Calls.size()) +
           "; run by a service to which no configuration sends them: " +
           std::to_string(Wrong) +
           "; clients that got its answer as a success: " +
           std::to_string(Answered));
  return Wrong > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
