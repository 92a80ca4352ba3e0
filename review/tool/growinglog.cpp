// A configuration that has grown by many routes is changed some hundred times.
// The control processes keep all of these changes until memory runs out.

#include "harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int Success = 200;
/// Routes of the site before it grows.
constexpr int FirstRoutes = 300;
/// Routes of one growth, and how often the configuration grows.
constexpr int RoutesOfGrowth = 476;
constexpr int Growths = 4;
constexpr int Changes = 160;
constexpr Ms ChangeInterval{400};
/// Ends by itself, on half of the core, that break the rule.
constexpr int EndsOfRule = 3;
constexpr Ms RestartDelay{300};
constexpr Ms PlayTime{85000};

std::string configurationAt(int Version, int Base, int Routes, int Step) {
  constexpr double FirstTimeoutS = 0.5;
  constexpr double StepS = 0.01;
  constexpr int Steps = 7;
  std::vector<RouteText> List;
  for (int I = 0; I < Routes; ++I) {
    RouteText Item;
    Item.Name = "r-" + std::to_string(I);
    Item.Prefix = "/p" + std::to_string(I) + "/";
    Item.Service = "wuno96b";
    Item.TimeoutS = FirstTimeoutS + StepS * (Step % Steps);
    List.push_back(Item);
  }
  return configuration(Version, Base, "ficu95.example", List, {"wuno96b"});
}

/// Does what the platform does: kills what uses too much memory and starts
/// again what has ended.
void supervise(Platform &Target) {
  for (const auto &Item : Target.Machines) {
    if (!Target.enforceMemory(*Item) && Target.running(*Item))
      continue;
    rest(RestartDelay);
    Item->Bootstrap = false;
    Target.start(*Item);
  }
}

bool ruleBroken(const Platform &Target) {
  const auto Ended = std::count_if(
      Target.Machines.begin(), Target.Machines.end(),
      [](const auto &Item) { return Item->OwnEnds >= EndsOfRule; });
  return static_cast<std::size_t>(Ended) * 2 >= Target.Machines.size();
}

int play(const Setup &Given) {
  Platform Target(Given.Root, Given.Folder, Given.Log);
  for (const char *Zone : {"jyl-a", "jyl-b", "jyl-c"})
    Target.addCore(Zone).Bootstrap = true;
  for (const auto &Item : Target.Machines)
    Target.start(*Item);
  Operator Orders(Target, Given.Log);
  Orders.BetweenTries = [&] { supervise(Target); };
  const auto End = Clock::now() + PlayTime;
  int Routes = FirstRoutes;
  int Version = 0;
  int Acknowledged = 0;
  for (int I = 0; I < Changes && Clock::now() < End; ++I) {
    const auto Next = Clock::now() + ChangeInterval;
    if (Given.Trouble && I < Growths)
      Routes += RoutesOfGrowth;
    const auto Left = std::chrono::duration_cast<Ms>(End - Clock::now());
    const OrderResult Result =
        Orders.order(configurationAt(Version + 2, Version, Routes, I),
                     "version " + std::to_string(Version + 2), Left);
    if (Result.Status != Success)
      break;
    Version += 2;
    Acknowledged += 1;
    supervise(Target);
    std::this_thread::sleep_until(Next);
  }
  while (Clock::now() < End && !ruleBroken(Target) && Acknowledged < Changes) {
    supervise(Target);
    rest(Ms(100));
  }
  for (const auto &Item : Target.Machines)
    Given.Log.line(Item->Name + ": " + std::to_string(Item->OwnEnds) +
                   " ends by itself");
  const long InForce = Orders.read(Ms(10000));
  Given.Log.line(std::to_string(Acknowledged) + " changes of " +
                 std::to_string(Routes) + " routes acknowledged, the last as " +
                 std::to_string(Version) +
                 "; read back: " + std::to_string(InForce));
  return ruleBroken(Target) || InForce < Version ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, play);
}
