#include "targetconnection.h"

#include "daemonsettings.h"
#include "httpserver.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace persimmon {

namespace {

/// The target is on the same instance: a connection opens at once or not.
constexpr milliseconds ConnectTimeout{250};
/// Targets close idle connections after some seconds, if they name no timeout.
constexpr milliseconds UsualIdleTimeout{5'000};
/// Part of a target's idle timeout during which a connection is reused.
constexpr int IdlePartOfTen = 7;

bool needsLength(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

std::string serialize(const TargetRequest &Request) {
  std::string Out = Request.Method + " " + Request.Url + " HTTP/1.1\r\n";
  for (const wire::Header &Item : Request.Headers)
    Out += Item.Name + ": " + Item.Value + "\r\n";
  if (!Request.Body.empty() || needsLength(Request.Method))
    Out += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  Out += "\r\n";
  Out += Request.Body;
  return Out;
}

/// Reads the timeout of a Keep-Alive header, which is in whole seconds.
milliseconds idleTimeoutOf(std::string_view KeepAlive) {
  constexpr std::string_view Key = "timeout=";
  const std::size_t At = KeepAlive.find(Key);
  int Seconds = 0;
  if (At != std::string_view::npos)
    std::from_chars(KeepAlive.data() + At + Key.size(),
                    KeepAlive.data() + KeepAlive.size(), Seconds);
  return Seconds > 0 ? milliseconds(Seconds * 1000) : UsualIdleTimeout;
}

} // namespace

std::string_view TargetAnswer::header(std::string_view Name) const {
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
  return !this->Closed && Now < this->IdleUntil;
}

void TargetConnection::run(const TargetRequest &Request,
                           TargetClient::Done Then) {
  this->Address = Request.Address;
  this->Outgoing = serialize(Request);
  this->Deadline = Request.Deadline;
  this->Belongs = Request.Belongs;
  this->WhenDone = std::move(Then);
  this->Sent = false;
  this->Written = false;
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
        // A wait that ended just before it was cancelled may be of an earlier
        // request.
        if (!Error && Self->busy() &&
            std::chrono::steady_clock::now() >= Self->CloseAt)
          Self->close();
      });
}

void TargetConnection::connect() {
  asio::ip::tcp::endpoint Peer;
  const Failure Bad =
      settle([&] { return Endpoint::parse(this->Address, "target"); },
             [&](const Endpoint &Parsed) {
               Peer = {asio::ip::make_address(Parsed.Ip), Parsed.Port};
             });
  if (Bad.failed())
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
  this->Sent = true;
  this->startTimer(this->Deadline);
  asio::async_write(
      this->Socket, asio::buffer(this->Outgoing),
      [Self = this->shared_from_this()](std::error_code Error, std::size_t) {
        if (Self->Closed)
          return;
        // The read tells how the connection ended, and what came before.
        if (!Error)
          Self->Written = true;
      });
}

void TargetConnection::read() {
  this->Socket.async_read_some(asio::buffer(this->Buffer),
                               [Self = this->shared_from_this()](
                                   std::error_code Error, std::size_t Size) {
                                 if (!Self->Closed)
                                   Self->received(Error, Size);
                               });
}

void TargetConnection::received(std::error_code Error, std::size_t Size) {
  if (Error) {
    // An answer without a length ends with its connection, but one that was
    // reset is not whole.
    if (Error == asio::error::eof && this->busy() &&
        this->Reader.end() == AnswerReader::State::Whole) {
      this->Reusable = false;
      return this->answerComplete();
    }
    return this->close();
  }
  if (!this->busy())
    return this->close(); // Nobody waits for these bytes.
  this->Reader.add({this->Buffer.data(), Size});
  if (!this->parse())
    return;
  if (this->busy())
    this->setHeld(this->Reader.heldBytes());
  if (!this->Closed)
    this->read();
}

bool TargetConnection::parse() {
  while (this->busy() && this->Reader.hasMore()) {
    const AnswerReader::State Reached = this->Reader.read();
    if (Reached == AnswerReader::State::NeedsMore)
      return true;
    if (Reached == AnswerReader::State::Refused) {
      this->close();
      return false;
    }
    this->answerComplete();
  }
  if (!this->Closed && this->Reader.hasMore())
    this->close(); // More than the answer came.
  return !this->Closed;
}

void TargetConnection::setHeld(std::size_t Bytes) {
  const std::size_t Before = std::exchange(this->HeldBytes, Bytes);
  if (this->Owner != nullptr)
    this->Owner->onHeldChanged(*this, Before);
}

void TargetConnection::answerComplete() {
  const bool KeepAlive = this->Reader.keepAlive();
  TargetAnswer Answer = this->Reader.take();
  this->setHeld(0);
  this->Reusable = this->Reusable && KeepAlive;
  if (this->Belongs && !this->Belongs(Answer)) {
    // An answer to an earlier request. Ours may follow, but what else this
    // connection brings is not to be trusted.
    this->Reusable = false;
    if (!KeepAlive || !this->Reader.passOver())
      this->close();
    return;
  }
  const milliseconds IdleTimeout = idleTimeoutOf(Answer.header("Keep-Alive"));
  this->IdleUntil =
      std::chrono::steady_clock::now() + IdleTimeout * IdlePartOfTen / 10;
  // The target may still wait for the rest of a request that it has answered
  // already; another request must not arrive there.
  const bool Keep = this->Reusable && this->Written && !this->Reader.hasMore();
  this->Timer.cancel();
  TargetClient::Done Then = std::move(this->WhenDone);
  this->WhenDone = nullptr;
  if (Keep)
    this->Owner->onIdle(*this);
  else
    this->close();
  Then(std::move(Answer));
}

void TargetConnection::close() {
  this->closeAs(this->Sent ? RunEnd::Broken : RunEnd::NotSent);
}

void TargetConnection::closeAs(RunEnd End) {
  if (this->Closed)
    return;
  const auto Self = this->shared_from_this();
  this->Closed = true;
  this->Timer.cancel();
  std::error_code Ignored;
  this->Socket.close(Ignored);
  this->setHeld(0);
  if (this->Owner != nullptr)
    this->Owner->onClosed(*this);
  if (!this->busy())
    return;
  TargetAnswer Answer;
  Answer.End = End;
  asio::post(this->Socket.get_executor(),
             [Then = std::exchange(this->WhenDone, nullptr),
              Answer = std::move(Answer)] { Then(Answer); });
}

void TargetConnection::abandon() {
  this->Owner = nullptr;
  this->WhenDone = nullptr;
  this->close();
}

} // namespace persimmon
