#pragma once

#include "httpserver.h"

#include <asio/ip/tcp.hpp>
#include <http_parser.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace persimmon {

class HttpConnection;
using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/// The server that a connection belongs to.
class HttpConnectionOwner {
public:
  static constexpr std::size_t ReadBytes = 16u << 10;

  virtual ~HttpConnectionOwner() = default;
  virtual const HttpServerLimits &limits() const = 0;
  virtual std::size_t maxBodyBytes() const = 0;
  /// Returns a buffer that is free until the caller returns to the event loop.
  virtual std::array<char, ReadBytes> &readBuffer() = 0;
  virtual std::int64_t nextId() = 0;
  virtual void onRequest(HttpConnection &From, HttpRequest Request) = 0;
  virtual HttpResponse makeRefusal(const HttpRequest &Request,
                                   const Failure &Error) = 0;
  virtual void onResponseQueued() = 0;
  /// \p Count queued responses were written or given up.
  virtual void onResponsesGone(std::size_t Count) = 0;
  /// A request that was arriving was refused or its connection will be closed.
  virtual void onEnded(RequestEnd End, const std::string &Client,
                       std::size_t Bytes) = 0;
  /// The connection was closed. \p OpenIds are its requests without response.
  virtual void onClosed(HttpConnection &Connection,
                        const std::vector<std::int64_t> &OpenIds) = 0;
};

/// A connection of an HTTP client. It reads requests, up to MaxPipelined ahead
/// of their responses, and writes the responses in the order of the requests.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>,
                       private RequestMemory::Sender {
public:
  HttpConnection(asio::ip::tcp::socket TheSocket,
                 HttpConnectionOwner &TheOwner);
  ~HttpConnection() override;

  void start();
  void respond(std::int64_t Id, HttpResponse Response);
  /// Sends fewer body bytes than Content-Length states and closes.
  void respondTruncated(std::int64_t Id);

  /// Closes the connection if one of its time limits has passed. \p Full tells
  /// whether others wait for a connection.
  void checkTimes(Time Now, bool Full);

  /// Closes the connection without notifying the owner, which is being
  /// destroyed.
  void abandon();

private:
  /// The response to a request, in the order of the requests.
  struct Slot {
    std::int64_t Id = 0;
    bool KeepAlive = true;
    bool Ready = false;
    std::string Head;
    std::string Body;
  };

  /// The request that is arriving, as far as the parser has read it.
  struct Incoming {
    HttpRequest Request;
    std::string FieldName;
    std::size_t Fields = 0;
    bool LastWasValue = true;
    bool Begun = false;
    bool HeadersComplete = false;
    bool Complete = false;
    bool KeepAlive = true;
    std::size_t HeadBytes = 0;
    std::size_t BodyLimit = 0;
    std::size_t AnnouncedBytes = 0;
    std::shared_ptr<RequestMemory::Share> Held;
  };

  static http_parser_settings makeParserSettings();
  static HttpConnection &of(http_parser *Parser) {
    return *static_cast<HttpConnection *>(Parser->data);
  }

  void refuseForMemory() override;

  void read();
  void onReadable(std::error_code Error);
  /// Reads what has arrived. Returns whether there may be more.
  bool readSome();
  void consume(const char *Data, std::size_t Size);
  /// Parses one request at most. Returns the number of bytes used.
  std::size_t parse(const char *Data, std::size_t Size);
  /// Keeps input until a response has been written.
  void keepUnparsed(const char *Data, std::size_t Size);
  void resumeReading();
  bool maySendMore() const;
  void resetParser();
  int onMessageBegin();
  int onUrl(const char *Data, std::size_t Size);
  int onFieldName(const char *Data, std::size_t Size);
  int onFieldValue(const char *Data, std::size_t Size);
  int onHeadersComplete();
  int onBody(const char *Data, std::size_t Size);
  int onMessageComplete();
  /// Counts the memory of the arriving request, with \p BodyCapacity bytes for
  /// its body. Returns false if it has to be refused.
  bool hold(std::size_t BodyCapacity, Time Now);
  void dispatch();
  /// Answers the arriving request instead of its handler. The rest of the
  /// input is dropped.
  void refuse(RequestEnd End);
  void addResponse(Slot &To, HttpResponse Response);
  void write();
  void onWritten(std::error_code Error);
  /// Ends the output and waits for the client to end the input, so that it can
  /// read the last response.
  void linger();
  void setDeadline(milliseconds Limit);
  void giveUp(RequestEnd End);
  void dropInput();
  void close();
  std::string client() const;
  Slot *find(std::int64_t Id);

  asio::ip::tcp::socket Socket;
  HttpConnectionOwner *Owner;
  http_parser Parser{};
  Incoming Arriving;
  /// What has been read but not parsed, since too many requests are open.
  std::string Unparsed;
  std::shared_ptr<RequestMemory::Share> UnparsedHeld;
  std::deque<Slot> Slots;
  bool Reading = false;
  bool Writing = false;
  /// The last response has been queued; no request is read any more.
  bool LastQueued = false;
  /// The rest of the input is dropped.
  bool Discarding = false;
  bool Lingering = false;
  bool Closed = false;
  std::size_t DiscardedBytes = 0;
  /// Limit for waiting, for the handler and for writing.
  Time Deadline = NoDeadline;
  /// Limit for the progress of the request that is arriving.
  Time ProgressDeadline = NoDeadline;
  Time IdleSince = NoDeadline;
};

} // namespace persimmon
