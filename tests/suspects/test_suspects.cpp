#include "libpersimmon/suspectrequests.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace persimmon;
using Verdict = SuspectRequests::Verdict;

namespace {

constexpr RequestForm Guilty = 1;
constexpr RequestForm OtherGuilty = 2;
constexpr RequestForm FirstInnocent = 100;
constexpr milliseconds Second{1000};

/// Targets that end as soon as they run a guilty form, and requests that run
/// beside it. An innocent request runs once and comes back once if its target
/// ended under it.
class CrashingLoad {
public:
  explicit CrashingLoad(unsigned Seed) : Random(Seed) {}

  /// Sends a request of each of \p Deadly together with \p Beside innocent ones
  /// to one target. Returns whether the target ended.
  bool sendToOneTarget(const std::vector<RequestForm> &Deadly, int Beside) {
    this->Now += milliseconds(100);
    std::vector<RequestForm> Running;
    for (const RequestForm Form : Deadly) {
      if (this->Suspects.check(Form, this->Now) != Verdict::HeldBack)
        Running.push_back(Form);
    }
    const bool Ends = !Running.empty();
    for (int I = 0; I < Beside; ++I)
      this->addInnocent(Running);
    if (!Ends) {
      for (const RequestForm Form : Running)
        this->Suspects.answered(Form, this->Now);
      return false;
    }
    this->Ended += 1;
    this->Suspects.targetEnded("run-" + std::to_string(this->Ended), Running,
                               this->Now);
    for (const RequestForm Form : Running) {
      if (Form >= FirstInnocent)
        this->Returning.push_back(Form);
    }
    return true;
  }

  SuspectRequests Suspects;
  Time Now{std::chrono::hours(1)};
  int Ended = 0;
  /// Innocent requests that were held back.
  int WronglyHeld = 0;

private:
  void addInnocent(std::vector<RequestForm> &Running) {
    RequestForm Form = this->LastInnocent + 1;
    if (!this->Returning.empty() && this->Random() % 2 == 0) {
      Form = this->Returning.back();
      this->Returning.pop_back();
    } else {
      this->LastInnocent = Form;
    }
    if (this->Suspects.check(Form, this->Now) == Verdict::HeldBack)
      this->WronglyHeld += 1;
    else
      Running.push_back(Form);
  }

  std::mt19937 Random;
  std::vector<RequestForm> Returning;
  RequestForm LastInnocent = FirstInnocent;
};

} // namespace

// Guards against a request that ends one target after the other (BUDGET).
TEST_CASE("a guilty form among eight calls is held back after two ends") {
  const unsigned Seed = GENERATE(range(1u, 11u));
  CrashingLoad Load(Seed);
  INFO("seed " << Seed);
  for (int I = 0; I < 50; ++I)
    Load.sendToOneTarget({Guilty}, 7);
  CHECK(Load.Ended == 2);
  CHECK(Load.Suspects.check(Guilty, Load.Now) == Verdict::HeldBack);
  // Those that ran beside both ends are held back with it; no others.
  CHECK(Load.WronglyHeld <= 7);
}

TEST_CASE("two guilty forms at once are both held back") {
  CrashingLoad Load(1);
  for (int I = 0; I < 50; ++I) {
    Load.sendToOneTarget({Guilty}, 7);
    Load.sendToOneTarget({OtherGuilty}, 7);
  }
  CHECK(Load.Ended == 4);
  CrashingLoad Together(1);
  for (int I = 0; I < 50; ++I)
    Together.sendToOneTarget({Guilty, OtherGuilty}, 6);
  CHECK(Together.Ended == 2);
}

TEST_CASE("an answer clears a suspect") {
  SuspectRequests Suspects;
  const Time Now{std::chrono::hours(1)};
  Suspects.targetEnded("run-1", std::vector<RequestForm>{1, 2}, Now);
  CHECK(Suspects.check(1, Now) == Verdict::Suspect);
  Suspects.answered(1, Now);
  CHECK(Suspects.check(1, Now) == Verdict::Free);
  Suspects.targetEnded("run-2", std::vector<RequestForm>{1, 2}, Now);
  CHECK(Suspects.check(1, Now) == Verdict::Free);
  CHECK(Suspects.check(2, Now) == Verdict::HeldBack);
  Suspects.answered(2, Now);
  CHECK(Suspects.check(2, Now) == Verdict::Free);
}

