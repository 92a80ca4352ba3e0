#include "peeroutbox.h"

#include <utility>

namespace persimmon {

void PeerOutbox::push(std::string Frame, const Message &Body) {
  if (const auto *Request = std::get_if<wire::CallRequest>(&Body)) {
    this->Waiting.emplace(Request->Id, 0);
    return this->queue(this->Small, {std::move(Frame), Request->Id});
  }
  const auto *Part = std::get_if<wire::BodyPart>(&Body);
  if (Part == nullptr) {
    if (const auto *Cancel = std::get_if<wire::CallCancel>(&Body))
      this->endAttempt(Cancel->Id);
    return this->queue(this->Small, {std::move(Frame), std::nullopt});
  }
  if (Part->OfAnswer)
    return this->queue(this->Bulk, {std::move(Frame), std::nullopt});
  // The body of a decided attempt is no longer needed.
  if (this->Waiting.count(Part->Id) != 0)
    this->queue(this->Bulk, {std::move(Frame), Part->Id});
}

void PeerOutbox::queue(std::deque<Frame> &Into, Frame Item) {
  if (Item.Request)
    this->Waiting[*Item.Request] += 1;
  this->Bytes += Item.Bytes.size();
  Into.push_back(std::move(Item));
}

std::string PeerOutbox::take(std::deque<Frame> &From) {
  Frame Item = std::move(From.front());
  From.pop_front();
  this->Bytes -= Item.Bytes.size();
  if (Item.Request)
    this->Waiting[*Item.Request] -= 1;
  return std::move(Item.Bytes);
}

std::string PeerOutbox::takeNext(std::size_t GatherBytes) {
  std::string Out;
  while (!this->Small.empty() && Out.size() < GatherBytes)
    Out += this->take(this->Small);
  if (Out.empty() && !this->Bulk.empty())
    Out = this->take(this->Bulk);
  return Out;
}

void PeerOutbox::drop(std::deque<Frame> &From, const wire::AttemptId &Id) {
  std::erase_if(From, [&](const Frame &Item) {
    if (Item.Request != Id)
      return false;
    this->Bytes -= Item.Bytes.size();
    return true;
  });
}

void PeerOutbox::endAttempt(const wire::AttemptId &Id) {
  const auto Found = this->Waiting.find(Id);
  if (Found == this->Waiting.end())
    return;
  if (Found->second > 0) {
    this->drop(this->Small, Id);
    this->drop(this->Bulk, Id);
  }
  this->Waiting.erase(Found);
}

std::vector<wire::AttemptId> PeerOutbox::takeWaiting() {
  std::vector<wire::AttemptId> Out;
  for (const auto &[Id, Frames] : this->Waiting) {
    if (Frames > 0)
      Out.push_back(Id);
  }
  for (const wire::AttemptId &Id : Out)
    this->endAttempt(Id);
  return Out;
}

void PeerOutbox::addTo(StreamLost &Lost) const {
  for (const auto &[Id, Frames] : this->Waiting)
    (Frames > 0 ? Lost.NotSent : Lost.Sent).push_back(Id);
}

} // namespace persimmon
