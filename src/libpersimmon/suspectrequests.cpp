#include "suspectrequests.h"

#include <algorithm>

namespace persimmon {

namespace {

/// Ends of targets after which a form is held back. One less than the three
/// ends after which the operators count a request that is sent on.
constexpr std::size_t EndsToHold = 2;
constexpr milliseconds FirstHold{10'000};
/// The hold doubles up to 64 times FirstHold, about ten minutes.
constexpr int MaxDoublings = 6;
/// Longer than a request runs.
constexpr milliseconds TrialDuration{5000};
/// A suspect at one end is forgotten if nothing else is heard of it for so
/// long.
constexpr milliseconds SuspectLifetime{30'000};
constexpr milliseconds TrustLifetime{10'000};
constexpr milliseconds SweepInterval{1000};
constexpr std::size_t MaxSuspects = 4096;
constexpr std::size_t MaxTrusted = 16'384;
constexpr std::size_t MaxRecordedRuns = 1024;

template <typename MapT> void eraseExpired(MapT &Items, Time Now) {
  std::erase_if(Items, [&](const auto &Item) { return Now >= Item.second; });
}

} // namespace

void SuspectRequests::targetEnded(std::string_view TargetRun,
                                  std::span<const RequestForm> Forms,
                                  Time Now) {
  if (this->RecordedRuns.size() >= MaxRecordedRuns ||
      !this->RecordedRuns.emplace(std::string(TargetRun), Now + SuspectLifetime)
           .second)
    return;
  for (const RequestForm Form : Forms) {
    const auto Known = this->Trusted.find(Form);
    if (Known != this->Trusted.end() && Now < Known->second)
      continue;
    if (this->Suspects.size() >= MaxSuspects && this->Suspects.count(Form) == 0)
      this->dropOldest();
    Suspect &Item = this->Suspects[Form];
    Item.ForgetAt = std::max(Item.ForgetAt, Now + SuspectLifetime);
    if (Item.Ends.size() < EndsToHold)
      Item.Ends.emplace_back(TargetRun);
    // Further ends under requests that were on their way do not add up.
    const bool Waits = Item.Ends.size() >= EndsToHold && Now >= Item.HeldUntil;
    if (Waits)
      this->hold(Item, Now);
  }
}

void SuspectRequests::hold(Suspect &Item, Time Now) {
  Item.HeldUntil = Now + FirstHold * (1 << std::min(Item.Holds, MaxDoublings));
  Item.Holds += 1;
  Item.TrialUntil = Time();
  Item.ForgetAt = Item.HeldUntil + SuspectLifetime;
}

void SuspectRequests::answered(RequestForm Form, Time Now) {
  this->Suspects.erase(Form);
  if (this->Trusted.size() < MaxTrusted || this->Trusted.count(Form) != 0)
    this->Trusted[Form] = Now + TrustLifetime;
}

SuspectRequests::Verdict SuspectRequests::check(RequestForm Form, Time Now) {
  const auto Found = this->Suspects.find(Form);
  if (Found == this->Suspects.end() || Now >= Found->second.ForgetAt)
    return Verdict::Free;
  Suspect &Item = Found->second;
  if (Item.Ends.size() < EndsToHold)
    return Verdict::Suspect;
  if (Now < Item.HeldUntil || Now < Item.TrialUntil)
    return Verdict::HeldBack;
  Item.TrialUntil = Now + TrialDuration;
  return Verdict::Suspect;
}

Time SuspectRequests::heldUntil(RequestForm Form) const {
  const auto Found = this->Suspects.find(Form);
  return Found == this->Suspects.end()
             ? Time()
             : std::max(Found->second.HeldUntil, Found->second.TrialUntil);
}

std::size_t SuspectRequests::heldCount(Time Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Suspects.begin(), this->Suspects.end(),
      [&](const auto &Item) { return Now < Item.second.HeldUntil; }));
}

void SuspectRequests::dropOldest() {
  const auto Oldest =
      std::min_element(this->Suspects.begin(), this->Suspects.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.ForgetAt < Right.second.ForgetAt;
                       });
  this->Suspects.erase(Oldest);
}

void SuspectRequests::tick(Time Now) {
  if (Now < this->NextSweep)
    return;
  this->NextSweep = Now + SweepInterval;
  std::erase_if(this->Suspects,
                [&](const auto &Item) { return Now >= Item.second.ForgetAt; });
  eraseExpired(this->Trusted, Now);
  eraseExpired(this->RecordedRuns, Now);
}

} // namespace persimmon
