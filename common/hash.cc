#include "common/hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace anvilloom {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t CombineHash(std::uint64_t left, std::uint64_t right) {
  const std::array<std::uint64_t, 2> pair = {left, right};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string FormatHash(std::uint64_t hash) {
  constexpr int kHexadecimal = 16;
  std::array<char, 2 * sizeof(hash)> digits;
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), hash, kHexadecimal);
  return {digits.data(), end};
}

std::string FormatHashes(std::span<const std::uint64_t> hashes) {
  // Keeps log lines short whatever a caller sends.
  constexpr std::size_t kMaxFormatted = 6;
  constexpr std::size_t kFirst = kMaxFormatted / 2;
  const std::size_t left_out =
      hashes.size() - std::min(hashes.size(), kMaxFormatted);
  std::string text;
  for (std::size_t i = 0; i < hashes.size(); ++i) {
    text += text.empty() ? "" : ",";
    if (i == kFirst && left_out > 0) {
      text.append("+").append(std::to_string(left_out)).append(",");
      i += left_out;
    }
    text += FormatHash(hashes[i]);
  }
  return text.empty() ? "none" : text;
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 0xFU]);
  }
  return hex;
}

}  // namespace anvilloom
