#include "targetconnection.h"

#include "daemonsettings.h"
#include "httpserver.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <poll.h>
#include <utility>

namespace persimmon {

namespace {

/// The target is on the same instance, so a connection opens immediately or not
/// at all.
constexpr milliseconds ConnectTimeout{250};
/// Assumed if the target sends no timeout. Targets usually close idle
/// connections after a few seconds.
constexpr milliseconds DefaultIdleTimeout{5'000};
/// Tenths of the target's idle timeout during which a connection is reused.
constexpr int ReusableIdleTenths = 7;

bool requiresContentLength(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

/// Returns the request without its body.
std::string serializeHead(const TargetRequest &Request) {
  std::string Out = Request.Method + " " + Request.Url + " HTTP/1.1\r\n";
  std::size_t HeaderBytes = 64;
  for (const wire::Header &Item : Request.Headers)
    HeaderBytes += Item.Name.size() + Item.Value.size() + 4;
  Out.reserve(Out.size() + HeaderBytes);
  for (const wire::Header &Item : Request.Headers)
    Out += Item.Name + ": " + Item.Value + "\r\n";
  if (!Request.Body.empty() || requiresContentLength(Request.Method))
    Out += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  Out += "\r\n";
  return Out;
}

/// Parses the timeout parameter of a Keep-Alive header, in whole seconds.
milliseconds idleTimeoutOf(std::string_view KeepAlive) {
  constexpr std::string_view Key = "timeout=";
  const std::size_t KeyPosition = KeepAlive.find(Key);
  int Seconds = 0;
  if (KeyPosition != std::string_view::npos)
    std::from_chars(KeepAlive.data() + KeyPosition + Key.size(),
                    KeepAlive.data() + KeepAlive.size(), Seconds);
  return Seconds > 0 ? milliseconds(Seconds * 1000) : DefaultIdleTimeout;
}

} // namespace

std::string_view TargetResponse::header(std::string_view Name) const {
  const auto Found = std::find_if(
      this->Headers.begin(), this->Headers.end(),
      [&](const wire::Header &H) { return sameHeaderName(H.Name, Name); });
  return Found == this->Headers.end() ? std::string_view()
                                      : std::string_view(Found->Value);
}

TargetConnection::TargetConnection(asio::io_context &Io,
                                   TargetConnectionOwner &TheOwner)
    : Socket(Io), Timer(Io), Owner(&TheOwner) {}

bool TargetConnection::usable(Time Now) const {
  return !this->Closed && Now < this->ReusableUntil;
}

void TargetConnection::run(TargetRequest Request,
                           TargetClient::ResponseHandler Handler) {
  this->Address = Request.Address;
  this->RequestHead = serializeHead(Request);
  this->RequestBody = std::move(Request.Body);
  this->Deadline = Request.Deadline;
  this->ResponseMatches = Request.ResponseMatches;
  this->WhenDone = std::move(Handler);
  this->SendStarted = false;
  this->RequestWritten = false;
  this->WriteFailed = false;
  this->Requests += 1;
  this->Reader.begin(Request.Method);
  if (this->Connected)
    return this->send();
  this->connect();
}

void TargetConnection::startTimer(Time Until) {
  this->CloseAt = Until;
  if (Until == NoDeadline) {
    this->Timer.cancel();
    return;
  }
  this->Timer.expires_at(Until);
  this->Timer.async_wait(
      [Self = this->shared_from_this()](std::error_code Error) {
        // The handler of an earlier request may still run if its wait had
        // completed just before it was cancelled.
        if (!Error && Self->busy() &&
            std::chrono::steady_clock::now() >= Self->CloseAt)
          Self->close();
      });
}

void TargetConnection::connect() {
  asio::ip::tcp::endpoint Peer;
  const Failure ParseError =
      handleResult([&] { return Endpoint::parse(this->Address, "target"); },
                   [&](const Endpoint &Parsed) {
                     Peer = {asio::ip::make_address(Parsed.Ip), Parsed.Port};
                   });
  if (ParseError.failed())
    return this->close();
  this->startTimer(std::min(this->Deadline,
                            std::chrono::steady_clock::now() + ConnectTimeout));
  this->Socket.async_connect(
      Peer, [Self = this->shared_from_this()](std::error_code Error) {
        if (Self->Closed)
          return;
        if (Error)
          return Self->closeAs(Error == asio::error::connection_refused
                                   ? RunEnd::NotConnected
                                   : RunEnd::NotSent);
        Self->Connected = true;
        std::error_code Ignored;
        Self->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
        Self->read();
        Self->send();
      });
}

void TargetConnection::send() {
  this->SendStarted = true;
  this->startTimer(this->Deadline);
  const std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(this->RequestHead), asio::buffer(this->RequestBody)};
  asio::async_write(
      this->Socket, Buffers,
      [Self = this->shared_from_this()](std::error_code Error, std::size_t) {
        if (Self->Closed)
          return;
        // The read returns what the target sent before the connection ended,
        // and then its end. If this write took the socket's error, the read
        // reports an ordinary end of stream.
        Self->RequestWritten = !Error;
        // Up to 34 MB, which an idle connection would keep.
        if (!Error)
          Self->RequestBody = std::string();
        Self->WriteFailed = static_cast<bool>(Error);
      });
}

void TargetConnection::read() {
  this->Socket.async_read_some(asio::buffer(this->Buffer),
                               [Self = this->shared_from_this()](
                                   std::error_code Error, std::size_t Size) {
                                 if (!Self->Closed)
                                   Self->onRead(Error, Size);
                               });
}

void TargetConnection::onRead(std::error_code Error, std::size_t Size) {
  if (Error) {
    // A response without a length ends with its connection, but it is
    // incomplete if the connection was reset.
    if (Error == asio::error::eof && this->busy() && !this->brokenOff() &&
        this->Reader.endOfStream() == ResponseReader::State::Complete) {
      this->Reusable = false;
      return this->onResponseComplete();
    }
    return this->close();
  }
  if (!this->busy())
    return this->close(); // Unexpected data.
  this->Reader.add({this->Buffer.data(), Size});
  if (!this->parseResponses())
    return;
  if (this->busy())
    this->setHeldBytes(this->Reader.heldBytes());
  if (!this->Closed)
    this->read();
}

bool TargetConnection::brokenOff() {
  // The handler of a write that took the socket's error may still be waiting.
  // After an end of stream alone the socket can still send, so it is not hung
  // up.
  pollfd Item{this->Socket.native_handle(), 0, 0};
  return this->WriteFailed || ::poll(&Item, 1, 0) < 0 ||
         (Item.revents & (POLLHUP | POLLERR)) != 0;
}

bool TargetConnection::parseResponses() {
  while (this->busy() && this->Reader.hasMore()) {
    const ResponseReader::State State = this->Reader.read();
    if (State == ResponseReader::State::NeedsMore)
      return true;
    if (State == ResponseReader::State::Invalid) {
      this->close();
      return false;
    }
    this->onResponseComplete();
  }
  if (!this->Closed && this->Reader.hasMore())
    this->close(); // There is data after the response.
  return !this->Closed;
}

void TargetConnection::setHeldBytes(std::size_t Bytes) {
  const std::size_t Before = std::exchange(this->HeldBytes, Bytes);
  if (this->Owner != nullptr)
    this->Owner->onHeldBytesChanged(*this, Before);
}

void TargetConnection::onResponseComplete() {
  const bool KeepAlive = this->Reader.keepAlive();
  TargetResponse Response = this->Reader.take();
  Response.OnUsedConnection = this->Requests > 1;
  this->setHeldBytes(0);
  this->Reusable = this->Reusable && KeepAlive;
  if (this->ResponseMatches && !this->ResponseMatches(Response)) {
    // This is the response to an earlier request. The expected one may follow,
    // but nothing after it can be trusted on this connection.
    this->Reusable = false;
    if (!KeepAlive || !this->Reader.skipMismatched())
      this->close();
    return;
  }
  const milliseconds IdleTimeout = idleTimeoutOf(Response.header("Keep-Alive"));
  this->ReusableUntil =
      std::chrono::steady_clock::now() + IdleTimeout * ReusableIdleTenths / 10;
  // A target that responds early may still be reading the rest of the request.
  // It would take another request for a part of that one.
  const bool KeepOpen =
      this->Reusable && this->RequestWritten && !this->Reader.hasMore();
  this->Timer.cancel();
  TargetClient::ResponseHandler Handler = std::move(this->WhenDone);
  this->WhenDone = nullptr;
  if (KeepOpen)
    this->Owner->onIdle(*this);
  else
    this->close();
  Handler(std::move(Response));
}

void TargetConnection::close() {
  this->closeAs(this->SendStarted ? RunEnd::Broken : RunEnd::NotSent);
}

void TargetConnection::closeAs(RunEnd End) {
  if (this->Closed)
    return;
  const auto Self = this->shared_from_this();
  this->Closed = true;
  this->Timer.cancel();
  std::error_code Ignored;
  this->Socket.close(Ignored);
  this->setHeldBytes(0);
  if (this->Owner != nullptr)
    this->Owner->onClosed(*this);
  if (!this->busy())
    return;
  TargetResponse Response;
  Response.End = End;
  asio::post(this->Socket.get_executor(),
             [Handler = std::exchange(this->WhenDone, nullptr),
              Response = std::move(Response)] { Handler(Response); });
}

void TargetConnection::abandon() {
  this->Owner = nullptr;
  this->WhenDone = nullptr;
  this->close();
}

} // namespace persimmon
