#include "bodyflowcontrol.h"

#include "effects.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr double BytesPerMsOfMegabit = 1'000'000.0 / 8 / 1000;
/// Share of the link for bodies. The rest is left to answers, configuration and
/// new connections.
constexpr double BodyShare = 0.9;
/// Length of the window of granted bytes in flight: longer than a round trip
/// between availability zones plus the pause of a sender that has exhausted its
/// share of a core.
constexpr double WindowMs = 50;
/// At least one part each from two senders, so that the link does not idle
/// between two parts.
constexpr std::int64_t MinWindow = 2 * InlineBodyBytes;
/// Longer than the transfer of one window takes.
constexpr milliseconds StallTimeout{400};

} // namespace

void BodyFlowControl::setLinkRate(double MegabitsPerSecond) {
  this->Rate = MegabitsPerSecond * BytesPerMsOfMegabit * BodyShare;
}

std::int64_t BodyFlowControl::window() const {
  return std::max(MinWindow, static_cast<std::int64_t>(this->Rate * WindowMs));
}

Time BodyFlowControl::completionTime(std::int64_t Size, Time Now) const {
  if (this->Rate <= 0)
    return Now;
  std::int64_t Ahead = Size;
  for (const Body &Item : this->Bodies)
    Ahead += Item.UsesLink ? Item.Size - Item.Received : 0;
  return Now + milliseconds(static_cast<std::int64_t>(
                   static_cast<double>(Ahead) / this->Rate));
}

void BodyFlowControl::add(const wire::AttemptId &Id, std::int64_t Size,
                          bool UsesLink) {
  Body Item;
  Item.Id = Id;
  Item.Size = Size;
  Item.UsesLink = UsesLink && this->Rate > 0;
  this->Bodies.push_back(std::move(Item));
}

void BodyFlowControl::received(const wire::AttemptId &Id, std::int64_t Bytes,
                               Time Now) {
  for (Body &Item : this->Bodies) {
    if (Item.Id != Id)
      continue;
    Item.Received = std::max(Item.Received, Bytes);
    Item.StalledAt = Now + StallTimeout;
    return;
  }
}

void BodyFlowControl::remove(const wire::AttemptId &Id) {
  std::erase_if(this->Bodies, [&](const Body &Item) { return Item.Id == Id; });
}

std::int64_t BodyFlowControl::bytesInFlight(Time Now) const {
  std::int64_t Sum = 0;
  for (const Body &Item : this->Bodies) {
    if (Item.UsesLink && !Item.stalled(Now))
      Sum += std::max<std::int64_t>(0, Item.Granted - Item.Received);
  }
  return Sum;
}

std::vector<BodyFlowControl::Grant> BodyFlowControl::grant(Time Now) {
  std::vector<Grant> Out;
  std::int64_t FreeWindow = this->window() - this->bytesInFlight(Now);
  for (Body &Item : this->Bodies) {
    const std::int64_t Rest = Item.Size - Item.Granted;
    if (Rest == 0 || Item.stalled(Now) || (Item.UsesLink && FreeWindow <= 0))
      continue;
    // Grant whole parts, the units in which senders split bodies.
    constexpr auto PartBytes = static_cast<std::int64_t>(InlineBodyBytes);
    const std::int64_t Parts = std::max(FreeWindow, PartBytes) / PartBytes;
    const std::int64_t GrantedNow =
        Item.UsesLink ? std::min(Rest, Parts * PartBytes) : Rest;
    Item.Granted += GrantedNow;
    Item.StalledAt = Now + StallTimeout;
    if (Item.UsesLink)
      FreeWindow -= GrantedNow;
    Out.push_back({Item.Id, Item.Granted});
  }
  return Out;
}

std::int64_t BodyFlowControl::grantedTo(const wire::AttemptId &Id) const {
  for (const Body &Item : this->Bodies) {
    if (Item.Id == Id)
      return Item.Granted;
  }
  return 0;
}

} // namespace persimmon
