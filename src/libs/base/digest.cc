#include "src/libs/base/digest.h"

#include <array>
#include <cinttypes>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mimosarail {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Digest(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64,
                static_cast<uint64_t>(hash.high64),
                static_cast<uint64_t>(hash.low64));
  return text.data();
}

std::string ShortDigest(std::string_view bytes) {
  constexpr unsigned kDroppedBits = 32;
  // An empty view may have a null pointer, which XXH64() must not read.
  const char* data = bytes.data();
  if (data == nullptr) data = "";
  std::array<char, 9> text{};
  std::snprintf(
      text.data(), text.size(), "%08" PRIx64,
      static_cast<uint64_t>(XXH64(data, bytes.size(), 0)) >> kDroppedBits);
  return text.data();
}

}  // namespace mimosarail
