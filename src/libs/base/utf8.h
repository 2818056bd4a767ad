#pragma once

#include <string_view>

namespace mimosarail {

/// Whether the bytes are complete, valid UTF-8 sequences (RFC 3629: no overlong
/// forms, no surrogates, no code point above U+10FFFF). Thread-safe.
bool IsUtf8(std::string_view bytes);

}  // namespace mimosarail
