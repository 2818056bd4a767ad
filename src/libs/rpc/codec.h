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

/// Maximum length of a list in a message: a job has up to 100,000 tasks. A list
/// of this length with the largest elements takes 65 MB.
inline constexpr int32_t kMaxElements = 1 << 18;

/// Encodes a message in Thrift's compact protocol. Thread-safe.
std::string Encode(const apache::thrift::TBase& message);

/// Decodes a message; false if the bytes are not a complete message, or a list
/// in it is longer than `max_elements`. Thread-safe.
bool DecodeInto(std::string_view bytes, apache::thrift::TBase& message,
                int32_t max_elements = kMaxElements);

/// Returns the decoded message, or Errc::kMalformed. Thread-safe.
template <typename T>
Result<T> Decode(std::string_view bytes, int32_t max_elements = kMaxElements) {
  T message;
  if (!DecodeInto(bytes, message, max_elements)) return Errc::kMalformed;
  return message;
}

}  // namespace mimosarail::rpc
