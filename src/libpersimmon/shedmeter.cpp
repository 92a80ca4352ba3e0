#include "shedmeter.h"

namespace persimmon {

namespace {

constexpr milliseconds WindowLength{200};
/// With fewer calls in a window the shed share is not meaningful.
constexpr int CallsThatCount = 4;
constexpr int Thousand = 1000;

} // namespace

void ShedMeter::note(int Priority, bool TurnedAway, Time Now) {
  if (Now >= this->WindowEnd) {
    this->Last = wire::ShedLoad();
    for (const auto &[Level, Seen] : this->Current) {
      if (Seen.TurnedAway == 0 || Seen.Asked < CallsThatCount)
        continue;
      this->Last.Priority = Level;
      this->Last.PerMille = Thousand * Seen.TurnedAway / Seen.Asked;
    }
    this->Current.clear();
    this->WindowEnd = Now + WindowLength;
  }
  Count &Level = this->Current[Priority];
  Level.Asked += 1;
  Level.TurnedAway += TurnedAway ? 1 : 0;
}

wire::ShedLoad ShedMeter::report(Time Now) const {
  // A result that is out of date is not reported: without recent calls no
  // capacity needs to be freed.
  return Now < this->WindowEnd + WindowLength ? this->Last : wire::ShedLoad();
}

} // namespace persimmon
