#include "bodystore.h"

#include <algorithm>

namespace persimmon {

bool BodyStore::keepCallerBody(std::int64_t CallNumber, std::string Body) {
  if (Body.empty())
    return true;
  if (!this->hasRoomFor(Body.size()))
    return false;
  this->CallerBytes += Body.size();
  this->CallerBodies.emplace(CallNumber, std::move(Body));
  return true;
}

bool BodyStore::hasRoomFor(std::size_t Size) const {
  const std::size_t All = this->CallerBytes + Size;
  if (All <= this->MaxCallerBytes)
    return true;
  std::size_t Largest = Size;
  for (const auto &[Number, Body] : this->CallerBodies)
    Largest = std::max(Largest, Body.size());
  return All - Largest <= this->MaxCallerBytes;
}

std::string_view BodyStore::callerBody(std::int64_t CallNumber) const {
  const auto Found = this->CallerBodies.find(CallNumber);
  return Found == this->CallerBodies.end() ? std::string_view()
                                           : std::string_view(Found->second);
}

void BodyStore::dropCaller(std::int64_t CallNumber) {
  const auto Found = this->CallerBodies.find(CallNumber);
  if (Found == this->CallerBodies.end())
    return;
  this->CallerBytes -= Found->second.size();
  this->CallerBodies.erase(Found);
}

std::optional<wire::CallRequest> BodyStore::begin(wire::CallRequest Header,
                                                  std::string Path) {
  const wire::AttemptId Id = Header.Id;
  Request Item;
  Item.Body = std::move(Header.Body);
  Header.Body.clear();
  Item.Header = std::move(Header);
  Item.Path = std::move(Path);
  const auto Size = static_cast<std::int64_t>(Item.Body.size());
  const bool Whole = Size == Item.Header.BodySize;
  if (!Whole && Size != 0)
    return std::nullopt;
  const auto [Slot, Fresh] = this->Requests.emplace(Id, std::move(Item));
  if (!Fresh || (!Whole && !Slot->second.Header.BodyFollows))
    return std::nullopt;
  return Slot->second.Header;
}

std::optional<wire::CallReply> BodyStore::begin(wire::CallReply Header) {
  if (Header.Outcome != wire::CallOutcome::Finished)
    return Header;
  const wire::AttemptId Id = Header.Id;
  Arriving Item;
  Item.Body = std::move(Header.Body);
  Header.Body.clear();
  Item.Header = std::move(Header);
  const auto Size = static_cast<std::int64_t>(Item.Body.size());
  const bool Whole = Size == Item.Header.BodySize;
  if (!Whole && Size != 0)
    return std::nullopt;
  Arriving &Slot = this->Arrivals[Id] = std::move(Item);
  if (!Whole)
    return std::nullopt;
  return Slot.Header;
}

namespace {

/// Appends a part. Returns false if it does not follow the previous one or is
/// too long.
bool append(std::string &Body, const wire::BodyPart &Part,
            std::int64_t WholeSize) {
  const auto Size = static_cast<std::int64_t>(Body.size());
  const auto Added = static_cast<std::int64_t>(Part.Data.size());
  if (Part.Offset != Size || Size + Added > WholeSize)
    return false;
  Body += Part.Data;
  return true;
}

} // namespace

BodyStore::Completed BodyStore::addPart(const wire::BodyPart &Part, Time Now) {
  return Part.OfAnswer ? this->addToAnswer(Part)
                       : this->addToRequest(Part, Now);
}

BodyStore::Completed BodyStore::addToAnswer(const wire::BodyPart &Part) {
  const auto Found = this->Arrivals.find(Part.Id);
  if (Found == this->Arrivals.end())
    return {};
  Arriving &Item = Found->second;
  if (!append(Item.Body, Part, Item.Header.BodySize)) {
    this->Arrivals.erase(Found);
    return {};
  }
  if (static_cast<std::int64_t>(Item.Body.size()) < Item.Header.BodySize)
    return {};
  return Item.Header;
}

BodyStore::Completed BodyStore::addToRequest(const wire::BodyPart &Part,
                                             Time Now) {
  const auto Found = this->Requests.find(Part.Id);
  if (Found == this->Requests.end())
    return {};
  Request &Item = Found->second;
  const wire::CallRequest &Header = Item.Header;
  // Parts after a complete body are ignored.
  if (static_cast<std::int64_t>(Item.Body.size()) == Header.BodySize)
    return {};
  if (!append(Item.Body, Part, Header.BodySize)) {
    this->Requests.erase(Found);
    return BodyLost{Part.Id};
  }
  if (Part.RemainingMs > 0)
    Item.Deadline =
        std::min(Item.Deadline, Now + milliseconds(Part.RemainingMs));
  if (static_cast<std::int64_t>(Item.Body.size()) < Header.BodySize)
    return {};
  if (!Header.BodyFollows)
    return Header;
  return BodyArrived{Part.Id, Header.CallId, Item.Deadline};
}

std::vector<BodyLost> BodyStore::pathClosed(std::string_view Path) {
  std::vector<BodyLost> Out;
  std::erase_if(this->Requests, [&](const auto &Item) {
    const Request &R = Item.second;
    const bool Lost = R.Path == Path && static_cast<std::int64_t>(
                                            R.Body.size()) < R.Header.BodySize;
    if (Lost)
      Out.push_back({Item.first});
    return Lost;
  });
  return Out;
}

const BodyStore::Request *BodyStore::request(const wire::AttemptId &Id) const {
  const auto Found = this->Requests.find(Id);
  return Found == this->Requests.end() ? nullptr : &Found->second;
}

void BodyStore::holdAnswer(const wire::AttemptId &Id, Answer Kept) {
  this->Held[Id] = std::move(Kept);
}

const BodyStore::Answer *
BodyStore::heldAnswer(const wire::AttemptId &Id) const {
  const auto Found = this->Held.find(Id);
  return Found == this->Held.end() ? nullptr : &Found->second;
}

std::optional<BodyStore::Answer>
BodyStore::takeArrived(const wire::AttemptId &Id) {
  const auto Found = this->Arrivals.find(Id);
  if (Found == this->Arrivals.end())
    return std::nullopt;
  Answer Out;
  Out.Status = Found->second.Header.Status;
  Out.Headers = std::move(Found->second.Header.Headers);
  Out.Body = std::move(Found->second.Body);
  this->Arrivals.erase(Found);
  return Out;
}

void BodyStore::drop(const wire::AttemptId &Id) {
  this->Requests.erase(Id);
  this->Held.erase(Id);
}

wire::CallRequest firstMessage(const SendCall &Call, std::string_view Body) {
  wire::CallRequest Out = Call.Header;
  if (!Out.BodyFollows)
    Out.Body = std::string(Body);
  return Out;
}

std::vector<wire::BodyPart> partsOf(const SendBody &Sent,
                                    std::string_view Body) {
  const auto Size = static_cast<std::int64_t>(Body.size());
  const std::int64_t Begin = std::min(Sent.Begin, Size);
  const std::int64_t End = std::clamp(Sent.End, Begin, Size);
  std::vector<wire::BodyPart> Out =
      cutBody(Sent.Id, false,
              Body.substr(static_cast<std::size_t>(Begin),
                          static_cast<std::size_t>(End - Begin)),
              Begin);
  if (!Out.empty())
    Out.front().RemainingMs = Sent.RemainingMs;
  return Out;
}

std::vector<wire::BodyPart> cutBody(const wire::AttemptId &Id, bool OfAnswer,
                                    std::string_view Body,
                                    std::int64_t Offset) {
  std::vector<wire::BodyPart> Out;
  while (!Body.empty()) {
    wire::BodyPart Part;
    Part.Id = Id;
    Part.OfAnswer = OfAnswer;
    Part.Offset = Offset;
    Part.Data = std::string(Body.substr(0, InlineBodyBytes));
    Body.remove_prefix(Part.Data.size());
    Offset += static_cast<std::int64_t>(Part.Data.size());
    Out.push_back(std::move(Part));
  }
  return Out;
}

} // namespace persimmon
