#include "libwire/libwire.h"

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <random>

using namespace persimmon;

namespace {

Message sampleMessage() {
  wire::PullReply Reply;
  Reply.Version = 12;
  Reply.Deltas.resize(2);
  Reply.Deltas[0].To = 11;
  Reply.Deltas[0].Puts.resize(1);
  Reply.Deltas[0].Puts[0].Path = "team/services/work";
  Reply.Deltas[1].Removed = {"team/routes/old"};
  return Reply;
}

ResultCode decodeResult(std::string_view Bytes) {
  return handleResult([&] { return decode(Bytes); }, [](const Message &) {})
      .Code;
}

} // namespace

TEST_CASE("a message is decoded as it was encoded") {
  const std::string Bytes = encode(sampleMessage());
  Message Decoded;
  const Failure Error =
      handleResult([&] { return decode(Bytes); },
                   [&](Message Body) { Decoded = std::move(Body); });
  REQUIRE(!Error.failed());
  CHECK(std::get<wire::PullReply>(Decoded) ==
        std::get<wire::PullReply>(sampleMessage()));
}

TEST_CASE("truncated, overlong and unknown messages are refused") {
  const std::string Bytes = encode(sampleMessage());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK(decodeResult(std::string_view(Bytes).substr(0, Size)) ==
          ResultCode::FrameMalformed);
  CHECK(decodeResult(Bytes + "x") == ResultCode::FrameMalformed);
  CHECK(decodeResult(std::string(1, '\x7f')) == ResultCode::FrameMalformed);
}

TEST_CASE("mutated messages do not crash the decoder") {
  std::mt19937_64 Engine(1);
  const std::string Bytes = encode(sampleMessage());
  for (int I = 0; I < 20'000; ++I) {
    std::string Mutated = Bytes;
    for (int J = 0; J < 3; ++J)
      Mutated[Engine() % Mutated.size()] = static_cast<char>(Engine());
    decodeResult(Mutated);
  }
  SUCCEED();
}

TEST_CASE("each field of a setting changes its hash") {
  wire::Setting Entry;
  Entry.Path = "a/services/b";
  Entry.Value = "{}";
  Entry.Version = 3;
  const std::uint64_t Hash = hashOf(Entry);
  wire::Setting Other = Entry;
  Other.Path = "a/services/c";
  CHECK(hashOf(Other) != Hash);
  Other = Entry;
  Other.Value = "{ }";
  CHECK(hashOf(Other) != Hash);
  Other = Entry;
  Other.Version = 4;
  CHECK(hashOf(Other) != Hash);
}

TEST_CASE("tokens are compared by their salted hashes") {
  CHECK(hashToken("salt", "token") != hashToken("tlas", "token"));
  CHECK(hashToken("salt", "token").size() == 64);
  CHECK(equalInConstantTime("abc", "abc"));
  CHECK(!equalInConstantTime("abc", "abd"));
  CHECK(!equalInConstantTime("abc", "abcd"));
}
