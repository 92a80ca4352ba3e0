#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmon {

/// What one connection of a crowd sends: Head, then Unit Count times, then
/// Tail.
struct HostileStream {
  std::string Head;
  std::string Unit;
  std::size_t Count = 0;
  std::string Tail;
  /// Bytes that are sent before the next connection has its turn.
  std::size_t PieceBytes = 256u << 10;
  bool ReadsAnswers = true;
  /// Bytes that the kernel may keep for the client; 0 for the default.
  int ReceiveBufferBytes = 0;

  std::size_t size() const {
    return this->Head.size() + this->Unit.size() * this->Count +
           this->Tail.size();
  }
};

/// A crowd of connections that send at the same time from one thread and read
/// what comes back. Connections stay open until the crowd is destroyed.
class Crowd {
public:
  Crowd() = default;
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Adds a connection to \p Ip and \p Port that will send \p Stream. Returns
  /// whether it could be opened.
  bool add(const std::string &Ip, std::uint16_t Port,
           const HostileStream &Stream);

  /// Sends until each connection has sent all of its stream or was closed by
  /// the server, or until the server has taken nothing for some seconds.
  void send();

  /// Waits until an answer begins on the last connection, without reading it.
  /// Returns its status, or 0 if none came.
  int awaitLastAnswer() const;

  std::size_t size() const { return this->Members.size(); }
  /// Connections that the server has closed.
  std::size_t closed() const;
  std::size_t sentBytes() const;

private:
  struct Member {
    HostileStream Stream;
    std::size_t Sent = 0;
    int Socket = -1;
  };

  static std::size_t sendPiece(Member &Item);
  static void receive(Member &Item);
  static void close(Member &Item);

  std::vector<Member> Members;
};

/// The status and the Retry-After header of an answer.
struct OrdinaryAnswer {
  /// 0 if no complete head of an answer came.
  int Status = 0;
  double RetryAfterSeconds = 0;
};

/// Sends a request on a new connection and reads the head of the answer.
OrdinaryAnswer ask(const std::string &Ip, std::uint16_t Port,
                   const std::string &Request);

} // namespace persimmon
