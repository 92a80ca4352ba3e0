#include "responsereader.h"

#include "responsehead.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmon {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t MaxBodyBytes = 32u << 20;
constexpr std::uint32_t MaxHeadBytes = 64u << 10;
/// Bytes of memory for each byte of a head. The shortest field has 4 bytes and
/// takes a node of about 100 bytes.
constexpr std::size_t MemoryPerHeadByte = 32;
constexpr int FirstStatus = 100;
constexpr int SwitchingProtocols = 101;
/// HTTP/1.1 as Boost.Beast numbers it.
constexpr unsigned Http11 = 11;
/// Chunk framing allowed for each byte of the body. A chunk of one byte whose
/// size has eight digits takes 13 bytes with its line ends.
constexpr std::size_t FramingPerBodyByte = 16;
/// Informational responses before one final response. A target that works for
/// the ten minutes that a call may take can send one every six seconds.
constexpr int MaxInformationalResponses = 100;
/// Responses to earlier requests that may come first. Each earlier request on
/// the connection may have left a late response; usually there is at most one.
constexpr int MaxMismatchedResponses = 8;

} // namespace

void ResponseReader::begin(std::string_view Method) {
  this->NoBody = Method == "HEAD";
  this->MismatchedResponses = 0;
  this->InformationalResponses = 0;
  this->InformationalBytes = 0;
  this->startParser();
}

void ResponseReader::startParser() {
  this->HeadBytes = 0;
  this->FramingBytes = 0;
  this->Headers.clear();
  this->KeepAlive = false;
  this->Incoming.emplace();
  this->Incoming->body_limit(MaxBodyBytes);
  this->Incoming->header_limit(MaxHeadBytes);
  this->Incoming->skip(this->NoBody);
}

void ResponseReader::add(std::string_view Bytes) {
  const auto Space = this->Unparsed.prepare(Bytes.size());
  std::copy(Bytes.begin(), Bytes.end(), static_cast<char *>(Space.data()));
  this->Unparsed.commit(Bytes.size());
}

ResponseReader::State ResponseReader::read() {
  while (this->hasMore()) {
    const bool InHead = !this->Incoming->is_header_done();
    const std::size_t BodyBefore = this->bodyBytes();
    boost::beast::error_code Error;
    const std::size_t Used = this->Incoming->put(this->Unparsed.data(), Error);
    this->Unparsed.consume(Used);
    const bool NeedsMore = Error == http::error::need_more;
    if (Error && !NeedsMore)
      return State::Invalid;
    if (InHead)
      this->HeadBytes += Used;
    else
      this->FramingBytes += Used - (this->bodyBytes() - BodyBefore);
    if (!this->withinLimits())
      return State::Invalid;
    if (InHead && this->Incoming->is_header_done()) {
      if (!this->acceptsHead())
        return State::Invalid;
      this->storeHead();
    }
    // The remaining bytes belong to a head, a chunk header or trailers.
    if (NeedsMore)
      return this->Unparsed.size() <= MaxHeadBytes ? State::NeedsMore
                                                   : State::Invalid;
    if (!this->Incoming->is_done())
      continue;
    if (static_cast<int>(this->Incoming->get().result_int()) >=
        FirstFinalStatus)
      return State::Complete;
    if (!this->skipInformational())
      return State::Invalid;
  }
  return State::NeedsMore;
}

bool ResponseReader::acceptsHead() const {
  const auto Status = static_cast<int>(this->Incoming->get().result_int());
  // No request asks for another protocol.
  if (Status < FirstStatus || Status > LastStatus ||
      Status == SwitchingProtocols)
    return false;
  // The parser ignores a transfer coding that it does not know. A response
  // before HTTP/1.1 has none.
  const auto &Head = this->Incoming->get();
  const auto [First, Last] = Head.equal_range(http::field::transfer_encoding);
  return First == Last ||
         (std::next(First) == Last && Head.version() >= Http11 &&
          boost::beast::iequals(First->value(), "chunked"));
}

void ResponseReader::storeHead() {
  this->KeepAlive = this->Incoming->keep_alive();
  auto &Fields = this->Incoming->get().base();
  this->Headers.reserve(
      static_cast<std::size_t>(std::distance(Fields.begin(), Fields.end())));
  bool LengthStored = false;
  for (const auto &Field : Fields) {
    wire::Header Item;
    Item.Name = std::string(Field.name_string());
    Item.Value = std::string(Field.value());
    if (Field.name() == http::field::content_length) {
      // The parser has checked that repeated lengths are equal.
      if (std::exchange(LengthStored, true))
        continue;
      Item.Value = Item.Value.substr(0, Item.Value.find_first_of(", \t"));
    }
    this->Headers.push_back(std::move(Item));
  }
  Fields.clear();
}

bool ResponseReader::withinLimits() const {
  const bool InHead = !this->Incoming->is_header_done();
  if (InHead)
    return this->HeadBytes + this->Unparsed.size() <= MaxHeadBytes;
  return this->HeadBytes <= MaxHeadBytes &&
         this->FramingBytes <=
             MaxHeadBytes + FramingPerBodyByte * this->bodyBytes();
}

bool ResponseReader::skipInformational() {
  this->InformationalResponses += 1;
  this->InformationalBytes += this->HeadBytes;
  this->startParser();
  return this->InformationalResponses <= MaxInformationalResponses &&
         this->InformationalBytes <= MaxHeadBytes;
}

std::size_t ResponseReader::heldBytes() const {
  return MemoryPerHeadByte * this->HeadBytes + this->Unparsed.size() +
         this->bodyBytes();
}

ResponseReader::State ResponseReader::endOfStream() {
  if (!this->Incoming->is_header_done())
    return State::Invalid;
  boost::beast::error_code Error;
  this->Incoming->put_eof(Error);
  return !Error && this->Incoming->is_done() ? State::Complete : State::Invalid;
}

TargetResponse ResponseReader::take() {
  auto Message = this->Incoming->release();
  TargetResponse Out;
  Out.End = RunEnd::Answered;
  Out.Status = static_cast<int>(Message.result_int());
  Out.Headers = std::move(this->Headers);
  Out.Body = std::move(Message.body());
  return Out;
}

bool ResponseReader::skipMismatched() {
  this->MismatchedResponses += 1;
  this->startParser();
  return this->MismatchedResponses <= MaxMismatchedResponses;
}

} // namespace persimmon
