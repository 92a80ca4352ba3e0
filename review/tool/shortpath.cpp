// A client asks for a path that no route of its service begins: the prefix of
// a route without its last slash.

#include "harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int Success = 200;
constexpr const char *Host = "ficu95.example";

struct Asked {
  std::string Path;
  /// The service that the longest prefix of the path names.
  std::string Service;
};

int play(const Setup &Given) {
  Platform Target(Given.Root, Given.Folder, Given.Log);
  for (const char *Zone : {"jyl-a", "jyl-b", "jyl-c"})
    Target.addCore(Zone).Bootstrap = true;
  Machine &Booking = Target.addSide("jyl-a", "huvo11a");
  Machine &Pressroom = Target.addSide("jyl-b", "wuno96b");
  for (const auto &Item : Target.Machines)
    Target.start(*Item);
  const long long Now = unixMs();
  Backend First(Target, Booking, "i-7f3a91c2", Now, Given.Log);
  Backend Second(Target, Pressroom, "i-20cd5e17", Now, Given.Log);
  First.startHeartbeats();
  Second.startHeartbeats();
  Operator Orders(Target, Given.Log);
  const std::string Text = configuration(
      3, 0, Host,
      {{"r-all", "/", "wuno96b"}, {"r-one", "/lohu930/", "huvo11a"}},
      {"huvo11a", "wuno96b"});
  if (Orders.order(Text, "version 3", Ms(10000)).Status != Success)
    return NotRun;
  const auto Ask = [&](const std::string &Path) {
    const std::string Id = newId();
    const Answer Reply =
        call(Pressroom.Ip, Target.OutboundPort, "GET", Path,
             {{"Host", Host}, {"X-Request-Id", Id}, {"X-Deadline-Ms", "500"}},
             "", Ms(1000));
    Given.Log.line("client: " + Id + " GET " + Path + " -> " +
                   std::to_string(Reply.Status) + " " + Reply.Content.Body);
    return Reply.Status;
  };
  if (!waitUntil([&] { return Ask("/lohu930/2f") == Success; }, Ms(10000)) ||
      !waitUntil([&] { return Ask("/other/1") == Success; }, Ms(10000)))
    return NotRun;
  std::vector<Asked> Requests = {{"/lohu930/2f", "huvo11a"},
                                 {"/lohu930/", "huvo11a"},
                                 {"/other/1", "wuno96b"}};
  if (Given.Trouble) {
    Requests.push_back({"/lohu930", "wuno96b"});
    Requests.push_back({"/lohu930?day=2", "wuno96b"});
  }
  for (int I = 0; I < 10; ++I) {
    for (const Asked &Item : Requests)
      Ask(Item.Path);
  }
  int Wrong = 0;
  for (Backend *Item : {&First, &Second}) {
    for (const Run &Done : Item->runs()) {
      const std::string Allowed =
          Done.Path.starts_with("/lohu930/") ? "huvo11a" : "wuno96b";
      Wrong += Done.Service == Allowed ? 0 : 1;
    }
  }
  Given.Log.line(std::to_string(Wrong) +
                 " requests ran at a service that no configuration allows");
  return Wrong > 0 ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, play);
}
