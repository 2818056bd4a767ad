#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosarail {

/// 64-bit hash, equal on every machine; safe from any thread.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// 32 hex digits over the bytes (XXH3-128): shows a cut or mixed-up answer,
/// not a forged one. Safe from any thread.
std::string Digest(std::string_view bytes);

}  // namespace mimosarail
