#pragma once

#include "libpersimmon/libpersimmon.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon {

/// The send queue of a connection to a peer, with the attempts that the
/// connection carries. Small messages are sent before parts of large
/// bodies, so that a large upload, such as a photo, does not delay them.
class PeerOutbox {
public:
  /// Queues \p Frame, the encoded form of \p Body.
  void push(std::string Frame, const Message &Body);

  /// Removes and returns the bytes to write next; empty if the queue is empty.
  /// Small frames are combined until they reach \p BatchBytes.
  std::string takeNext(std::size_t BatchBytes);

  /// Removes the queued frames of \p Id, which is decided or cancelled.
  void endAttempt(const wire::AttemptId &Id);

  /// Removes the attempts with queued frames and returns them.
  std::vector<wire::AttemptId> removeUnsentAttempts();

  /// Returns the size of the queued frames.
  std::size_t queuedBytes() const { return this->QueuedBytes; }
  bool empty() const {
    return this->SmallFrames.empty() && this->BulkFrames.empty();
  }

  /// Adds the undecided attempts of this connection to \p Lost.
  void addUndecidedTo(StreamLost &Lost) const;

private:
  struct Frame {
    std::string Bytes;
    /// The attempt if the frame is part of its request.
    std::optional<wire::AttemptId> RequestId;
  };

  void pushFrame(std::deque<Frame> &Queue, Frame Item);
  std::string popFrame(std::deque<Frame> &Queue);
  void removeFrames(std::deque<Frame> &Queue, const wire::AttemptId &Id);

  std::deque<Frame> SmallFrames;
  std::deque<Frame> BulkFrames;
  std::size_t QueuedBytes = 0;
  /// Number of queued frames of each undecided attempt.
  std::map<wire::AttemptId, std::size_t> QueuedFrameCounts;
};

} // namespace persimmon
