#include "crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmon {

namespace {

using Clock = std::chrono::steady_clock;

/// A server that takes nothing for this time is not waited for.
constexpr std::chrono::seconds StandstillLimit{5};
constexpr int PollMs = 100;
/// A server that has not answered by then counts as hanging.
constexpr int AnswerSeconds = 20;

/// Returns the status of an answer, or 0 if \p Answer does not begin as one.
int statusOf(std::string_view Answer) {
  constexpr std::string_view StatusLine = "HTTP/1.1 ";
  if (!Answer.starts_with(StatusLine))
    return 0;
  return std::atoi(std::string(Answer.substr(StatusLine.size())).c_str());
}

int connectTo(const std::string &Ip, std::uint16_t Port,
              int ReceiveBufferBytes = 0) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBufferBytes > 0)
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                 sizeof ReceiveBufferBytes);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

/// Returns the contiguous bytes of \p Stream that begin at \p Offset.
std::string_view bytesAt(const HostileStream &Stream, std::size_t Offset) {
  if (Offset < Stream.Head.size())
    return std::string_view(Stream.Head).substr(Offset);
  Offset -= Stream.Head.size();
  if (Offset < Stream.Unit.size() * Stream.Count)
    return std::string_view(Stream.Unit).substr(Offset % Stream.Unit.size());
  return std::string_view(Stream.Tail)
      .substr(Offset - Stream.Unit.size() * Stream.Count);
}

} // namespace

Crowd::~Crowd() {
  for (Member &Item : this->Members)
    close(Item);
}

void Crowd::close(Member &Item) {
  if (Item.Socket >= 0)
    ::close(Item.Socket);
  Item.Socket = -1;
}

bool Crowd::add(const std::string &Ip, std::uint16_t Port,
                const HostileStream &Stream) {
  Member Item;
  Item.Stream = Stream;
  Item.Socket = connectTo(Ip, Port, Stream.ReceiveBufferBytes);
  if (Item.Socket < 0)
    return false;
  ::fcntl(Item.Socket, F_SETFL, O_NONBLOCK);
  this->Members.push_back(std::move(Item));
  return true;
}

std::size_t Crowd::sendPiece(Member &Item) {
  std::size_t Total = 0;
  while (Total < Item.Stream.PieceBytes && Item.Sent < Item.Stream.size()) {
    std::string_view Bytes = bytesAt(Item.Stream, Item.Sent);
    Bytes = Bytes.substr(0, Item.Stream.PieceBytes - Total);
    const ssize_t Taken =
        ::send(Item.Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Taken < 0) {
      if (errno != EAGAIN && errno != EINTR)
        close(Item);
      break;
    }
    Item.Sent += static_cast<std::size_t>(Taken);
    Total += static_cast<std::size_t>(Taken);
  }
  return Total;
}

void Crowd::receive(Member &Item) {
  std::array<char, 65536> Buffer{};
  const ssize_t Got =
      ::recv(Item.Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  if (Got == 0 || (Got < 0 && errno != EAGAIN && errno != EINTR))
    close(Item);
}

void Crowd::send() {
  Clock::time_point LastProgress = Clock::now();
  while (Clock::now() - LastProgress < StandstillLimit) {
    std::vector<pollfd> Polled;
    std::vector<Member *> Owners;
    bool Sending = false;
    for (Member &Item : this->Members) {
      if (Item.Socket < 0)
        continue;
      const bool Unsent = Item.Sent < Item.Stream.size();
      Sending = Sending || Unsent;
      const auto Events = static_cast<short>(
          (Item.Stream.ReadsAnswers ? POLLIN : 0) | (Unsent ? POLLOUT : 0));
      Polled.push_back({Item.Socket, Events, 0});
      Owners.push_back(&Item);
    }
    if (!Sending)
      return;
    ::poll(Polled.data(), Polled.size(), PollMs);
    for (std::size_t I = 0; I < Polled.size(); ++I) {
      Member &Item = *Owners[I];
      if (Item.Stream.ReadsAnswers &&
          (Polled[I].revents & (POLLIN | POLLERR | POLLHUP)) != 0)
        receive(Item);
      if (Item.Socket >= 0 && (Polled[I].revents & POLLOUT) != 0 &&
          sendPiece(Item) > 0)
        LastProgress = Clock::now();
    }
  }
}

int Crowd::awaitLastAnswer() const {
  const int Socket = this->Members.back().Socket;
  pollfd Polled{Socket, POLLIN, 0};
  constexpr int MsPerSecond = 1000;
  if (::poll(&Polled, 1, AnswerSeconds * MsPerSecond) <= 0)
    return 0;
  std::array<char, 32> Begin{};
  const ssize_t Got = ::recv(Socket, Begin.data(), Begin.size(), MSG_PEEK);
  if (Got <= 0)
    return 0;
  return statusOf({Begin.data(), static_cast<std::size_t>(Got)});
}

std::size_t Crowd::closed() const {
  return static_cast<std::size_t>(
      std::count_if(this->Members.begin(), this->Members.end(),
                    [](const Member &Item) { return Item.Socket < 0; }));
}

std::size_t Crowd::sentBytes() const {
  std::size_t Total = 0;
  for (const Member &Item : this->Members)
    Total += Item.Sent;
  return Total;
}

OrdinaryAnswer ask(const std::string &Ip, std::uint16_t Port,
                   const std::string &Request) {
  OrdinaryAnswer Out;
  const int Socket = connectTo(Ip, Port);
  if (Socket < 0)
    return Out;
  const timeval Limit{AnswerSeconds, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  std::string Answer;
  if (::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(Request.size())) {
    std::array<char, 4096> Buffer{};
    while (Answer.find("\r\n\r\n") == std::string::npos) {
      const ssize_t Got = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
      if (Got <= 0)
        break;
      Answer.append(Buffer.data(), static_cast<std::size_t>(Got));
    }
  }
  ::close(Socket);
  if (Answer.find("\r\n\r\n") == std::string::npos)
    return Out;
  Out.Status = statusOf(Answer);
  constexpr std::string_view RetryName = "\r\nRetry-After: ";
  const std::size_t Retry = Answer.find(RetryName);
  if (Retry != std::string::npos)
    Out.RetryAfterSeconds =
        std::atof(Answer.c_str() + Retry + RetryName.size());
  return Out;
}

} // namespace persimmon
