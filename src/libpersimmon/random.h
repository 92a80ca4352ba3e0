#pragma once

#include "time.h"

#include <cstdint>
#include <random>

namespace persimmon {

/// Random numbers for a reducer; the same seed gives the same sequence.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// Returns a number from 0 to \p Count - 1; \p Count must not be 0.
  std::size_t below(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Count - 1)(this->Engine);
  }

  /// Returns a duration from \p Least to \p Most, both included.
  milliseconds between(milliseconds Least, milliseconds Most) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        Least.count(), Most.count())(this->Engine));
  }

private:
  std::mt19937_64 Engine;
};

} // namespace persimmon
