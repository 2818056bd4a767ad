#include "src/libs/base/utf8.h"

#include <cstdint>

namespace mimosarail {
namespace {

constexpr uint32_t kFirstSurrogate = 0xd800;
constexpr uint32_t kLastSurrogate = 0xdfff;
constexpr uint32_t kLastCodePoint = 0x10ffff;

/// A kind of leading byte: the bits that identify it, the number of bytes that
/// follow it and the lowest code point that may be encoded so.
struct LeadingByte {
  uint8_t mask;
  uint8_t bits;
  int trailing;
  uint32_t min_code_point;
};
constexpr LeadingByte kLeadingBytes[] = {{0x80, 0x00, 0, 0},
                                         {0xe0, 0xc0, 1, 0x80},
                                         {0xf0, 0xe0, 2, 0x800},
                                         {0xf8, 0xf0, 3, 0x10000}};

/// Removes one sequence from the front of `bytes`; false if it is not valid.
bool TakeSequence(std::string_view& bytes) {
  const auto first = static_cast<uint8_t>(bytes.front());
  for (const LeadingByte& leading : kLeadingBytes) {
    if ((first & leading.mask) != leading.bits) continue;
    const auto length = static_cast<size_t>(leading.trailing) + 1;
    if (bytes.size() < length) return false;
    uint32_t code = first & static_cast<uint8_t>(~leading.mask);
    for (size_t at = 1; at < length; ++at) {
      const auto next = static_cast<uint8_t>(bytes[at]);
      if ((next & 0xc0U) != 0x80U) return false;
      code = code << 6U | (next & 0x3fU);
    }
    bytes.remove_prefix(length);
    const bool surrogate = code >= kFirstSurrogate && code <= kLastSurrogate;
    return code >= leading.min_code_point && code <= kLastCodePoint &&
           !surrogate;
  }
  return false;
}

}  // namespace

bool IsUtf8(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!TakeSequence(bytes)) return false;
  }
  return true;
}

}  // namespace mimosarail
