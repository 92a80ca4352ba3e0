#pragma once

#include "libpersimmon/libpersimmon.h"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <vector>

namespace persimmon {

/// A load on several services, each of whose targets stands beside a daemon.
/// The speeds of the targets are 0.5, 1, 1 and 1.5; other work slows every
/// second machine 2.5 times for 600 ms, 15% of the time. Callers send calls of
/// three kinds to all daemons alike.
struct PlacementLoad {
  int Zones = 3;
  std::vector<int> TargetsByService = {33, 20, 10};
  int Slots = 9;
  /// Share of the capacity of all targets.
  double Load = 0.9;
  /// The load of the first zone as a multiple of that of each other zone.
  double ZoneRatio = 1.3;
  /// The targets state how long work takes on their machines.
  bool TellsPace = false;
  /// Factor of the rate of the second kind in the second half of the time.
  double BurstFactor = 1;
  /// Every third target of the first zone is lost in the second half.
  bool LosesTargets = false;
  milliseconds Length{10'000};
};

/// How the calls went and how the targets were used.
struct PlacementFigures {
  double UsefulShare = 0;
  /// The same by kind of call, and weighted by run time.
  std::array<double, 3> UsefulByKind{};
  double UsefulWork = 0;
  double RefusedShare = 0;
  double MeanMs = 0;
  double P99Ms = 0;
  /// Standard deviation over the targets of the first service of the share of
  /// slots in use, averaged over time.
  double SlotDeviation = 0;
  /// The 10th and 90th percentile of that share.
  double SlotsP10 = 0;
  double SlotsP90 = 0;
  /// Share of the bytes between daemons that cross zones.
  double CrossShare = 0;
  double AttemptsPerCall = 0;

  /// Adds the figures of \p Other times \p Weight.
  void add(const PlacementFigures &Other, double Weight);
};

std::ostream &operator<<(std::ostream &Out, const PlacementFigures &Figures);

/// Simulates routers and schedulers of all daemons; loads are known only from
/// answers. \p Even selects the even placement.
PlacementFigures simulatePlacement(const PlacementLoad &Load, bool Even,
                                   std::uint64_t Seed);

} // namespace persimmon
