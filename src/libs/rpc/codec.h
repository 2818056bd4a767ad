#pragma once

#include <string>
#include <string_view>

#include "src/libs/base/result.h"

namespace apache::thrift {
class TBase;
}

namespace mimosarail::rpc {

/// Thrift compact bytes of a message; safe from any thread.
std::string Encode(const apache::thrift::TBase& message);

/// False when the bytes are not a whole message. Safe from any thread.
bool DecodeInto(std::string_view bytes, apache::thrift::TBase& message);

/// The message, or Errc::kMalformed. Safe from any thread.
template <typename T>
Result<T> Decode(std::string_view bytes) {
  T message;
  if (!DecodeInto(bytes, message)) return Errc::kMalformed;
  return message;
}

}  // namespace mimosarail::rpc
