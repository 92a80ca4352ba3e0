#include "bodystore.h"

#include "responsehead.h"

#include <algorithm>
#include <utility>

namespace persimmon {

bool BodyStore::storeCallerBody(std::int64_t CallNumber, std::string Body,
                                std::shared_ptr<void> Held) {
  if (Body.empty())
    return true;
  if (!this->hasRoomFor(Body.size()))
    return false;
  this->CallerBytes += Body.size();
  this->CallerBodies.emplace(CallNumber,
                             CallerBody{std::move(Body), std::move(Held)});
  return true;
}

bool BodyStore::hasRoomFor(std::size_t Size) const {
  const std::size_t Total = this->CallerBytes + Size;
  if (Total <= this->MaxCallerBytes)
    return true;
  std::size_t Largest = Size;
  for (const auto &[Number, Body] : this->CallerBodies)
    Largest = std::max(Largest, Body.Bytes.size());
  return Total - Largest <= this->MaxCallerBytes;
}

std::string_view BodyStore::callerBody(std::int64_t CallNumber) const {
  const auto Found = this->CallerBodies.find(CallNumber);
  return Found == this->CallerBodies.end()
             ? std::string_view()
             : std::string_view(Found->second.Bytes);
}

void BodyStore::removeCallerBody(std::int64_t CallNumber) {
  const auto Found = this->CallerBodies.find(CallNumber);
  if (Found == this->CallerBodies.end())
    return;
  this->CallerBytes -= Found->second.Bytes.size();
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
  const bool Complete = Size == Item.Header.BodySize;
  if (!Complete && Size != 0)
    return std::nullopt;
  const auto [Entry, Inserted] = this->Requests.emplace(Id, std::move(Item));
  if (!Inserted || (!Complete && !Entry->second.Header.BodyFollows))
    return std::nullopt;
  return Entry->second.Header;
}

std::optional<wire::CallReply> BodyStore::begin(wire::CallReply Header) {
  if (Header.Outcome != wire::CallOutcome::Finished)
    return Header;
  const wire::AttemptId Id = Header.Id;
  if (!isFinalResponseHead(Header.Status, Header.Headers)) {
    this->IncomingResponses.erase(Id);
    Header.Outcome = wire::CallOutcome::Unknown;
    Header.Code = static_cast<std::int32_t>(ResultCode::TargetBroke);
    Header.Headers.clear();
    Header.Body.clear();
    return Header;
  }
  IncomingResponse Item;
  Item.Body = std::move(Header.Body);
  Header.Body.clear();
  Item.Header = std::move(Header);
  const auto Size = static_cast<std::int64_t>(Item.Body.size());
  const bool Complete = Size == Item.Header.BodySize;
  if (!Complete && Size != 0)
    return std::nullopt;
  IncomingResponse &Entry = this->IncomingResponses[Id] = std::move(Item);
  if (!Complete)
    return std::nullopt;
  return Entry.Header;
}

namespace {

/// Appends a part. Returns false if it does not follow the previous one or is
/// too long.
bool append(std::string &Body, const wire::BodyPart &Part,
            std::int64_t TotalSize) {
  const auto Size = static_cast<std::int64_t>(Body.size());
  const auto PartSize = static_cast<std::int64_t>(Part.Data.size());
  if (Part.Offset != Size || Size + PartSize > TotalSize)
    return false;
  Body += Part.Data;
  return true;
}

} // namespace

BodyStore::PartResult BodyStore::addPart(const wire::BodyPart &Part, Time Now) {
  return Part.OfAnswer ? this->addToResponse(Part)
                       : this->addToRequest(Part, Now);
}

BodyStore::PartResult BodyStore::addToResponse(const wire::BodyPart &Part) {
  const auto Found = this->IncomingResponses.find(Part.Id);
  if (Found == this->IncomingResponses.end())
    return {};
  IncomingResponse &Item = Found->second;
  if (Item.Body.empty())
    Item.Body.reserve(static_cast<std::size_t>(Item.Header.BodySize));
  if (!append(Item.Body, Part, Item.Header.BodySize)) {
    this->IncomingResponses.erase(Found);
    return {};
  }
  if (static_cast<std::int64_t>(Item.Body.size()) < Item.Header.BodySize)
    return {};
  return Item.Header;
}

BodyStore::PartResult BodyStore::addToRequest(const wire::BodyPart &Part,
                                              Time Now) {
  const auto Found = this->Requests.find(Part.Id);
  if (Found == this->Requests.end())
    return {};
  Request &Item = Found->second;
  const wire::CallRequest &Header = Item.Header;
  // Parts after a complete body are ignored.
  if (Item.BodyTaken ||
      static_cast<std::int64_t>(Item.Body.size()) == Header.BodySize)
    return {};
  // The length is known, so the body is not moved while it grows.
  if (Item.Body.empty())
    Item.Body.reserve(static_cast<std::size_t>(Header.BodySize));
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

std::vector<BodyLost>
BodyStore::removeIncompleteRequests(std::string_view Path) {
  std::vector<BodyLost> Out;
  std::erase_if(this->Requests, [&](const auto &Item) {
    const Request &Stored = Item.second;
    const bool Lost =
        Stored.Path == Path && !Stored.BodyTaken &&
        static_cast<std::int64_t>(Stored.Body.size()) < Stored.Header.BodySize;
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

std::string BodyStore::takeBody(const wire::AttemptId &Id) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return {};
  Found->second.BodyTaken = true;
  return std::exchange(Found->second.Body, std::string());
}

void BodyStore::storeResponse(const wire::AttemptId &Id, Response NewResponse) {
  this->StoredResponses[Id] = std::move(NewResponse);
}

const BodyStore::Response *
BodyStore::storedResponse(const wire::AttemptId &Id) const {
  const auto Found = this->StoredResponses.find(Id);
  return Found == this->StoredResponses.end() ? nullptr : &Found->second;
}

std::optional<BodyStore::Response>
BodyStore::takeReceivedResponse(const wire::AttemptId &Id) {
  const auto Found = this->IncomingResponses.find(Id);
  if (Found == this->IncomingResponses.end())
    return std::nullopt;
  Response Out;
  Out.Status = Found->second.Header.Status;
  Out.Headers = std::move(Found->second.Header.Headers);
  Out.Body = std::move(Found->second.Body);
  this->IncomingResponses.erase(Found);
  return Out;
}

void BodyStore::removeAttempt(const wire::AttemptId &Id) {
  this->Requests.erase(Id);
  this->StoredResponses.erase(Id);
}

wire::CallRequest firstMessage(const SendCall &Call, std::string_view Body) {
  wire::CallRequest Out = Call.Header;
  if (!Out.BodyFollows)
    Out.Body = std::string(Body);
  return Out;
}

std::vector<wire::BodyPart> partsToSend(const SendBody &Sent,
                                        std::string_view Body) {
  const auto Size = static_cast<std::int64_t>(Body.size());
  const std::int64_t Begin = std::min(Sent.Begin, Size);
  const std::int64_t End = std::clamp(Sent.End, Begin, Size);
  std::vector<wire::BodyPart> Out =
      splitBody(Sent.Id, false,
                Body.substr(static_cast<std::size_t>(Begin),
                            static_cast<std::size_t>(End - Begin)),
                Begin);
  if (!Out.empty())
    Out.front().RemainingMs = Sent.RemainingMs;
  return Out;
}

std::vector<wire::BodyPart> splitBody(const wire::AttemptId &Id, bool OfAnswer,
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
