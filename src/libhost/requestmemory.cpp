#include "requestmemory.h"

#include <algorithm>

namespace persimmon {

namespace {

/// A request that brings fewer bytes in this time is refused before others if
/// memory is short.
constexpr std::size_t ProgressBytes = 16u << 10;
constexpr milliseconds ProgressTime{1000};
/// Clients can cause any number of refusals, so few of them are logged.
constexpr milliseconds LineInterval{200};

} // namespace

std::string_view nameOf(RequestEnd End) {
  switch (End) {
  case RequestEnd::BodyTooLarge:
    return "body-too-large";
  case RequestEnd::NoMemory:
    return "no-memory";
  case RequestEnd::HeadersLate:
    return "headers-late";
  case RequestEnd::BodyLate:
    return "body-late";
  case RequestEnd::Idle:
    return "idle";
  }
  return "unknown";
}

std::shared_ptr<RequestMemory> RequestMemory::make(const Limits &Bounds) {
  return std::shared_ptr<RequestMemory>(new RequestMemory(Bounds));
}

RequestMemory::Share::Share(std::shared_ptr<RequestMemory> TheMemory,
                            Sender &TheSender, Time Now)
    : Memory(std::move(TheMemory)), Arriving(&TheSender), MarkedAt(Now),
      Position(this->Memory->Shares.insert(this->Memory->Shares.end(), this)) {}

RequestMemory::Share::~Share() {
  this->Memory->setBytes(*this, 0);
  this->Memory->Shares.erase(this->Position);
}

bool RequestMemory::Share::slow(Time Now) const {
  return Now - this->MarkedAt >= ProgressTime;
}

bool RequestMemory::Share::resize(std::size_t HeldBytes,
                                  std::size_t ReceivedBytes, Time Now) {
  if (ReceivedBytes >= this->ReceivedAtMark + ProgressBytes) {
    this->ReceivedAtMark = ReceivedBytes;
    this->MarkedAt = Now;
  }
  const std::size_t Before = this->Bytes;
  RequestMemory &All = *this->Memory;
  All.setBytes(*this, HeldBytes);
  if (HeldBytes <= Before)
    return true;
  while (All.AllBytes > std::min(All.Bounds.AllBytes, All.Bounds.LargeBytes)) {
    const Share *Largest = All.largest();
    const std::size_t Exempt = Largest->Bytes;
    const bool LargeExceeded = isLarge(HeldBytes) && isLarge(Exempt) &&
                               All.LargeBytes - Exempt > All.Bounds.LargeBytes;
    if (!LargeExceeded && All.AllBytes - Exempt <= All.Bounds.AllBytes)
      break;
    Share *Refused = All.choose(Largest, Now, LargeExceeded);
    if (Refused == nullptr || Refused == this) {
      All.setBytes(*this, Before);
      return false;
    }
    Refused->Arriving->refuseForMemory();
  }
  return true;
}

void RequestMemory::setBytes(Share &Item, std::size_t Bytes) {
  this->AllBytes = this->AllBytes - Item.Bytes + Bytes;
  if (isLarge(Item.Bytes))
    this->LargeBytes -= Item.Bytes;
  if (isLarge(Bytes))
    this->LargeBytes += Bytes;
  Item.Bytes = Bytes;
}

RequestMemory::Share *RequestMemory::largest() const {
  return *std::max_element(this->Shares.begin(), this->Shares.end(),
                           [](const Share *Left, const Share *Right) {
                             return Left->Bytes < Right->Bytes;
                           });
}

RequestMemory::Share *RequestMemory::choose(const Share *Largest, Time Now,
                                            bool LargeOnly) const {
  Share *Chosen = nullptr;
  bool ChosenSlow = false;
  for (Share *Item : this->Shares) {
    if (Item->Arriving == nullptr || Item->Bytes == 0 ||
        (LargeOnly && !isLarge(Item->Bytes)))
      continue;
    const bool Slow = Item->slow(Now);
    if (!Slow && Item == Largest)
      continue;
    if (Chosen == nullptr || (Slow && !ChosenSlow) ||
        (Slow == ChosenSlow && Item->Bytes > Chosen->Bytes)) {
      Chosen = Item;
      ChosenSlow = Slow;
    }
  }
  return Chosen;
}

std::optional<std::uint64_t> RequestMemory::count(RequestEnd End, Time Now) {
  this->Ends[static_cast<std::size_t>(End)] += 1;
  if (Now < this->NextLineAt) {
    this->LinesLeftOut += 1;
    return std::nullopt;
  }
  this->NextLineAt = Now + LineInterval;
  return std::exchange(this->LinesLeftOut, 0);
}

std::size_t RequestMemory::arrivingBytes() const {
  std::size_t Out = 0;
  for (const Share *Item : this->Shares) {
    if (Item->Arriving != nullptr)
      Out += Item->Bytes;
  }
  return Out;
}

} // namespace persimmon
