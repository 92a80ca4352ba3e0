#include "trio.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <optional>
#include <vector>

using namespace persimmon;

namespace {

constexpr milliseconds Step{100};
constexpr milliseconds Disrupted{60'000};
/// Calm time at the end, longer than an announcement that nobody confirms is
/// held.
constexpr milliseconds Calm{20'000};
constexpr milliseconds HeartbeatInterval{1500};
constexpr milliseconds HealthInterval{400};
constexpr milliseconds Discovery{1500};
constexpr milliseconds AddressReuse{2000};
constexpr std::uint64_t LatestHeartbeatMs = 5000;
constexpr std::uint64_t LongestServingMs = 10'000;
constexpr std::uint64_t DefaultSeeds = 200;

/// Draws moments at which processes end, leave, restart and take over an
/// address, and heartbeats that arrive late. Health responses are true.
class RandomTargets {
public:
  explicit RandomTargets(std::uint64_t Seed) : Rng(Seed) { this->startRun(); }

  void run() {
    for (milliseconds Elapsed{0}; Elapsed < Disrupted + Calm; Elapsed += Step) {
      if (Elapsed < Disrupted)
        this->disrupt();
      else if (Elapsed == Disrupted)
        this->settle();
      this->beat(Elapsed < Disrupted);
      this->deliverLate();
      this->answerHealth();
      this->Case.run(Step);
      this->At += Step;
      this->check();
    }
  }

  /// Counts moments at which calls reach a run of another service, or one whose
  /// leave was acknowledged.
  int strangers() const { return this->Strangers; }
  int left() const { return this->LeftUsed; }
  bool servesAtTheEnd() const {
    return this->Case.state() == State::Serving &&
           this->Case.target().InstanceId == this->Current->Id;
  }

private:
  struct Run {
    std::string Id;
    std::int64_t Born = 0;
    std::int64_t Sequence = 0;
    bool Foreign = false;
    bool Left = false;
    milliseconds EndsAt = milliseconds::max();
    milliseconds NextBeat{0};
  };
  struct Late {
    milliseconds DeliverAt;
    Run Sender;
  };

  bool oneIn(std::uint64_t Count) { return this->Rng.below(Count) == 0; }

  void startRun() {
    Run Next;
    const bool SameId = !this->LastId.empty() && this->oneIn(4);
    Next.Foreign = !SameId && this->oneIn(3);
    Next.Id = SameId ? this->LastId : "i-" + std::to_string(++this->Ids);
    Next.Born = this->Case.wallMs();
    Next.NextBeat = this->At + milliseconds(this->Rng.below(300));
    if (!Next.Foreign)
      this->LastId = Next.Id;
    this->Current = Next;
  }

  void disrupt() {
    if (this->Current && this->At >= this->Current->EndsAt)
      this->endRun();
    if (!this->Current && this->At >= this->AddressFreeAt)
      this->startRun();
    if (this->Current && this->oneIn(100))
      this->endRun();
    if (this->Current && !this->Current->Foreign && !this->Current->Left &&
        this->oneIn(80))
      this->leave();
    if (this->oneIn(60))
      this->Case.restartProxy();
    if (this->oneIn(200))
      this->Case.restartControl();
    if (this->oneIn(200))
      this->Case.restartOther();
    if (this->oneIn(200)) {
      this->Case.restartControl();
      this->Case.restartProxy();
    }
    if (this->oneIn(300))
      this->Case.restartAll();
  }

  /// Ends with a run of the proxy's service.
  void settle() {
    this->Current.reset();
    this->At += AddressReuse;
    do
      this->startRun();
    while (this->Current->Foreign);
  }

  void endRun() {
    this->Current.reset();
    this->AddressFreeAt = this->At + AddressReuse;
  }

  void leave() {
    this->Current->Left = true;
    this->Current->EndsAt =
        this->At + milliseconds(this->Rng.below(LongestServingMs));
    this->Case.tell(TargetLeaving{this->Current->Id, this->Current->Born});
  }

  void beat(bool MayBeLate) {
    if (!this->Current || this->Current->Left ||
        this->At < this->Current->NextBeat)
      return;
    this->Current->NextBeat = this->At + HeartbeatInterval;
    this->Current->Sequence += 1;
    if (MayBeLate && this->oneIn(4))
      this->LateBeats.push_back(
          {this->At + milliseconds(this->Rng.below(LatestHeartbeatMs)),
           *this->Current});
    else
      this->deliver(*this->Current);
  }

  void deliver(const Run &Sender) {
    if (Sender.Foreign)
      this->Case.tell(TargetDisowned{Sender.Id, "team/rest", Sender.Born});
    else
      this->Case.tell(announcement(Sender.Id, Sender.Born, Sender.Sequence));
  }

  void deliverLate() {
    std::erase_if(this->LateBeats, [&](const Late &Item) {
      if (this->At < Item.DeliverAt)
        return false;
      this->deliver(Item.Sender);
      return true;
    });
  }

  void answerHealth() {
    if (this->At < this->NextHealth || !this->Case.wantsHealth(Discovery))
      return;
    this->NextHealth = this->At + HealthInterval;
    if (this->Current && !this->Current->Left)
      this->Case.tell(found(this->Current->Id));
  }

  void check() {
    if (!this->Current || this->Case.state() != State::Serving ||
        this->Case.target().InstanceId != this->Current->Id)
      return; // A call names the run, so no other one runs it.
    this->Strangers += this->Current->Foreign ? 1 : 0;
    this->LeftUsed += this->Current->Left ? 1 : 0;
  }

  Random Rng;
  Trio Case;
  milliseconds At{0};
  std::optional<Run> Current;
  std::string LastId;
  int Ids = 0;
  milliseconds AddressFreeAt{0};
  milliseconds NextHealth{0};
  std::vector<Late> LateBeats;
  int Strangers = 0;
  int LeftUsed = 0;
};

std::uint64_t seedCount() {
  const char *Text = std::getenv("PERSIMMON_SEEDS");
  return Text == nullptr ? DefaultSeeds : std::strtoull(Text, nullptr, 10);
}

} // namespace

// Guards against calls to runs that left or are of another service, and against
// sound targets that are never used, at moments that nobody thought of.
TEST_CASE("targets and daemons end, leave and restart at random") {
  for (std::uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    CAPTURE(Seed);
    RandomTargets Targets(Seed);
    Targets.run();
    CHECK(Targets.strangers() == 0);
    CHECK(Targets.left() == 0);
    CHECK(Targets.servesAtTheEnd());
  }
}
