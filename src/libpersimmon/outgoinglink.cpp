#include "outgoinglink.h"

#include "effects.h"

#include <algorithm>

namespace persimmon {

namespace {

constexpr double BytesPerMsOfMegabit = 1'000'000.0 / 8 / 1000;
/// Share of the link that is used; the rest absorbs acknowledgements of
/// received packets and errors of the estimate.
constexpr double UsableShare = 0.92;
/// Bytes on the link for each byte of a body, with the headers of full packets.
constexpr double PacketOverhead = 1.05;
/// Length of what is handed to the network at a time: longer than the pause of
/// a daemon that has used up its share of a core, so that the link does not
/// idle, and short against the time limits of nested calls.
constexpr milliseconds Window{50};

} // namespace

void OutgoingLink::setRate(double MegabitsPerSecond) {
  this->Rate = MegabitsPerSecond * BytesPerMsOfMegabit * UsableShare;
}

Time::duration OutgoingLink::timeFor(std::int64_t Bytes) const {
  if (this->Rate <= 0)
    return Time::duration(0);
  const std::chrono::duration<double, std::milli> Needed(
      static_cast<double>(std::max<std::int64_t>(0, Bytes)) / this->Rate);
  return std::chrono::duration_cast<Time::duration>(Needed);
}

void OutgoingLink::add(const wire::AttemptId &Id, std::int64_t Size,
                       Time UsefulUntil, Time Now) {
  this->remove(Id);
  this->Answers.emplace(Id, Answer{Size, 0, UsefulUntil, Now});
  this->UnsentBytes += Size;
}

void OutgoingLink::remove(const wire::AttemptId &Id) {
  const auto Found = this->Answers.find(Id);
  if (Found == this->Answers.end())
    return;
  const std::int64_t Unsent = Found->second.Size - Found->second.Sent;
  this->UnsentBytes -= Unsent;
  this->DroppedBytes += Unsent;
  this->Answers.erase(Found);
}

void OutgoingLink::charge(std::int64_t Bytes, Time Now) {
  if (this->Rate > 0)
    this->BusyUntil = std::max(this->BusyUntil, Now) + this->timeFor(Bytes);
}

OutgoingLink::AnswerMap::iterator OutgoingLink::next(Time Now) {
  return std::min_element(
      this->Answers.begin(), this->Answers.end(),
      [&](const auto &Left, const auto &Right) {
        const bool LeftLate = Now >= Left.second.UsefulUntil;
        const bool RightLate = Now >= Right.second.UsefulUntil;
        if (LeftLate != RightLate)
          return RightLate;
        return Left.second.UsefulUntil < Right.second.UsefulUntil;
      });
}

std::vector<OutgoingLink::Part> OutgoingLink::takeParts(Time Now) {
  std::vector<Part> Out;
  while (!this->Answers.empty() && this->BusyUntil <= Now + Window) {
    const auto Next = this->next(Now);
    Answer &Item = Next->second;
    // Without a known rate there is nothing to pace.
    const std::int64_t Length =
        this->Rate > 0 ? std::min(static_cast<std::int64_t>(InlineBodyBytes),
                                  Item.Size - Item.Sent)
                       : Item.Size - Item.Sent;
    const std::int64_t End = Item.Sent + Length;
    Out.push_back(
        {Next->first, Item.Sent, End, Item.QueuedAt, End == Item.Size});
    this->charge(
        static_cast<std::int64_t>(static_cast<double>(Length) * PacketOverhead),
        Now);
    this->UnsentBytes -= Length;
    Item.Sent = End;
    if (Item.Sent == Item.Size)
      this->Answers.erase(Next);
  }
  return Out;
}

Time OutgoingLink::completionTime(std::int64_t Bytes, Time ReadyAt,
                                  Time Now) const {
  const Time FreeAt = std::max(this->BusyUntil, Now) +
                      this->timeFor(this->UnsentBytes + this->ReservedBytes);
  return std::max(FreeAt, ReadyAt) + this->timeFor(Bytes);
}

milliseconds OutgoingLink::backlog(Time Now) const {
  return milliseconds(
      millisecondsUntil(this->completionTime(0, Now, Now), Now));
}

} // namespace persimmon
