// Defines the hash functions: Hash64 for placement and lookup tables, and
// Sha256Hex for digests that identify content across processes.
#ifndef COMMON_HASH_H_
#define COMMON_HASH_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace anvilloom {

// XXH3 of `bytes` with `seed`. Stable across processes and versions, so every
// entry instance computes the same placement.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

// Combines two hashes into one; used for rendezvous hashing.
std::uint64_t CombineHash(std::uint64_t left, std::uint64_t right);

// Formats a hash in hexadecimal, without leading zeros.
std::string FormatHash(std::uint64_t hash);
// Formats hashes, separated by commas, or "none": of many the first and the
// last few, with the number of those between them, for example
// "1,2,3,+40,44,45,46".
std::string FormatHashes(std::span<const std::uint64_t> hashes);

// SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

}  // namespace anvilloom

#endif  // COMMON_HASH_H_
