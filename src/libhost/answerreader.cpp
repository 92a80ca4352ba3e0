#include "answerreader.h"

#include <algorithm>
#include <utility>

namespace persimmon {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t MaxBodyBytes = 32u << 20;
constexpr std::uint32_t MaxHeadBytes = 64u << 10;
/// Bytes of memory for each byte of a head. The shortest field has 4 bytes and
/// takes a node of about 100 bytes.
constexpr std::size_t MemoryForHeadByte = 32;
constexpr int FirstFinalStatus = 200;
/// Chunk framing allowed for each byte of the body. A chunk of one byte whose
/// size has eight digits takes 13 bytes with its line ends.
constexpr std::size_t FramingForBodyByte = 16;
/// Informational responses before one final response. A target that works for
/// the ten minutes that a call may take can send one every six seconds.
constexpr int MaxInformationalHeads = 100;
/// Responses to earlier requests that may come first. Each earlier request on
/// the connection may have left a late response; usually there is at most one.
constexpr int MaxAnswersToOthers = 8;

} // namespace

void AnswerReader::begin(std::string_view Method) {
  this->NoBody = Method == "HEAD";
  this->AnswersToOthers = 0;
  this->InformationalHeads = 0;
  this->InformationalBytes = 0;
  this->startParser();
}

void AnswerReader::startParser() {
  this->HeadBytes = 0;
  this->FramingBytes = 0;
  this->Incoming.emplace();
  this->Incoming->body_limit(MaxBodyBytes);
  this->Incoming->header_limit(MaxHeadBytes);
  this->Incoming->skip(this->NoBody);
}

void AnswerReader::add(std::string_view Bytes) {
  const auto Space = this->Unparsed.prepare(Bytes.size());
  std::copy(Bytes.begin(), Bytes.end(), static_cast<char *>(Space.data()));
  this->Unparsed.commit(Bytes.size());
}

AnswerReader::State AnswerReader::read() {
  while (this->hasMore()) {
    const bool InHead = !this->Incoming->is_header_done();
    const std::size_t BodyBefore = this->bodyBytes();
    boost::beast::error_code Error;
    const std::size_t Used = this->Incoming->put(this->Unparsed.data(), Error);
    this->Unparsed.consume(Used);
    const bool NeedsMore = Error == http::error::need_more;
    if (Error && !NeedsMore)
      return State::Refused;
    if (InHead)
      this->HeadBytes += Used;
    else
      this->FramingBytes += Used - (this->bodyBytes() - BodyBefore);
    if (!this->withinBounds())
      return State::Refused;
    // The remaining bytes belong to a head, a chunk header or trailers.
    if (NeedsMore)
      return this->Unparsed.size() <= MaxHeadBytes ? State::NeedsMore
                                                   : State::Refused;
    if (!this->Incoming->is_done())
      continue;
    if (static_cast<int>(this->Incoming->get().result_int()) >=
        FirstFinalStatus)
      return State::Whole;
    if (!this->passInformational())
      return State::Refused;
  }
  return State::NeedsMore;
}

bool AnswerReader::withinBounds() const {
  const bool InHead = !this->Incoming->is_header_done();
  if (InHead)
    return this->HeadBytes + this->Unparsed.size() <= MaxHeadBytes;
  return this->HeadBytes <= MaxHeadBytes &&
         this->FramingBytes <=
             MaxHeadBytes + FramingForBodyByte * this->bodyBytes();
}

bool AnswerReader::passInformational() {
  this->InformationalHeads += 1;
  this->InformationalBytes += this->HeadBytes;
  this->startParser();
  return this->InformationalHeads <= MaxInformationalHeads &&
         this->InformationalBytes <= MaxHeadBytes;
}

std::size_t AnswerReader::heldBytes() const {
  return MemoryForHeadByte * this->HeadBytes + this->Unparsed.size() +
         this->bodyBytes();
}

AnswerReader::State AnswerReader::end() {
  if (!this->Incoming->is_header_done())
    return State::Refused;
  boost::beast::error_code Error;
  this->Incoming->put_eof(Error);
  return !Error && this->Incoming->is_done() ? State::Whole : State::Refused;
}

TargetAnswer AnswerReader::take() {
  auto Message = this->Incoming->release();
  TargetAnswer Out;
  Out.End = RunEnd::Answered;
  Out.Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message) {
    wire::Header Item;
    Item.Name = std::string(Field.name_string());
    Item.Value = std::string(Field.value());
    Out.Headers.push_back(std::move(Item));
  }
  Out.Body = std::move(Message.body());
  return Out;
}

bool AnswerReader::passOver() {
  this->AnswersToOthers += 1;
  this->startParser();
  return this->AnswersToOthers <= MaxAnswersToOthers;
}

} // namespace persimmon
