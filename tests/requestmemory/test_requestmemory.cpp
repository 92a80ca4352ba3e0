#include "libhost/requestmemory.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <deque>

using namespace persimmon;

namespace {

const Time Start = Time() + std::chrono::hours(1);
constexpr std::size_t Kib = 1024;
constexpr RequestMemory::Limits Bounds{1000 * Kib, 1500 * Kib};

/// A client whose request arrives.
class Client : public RequestMemory::Sender {
public:
  explicit Client(const std::shared_ptr<RequestMemory> &Memory)
      : Held(std::make_unique<RequestMemory::Share>(Memory, *this, Start)) {}

  void refuseForMemory() override { this->Held.reset(); }

  /// Receives up to \p Bytes in total.
  bool receive(std::size_t Bytes, Time Now = Start) const {
    return this->Held->resize(Bytes, Bytes, Now);
  }
  bool refused() const { return this->Held == nullptr; }

  std::unique_ptr<RequestMemory::Share> Held;
};

} // namespace

// Guards against large requests that are refused although nothing else is held.
TEST_CASE("the largest request is not counted") {
  const auto Memory = RequestMemory::make(Bounds);
  const Client Large(Memory);
  CHECK(Large.receive(34'000 * Kib));
  const Client Other(Memory);
  CHECK(Other.receive(1000 * Kib));
  CHECK(!Other.receive(1001 * Kib));
  CHECK(Other.Held->bytes() == 1000 * Kib);
  CHECK(!Large.refused());
}

// Guards against ordinary clients that are refused for those who leave their
// requests open.
TEST_CASE(
    "slow requests are refused first, the largest of them before others") {
  const auto Memory = RequestMemory::make(Bounds);
  const Client Largest(Memory);
  const Client Slow(Memory);
  const Client Quick(Memory);
  CHECK(Largest.receive(800 * Kib));
  CHECK(Slow.receive(500 * Kib));
  CHECK(Quick.receive(100 * Kib));
  const Time Later = Start + milliseconds(1500);
  CHECK(Quick.receive(450 * Kib, Later));
  CHECK(!Slow.refused());
  CHECK(Quick.receive(600 * Kib, Later));
  CHECK(Largest.refused());
  CHECK(!Slow.refused());
  const Client Next(Memory);
  CHECK(Next.receive(400 * Kib, Later));
  CHECK(!Slow.refused());
  CHECK(Next.receive(550 * Kib, Later));
  CHECK(Slow.refused());
  CHECK(!Next.refused());
  CHECK(!Quick.refused());
}

TEST_CASE("among requests that make progress the second largest is refused") {
  const auto Memory = RequestMemory::make(Bounds);
  const Client First(Memory);
  const Client Second(Memory);
  const Client Third(Memory);
  CHECK(First.receive(900 * Kib));
  CHECK(Second.receive(700 * Kib));
  CHECK(Third.receive(400 * Kib));
  CHECK(!First.refused());
  CHECK(Second.refused());
  CHECK(!Third.refused());
}

// Guards against small requests that find no room beside large ones.
TEST_CASE("large requests leave room for small ones") {
  const auto Memory = RequestMemory::make(Bounds);
  std::deque<Client> Large;
  for (int I = 0; I < 5; ++I) {
    CHECK(Large.emplace_back(Memory).receive(250 * Kib));
    Large.back().Held->setArrived();
  }
  CHECK(!Large.emplace_back(Memory).receive(250 * Kib));
  std::deque<Client> Small;
  for (int I = 0; I < 7; ++I)
    CHECK(Small.emplace_back(Memory).receive(64 * Kib));
  // Those that have arrived are never refused.
  for (int I = 0; I < 5; ++I)
    CHECK(!Large[static_cast<std::size_t>(I)].refused());
}

TEST_CASE("memory is released with the share") {
  const auto Memory = RequestMemory::make(Bounds);
  {
    const Client One(Memory);
    CHECK(One.receive(300 * Kib));
    CHECK(Memory->bytes() == 300 * Kib);
    CHECK(Memory->arrivingBytes() == 300 * Kib);
    One.Held->setArrived();
    CHECK(Memory->arrivingBytes() == 0);
    CHECK(One.receive(20 * Kib));
    CHECK(Memory->bytes() == 20 * Kib);
  }
  CHECK(Memory->bytes() == 0);
}

TEST_CASE("refusals are counted, and few of them are logged") {
  const auto Memory = RequestMemory::make(Bounds);
  CHECK(Memory->count(RequestEnd::BodyLate, Start) == 0);
  for (int I = 0; I < 100; ++I)
    CHECK(!Memory->count(RequestEnd::NoMemory, Start + milliseconds(I)));
  CHECK(Memory->count(RequestEnd::NoMemory, Start + milliseconds(500)) == 100);
  CHECK(Memory->counted(RequestEnd::NoMemory) == 101);
  CHECK(Memory->counted(RequestEnd::BodyLate) == 1);
}
