#pragma once

#include "libpersimmon/libpersimmon.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string_view>

namespace persimmon {

/// Why a server refused a request before it was complete, or closed a
/// connection.
enum class RequestEnd {
  /// The body is larger than the port accepts.
  BodyTooLarge,
  /// The bodies of all requests take the memory that they may use.
  NoMemory,
  /// The headers did not arrive in time.
  HeadersLate,
  /// The body made no progress.
  BodyLate,
  /// The connection was idle while others waited for one.
  Idle,
};

constexpr std::size_t RequestEndCount = 5;

std::string_view nameOf(RequestEnd End);

/// Bounds the memory of the requests that HTTP clients send, from their first
/// byte until their calls have ended. All ports of a process share it. The
/// largest request is not counted, so that a single one is served however large
/// it is. Requests of more than SmallRequestBytes have a share of their own, so
/// that small ones find room beside them.
class RequestMemory : public std::enable_shared_from_this<RequestMemory> {
public:
  /// Requests up to this size may use what is kept for small ones.
  static constexpr std::size_t SmallRequestBytes = 64u << 10;

  struct Limits {
    /// For all requests of more than SmallRequestBytes, except for the largest.
    std::size_t LargeBytes = 0;
    /// For all requests, except for the largest.
    std::size_t AllBytes = 0;
  };

  /// The sender of a request that is still arriving.
  class Sender {
  public:
    virtual ~Sender() = default;

    /// Refuses the request, since others need its memory. It must release its
    /// share.
    virtual void refuseForMemory() = 0;
  };

  /// The memory of one request. It is released with the object.
  class Share {
  public:
    Share(std::shared_ptr<RequestMemory> TheMemory, Sender &TheSender,
          Time Now);
    ~Share();
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Sets the memory of the request. \p ReceivedBytes, the bytes that have
    /// arrived, tell whether it makes progress. Refuses slow or larger requests
    /// if there is no room. Returns false, with the memory as before, if there
    /// is none still; the request must be refused.
    bool resize(std::size_t HeldBytes, std::size_t ReceivedBytes, Time Now);

    /// The request has arrived and is not refused for others any more.
    void setArrived() { this->Arriving = nullptr; }

    std::size_t bytes() const { return this->Bytes; }

  private:
    friend class RequestMemory;

    bool slow(Time Now) const;

    std::shared_ptr<RequestMemory> Memory;
    /// Null once the request has arrived.
    Sender *Arriving;
    std::size_t Bytes = 0;
    std::size_t ReceivedAtMark = 0;
    Time MarkedAt;
    std::list<Share *>::iterator Position;
  };

  static std::shared_ptr<RequestMemory> make(const Limits &Bounds);

  /// Counts a refused request or closed connection. Returns how many log lines
  /// were left out since the last one, or nothing if this one is to be left
  /// out.
  std::optional<std::uint64_t> count(RequestEnd End, Time Now);

  std::uint64_t counted(RequestEnd End) const {
    return this->Ends[static_cast<std::size_t>(End)];
  }
  /// Returns the memory of all requests.
  std::size_t bytes() const { return this->AllBytes; }
  /// Returns the memory of the requests that are still arriving.
  std::size_t arrivingBytes() const;

private:
  explicit RequestMemory(const Limits &TheBounds) : Bounds(TheBounds) {}

  static bool isLarge(std::size_t Bytes) { return Bytes > SmallRequestBytes; }
  void setBytes(Share &Item, std::size_t Bytes);
  Share *largest() const;
  /// Returns the arriving request to refuse, or null if none has to be refused.
  /// \p Fits tells which of them.
  Share *choose(const Share *Largest, Time Now, bool LargeOnly) const;

  Limits Bounds;
  std::size_t AllBytes = 0;
  std::size_t LargeBytes = 0;
  std::list<Share *> Shares;
  std::array<std::uint64_t, RequestEndCount> Ends{};
  std::uint64_t LinesLeftOut = 0;
  Time NextLineAt;
};

} // namespace persimmon
