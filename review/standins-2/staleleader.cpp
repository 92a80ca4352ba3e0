#include "cases.h"
#include "deployment.h"

#include <csignal>
#include <optional>
#include <thread>

namespace review {

namespace {

constexpr milliseconds Steady{4000};
/// The operator moves on to another daemon after a second without a response.
constexpr milliseconds NoResponse{1000};
/// From the order that the frozen machine gets to its waking.
constexpr milliseconds WakesAfter{300};
constexpr milliseconds AnswerTimeout{2000};
constexpr int Ok = 200;
constexpr int Refusals[] = {400, 409, 412, 413, 422};

HttpRequest orderOf(const std::string &Text) {
  HttpRequest Out;
  Out.Method = "POST";
  Out.Path = "/persimmonwheel/Config.Replace";
  Out.Headers = {{"Content-Type", "application/json"}};
  Out.Body = Text;
  return Out;
}

/// A connection that the operator keeps open to a machine of the core.
struct KeptConnection {
  Deployment::Machine *Machine = nullptr;
  Socket Stream;
};

/// Reads the configuration at each machine; returns the connection to the one
/// that leads, which answers itself.
std::optional<KeptConnection> connectToLeader(Deployment &Site, Record &Out) {
  for (Deployment::Machine &Item : Site.core()) {
    KeptConnection Kept;
    Kept.Machine = &Item;
    Kept.Stream =
        Socket::connectTo(Item.Ip, ControlPort, Clock::now() + NoResponse);
    HttpRequest Request;
    Request.Path = "/persimmonwheel/Config.Get";
    HttpMessage Answer;
    HttpReader Reader(Kept.Stream);
    if (!Kept.Stream.valid() ||
        !Kept.Stream.sendAll(serialize(Item.Ip, Request)) ||
        Reader.read(Answer, Clock::now() + AnswerTimeout) !=
            ReadResult::Complete)
      continue;
    Out.line("operator: read the configuration at " + Item.Name +
             ", answered " + Answer.StartLine +
             ", Connection: " + Answer.header("Connection"));
    if (Answer.word(1) == "200")
      return Kept;
  }
  return std::nullopt;
}

/// Sends an order to the machines other than \p Frozen until one answers it
/// clearly.
int sendToOthers(Deployment &Site, const Deployment::Machine *Frozen,
                 const std::string &Text, Record &Out) {
  const Time Deadline = Clock::now() + milliseconds(5000);
  while (Clock::now() < Deadline) {
    for (const Deployment::Machine &Item : Site.core()) {
      if (&Item == Frozen)
        continue;
      const HttpAnswer Answer =
          send(Item.Ip, ControlPort, orderOf(Text), NoResponse);
      if (Answer.Status != Ok && Answer.Status != 412)
        continue;
      Out.line(Item.Name + " answered " + std::to_string(Answer.Status));
      return Answer.Status;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return 0;
}

} // namespace

Verdict runStaleLeader(Record &Out, bool Trouble) {
  std::vector<std::string> Services(5, "alpha");
  Services.insert(Services.end(), 5, "beta");
  Deployment Site(Services, 110, Out);
  Site.startAll();
  const std::vector<std::string> Names = {"alpha", "beta"};
  const std::vector<Route> ToAlpha = {
      {"r-1", "one.example", "/one/", "safe", 1.0, "alpha"}};
  const std::vector<Route> ToBeta = {
      {"r-1", "one.example", "/one/", "safe", 1.0, "beta"}};
  if (Site.replaceConfiguration(configurationText(1, 0, ToAlpha, Names)) !=
          Ok ||
      !Site.awaitReady(milliseconds(20'000)))
    return Verdict::CouldNotRun;
  std::this_thread::sleep_for(Steady);
  const auto Kept = connectToLeader(Site, Out);
  if (!Kept)
    return Verdict::CouldNotRun;

  const Deployment::Machine *Frozen = nullptr;
  if (Trouble) {
    Frozen = Kept->Machine;
    ::kill(Frozen->Process, SIGSTOP);
    Out.line("platform: " + Frozen->Name + " freezes");
  }
  Out.line("operator: sends version 2 on top of 1");
  if (sendToOthers(Site, Frozen, configurationText(2, 1, ToBeta, Names), Out) !=
      Ok)
    return Verdict::CouldNotRun;
  const std::string Last = configurationText(3, 2, ToAlpha, Names);
  Out.line("operator: sends version 3 on top of 2");
  if (sendToOthers(Site, Frozen, Last, Out) != Ok)
    return Verdict::CouldNotRun;
  Out.line("network: loses this acknowledgement");
  std::this_thread::sleep_for(NoResponse);
  Out.line("operator: sends the same order again, to " + Kept->Machine->Name);
  Kept->Stream.sendAll(serialize(Kept->Machine->Ip, orderOf(Last)));
  if (Trouble) {
    std::this_thread::sleep_for(WakesAfter);
    ::kill(Frozen->Process, SIGCONT);
    Out.line("platform: " + Frozen->Name + " wakes");
  }
  HttpMessage Answer;
  HttpReader Reader(Kept->Stream);
  const ReadResult Result = Reader.read(Answer, Clock::now() + AnswerTimeout);
  Out.line("operator: answered " + (Result == ReadResult::Complete
                                        ? Answer.StartLine + Answer.Body
                                        : std::string("by nothing")));
  const bool InForce =
      Site.readConfiguration().find("\"version\":3") != std::string::npos;
  Out.line(std::string("version 3 is ") + (InForce ? "" : "not ") + "in force");
  for (const int Refusal : Refusals) {
    if (Result == ReadResult::Complete &&
        Answer.word(1) == std::to_string(Refusal))
      return Verdict::Broken;
  }
  return Verdict::Held;
}

} // namespace review
