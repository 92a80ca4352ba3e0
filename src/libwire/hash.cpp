#include "hash.h"

#include <boost/crc.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace persimmon {

std::uint64_t hashOf(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::uint64_t hashOf(const wire::Setting &Entry) {
  std::string Text = Entry.Path;
  Text += '\0';
  Text += std::to_string(Entry.Version);
  Text += '\0';
  Text += Entry.Value;
  return hashOf(Text);
}

std::uint64_t hashOf(const wire::MemberRecord &Record) {
  std::string Text = Record.Name;
  Text += '\0';
  Text += std::to_string(Record.Incarnation);
  Text += '/';
  Text += std::to_string(Record.Sequence);
  Text += '/';
  Text += std::to_string(static_cast<int>(Record.State));
  return hashOf(Text);
}

std::uint32_t checksumOf(std::string_view Bytes) {
  boost::crc_32_type Sum;
  Sum.process_bytes(Bytes.data(), Bytes.size());
  return Sum.checksum();
}

std::string hashToken(std::string_view Salt, std::string_view Token) {
  std::string Text(Salt);
  Text += ':';
  Text += Token;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.data());
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (const unsigned char Byte : Digest) {
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 15U];
  }
  return Out;
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace persimmon
