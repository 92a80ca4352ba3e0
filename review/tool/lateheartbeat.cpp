// The daemon beside a backend is killed and starts again. The backend says
// that it leaves before its next heartbeat; a heartbeat that it sent earlier
// arrives after that.

#include "harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int Success = 200;
constexpr const char *Host = "ficu95.example";
constexpr const char *Service = "huvo11a";
/// How late the heartbeat arrives that was sent before the backend left.
constexpr Ms HeartbeatDelay{1000};
/// How long the backend serves after it has said that it leaves.
constexpr Ms ServesAfterLeave{9000};
/// For requests that were on their way to the backend at the bound.
constexpr double Margin = 0.5;

int ask(const Setup &Given, const Platform &Target, const Machine &From) {
  const std::string Id = newId();
  const Answer Reply =
      call(From.Ip, Target.OutboundPort, "GET", "/lohu930/2f",
           {{"Host", Host}, {"X-Request-Id", Id}, {"X-Deadline-Ms", "500"}}, "",
           Ms(1000));
  Given.Log.line("client at " + From.Name + ": " + Id + " -> " +
                 std::to_string(Reply.Status) + " " + Reply.Content.Body);
  return Reply.Status;
}

bool ready(const Platform &Target, const Machine &Item) {
  return call(Item.Ip, Target.ReadinessPort, "GET", "/persimmonwheel/readiness",
              {{"Host", Item.Ip}}, "", Ms(1000))
             .Status == Success;
}

int play(const Setup &Given) {
  Platform Target(Given.Root, Given.Folder, Given.Log);
  for (const char *Zone : {"jyl-a", "jyl-b", "jyl-c"})
    Target.addCore(Zone).Bootstrap = true;
  Machine &Entry = Target.addSide("jyl-a", "wuno96b");
  Machine &Stays = Target.addSide("jyl-b", Service);
  Machine &Leaves = Target.addSide("jyl-c", Service);
  for (const auto &Item : Target.Machines)
    Target.start(*Item);
  Backend Other(Target, Entry, "i-0000aaaa", unixMs(), Given.Log);
  Backend Staying(Target, Stays, "i-7f3a91c2", unixMs(), Given.Log);
  Backend Leaving(Target, Leaves, "i-20cd5e17", unixMs(), Given.Log);
  for (Backend *Item : {&Other, &Staying, &Leaving})
    Item->startHeartbeats();
  Operator Orders(Target, Given.Log);
  const std::string Text = configuration(
      3, 0, Host, {{"r-one", "/lohu930/", Service}}, {Service, "wuno96b"});
  if (Orders.order(Text, "version 3", Ms(10000)).Status != Success)
    return NotRun;
  const auto BothServe = [&] {
    ask(Given, Target, Entry);
    return !Staying.runs().empty() && !Leaving.runs().empty();
  };
  if (!waitUntil(BothServe, Ms(15000)))
    return NotRun;
  rest(CatchUp);

  // The last regular heartbeat; the next one is a heartbeat interval away.
  Leaving.stopHeartbeats();
  Leaving.beatNext("ready");
  const int Late = ++Leaving.LastSequence;
  if (Given.Trouble) {
    Target.kill(Leaves);
    rest(Ms(200));
    Target.start(Leaves);
    if (!waitUntil([&] { return ready(Target, Leaves); }, Ms(5000)))
      return NotRun;
    // The daemon finds the backend by its health check.
    rest(Ms(300));
  }
  const auto Started = Clock::now();
  Given.Log.line("heartbeat " + std::to_string(Late) + " is on its way");
  Leaving.setLeaving();
  if (Leaving.leave() != Success)
    return NotRun;
  const double Acknowledged = Given.Log.seconds();
  std::this_thread::sleep_until(Started + HeartbeatDelay);
  Leaving.beat("ready", Late);
  // All machines are in touch again.
  std::this_thread::sleep_until(Started + StabilityWindow + Ms(300));
  while (Clock::now() < Started + ServesAfterLeave) {
    ask(Given, Target, Entry);
    rest(Ms(50));
  }
  const double Bound =
      Acknowledged + std::chrono::duration<double>(DrainTime).count() + Margin;
  const auto Runs = Leaving.runs();
  const auto Count =
      std::count_if(Runs.begin(), Runs.end(),
                    [&](const Run &Item) { return Item.At > Bound; });
  Given.Log.line(std::to_string(Count) +
                 " requests ran at the backend that left, later than drainS "
                 "after the acknowledgement");
  return Count > 0 ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, play);
}
