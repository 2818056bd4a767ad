#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosarail {

/// 64-bit hash, identical on every machine. Safe from any thread.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// XXH3-128 hash of the bytes as 32 hex digits. Detects a truncated or swapped
/// answer, but not a forged one. Safe from any thread.
std::string Digest(std::string_view bytes);

}  // namespace mimosarail
