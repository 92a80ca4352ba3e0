#pragma once

#include "libpersimmon/libpersimmon.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon {

/// What one connection to a peer has still to write, and which attempts it
/// carries. Small messages go before parts of large bodies, so that a photo
/// does not hold up the rest.
class PeerOutbox {
public:
  /// Queues the frame of \p Body.
  void push(std::string Frame, const Message &Body);

  /// Takes the bytes to write next, empty if nothing waits. Several small
  /// frames are gathered up to \p GatherBytes.
  std::string takeNext(std::size_t GatherBytes);

  /// Notes that \p Id is decided or given up: what waits of it is dropped.
  void endAttempt(const wire::AttemptId &Id);

  /// Gives up the attempts of which a part waits, and returns them.
  std::vector<wire::AttemptId> takeWaiting();

  /// Returns the bytes that wait.
  std::size_t bytes() const { return this->Bytes; }
  bool empty() const { return this->Small.empty() && this->Bulk.empty(); }

  /// Adds the attempts that this connection carries to \p Lost.
  void addTo(StreamLost &Lost) const;

private:
  struct Frame {
    std::string Bytes;
    /// The attempt whose request this is a part of.
    std::optional<wire::AttemptId> Request;
  };

  void queue(std::deque<Frame> &Into, Frame Item);
  std::string take(std::deque<Frame> &From);
  void drop(std::deque<Frame> &From, const wire::AttemptId &Id);

  std::deque<Frame> Small;
  std::deque<Frame> Bulk;
  std::size_t Bytes = 0;
  /// Frames of each undecided attempt that wait.
  std::map<wire::AttemptId, std::size_t> Waiting;
};

} // namespace persimmon
