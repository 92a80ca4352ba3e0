#pragma once

#include "gen/persimmon_types.h"
#include "result.h"

#include <string>
#include <string_view>
#include <variant>

namespace persimmon {

/// Every message between two processes. The index of the alternative is the
/// first byte on the wire, so new alternatives go to the end.
using Message = std::variant<
    wire::VoteRequest, wire::VoteReply, wire::AppendRequest, wire::AppendReply,
    wire::InstallRequest, wire::JoinRequest, wire::Probe, wire::ProbeAck,
    wire::IndirectProbe, wire::Announce, wire::SyncRequest, wire::SyncReply,
    wire::PullRequest, wire::PullReply, wire::Report, wire::StampRequest,
    wire::StampReply, wire::CallRequest, wire::BodyPart, wire::CallReply,
    wire::CallQuery, wire::CallCancel, wire::AnswerAck, wire::Heartbeat,
    wire::ClaimRequest, wire::ClaimReply, wire::OutcomeQuery,
    wire::OutcomeReply, wire::LeavingTarget, wire::AllowanceRequest,
    wire::AllowanceReply>;

/// Largest encoded message that decode() accepts.
constexpr std::size_t MaxMessageBytes = 64u << 20;

/// Serializes \p Body: one byte for the message type, then the record in
/// Thrift compact encoding.
std::string encode(const Message &Body);

/// Parses a serialized message. Errors: FrameMalformed, FrameTooLarge.
leaf::result<Message> decode(std::string_view Bytes);

/// Returns the name of the message type of \p Body, for logs.
std::string_view nameOf(const Message &Body);

/// Returns the name of the message type with this index in Message.
std::string_view messageKindName(std::size_t Index);

/// Returns the Thrift compact encoding of a record that is stored on disk.
std::string encodeRecord(const wire::LogEntry &Record);
std::string encodeRecord(const wire::HardState &Record);
std::string encodeRecord(const wire::StoreSnapshot &Record);

/// Returns the Thrift compact encoding of the content of a packed reply.
std::string encodeRecord(const wire::PullContent &Record);

/// Parses a record that was stored on disk. Errors: FrameMalformed.
leaf::result<wire::LogEntry> decodeLogEntry(std::string_view Bytes);
leaf::result<wire::HardState> decodeHardState(std::string_view Bytes);
leaf::result<wire::StoreSnapshot> decodeSnapshot(std::string_view Bytes);

/// Parses the content of a packed reply. Errors: FrameMalformed.
leaf::result<wire::PullContent> decodePullContent(std::string_view Bytes);

} // namespace persimmon
