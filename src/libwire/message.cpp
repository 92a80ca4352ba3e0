#include "message.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <tuple>

namespace persimmon {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr std::array<std::string_view, std::variant_size_v<Message>>
    MessageNames = {
        "VoteRequest",    "VoteReply",        "AppendRequest", "AppendReply",
        "InstallRequest", "JoinRequest",      "Probe",         "ProbeAck",
        "IndirectProbe",  "Announce",         "SyncRequest",   "SyncReply",
        "PullRequest",    "PullReply",        "Report",        "StampRequest",
        "StampReply",     "CallRequest",      "BodyPart",      "CallReply",
        "CallQuery",      "CallCancel",       "AnswerAck",     "Heartbeat",
        "ClaimRequest",   "ClaimReply",       "OutcomeQuery",  "OutcomeReply",
        "LeavingTarget",  "AllowanceRequest", "AllowanceReply"};

template <typename RecordT>
void appendRecord(std::string &Out, const RecordT &Record) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  Protocol Writer(Buffer);
  Record.write(&Writer);
  std::uint8_t *Data = nullptr;
  std::uint32_t Size = 0;
  Buffer->getBuffer(&Data, &Size);
  Out.append(reinterpret_cast<const char *>(Data), Size);
}

/// Parses one record. Thrift reports malformed input by an exception, which is
/// returned as FrameMalformed.
template <typename RecordT>
leaf::result<RecordT> parse(std::string_view Bytes) {
  try {
    auto Config = std::make_shared<TConfiguration>(
        static_cast<int>(MaxMessageBytes), static_cast<int>(MaxMessageBytes));
    // A buffer with the OBSERVE policy only reads the bytes, but Thrift takes a
    // mutable pointer.
    auto *Data = const_cast<std::uint8_t *>(
        reinterpret_cast<const std::uint8_t *>(Bytes.data()));
    auto Buffer = std::make_shared<TMemoryBuffer>(
        Data, static_cast<std::uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE,
        Config);
    const int Limit = static_cast<int>(Bytes.size()) + 1;
    Protocol Reader(Buffer, Limit, Limit);
    RecordT Record;
    Record.read(&Reader);
    if (Buffer->available_read() != 0)
      return fail(ResultCode::FrameMalformed, {},
                  "unexpected bytes after the record");
    return Record;
  } catch (const std::exception &Error) {
    return fail(ResultCode::FrameMalformed, {}, Error.what());
  }
}

template <std::size_t Index>
leaf::result<Message> parseAlternative(std::string_view Bytes) {
  BOOST_LEAF_AUTO(Record,
                  (parse<std::variant_alternative_t<Index, Message>>(Bytes)));
  return Message(std::in_place_index<Index>, std::move(Record));
}

using Parser = leaf::result<Message> (*)(std::string_view);

template <std::size_t... Indexes>
constexpr auto makeParsers(std::index_sequence<Indexes...>) {
  return std::array<Parser, sizeof...(Indexes)>{&parseAlternative<Indexes>...};
}

constexpr auto Parsers =
    makeParsers(std::make_index_sequence<std::variant_size_v<Message>>{});

} // namespace

std::string encode(const Message &Body) {
  std::string Out(1, static_cast<char>(Body.index()));
  std::visit([&](const auto &Record) { appendRecord(Out, Record); }, Body);
  return Out;
}

leaf::result<Message> decode(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return fail(ResultCode::FrameTooLarge);
  if (Bytes.empty())
    return fail(ResultCode::FrameMalformed, {}, "empty message");
  const auto Kind = static_cast<std::uint8_t>(Bytes.front());
  if (Kind >= Parsers.size())
    return fail(ResultCode::FrameMalformed, {}, "unknown message type");
  return Parsers[Kind](Bytes.substr(1));
}

std::string_view nameOf(const Message &Body) {
  return MessageNames[Body.index()];
}

std::string_view messageKindName(std::size_t Index) {
  return MessageNames[Index];
}

std::string encodeRecord(const wire::LogEntry &Record) {
  std::string Out;
  appendRecord(Out, Record);
  return Out;
}

std::string encodeRecord(const wire::HardState &Record) {
  std::string Out;
  appendRecord(Out, Record);
  return Out;
}

std::string encodeRecord(const wire::StoreSnapshot &Record) {
  std::string Out;
  appendRecord(Out, Record);
  return Out;
}

std::string encodeRecord(const wire::PullContent &Record) {
  std::string Out;
  appendRecord(Out, Record);
  return Out;
}

leaf::result<wire::LogEntry> decodeLogEntry(std::string_view Bytes) {
  return parse<wire::LogEntry>(Bytes);
}

leaf::result<wire::HardState> decodeHardState(std::string_view Bytes) {
  return parse<wire::HardState>(Bytes);
}

leaf::result<wire::StoreSnapshot> decodeSnapshot(std::string_view Bytes) {
  return parse<wire::StoreSnapshot>(Bytes);
}

leaf::result<wire::PullContent> decodePullContent(std::string_view Bytes) {
  return parse<wire::PullContent>(Bytes);
}

namespace wire {

bool AttemptId::operator<(const AttemptId &Other) const {
  return std::tie(this->Sender, this->SenderIncarnation, this->Number) <
         std::tie(Other.Sender, Other.SenderIncarnation, Other.Number);
}

} // namespace wire

} // namespace persimmon
