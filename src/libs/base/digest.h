#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosarail {

/// 64-bit hash, identical on every machine. Thread-safe.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// XXH3-128 hash of the bytes as 32 hex digits. Detects a truncated or swapped
/// answer, but not a forged one. Thread-safe.
std::string Digest(std::string_view bytes);

/// The first 8 hex digits of the XXH64 hash, as `xxh64sum` prints it. Names a
/// secret in messages without showing it. Thread-safe.
std::string ShortDigest(std::string_view bytes);

}  // namespace mimosarail
