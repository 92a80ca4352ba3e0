#pragma once

#include "libwire/libwire.h"

#include "time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace persimmon {

/// Owns the outgoing direction of this daemon's network link: releases the
/// bodies of answers part by part at the rate of the link, and estimates when a
/// further answer would have left. Only a few tens of milliseconds of the link
/// are handed to the network at a time, so that short answers, nested calls,
/// configuration and cancellations are not queued behind bodies.
///
/// Answers that still have their full value for the caller go first, the one
/// whose value ends first at their head. Late answers follow.
///
/// Load pattern: long answers at or above the rate of the link, beside short
/// answers to nested calls.
class OutgoingLink {
public:
  /// A part of an answer's body that may be sent now.
  struct Part {
    wire::AttemptId Id;
    std::int64_t Begin = 0;
    std::int64_t End = 0;
    /// When the answer was ready to be sent.
    Time QueuedAt;
    bool Last = false;
  };

  /// Sets the rate of the local link in Mbit/s; 0 if unknown, in which case
  /// bodies are released at once.
  void setRate(double MegabitsPerSecond);

  /// Queues the body of an answer of \p Size bytes, whose full value for the
  /// caller ends at \p UsefulUntil. Replaces an earlier entry of \p Id.
  void add(const wire::AttemptId &Id, std::int64_t Size, Time UsefulUntil,
           Time Now);

  /// Removes the unsent rest of an answer, if any.
  void remove(const wire::AttemptId &Id);

  /// Returns whether a part of the answer has not been released yet.
  bool contains(const wire::AttemptId &Id) const {
    return this->Answers.count(Id) != 0;
  }

  /// Counts bytes on the link that were not queued here.
  void charge(std::int64_t Bytes, Time Now);

  /// Announces an answer of about \p Bytes by a call that was admitted.
  void reserve(std::int64_t Bytes) { this->ReservedBytes += Bytes; }
  /// Withdraws an announcement of reserve().
  void release(std::int64_t Bytes) { this->ReservedBytes -= Bytes; }

  /// Returns the parts that may be sent now.
  std::vector<Part> takeParts(Time Now);

  /// Returns when an answer of \p Bytes would have left if its call was
  /// admitted now and the answer was ready at \p ReadyAt.
  Time completionTime(std::int64_t Bytes, Time ReadyAt, Time Now) const;

  /// Returns the time that the link needs for everything that waits or is
  /// reserved.
  milliseconds backlog(Time Now) const;

  /// Returns the total number of bytes that were removed before they were sent.
  std::int64_t droppedBytes() const { return this->DroppedBytes; }

private:
  struct Answer {
    std::int64_t Size = 0;
    std::int64_t Sent = 0;
    Time UsefulUntil;
    Time QueuedAt;
  };
  using AnswerMap = std::map<wire::AttemptId, Answer>;

  AnswerMap::iterator next(Time Now);
  Time::duration timeFor(std::int64_t Bytes) const;

  /// Rate available to bodies, in bytes per millisecond; 0 for no limit.
  double Rate = 0;
  AnswerMap Answers;
  std::int64_t UnsentBytes = 0;
  std::int64_t ReservedBytes = 0;
  std::int64_t DroppedBytes = 0;
  /// When the link will have carried everything that was handed over.
  Time BusyUntil;
};

} // namespace persimmon
