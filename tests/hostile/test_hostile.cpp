#include "crowd.h"
#include "hostilesystem.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <thread>

using namespace persimmon;

namespace {

constexpr std::size_t CrowdSize = 64;
/// Fewer connections send what is far over the limit.
constexpr std::size_t FarOverCrowdSize = 16;
constexpr std::size_t FarOverBytes = 32'000'000;
/// A one-byte chunk is six bytes on the wire.
constexpr std::size_t SmallChunkCrowdSize = 48;
constexpr std::size_t SmallChunks = 250'000;
constexpr std::size_t PieceBytes = 16u << 10;
constexpr std::size_t LargeChunkBytes = 64u << 10;
constexpr std::size_t OperatorDocumentBytes = 4'000'000;
/// One of so many connections completes its request, the others stop just short
/// of its end.
constexpr std::size_t CompletedOneIn = 8;

/// A port that others can reach, and the path of the requests.
struct Port {
  std::string Ip;
  std::uint16_t Number = 0;
  std::string Path;

  std::string head(const std::string &Length) const {
    return "POST " + this->Path + " HTTP/1.1\r\nHost: orders\r\n" + Length +
           "\r\n\r\n";
  }
};

const Port Callers{HostileSystem::ProxyIp, HostileSystem::CallerPort,
                   "/upload"};
const Port Operators{HostileSystem::ControlIp, HostileSystem::OperatorPort,
                     "/v1/changes"};
const Port Local{HostileSystem::ProxyIp, HostileSystem::LocalPort,
                 "/v1/target"};
const Port Readiness{HostileSystem::ProxyIp, HostileSystem::ReadinessPort,
                     "/ready"};
const Port PlatformOperators{HostileSystem::ControlIp,
                             HostileSystem::OperatorPort,
                             "/persimmonwheel/Config.Replace"};
const Port PlatformLocal{HostileSystem::ProxyIp, HostileSystem::LocalPort,
                         "/persimmonwheel/Instances.Heartbeat/t1"};

/// Sends a body whose length is announced; without its last byte unless
/// \p Complete.
HostileStream announced(const Port &To, std::size_t Bytes, bool Complete) {
  HostileStream Out;
  Out.Head = To.head("Content-Length: " + std::to_string(Bytes));
  Out.Unit = std::string(1000, 'x');
  Out.Count = Bytes / Out.Unit.size() - 1;
  Out.Tail = std::string(Bytes - Out.Count * Out.Unit.size(), 'x');
  if (!Complete)
    Out.Tail.pop_back();
  return Out;
}

/// Sends a body in chunks; without its end unless \p Complete.
HostileStream chunked(const Port &To, const std::string &Chunk,
                      std::size_t Count, bool Complete) {
  HostileStream Out;
  Out.Head = To.head("Transfer-Encoding: chunked");
  Out.Unit = Chunk;
  Out.Count = Count;
  Out.Tail = Complete ? "0\r\n\r\n" : "0\r\n";
  return Out;
}

HostileStream inLargeChunks(const Port &To, std::size_t Bytes, bool Complete) {
  const std::string Chunk =
      "10000\r\n" + std::string(LargeChunkBytes, 'x') + "\r\n";
  return chunked(To, Chunk, Bytes / LargeChunkBytes, Complete);
}

HostileStream inSmallChunks(const Port &To, bool Complete) {
  return chunked(To, "1\r\nx\r\n", SmallChunks, Complete);
}

HostileStream inPieces(HostileStream Stream) {
  Stream.PieceBytes = PieceBytes;
  return Stream;
}

/// An operators' change with many edits.
HostileStream document(const Port &To, bool Complete) {
  HostileStream Out;
  const std::string Begin =
      R"({"changeId":"hostile","basedOn":0,"team":"shop","edits":[)";
  Out.Unit = R"({"path":"shop/services/orders","value":{"queue":16}},)";
  Out.Count = OperatorDocumentBytes / Out.Unit.size();
  Out.Tail = R"({"path":"shop/services/orders","value":{"queue":16}}]})";
  Out.Head = To.head("Content-Length: " +
                     std::to_string(Begin.size() + Out.Unit.size() * Out.Count +
                                    Out.Tail.size())) +
             Begin;
  if (!Complete)
    Out.Tail.pop_back();
  return Out;
}

/// Sends the streams of a crowd and checks the daemons while the crowd stays
/// open, and again after it has left. \p StreamOf gets whether the request is
/// to be complete.
void checkAgainst(const Port &To, std::size_t Size,
                  const std::function<HostileStream(bool)> &StreamOf,
                  std::size_t CompletedOneIn,
                  const HostileSettings &Settings = {}) {
  HostileSystem System(Settings);
  {
    Crowd Clients;
    for (std::size_t I = 0; I < Size; ++I)
      REQUIRE(Clients.add(To.Ip, To.Number, StreamOf(I % CompletedOneIn == 0)));
    Clients.send();
    // The daemon handles what its sockets still hold.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    UNSCOPED_INFO("sent " << Clients.sentBytes() << " bytes, closed "
                          << Clients.closed() << " of " << Clients.size());
    System.checkBounds(Size);
    HostileSystem::checkOrdinary(To.Ip, To.Number);
  }
  HostileSystem::checkOrdinary(To.Ip, To.Number);
  if (!Settings.ForPlatform)
    HostileSystem::checkOrdinary(HostileSystem::ProxyIp,
                                 HostileSystem::CallerPort);
  System.checkBounds(Size);
}

