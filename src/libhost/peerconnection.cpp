#include "peerconnection.h"

#include <asio/buffer.hpp>
#include <asio/completion_condition.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace persimmon {

namespace {

using asio::ip::tcp;

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t MaxQueuedBytes = 256u << 20;
/// Many round trips between availability zones. Calls do not wait longer than
/// this for a connection: nothing was sent, so they can be sent to another
/// peer.
constexpr milliseconds SlowConnectInterval{200};
/// A lost SYN packet is retransmitted after a second; this leaves time for one
/// retransmission.
constexpr milliseconds ConnectTimeout{1500};
/// A write that takes at least this long was blocked by a full socket buffer.
/// Shorter delays can have a local cause: a process that has used up its CPU
/// quota is paused for the rest of a period of a tenth of a second.
constexpr milliseconds BlockedWriteThreshold{100};

std::string frame(std::string_view Payload) {
  const auto Size = static_cast<std::uint32_t>(Payload.size());
  std::string Out;
  Out.reserve(LengthBytes + Payload.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out += static_cast<char>((Size >> Shift) & 0xffU);
  Out += Payload;
  return Out;
}

} // namespace

PeerConnection::PeerConnection(tcp::socket TheSocket, std::string TheName,
                               PeerConnectionOwner &TheOwner)
    : Socket(std::move(TheSocket)), ConnectTimer(this->Socket.get_executor()),
      Name(std::move(TheName)), Owner(&TheOwner),
      LastUse(std::chrono::steady_clock::now()),
      LastPeerActivity(this->LastUse) {}

void PeerConnection::connect(const tcp::endpoint &Peer) {
  this->ConnectDeadline = std::chrono::steady_clock::now() + ConnectTimeout;
  this->startConnectTimer();
  this->Socket.async_connect(
      Peer, [Self = this->shared_from_this()](std::error_code Error) {
        Self->ConnectTimer.cancel();
        if (Error || Self->Owner == nullptr)
          return Self->end();
        Self->start();
      });
}

void PeerConnection::startConnectTimer() {
  this->ConnectTimer.expires_after(SlowConnectInterval);
  this->ConnectTimer.async_wait(
      [Self = this->shared_from_this()](std::error_code Error) {
        if (Error || Self->Connected || Self->Owner == nullptr)
          return;
        if (std::chrono::steady_clock::now() >= Self->ConnectDeadline)
          return Self->end();
        Self->startConnectTimer();
        auto NotSent = Self->Outbox.removeUnsentAttempts();
        if (!NotSent.empty())
          Self->Owner->onConnectSlow(*Self, std::move(NotSent));
      });
}

void PeerConnection::start() {
  this->Connected = true;
  std::error_code Ignored;
  this->Socket.set_option(tcp::no_delay(true), Ignored);
  this->read();
  this->writeNext();
}

void PeerConnection::defer(std::string_view Payload, const Message &Body) {
  this->Outbox.push(frame(Payload), Body);
}

void PeerConnection::flush() {
  if (this->Connected && !this->Writing)
    this->writeNext();
}

void PeerConnection::send(std::string_view Payload, const Message &Body) {
  this->LastUse = std::chrono::steady_clock::now();
  this->Outbox.push(frame(Payload), Body);
  if (this->Outbox.queuedBytes() > MaxQueuedBytes) {
    asio::post(this->Socket.get_executor(),
               [Self = this->shared_from_this()] { Self->end(); });
    return;
  }
  this->flush();
}

void PeerConnection::abandon() {
  this->Owner = nullptr;
  this->close();
}

StreamLost PeerConnection::undecidedAttempts(StreamEnd Reason) const {
  StreamLost Out;
  Out.Address = this->Name;
  Out.End = Reason;
  this->Outbox.addUndecidedTo(Out);
  return Out;
}

bool PeerConnection::idleSince(Time Limit) const {
  return this->LastUse < Limit && this->Outbox.empty() && !this->Writing;
}

void PeerConnection::close() {
  std::error_code Ignored;
  this->Socket.close(Ignored);
}

void PeerConnection::end() {
  this->close();
  PeerConnectionOwner *OwnerToNotify = std::exchange(this->Owner, nullptr);
  if (OwnerToNotify != nullptr)
    OwnerToNotify->onClosed(*this, this->Connected ? StreamEnd::Closed
                                                   : StreamEnd::NotOpened);
}

/// Reads whatever is available, so that one read can return several small
/// messages.
void PeerConnection::read() {
  this->Socket.async_read_some(
      asio::buffer(this->ReadBuffer),
      [Self = this->shared_from_this()](std::error_code Error,
                                        std::size_t Size) {
        if (Error || Self->Owner == nullptr)
          return Self->end();
        Self->onBytesReceived();
        Self->PartialFrame.append(Self->ReadBuffer.data(), Size);
        Self->processFrames();
      });
}

void PeerConnection::processFrames() {
  std::size_t Position = 0;
  while (this->PartialFrame.size() - Position >= LengthBytes) {
    std::size_t Size = 0;
    for (std::size_t I = 0; I < LengthBytes; ++I)
      Size = (Size << 8U) |
             static_cast<std::uint8_t>(this->PartialFrame[Position + I]);
    if (Size == 0 || Size > MaxMessageBytes)
      return this->end();
    const std::size_t End = Position + LengthBytes + Size;
    if (End > this->PartialFrame.size()) {
      this->PartialFrame.erase(0, Position);
      return this->readRestOfFrame(End - Position);
    }
    this->Owner->onFrame(*this, std::string_view(this->PartialFrame)
                                    .substr(Position + LengthBytes, Size));
    if (this->Owner == nullptr)
      return;
    Position = End;
  }
  this->PartialFrame.erase(0, Position);
  this->read();
}

/// Reads the rest of a partially received message.
void PeerConnection::readRestOfFrame(std::size_t TotalSize) {
  const std::size_t ReceivedBytes = this->PartialFrame.size();
  if (TotalSize - ReceivedBytes <= this->ReadBuffer.size())
    return this->read();
  this->PartialFrame.resize(TotalSize);
  asio::async_read(
      this->Socket,
      asio::buffer(this->PartialFrame.data() + ReceivedBytes,
                   TotalSize - ReceivedBytes),
      [Self = this->shared_from_this()](std::error_code Error,
                                        std::size_t Size) {
        if (Size > 0)
          Self->onBytesReceived();
        return asio::transfer_all()(Error, Size);
      },
      [Self = this->shared_from_this()](std::error_code Error, std::size_t) {
        if (Error || Self->Owner == nullptr)
          return Self->end();
        Self->processFrames();
      });
}

void PeerConnection::onBytesReceived() {
  this->LastPeerActivity = std::chrono::steady_clock::now();
  this->LastUse = this->LastPeerActivity;
}

void PeerConnection::onBytesWritten() {
  const Time Now = std::chrono::steady_clock::now();
  // A write that went straight into the socket buffer does not show that the
  // peer is alive.
  if (Now - this->WriteStartedAt >= BlockedWriteThreshold)
    this->LastPeerActivity = Now;
}

void PeerConnection::writeNext() {
  this->WriteBuffer = this->Outbox.takeNext(BufferBytes);
  if (this->WriteBuffer.empty())
    return;
  this->Writing = true;
  this->WriteStartedAt = std::chrono::steady_clock::now();
  asio::async_write(
      this->Socket, asio::buffer(this->WriteBuffer),
      [Self = this->shared_from_this()](std::error_code Error,
                                        std::size_t Size) {
        if (!Error && Size > 0)
          Self->onBytesWritten();
        return asio::transfer_all()(Error, Size);
      },
      [Self = this->shared_from_this()](std::error_code Error, std::size_t) {
        Self->Writing = false;
        if (Error || Self->Owner == nullptr)
          return Self->end();
        Self->writeNext();
      });
}

} // namespace persimmon
