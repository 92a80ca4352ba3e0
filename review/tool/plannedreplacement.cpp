// Two control machines are replaced one after the other, as planned work: the
// successors start first and have the time to catch up, then each old machine
// gets SIGTERM and is removed.

#include "harness.h"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr int Success = 200;
constexpr Ms Grace{6000};
constexpr Ms Margin{100};

std::string configurationAt(int Version, int Base) {
  return configuration(Version, Base, "ficu95.example",
                       {{"r-1", "/lohu930/", "wuno96b"}}, {"wuno96b"});
}

/// Stops a machine for good.
void remove(Platform &Target, Machine &Item) {
  Target.signal(Item, SIGTERM);
  waitUntil([&] { return !Target.running(Item); }, Grace);
  Target.kill(Item);
  Target.removeFromSeeds(Item.Ip);
}

int play(const Setup &Given) {
  Platform Target(Given.Root, Given.Folder, Given.Log);
  std::vector<Machine *> Old;
  for (const char *Zone : {"jyl-a", "jyl-b", "jyl-c"}) {
    Old.push_back(&Target.addCore(Zone));
    Old.back()->Bootstrap = true;
  }
  // All of them start with the same three seeds.
  for (Machine *Item : Old)
    Target.start(*Item);
  Operator Orders(Target, Given.Log);
  const OrderResult First =
      Orders.order(configurationAt(3, 0), "version 3", Ms(10000));
  if (First.Status != Success)
    return NotRun;
  // The machine that acknowledged the order is replaced first.
  std::stable_partition(Old.begin(), Old.end(), [&](const Machine *Item) {
    return Item->Ip == First.Ip;
  });
  // All machines have been up for the time to catch up.
  rest(CatchUp);

  if (Given.Trouble) {
    for (std::size_t I = 0; I < 2; ++I)
      Target.start(Target.addCore(Old[I]->Zone));
    rest(CatchUp + Margin);
    remove(Target, *Old[0]);
    Given.Log.line(Old[0]->Name + " is removed; its successor had its time");
  }
  // More than the pages ask for: they count this time from the successor's
  // start.
  const auto NextRemoval = Clock::now() + CatchUp + Margin;
  const OrderResult Second =
      Orders.order(configurationAt(5, 3), "version 5", Ms(4000));
  const int Newest = Second.Status == Success ? 5 : 3;
  std::this_thread::sleep_until(NextRemoval);
  if (Given.Trouble) {
    remove(Target, *Old[1]);
    Given.Log.line(Old[1]->Name + " is removed; its successor had its time");
  }
  // No machine is lost any more. What follows is more than recoveryS later.
  rest(RecoveryTime);
  const long Version = Orders.read(Ms(20000));
  const OrderResult Last =
      Orders.order(configurationAt(7, Newest), "version 7", Ms(10000));
  Given.Log.line("read back: version " + std::to_string(Version) +
                 "; version 7: status " + std::to_string(Last.Status));
  return Version >= Newest ? Held : Broken;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, play);
}
