#include "shedmeter.h"

namespace persimmon {

namespace {

constexpr milliseconds WindowLength{200};
/// With fewer calls in a window the shed share is not meaningful.
constexpr int MinCalls = 4;
constexpr int PerMilleScale = 1000;

} // namespace

void ShedMeter::countCall(int Priority, bool Shed, Time Now) {
  if (Now >= this->WindowEnd) {
    this->Last = wire::ShedLoad();
    for (const auto &[Level, Seen] : this->Current) {
      if (Seen.Shed == 0 || Seen.Total < MinCalls)
        continue;
      this->Last.Priority = Level;
      this->Last.PerMille = PerMilleScale * Seen.Shed / Seen.Total;
    }
    this->Current.clear();
    this->WindowEnd = Now + WindowLength;
  }
  Count &Level = this->Current[Priority];
  Level.Total += 1;
  Level.Shed += Shed ? 1 : 0;
}

wire::ShedLoad ShedMeter::report(Time Now) const {
  // A result that is out of date is not reported: without recent calls no
  // capacity needs to be freed.
  return Now < this->WindowEnd + WindowLength ? this->Last : wire::ShedLoad();
}

} // namespace persimmon
