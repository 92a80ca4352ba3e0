#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

/// A TCP socket that is closed with its owner.
class Socket {
public:
  explicit Socket(int TheDescriptor = -1) : Descriptor(TheDescriptor) {}
  Socket(Socket &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  Socket &operator=(Socket &&Other) noexcept;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket() { this->close(); }

  /// Connects to a loopback address. Returns an invalid socket on failure.
  static Socket connectTo(const std::string &Ip, int Port, Time Deadline);
  /// Listens on a loopback address. Returns an invalid socket on failure.
  static Socket listenOn(const std::string &Ip, int Port);

  bool valid() const { return this->Descriptor >= 0; }
  int descriptor() const { return this->Descriptor; }
  void close();
  /// Ends both directions, which wakes a thread that reads.
  void shutDown() const;
  /// Accepts a connection. Returns an invalid socket once shut down.
  Socket accept() const;
  bool sendAll(std::string_view Bytes) const;

private:
  int Descriptor;
};

struct Header {
  std::string Name;
  std::string Value;
};

/// A request or a response with a body of known length.
struct HttpMessage {
  std::string StartLine;
  std::vector<Header> Headers;
  std::string Body;

  /// Returns the value of a header, or an empty string.
  std::string header(std::string_view Name) const;
  /// Returns the word of the start line at \p Index.
  std::string word(std::size_t Index) const;
};

enum class ReadResult { Complete, Closed, TimedOut };

/// Reads messages from a connection, one after the other.
class HttpReader {
public:
  explicit HttpReader(const Socket &From) : Source(From) {}
  ReadResult read(HttpMessage &Out, Time Deadline);

private:
  ReadResult readMore(Time Deadline);

  const Socket &Source;
  std::string Unparsed;
};

struct HttpAnswer {
  /// 0 if there was no complete answer.
  int Status = 0;
  /// Whether the connection ended before the answer was complete.
  bool Closed = false;
  HttpMessage Message;
};

struct HttpRequest {
  std::string Method = "GET";
  std::string Path;
  std::vector<Header> Headers;
  std::string Body;
};

/// Returns the bytes of a request.
std::string serialize(const std::string &Ip, const HttpRequest &Request);

/// Sends a request on a new connection and waits for its answer.
HttpAnswer send(const std::string &Ip, int Port, const HttpRequest &Request,
                milliseconds Timeout);

} // namespace review
