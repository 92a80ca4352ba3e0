#include "httpconnection.h"

#include <asio/write.hpp>

#include <algorithm>

namespace persimmon {

namespace {

constexpr std::size_t MaxUrlBytes = 16u << 10;
constexpr std::size_t MaxFieldNameBytes = 1u << 10;
constexpr std::size_t MaxFieldValueBytes = 64u << 10;
constexpr std::size_t MaxFields = 200;
constexpr std::size_t MaxPipelinedRequests = 4;
constexpr milliseconds ReadTimeout{120'000};
constexpr milliseconds HandleTimeout{660'000};
constexpr milliseconds WriteTimeout{60'000};
/// How long and how much input is read and dropped after a refusal. A client
/// that sends its whole body before it reads can read the refusal then.
constexpr milliseconds LingerTimeout{5000};
constexpr std::size_t MaxDiscardedBytes = 64u << 20;
/// Reads in a row before other connections have their turn.
constexpr int ReadsInRow = 4;
/// Memory of a header field beside its name and value.
constexpr std::size_t FieldOverheadBytes = 2 * sizeof(std::string) + 16;

constexpr int StatusDigitBase = 10;

/// Returns the capacity for a body that needs \p Needed bytes and may have
/// \p Most. Doubling up to Most means that the last growth, during which the
/// old and the new buffer exist, takes no more memory than the complete body.
std::size_t capacityFor(std::size_t Needed, std::size_t Most) {
  std::size_t Out = std::max(Most, Needed);
  while (Out / 2 >= Needed && Out > 1)
    Out = (Out + 1) / 2;
  return Out;
}

std::string makeHead(int Status, bool KeepAlive, std::size_t ContentLength,
                     const std::vector<wire::Header> &Headers) {
  std::size_t Size = 96;
  for (const wire::Header &Item : Headers)
    Size += Item.Name.size() + Item.Value.size() + 4;
  std::string Out;
  Out.reserve(Size);
  Out += "HTTP/1.1 ";
  for (const int Divisor : {100, StatusDigitBase, 1})
    Out += static_cast<char>('0' + Status / Divisor % StatusDigitBase);
  Out += " \r\nConnection: ";
  Out += KeepAlive ? "keep-alive" : "close";
  Out += "\r\nContent-Length: ";
  Out += std::to_string(ContentLength);
  Out += "\r\n";
  for (const wire::Header &Item : Headers) {
    Out += Item.Name;
    Out += ": ";
    Out += Item.Value;
    Out += "\r\n";
  }
  Out += "\r\n";
  return Out;
}

Failure failureOf(RequestEnd End) {
  if (End == RequestEnd::BodyTooLarge)
    return {ResultCode::BodyTooLarge, {}, {}};
  return {ResultCode::TooManyCalls, "body",
          "not enough memory for the request body"};
}

} // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket TheSocket,
                               HttpConnectionOwner &TheOwner)
    : Socket(std::move(TheSocket)), Owner(&TheOwner) {}

HttpConnection::~HttpConnection() = default;

http_parser_settings HttpConnection::makeParserSettings() {
  http_parser_settings Out;
  http_parser_settings_init(&Out);
  Out.on_message_begin = [](http_parser *Parser) {
    return of(Parser).onMessageBegin();
  };
  Out.on_url = [](http_parser *Parser, const char *Data, std::size_t Size) {
    return of(Parser).onUrl(Data, Size);
  };
  Out.on_header_field = [](http_parser *Parser, const char *Data,
                           std::size_t Size) {
    return of(Parser).onFieldName(Data, Size);
  };
  Out.on_header_value = [](http_parser *Parser, const char *Data,
                           std::size_t Size) {
    return of(Parser).onFieldValue(Data, Size);
  };
  Out.on_headers_complete = [](http_parser *Parser) {
    return of(Parser).onHeadersComplete();
  };
  Out.on_body = [](http_parser *Parser, const char *Data, std::size_t Size) {
    return of(Parser).onBody(Data, Size);
  };
  Out.on_message_complete = [](http_parser *Parser) {
    return of(Parser).onMessageComplete();
  };
  return Out;
}

void HttpConnection::start() {
  std::error_code Ignored;
  this->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  this->Socket.non_blocking(true, Ignored);
  this->resetParser();
  this->IdleSince = std::chrono::steady_clock::now();
  this->setDeadline(ReadTimeout);
  this->read();
}

void HttpConnection::resetParser() {
  http_parser_init(&this->Parser, HTTP_REQUEST);
  this->Parser.data = this;
  this->Arriving = Incoming();
  this->ProgressDeadline = NoDeadline;
}

void HttpConnection::setDeadline(milliseconds Limit) {
  this->Deadline = std::chrono::steady_clock::now() + Limit;
}

bool HttpConnection::maySendMore() const {
  return !this->LastQueued && this->Slots.size() < MaxPipelinedRequests;
}

void HttpConnection::read() {
  if (this->Reading || this->Closed ||
      (!this->Discarding && !this->maySendMore()))
    return;
  this->Reading = true;
  this->Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = this->shared_from_this()](std::error_code Error) {
        Self->Reading = false;
        Self->onReadable(Error);
      });
}

void HttpConnection::onReadable(std::error_code Error) {
  if (this->Closed)
    return;
  if (Error)
    return this->close();
  for (int I = 0; I < ReadsInRow; ++I) {
    if (!this->readSome())
      break;
  }
  this->read();
}

bool HttpConnection::readSome() {
  if (this->Closed || (!this->Discarding && !this->maySendMore()))
    return false;
  auto &Buffer = this->Owner->readBuffer();
  std::error_code Error;
  const std::size_t Size = this->Socket.read_some(asio::buffer(Buffer), Error);
  if (Error == asio::error::would_block || Error == asio::error::interrupted)
    return false;
  if (Error) {
    this->close();
    return false;
  }
  this->consume(Buffer.data(), Size);
  return Size == Buffer.size();
}

void HttpConnection::consume(const char *Data, std::size_t Size) {
  while (Size > 0 && !this->Closed) {
    if (this->Discarding) {
      this->DiscardedBytes += Size;
      if (this->DiscardedBytes > MaxDiscardedBytes)
        this->close();
      return;
    }
    if (!this->maySendMore()) {
      if (!this->LastQueued)
        this->keepUnparsed(Data, Size);
      return;
    }
    const std::size_t Used = this->parse(Data, Size);
    Data += Used;
    Size -= Used;
  }
}

void HttpConnection::keepUnparsed(const char *Data, std::size_t Size) {
  const Time Now = std::chrono::steady_clock::now();
  this->Unparsed.append(Data, Size);
  this->UnparsedHeld = std::make_shared<RequestMemory::Share>(
      this->Owner->limits().Memory, static_cast<Sender &>(*this), Now);
  if (!this->UnparsedHeld->resize(this->Unparsed.size(), Size, Now))
    this->refuse(RequestEnd::NoMemory);
}

std::size_t HttpConnection::parse(const char *Data, std::size_t Size) {
  static const http_parser_settings Settings = makeParserSettings();
  const std::size_t Used =
      http_parser_execute(&this->Parser, &Settings, Data, Size);
  if (this->Discarding)
    return Size;
  const auto Errno = HTTP_PARSER_ERRNO(&this->Parser);
  if (Errno != HPE_OK && Errno != HPE_PAUSED) {
    this->close();
    return Size;
  }
  if (this->Arriving.Complete) {
    this->dispatch();
    return Used;
  }
  if (!this->Arriving.Begun)
    return Used;
  const Time Now = std::chrono::steady_clock::now();
  if (!this->hold(this->Arriving.Request.Body.capacity(), Now))
    this->refuse(RequestEnd::NoMemory);
  else if (this->Arriving.HeadersComplete)
    this->ProgressDeadline = Now + this->Owner->limits().Requests.BodyTimeout;
  return Used;
}

int HttpConnection::onMessageBegin() {
  const Time Now = std::chrono::steady_clock::now();
  this->Arriving.Begun = true;
  this->Arriving.Held = std::make_shared<RequestMemory::Share>(
      this->Owner->limits().Memory, static_cast<Sender &>(*this), Now);
  this->ProgressDeadline = Now + this->Owner->limits().Requests.HeaderTimeout;
  return 0;
}

int HttpConnection::onUrl(const char *Data, std::size_t Size) {
  this->Arriving.HeadBytes += Size;
  this->Arriving.Request.Url.append(Data, Size);
  return this->Arriving.Request.Url.size() > MaxUrlBytes ? -1 : 0;
}

int HttpConnection::onFieldName(const char *Data, std::size_t Size) {
  Incoming &Item = this->Arriving;
  if (Item.LastWasValue) {
    if (Item.Fields == MaxFields)
      return -1;
    Item.FieldName.assign(Data, Size);
    Item.LastWasValue = false;
    Item.HeadBytes += FieldOverheadBytes;
  } else {
    Item.FieldName.append(Data, Size);
  }
  Item.HeadBytes += Size;
  return Item.FieldName.size() > MaxFieldNameBytes ? -1 : 0;
}

int HttpConnection::onFieldValue(const char *Data, std::size_t Size) {
  Incoming &Item = this->Arriving;
  const bool First = !Item.LastWasValue;
  Item.LastWasValue = true;
  if (First)
    Item.Fields += 1;
  // Fields after a chunked body are not passed on.
  if (Item.HeadersComplete)
    return 0;
  Item.HeadBytes += Size;
  std::vector<wire::Header> &Headers = Item.Request.Headers;
  if (First) {
    wire::Header Field;
    Field.Name = std::move(Item.FieldName);
    Headers.push_back(std::move(Field));
  }
  std::string &Value = Headers.back().Value;
  Value.append(Data, Size);
  return Value.size() >= MaxFieldValueBytes ? -1 : 0;
}

int HttpConnection::onHeadersComplete() {
  Incoming &Item = this->Arriving;
  Item.HeadersComplete = true;
  Item.Request.Method =
      http_method_str(static_cast<http_method>(this->Parser.method));
  Item.BodyLimit = this->Owner->maxBodyBytes();
  constexpr auto Unknown = ~std::uint64_t{0};
  if (this->Parser.content_length != Unknown) {
    if (this->Parser.content_length > Item.BodyLimit) {
      this->refuse(RequestEnd::BodyTooLarge);
      return -1;
    }
    Item.AnnouncedBytes = static_cast<std::size_t>(this->Parser.content_length);
  }
  return 0;
}

int HttpConnection::onBody(const char *Data, std::size_t Size) {
  Incoming &Item = this->Arriving;
  std::string &Body = Item.Request.Body;
  const std::size_t Needed = Body.size() + Size;
  if (Needed > Item.BodyLimit) {
    this->refuse(RequestEnd::BodyTooLarge);
    return -1;
  }
  if (Needed > Body.capacity()) {
    const std::size_t Capacity = capacityFor(
        Needed, Item.AnnouncedBytes > 0 ? Item.AnnouncedBytes : Item.BodyLimit);
    if (!this->hold(Capacity, std::chrono::steady_clock::now())) {
      this->refuse(RequestEnd::NoMemory);
      return -1;
    }
    Body.reserve(Capacity);
  }
  Body.append(Data, Size);
  return 0;
}

int HttpConnection::onMessageComplete() {
  this->Arriving.Complete = true;
  this->Arriving.KeepAlive = http_should_keep_alive(&this->Parser) != 0;
  http_parser_pause(&this->Parser, 1);
  return 0;
}

bool HttpConnection::hold(std::size_t BodyCapacity, Time Now) {
  const Incoming &Item = this->Arriving;
  return Item.Held->resize(Item.HeadBytes + BodyCapacity,
                           Item.HeadBytes + Item.Request.Body.size(), Now);
}

void HttpConnection::dispatch() {
  HttpRequest Request = std::move(this->Arriving.Request);
  Request.Id = this->Owner->nextId();
  Request.Held = std::move(this->Arriving.Held);
  Request.Held->setArrived();
  Slot Item;
  Item.Id = Request.Id;
  Item.KeepAlive = this->Arriving.KeepAlive;
  this->Slots.push_back(std::move(Item));
  this->resetParser();
  this->IdleSince = NoDeadline;
  if (!this->Writing)
    this->setDeadline(HandleTimeout);
  this->Owner->onRequest(*this, std::move(Request));
}

void HttpConnection::refuseForMemory() { this->refuse(RequestEnd::NoMemory); }

void HttpConnection::refuse(RequestEnd End) {
  HttpRequest Request = std::move(this->Arriving.Request);
  const std::size_t Bytes = this->Arriving.HeadBytes + Request.Body.size();
  Request.Body = std::string();
  this->dropInput();
  this->ProgressDeadline = NoDeadline;
  this->IdleSince = NoDeadline;
  this->Discarding = true;
  this->Owner->onEnded(End, this->client(), Bytes);
  HttpResponse Response = this->Owner->makeRefusal(Request, failureOf(End));
  Response.CloseConnection = true;
  this->Slots.emplace_back();
  this->addResponse(this->Slots.back(), std::move(Response));
  this->write();
}

HttpConnection::Slot *HttpConnection::find(std::int64_t Id) {
  const auto Found =
      std::find_if(this->Slots.begin(), this->Slots.end(),
                   [&](const Slot &Item) { return Item.Id == Id; });
  return Found == this->Slots.end() ? nullptr : &*Found;
}

void HttpConnection::addResponse(Slot &To, HttpResponse Response) {
  To.KeepAlive = To.KeepAlive && !Response.CloseConnection;
  To.Head = makeHead(Response.Status, To.KeepAlive, Response.Body.size(),
                     Response.Headers);
  To.Body = std::move(Response.Body);
  To.Ready = true;
  this->Owner->onResponseQueued();
}

void HttpConnection::respond(std::int64_t Id, HttpResponse Response) {
  Slot *Item = this->find(Id);
  if (Item == nullptr || this->Closed)
    return;
  this->addResponse(*Item, std::move(Response));
  this->write();
}

void HttpConnection::respondTruncated(std::int64_t Id) {
  constexpr std::size_t DeclaredBytes = 100;
  Slot *Item = this->find(Id);
  if (Item == nullptr || this->Closed)
    return;
  HttpResponse Response;
  Response.CloseConnection = true;
  this->addResponse(*Item, std::move(Response));
  Item->Head = makeHead(200, false, DeclaredBytes, {});
  Item->Body = "short";
  this->write();
}

void HttpConnection::write() {
  if (this->Writing || this->Closed || this->Slots.empty() ||
      !this->Slots.front().Ready)
    return;
  this->Writing = true;
  Slot &Item = this->Slots.front();
  this->LastQueued = this->LastQueued || !Item.KeepAlive;
  this->setDeadline(WriteTimeout);
  const std::array<asio::const_buffer, 2> Buffers = {asio::buffer(Item.Head),
                                                     asio::buffer(Item.Body)};
  asio::async_write(
      this->Socket, Buffers,
      [Self = this->shared_from_this()](std::error_code Error, std::size_t) {
        Self->onWritten(Error);
      });
}

void HttpConnection::onWritten(std::error_code Error) {
  this->Writing = false;
  if (this->Closed) {
    this->Slots.clear();
    return;
  }
  if (Error)
    return this->close();
  const bool KeepAlive = this->Slots.front().KeepAlive;
  this->Slots.pop_front();
  this->Owner->onResponsesGone(1);
  if (!KeepAlive)
    return this->Discarding ? this->linger() : this->close();
  if (this->Slots.empty()) {
    this->setDeadline(ReadTimeout);
    this->IdleSince = std::chrono::steady_clock::now();
  } else {
    this->setDeadline(HandleTimeout);
  }
  this->resumeReading();
  this->write();
}

void HttpConnection::resumeReading() {
  if (!this->Unparsed.empty() && this->maySendMore()) {
    const std::string Data = std::move(this->Unparsed);
    this->Unparsed.clear();
    this->UnparsedHeld.reset();
    this->consume(Data.data(), Data.size());
  }
  this->read();
}

void HttpConnection::linger() {
  this->Lingering = true;
  this->setDeadline(LingerTimeout);
  std::error_code Ignored;
  this->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  this->read();
}

void HttpConnection::checkTimes(Time Now, bool Full) {
  if (this->Closed)
    return;
  if (Now > this->ProgressDeadline)
    return this->giveUp(this->Arriving.HeadersComplete
                            ? RequestEnd::BodyLate
                            : RequestEnd::HeadersLate);
  if (Full && !this->Arriving.Begun && this->IdleSince != NoDeadline &&
      Now - this->IdleSince > this->Owner->limits().Requests.IdleTimeout)
    return this->giveUp(RequestEnd::Idle);
  if (Now > this->Deadline)
    this->close();
}

void HttpConnection::giveUp(RequestEnd End) {
  this->Owner->onEnded(End, this->client(),
                       this->Arriving.HeadBytes +
                           this->Arriving.Request.Body.size());
  this->close();
}

std::string HttpConnection::client() const {
  std::error_code Error;
  const auto Remote = this->Socket.remote_endpoint(Error);
  return Error ? std::string("unknown") : Remote.address().to_string();
}

void HttpConnection::abandon() {
  this->Owner = nullptr;
  this->Closed = true;
  this->dropInput();
  std::error_code Ignored;
  this->Socket.close(Ignored);
}

void HttpConnection::dropInput() {
  this->Arriving = Incoming();
  this->Unparsed = std::string();
  this->UnparsedHeld.reset();
}

void HttpConnection::close() {
  if (this->Closed)
    return;
  this->Closed = true;
  std::error_code Ignored;
  this->Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  this->Socket.close(Ignored);
  this->dropInput();
  std::vector<std::int64_t> OpenIds;
  std::size_t Queued = 0;
  for (const Slot &Item : this->Slots) {
    if (Item.Ready)
      ++Queued;
    else
      OpenIds.push_back(Item.Id);
  }
  // The buffers of a response that is being written must stay until its
  // operation has ended.
  if (!this->Writing)
    this->Slots.clear();
  this->Owner->onResponsesGone(Queued);
  this->Owner->onClosed(*this, OpenIds);
}

} // namespace persimmon
