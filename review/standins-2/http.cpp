#include "http.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

namespace review {

namespace {

constexpr int ListenQueue = 256;
constexpr std::size_t ReadBytes = 65536;

sockaddr_in endpointOf(const std::string &Ip, int Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Out.sin_addr);
  return Out;
}

int millisecondsLeft(Time Deadline) {
  const auto Left =
      std::chrono::duration_cast<milliseconds>(Deadline - Clock::now());
  return static_cast<int>(std::max<long long>(0, Left.count()));
}

bool sameName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         ::strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

HttpMessage parseHead(std::string_view Head) {
  HttpMessage Out;
  std::size_t LineEnd = Head.find("\r\n");
  Out.StartLine = std::string(Head.substr(0, LineEnd));
  while (LineEnd != std::string_view::npos) {
    Head.remove_prefix(LineEnd + 2);
    LineEnd = Head.find("\r\n");
    const std::string_view Line = Head.substr(0, LineEnd);
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos)
      continue;
    std::string_view Value = Line.substr(Colon + 1);
    while (!Value.empty() && Value.front() == ' ')
      Value.remove_prefix(1);
    Out.Headers.push_back(
        {std::string(Line.substr(0, Colon)), std::string(Value)});
  }
  return Out;
}

} // namespace

Socket &Socket::operator=(Socket &&Other) noexcept {
  std::swap(this->Descriptor, Other.Descriptor);
  return *this;
}

void Socket::close() {
  if (this->Descriptor >= 0)
    ::close(this->Descriptor);
  this->Descriptor = -1;
}

void Socket::shutDown() const { ::shutdown(this->Descriptor, SHUT_RDWR); }

Socket Socket::connectTo(const std::string &Ip, int Port, Time Deadline) {
  Socket Out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in Peer = endpointOf(Ip, Port);
  const int Result = ::connect(
      Out.Descriptor, reinterpret_cast<const sockaddr *>(&Peer), sizeof(Peer));
  if (Result != 0 && errno != EINPROGRESS)
    return Socket();
  pollfd Item{Out.Descriptor, POLLOUT, 0};
  int Error = 0;
  socklen_t Size = sizeof(Error);
  if (::poll(&Item, 1, millisecondsLeft(Deadline)) != 1 ||
      ::getsockopt(Out.Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
      Error != 0)
    return Socket();
  return Out;
}

Socket Socket::listenOn(const std::string &Ip, int Port) {
  Socket Out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int Reuse = 1;
  ::setsockopt(Out.Descriptor, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof(Reuse));
  const sockaddr_in Own = endpointOf(Ip, Port);
  if (::bind(Out.Descriptor, reinterpret_cast<const sockaddr *>(&Own),
             sizeof(Own)) != 0 ||
      ::listen(Out.Descriptor, ListenQueue) != 0)
    return Socket();
  return Out;
}

Socket Socket::accept() const {
  return Socket(::accept4(this->Descriptor, nullptr, nullptr,
                          SOCK_CLOEXEC | SOCK_NONBLOCK));
}

bool Socket::sendAll(std::string_view Bytes) const {
  constexpr int StalledMs = 10'000;
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(this->Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent > 0) {
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
      continue;
    }
    if (errno != EAGAIN && errno != EINTR)
      return false;
    pollfd Item{this->Descriptor, POLLOUT, 0};
    if (::poll(&Item, 1, StalledMs) == 0)
      return false;
  }
  return true;
}

std::string HttpMessage::header(std::string_view Name) const {
  for (const Header &Item : this->Headers) {
    if (sameName(Item.Name, Name))
      return Item.Value;
  }
  return {};
}

std::string HttpMessage::word(std::size_t Index) const {
  std::string_view Rest = this->StartLine;
  for (; Index > 0; --Index) {
    const std::size_t Space = Rest.find(' ');
    Rest = Space == std::string_view::npos ? std::string_view()
                                           : Rest.substr(Space + 1);
  }
  return std::string(Rest.substr(0, Rest.find(' ')));
}

ReadResult HttpReader::readMore(Time Deadline) {
  pollfd Item{this->Source.descriptor(), POLLIN, 0};
  if (::poll(&Item, 1, millisecondsLeft(Deadline)) <= 0)
    return ReadResult::TimedOut;
  std::string Buffer(ReadBytes, '\0');
  const ssize_t Size =
      ::recv(this->Source.descriptor(), Buffer.data(), Buffer.size(), 0);
  if (Size < 0 && (errno == EAGAIN || errno == EINTR))
    return ReadResult::Complete;
  if (Size <= 0)
    return ReadResult::Closed;
  this->Unparsed.append(Buffer, 0, static_cast<std::size_t>(Size));
  return ReadResult::Complete;
}

ReadResult HttpReader::read(HttpMessage &Out, Time Deadline) {
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  std::size_t End = 0;
  while ((End = this->Unparsed.find(HeadEnd)) == std::string::npos) {
    const ReadResult Result = this->readMore(Deadline);
    if (Result != ReadResult::Complete)
      return Result;
  }
  Out = parseHead(std::string_view(this->Unparsed).substr(0, End));
  this->Unparsed.erase(0, End + HeadEnd.size());
  const std::string Length = Out.header("Content-Length");
  const std::size_t Size = std::strtoul(Length.c_str(), nullptr, 10);
  while (this->Unparsed.size() < Size) {
    const ReadResult Result = this->readMore(Deadline);
    if (Result != ReadResult::Complete)
      return Result;
  }
  Out.Body = this->Unparsed.substr(0, Size);
  this->Unparsed.erase(0, Size);
  return ReadResult::Complete;
}

std::string serialize(const std::string &Ip, const HttpRequest &Request) {
  std::string Out = Request.Method + " " + Request.Path + " HTTP/1.1\r\n";
  bool HasHost = false;
  for (const Header &Item : Request.Headers) {
    Out += Item.Name + ": " + Item.Value + "\r\n";
    HasHost = HasHost || sameName(Item.Name, "Host");
  }
  if (!HasHost)
    Out += "Host: " + Ip + "\r\n";
  if (!Request.Body.empty() || Request.Method != "GET")
    Out += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  return Out + "\r\n" + Request.Body;
}

HttpAnswer send(const std::string &Ip, int Port, const HttpRequest &Request,
                milliseconds Timeout) {
  HttpAnswer Out;
  const Time Deadline = Clock::now() + Timeout;
  const Socket Connection = Socket::connectTo(Ip, Port, Deadline);
  // A failed write can leave an answer to read.
  if (Connection.valid())
    Connection.sendAll(serialize(Ip, Request));
  HttpReader Reader(Connection);
  const ReadResult Result = Connection.valid()
                                ? Reader.read(Out.Message, Deadline)
                                : ReadResult::Closed;
  Out.Closed = Result == ReadResult::Closed;
  if (Result == ReadResult::Complete)
    Out.Status = std::atoi(Out.Message.word(1).c_str());
  return Out;
}

} // namespace review
