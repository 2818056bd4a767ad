#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/libs/base/result.h"

namespace apache::thrift {
class TBase;
}

namespace mimosarail::rpc {

/// Maximum size of a frame of either side.
inline constexpr uint32_t kMaxFrameBytes = 32U << 20U;

/// Encodes a message in Thrift's compact protocol. Thread-safe.
std::string Encode(const apache::thrift::TBase& message);

/// Decodes a message; false if the bytes are not a complete message.
/// Thread-safe.
bool DecodeInto(std::string_view bytes, apache::thrift::TBase& message);

/// Returns the decoded message, or Errc::kMalformed. Thread-safe.
template <typename T>
Result<T> Decode(std::string_view bytes) {
  T message;
  if (!DecodeInto(bytes, message)) return Errc::kMalformed;
  return message;
}

}  // namespace mimosarail::rpc
