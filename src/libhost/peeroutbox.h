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
/// connection carries. Small messages are sent before parts of large bodies, so
/// that a large upload, such as a photo, does not delay them.
class PeerOutbox {
public:
  /// Queues \p Frame, the encoded form of \p Body.
  void push(std::string Frame, const Message &Body);

  /// Removes and returns the bytes to write next; empty if the queue is empty.
  /// Small frames are combined until they reach \p GatherBytes.
  std::string takeNext(std::size_t GatherBytes);

  /// Removes the queued frames of \p Id, which is decided or cancelled.
  void endAttempt(const wire::AttemptId &Id);

  /// Removes the attempts with queued frames and returns them.
  std::vector<wire::AttemptId> takeWaiting();

  /// Returns the size of the queued frames.
  std::size_t bytes() const { return this->Bytes; }
  bool empty() const { return this->Small.empty() && this->Bulk.empty(); }

  /// Adds the undecided attempts of this connection to \p Lost.
  void addTo(StreamLost &Lost) const;

private:
  struct Frame {
    std::string Bytes;
    /// The attempt if the frame is part of its request.
    std::optional<wire::AttemptId> Request;
  };

  void queue(std::deque<Frame> &Into, Frame Item);
  std::string take(std::deque<Frame> &From);
  void drop(std::deque<Frame> &From, const wire::AttemptId &Id);

  std::deque<Frame> Small;
  std::deque<Frame> Bulk;
  std::size_t Bytes = 0;
  /// Number of queued frames of each undecided attempt.
  std::map<wire::AttemptId, std::size_t> Waiting;
};

} // namespace persimmon
