// An operator sends a configuration that cannot be read: one word is quoted
// with typographic quotation marks. Control processes end one after the other.

#include "harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int Success = 200;
/// Ends by itself, on half of the core, that the rule allows a day less one.
constexpr int EndsOfRule = 3;
constexpr Ms RestartDelay{300};
constexpr int Routes = 60;

std::string configurationAt(int Version, int Base, double TimeoutS) {
  std::vector<RouteText> List;
  for (int I = 0; I < Routes; ++I) {
    RouteText Item;
    Item.Name = "r-" + std::to_string(I);
    Item.Prefix = "/p" + std::to_string(I) + "/";
    Item.Service = "wuno96b";
    Item.TimeoutS = TimeoutS;
    List.push_back(Item);
  }
  return configuration(Version, Base, "ficu95.example", List, {"wuno96b"});
}

/// Returns \p Text with typographic quotation marks around the last kind.
std::string withTypographicQuotes(std::string Text) {
  const std::string Right = "\"kind\":\"safe\"";
  const std::string Wrong = "\"kind\":\xe2\x80\x9csafe\xe2\x80\x9d";
  return Text.replace(Text.rfind(Right), Right.size(), Wrong);
}

/// Starts again what has ended, after a short delay, as the platform does.
void restartEnded(Platform &Target) {
  for (const auto &Item : Target.Machines) {
    if (Target.running(*Item))
      continue;
    rest(RestartDelay);
    Item->Bootstrap = false;
    Target.start(*Item);
  }
}

/// Returns on how many machines processes ended as often as the rule counts.
std::size_t machinesWithEnds(const Platform &Target) {
  return static_cast<std::size_t>(std::count_if(
      Target.Machines.begin(), Target.Machines.end(),
      [](const auto &Item) { return Item->OwnEnds >= EndsOfRule; }));
}

int play(const Setup &Given) {
  Platform Target(Given.Root, Given.Folder, Given.Log);
  for (const char *Zone : {"jyl-a", "jyl-b", "jyl-c"})
    Target.addCore(Zone).Bootstrap = true;
  for (const auto &Item : Target.Machines)
    Target.start(*Item);
  Operator Orders(Target, Given.Log);
  Orders.BetweenTries = [&] { restartEnded(Target); };
  if (Orders.order(configurationAt(3, 0, 0.5), "version 3", Ms(10000)).Status !=
      Success)
    return NotRun;
  const std::string Next = configurationAt(5, 3, 0.6);
  const OrderResult Result =
      Given.Trouble ? Orders.order(withTypographicQuotes(Next),
                                   "unreadable version 5", Ms(40000))
                    : Orders.order(Next, "version 5", Ms(10000));
  restartEnded(Target);
  const std::size_t Ended = machinesWithEnds(Target);
  Given.Log.line("answer " + std::to_string(Result.Status) + " after " +
                 std::to_string(Result.Tries) +
                 " tries; three ends or more on " + std::to_string(Ended) +
                 " of " + std::to_string(Target.Machines.size()) + " machines");
  for (const auto &Item : Target.Machines)
    Given.Log.line(Item->Name + ": " + std::to_string(Item->OwnEnds) +
                   " ends by itself");
  return Ended * 2 >= Target.Machines.size() ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, play);
}