TEST_CASE("a form that many callers send is not held back for others' ends") {
  SuspectRequests Suspects;
  Time Now{std::chrono::hours(1)};
  for (int I = 0; I < 20; ++I) {
    Now += Second;
    Suspects.answered(1, Now);
    Suspects.targetEnded("run-" + std::to_string(I),
                         std::vector<RequestForm>{1, 2}, Now);
  }
  CHECK(Suspects.check(1, Now) == Verdict::Free);
  CHECK(Suspects.check(2, Now) == Verdict::HeldBack);
}

TEST_CASE("ends in which nobody is guilty hold nothing back") {
  SuspectRequests Suspects;
  Time Now{std::chrono::hours(1)};
  constexpr std::size_t Slots = 18;
  RequestForm Next = 0;
  for (int I = 0; I < 100; ++I) {
    std::vector<RequestForm> Running;
    Running.reserve(Slots);
    for (std::size_t J = 0; J < Slots; ++J)
      Running.push_back(++Next);
    Now += milliseconds(200);
    Suspects.targetEnded("run-" + std::to_string(I), Running, Now);
    CHECK(Suspects.heldCount(Now) == 0);
  }
  // An ordinary crash makes nobody a suspect for long.
  Now += 31 * Second;
  Suspects.tick(Now);
  CHECK(Suspects.suspectCount() == 0);
}

TEST_CASE("an end that is reported twice counts once") {
  SuspectRequests Suspects;
  const Time Now{std::chrono::hours(1)};
  for (int I = 0; I < 5; ++I)
    Suspects.targetEnded("run-1", std::vector<RequestForm>{1}, Now);
  CHECK(Suspects.check(1, Now) == Verdict::Suspect);
}

TEST_CASE("a form that is held back is let through once, then for longer") {
  SuspectRequests Suspects;
  Time Now{std::chrono::hours(1)};
  Suspects.targetEnded("run-1", std::vector<RequestForm>{1}, Now);
  Suspects.targetEnded("run-2", std::vector<RequestForm>{1}, Now);
  milliseconds Held{0};
  for (int I = 3; I < 20; ++I) {
    const milliseconds Before = Held;
    Held =
        std::chrono::duration_cast<milliseconds>(Suspects.heldUntil(1) - Now);
    CHECK(Held >= Before);
    CHECK(Held <= std::chrono::minutes(11));
    CHECK(Suspects.check(1, Now + Held - milliseconds(1)) == Verdict::HeldBack);
    Now += Held;
    CHECK(Suspects.check(1, Now) == Verdict::Suspect);
    CHECK(Suspects.check(1, Now) == Verdict::HeldBack);
    Suspects.targetEnded("run-" + std::to_string(I),
                         std::vector<RequestForm>{1}, Now);
    CHECK(Suspects.check(1, Now) == Verdict::HeldBack);
  }
  Now = Suspects.heldUntil(1);
  CHECK(Suspects.check(1, Now) == Verdict::Suspect);
  Suspects.answered(1, Now);
  CHECK(Suspects.check(1, Now) == Verdict::Free);
}

TEST_CASE("further ends under requests on their way do not prolong the hold") {
  SuspectRequests Suspects;
  const Time Now{std::chrono::hours(1)};
  for (int I = 0; I < 8; ++I)
    Suspects.targetEnded("run-" + std::to_string(I),
                         std::vector<RequestForm>{1}, Now);
  CHECK(Suspects.heldUntil(1) - Now == 10 * Second);
}

TEST_CASE("a full table drops the suspect that expires first") {
  SuspectRequests Suspects;
  Time Now{std::chrono::hours(1)};
  Suspects.targetEnded("a", std::vector<RequestForm>{1}, Now);
  Suspects.targetEnded("b", std::vector<RequestForm>{1}, Now);
  for (RequestForm Form = 1000; Form < 11'000; Form += 100) {
    std::vector<RequestForm> Running;
    Running.reserve(100);
    for (RequestForm I = 0; I < 100; ++I)
      Running.push_back(Form + I);
    Now += milliseconds(1);
    Suspects.targetEnded("run-" + std::to_string(Form), Running, Now);
    CHECK(Suspects.suspectCount() <= 4096);
  }
  CHECK(Suspects.check(1, Now) == Verdict::HeldBack);
  CHECK(Suspects.check(10'999, Now) == Verdict::Suspect);
}

TEST_CASE("an operator releases a form that is held back") {
  SuspectRequests Suspects;
  const Time Now{std::chrono::hours(1)};
  Suspects.targetEnded("run-1", std::vector<RequestForm>{1}, Now);
  Suspects.targetEnded("run-2", std::vector<RequestForm>{1}, Now);
  CHECK(Suspects.release(1));
  CHECK(!Suspects.release(1));
  CHECK(Suspects.check(1, Now) == Verdict::Free);
}
