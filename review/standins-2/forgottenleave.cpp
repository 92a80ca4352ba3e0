#include "backend.h"
#include "cases.h"
#include "clients.h"
#include "deployment.h"

#include <algorithm>
#include <map>
#include <memory>
#include <thread>

namespace review {

namespace {

constexpr milliseconds DrainTime{2000};
constexpr milliseconds StabilityWindow{3000};
/// A heartbeat may arrive seconds late.
constexpr milliseconds HeartbeatDelay{2500};
constexpr milliseconds KillAfter{100};
constexpr milliseconds RestartDelay{500};
constexpr milliseconds Steady{5000};
constexpr milliseconds Work{200};
/// How long the backend serves after its leave was acknowledged.
constexpr milliseconds ServesOn{10'000};

} // namespace

Verdict runForgottenLeave(Record &Out, bool Trouble) {
  const std::vector<std::string> Services = {"alpha", "alpha", "alpha",
                                             "beta",  "beta",  "beta"};
  Deployment Site(Services, 110, Out);
  Site.startAll();
  std::vector<std::unique_ptr<Backend>> Backends;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    Backends.push_back(std::make_unique<Backend>(
        Site.sidecars()[I].Ip, Services[I], "i-" + std::to_string(I + 1), Out));
    Backends.back()->setWork(Work);
    if (!Backends.back()->start())
      return Verdict::CouldNotRun;
  }
  const std::vector<Route> Routes = {
      {"r-alpha", "alpha.example", "/alpha/", "unsafe", 1.0, "alpha"}};
  if (Site.replaceConfiguration(
          configurationText(1, 0, Routes, {"alpha", "beta"})) != 200 ||
      !Site.awaitReady(milliseconds(20'000)))
    return Verdict::CouldNotRun;
  // Clients at machines whose daemons are not killed.
  Clients Callers(Out);
  for (std::size_t I = 1; I < Services.size(); ++I) {
    Load Wanted;
    Wanted.Ip = Site.sidecars()[I].Ip;
    Wanted.Method = "POST";
    Wanted.Host = "alpha.example";
    Wanted.PathPrefix = "/alpha/";
    Wanted.BodyBytes = 400;
    Wanted.Pause = milliseconds(40);
    Callers.add(Wanted);
  }
  std::this_thread::sleep_for(Steady);

  Backend &Left = *Backends[0];
  Left.endHeartbeats();
  const HttpRequest Delayed = Left.takeHeartbeat();
  Out.line("network: delays a heartbeat of " + Left.id() + ": " + Delayed.Body);
  if (!Left.leave())
    return Verdict::CouldNotRun;
  const Time LeftAt = Clock::now();
  std::this_thread::sleep_for(KillAfter);
  // Four of nine processes: the core and the daemon beside the backend.
  const std::vector<Deployment::Machine *> Herd = {
      &Site.core()[0], &Site.core()[1], &Site.core()[2], &Site.sidecars()[0]};
  if (Trouble) {
    for (Deployment::Machine *Item : Herd)
      Site.kill(*Item);
    Out.line("platform: killed " + std::to_string(Herd.size()) +
             " of 9 processes at the same moment");
    std::this_thread::sleep_for(RestartDelay);
    for (Deployment::Machine *Item : Herd)
      Site.start(*Item);
  }
  const Time InTouchAt = Clock::now() + StabilityWindow;
  std::this_thread::sleep_until(LeftAt + HeartbeatDelay);
  Out.line("network: delivers the heartbeat, answered " +
           std::to_string(Left.deliver(Delayed)));
  std::this_thread::sleep_until(LeftAt + ServesOn);
  Left.stop();
  std::this_thread::sleep_for(milliseconds(1500));
  Callers.stop();

  Out.copyLines(Site.logFile(Site.sidecars()[0]), "event=target ");
  std::map<std::string, Call> Sent;
  for (const Call &Item : Callers.calls())
    Sent.emplace(Item.RequestId, Item);
  // Counted are requests that were sent once all machines were in touch again.
  std::size_t Late = 0;
  std::size_t Unanswered = 0;
  for (const Backend::Run &Done : Left.runs()) {
    const auto Found = Sent.find(Done.RequestId);
    if (Done.At <= LeftAt + DrainTime || Found == Sent.end() ||
        Found->second.SentAt <= InTouchAt)
      continue;
    Late += 1;
    Unanswered += Found->second.Status == 200 ? 0 : 1;
  }
  Out.line("requests that reached the backend later than drainS after its "
           "leave was acknowledged, sent and passed on by machines in touch: " +
           std::to_string(Late) +
           "; of these without success: " + std::to_string(Unanswered));
  return Late > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