void checkAgainst(const Port &To, std::size_t Size,
                  const std::function<HostileStream(bool)> &StreamOf) {
  checkAgainst(To, Size, StreamOf, CompletedOneIn);
}

/// Sends bodies in pieces to a port of the platform's program.
void checkPlatformPort(const Port &To, std::size_t BodyBytes) {
  HostileSettings Settings;
  Settings.ForPlatform = true;
  checkAgainst(
      To, CrowdSize,
      [&](bool Complete) {
        return inPieces(announced(To, BodyBytes, Complete));
      },
      CompletedOneIn, Settings);
}

/// Sends bodies of legal size to a proxy, together twice its memory or more.
void checkCallersAt(std::size_t ProxyMemoryMb) {
  constexpr std::size_t BytesPerMb = 1'000'000;
  HostileSettings Settings;
  Settings.ProxyMemoryMb = ProxyMemoryMb;
  Settings.BodyBytes = 2 * ProxyMemoryMb * BytesPerMb / CrowdSize;
  const auto StreamOf = [&](bool Complete) {
    return inPieces(announced(Callers, Settings.BodyBytes, Complete));
  };
  checkAgainst(Callers, CrowdSize, StreamOf, CompletedOneIn, Settings);
}

} // namespace

// Guards against processes that run out of memory because bodies are counted
// only once they are complete.
TEST_CASE("hostile callers send large bodies at once") {
  checkAgainst(
      Callers, CrowdSize,
      [](bool Complete) {
        return announced(Callers, LegalBodyBytes, Complete);
      },
      1);
}

TEST_CASE("hostile callers leave bodies open that come in pieces") {
  checkAgainst(Callers, CrowdSize, [](bool Complete) {
    return inPieces(announced(Callers, LegalBodyBytes, Complete));
  });
}

TEST_CASE("hostile callers leave bodies open that come in large chunks") {
  checkAgainst(Callers, CrowdSize, [](bool Complete) {
    return inLargeChunks(Callers, LegalBodyBytes, Complete);
  });
}

// Guards against a record for each chunk, which takes more memory than a chunk
// of one byte.
TEST_CASE("hostile callers leave bodies open that come in one-byte chunks") {
  checkAgainst(Callers, SmallChunkCrowdSize,
               [](bool Complete) { return inSmallChunks(Callers, Complete); });
}

// Guards against bodies over the configured limit that are read to their end
// before they are refused.
TEST_CASE("hostile callers announce bodies far over the limit") {
  checkAgainst(Callers, FarOverCrowdSize, [](bool Complete) {
    return announced(Callers, FarOverBytes, Complete);
  });
}

TEST_CASE("hostile callers send bodies far over the limit unannounced") {
  checkAgainst(Callers, FarOverCrowdSize, [](bool Complete) {
    return inLargeChunks(Callers, FarOverBytes, Complete);
  });
}

TEST_CASE("hostile operators send large documents at once") {
  checkAgainst(
      Operators, CrowdSize,
      [](bool Complete) { return document(Operators, Complete); }, 1);
}

TEST_CASE("hostile operators leave documents open that come in pieces") {
  checkAgainst(Operators, CrowdSize, [](bool Complete) {
    return inPieces(document(Operators, Complete));
  });
}

TEST_CASE("hostile operators leave documents open in one-byte chunks") {
  checkAgainst(Operators, SmallChunkCrowdSize, [](bool Complete) {
    return inSmallChunks(Operators, Complete);
  });
}

// The local and the readiness port take small requests only.
TEST_CASE("hostile clients leave bodies open at the local port") {
  checkAgainst(Local, CrowdSize, [](bool Complete) {
    return inPieces(announced(Local, LegalBodyBytes, Complete));
  });
}

TEST_CASE("hostile clients leave one-byte chunks open at the local port") {
  checkAgainst(Local, SmallChunkCrowdSize,
               [](bool Complete) { return inSmallChunks(Local, Complete); });
}

TEST_CASE("hostile clients leave chunked bodies open at the readiness port") {
  checkAgainst(Readiness, CrowdSize, [](bool Complete) {
    return inLargeChunks(Readiness, LegalBodyBytes, Complete);
  });
}

// Guards against shares of the memory that fit small limits only.
TEST_CASE("hostile callers leave bodies open at 88 MB") { checkCallersAt(88); }

TEST_CASE("hostile callers leave bodies open at 110 MB") {
  checkCallersAt(110);
}

TEST_CASE("hostile callers leave bodies open at 160 MB") {
  checkCallersAt(160);
}

TEST_CASE("hostile callers leave bodies open at 260 MB") {
  checkCallersAt(260);
}

TEST_CASE("hostile operators leave documents open at 256 MB") {
  constexpr std::size_t OperatorCrowdSize = 128;
  HostileSettings Settings;
  Settings.ControlMemoryMb = 256;
  checkAgainst(
      Operators, OperatorCrowdSize,
      [](bool Complete) { return inPieces(document(Operators, Complete)); },
      CompletedOneIn, Settings);
}

// Guards against ports of the platform's program that the limits do not cover.
TEST_CASE("hostile clients leave bodies open at the platform's local port") {
  checkPlatformPort(PlatformLocal, LegalBodyBytes);
}

TEST_CASE("hostile operators leave documents open at the platform's port") {
  checkPlatformPort(PlatformOperators, OperatorDocumentBytes);
}
