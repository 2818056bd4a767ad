#include "src/libs/rpc/codec.h"

#include <thrift/TBase.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>

namespace mimosarail::rpc {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

std::string Encode(const apache::thrift::TBase& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

bool DecodeInto(std::string_view bytes, apache::thrift::TBase& message,
                int32_t max_elements) {
  // In OBSERVE mode, Thrift only reads through the pointer.
  auto* data =
      reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));  // NOLINT
  auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  // A corrupt length must not allocate more bytes or elements than the number
  // of bytes received. Elements are up to 250 times larger in memory than on
  // the wire.
  const auto limit = static_cast<int32_t>(bytes.size()) + 1;
  TCompactProtocol protocol(buffer, limit, std::min(limit, max_elements));
  try {
    message.read(&protocol);
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

}  // namespace mimosarail::rpc
