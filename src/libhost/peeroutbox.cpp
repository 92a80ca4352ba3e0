#include "peeroutbox.h"

#include <utility>

namespace persimmon {

void PeerOutbox::push(std::string Frame, const Message &Body) {
  if (const auto *Request = std::get_if<wire::CallRequest>(&Body)) {
    this->QueuedFrameCounts.emplace(Request->Id, 0);
    return this->pushFrame(this->SmallFrames, {std::move(Frame), Request->Id});
  }
  const auto *Part = std::get_if<wire::BodyPart>(&Body);
  if (Part == nullptr) {
    if (const auto *Cancel = std::get_if<wire::CallCancel>(&Body))
      this->endAttempt(Cancel->Id);
    return this->pushFrame(this->SmallFrames, {std::move(Frame), std::nullopt});
  }
  if (Part->OfAnswer)
    return this->pushFrame(this->BulkFrames, {std::move(Frame), std::nullopt});
  // The body of a decided attempt is no longer needed.
  if (this->QueuedFrameCounts.count(Part->Id) != 0)
    this->pushFrame(this->BulkFrames, {std::move(Frame), Part->Id});
}

void PeerOutbox::pushFrame(std::deque<Frame> &Queue, Frame Item) {
  if (Item.RequestId)
    this->QueuedFrameCounts[*Item.RequestId] += 1;
  this->QueuedBytes += Item.Bytes.size();
  Queue.push_back(std::move(Item));
}

std::string PeerOutbox::popFrame(std::deque<Frame> &Queue) {
  Frame Item = std::move(Queue.front());
  Queue.pop_front();
  this->QueuedBytes -= Item.Bytes.size();
  if (Item.RequestId)
    this->QueuedFrameCounts[*Item.RequestId] -= 1;
  return std::move(Item.Bytes);
}

std::string PeerOutbox::takeNext(std::size_t BatchBytes) {
  std::string Out;
  while (!this->SmallFrames.empty() && Out.size() < BatchBytes)
    Out += this->popFrame(this->SmallFrames);
  if (Out.empty() && !this->BulkFrames.empty())
    Out = this->popFrame(this->BulkFrames);
  return Out;
}

void PeerOutbox::removeFrames(std::deque<Frame> &Queue,
                              const wire::AttemptId &Id) {
  std::erase_if(Queue, [&](const Frame &Item) {
    if (Item.RequestId != Id)
      return false;
    this->QueuedBytes -= Item.Bytes.size();
    return true;
  });
}

void PeerOutbox::endAttempt(const wire::AttemptId &Id) {
  const auto Found = this->QueuedFrameCounts.find(Id);
  if (Found == this->QueuedFrameCounts.end())
    return;
  if (Found->second > 0) {
    this->removeFrames(this->SmallFrames, Id);
    this->removeFrames(this->BulkFrames, Id);
  }
  this->QueuedFrameCounts.erase(Found);
}

std::vector<wire::AttemptId> PeerOutbox::removeUnsentAttempts() {
  std::vector<wire::AttemptId> Out;
  for (const auto &[Id, Frames] : this->QueuedFrameCounts) {
    if (Frames > 0)
      Out.push_back(Id);
  }
  for (const wire::AttemptId &Id : Out)
    this->endAttempt(Id);
  return Out;
}

void PeerOutbox::addUndecidedTo(StreamLost &Lost) const {
  for (const auto &[Id, Frames] : this->QueuedFrameCounts)
    (Frames > 0 ? Lost.NotSent : Lost.Sent).push_back(Id);
}

} // namespace persimmon
