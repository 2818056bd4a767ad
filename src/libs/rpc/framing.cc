#include "src/libs/rpc/framing.h"

#include <charconv>

namespace mimosarail::rpc {

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Endpoint endpoint;
  std::error_code error;
  endpoint.address = asio::ip::make_address(text.substr(0, colon), error);
  if (error) return std::nullopt;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != last) return std::nullopt;
  return endpoint;
}

void SetSocketOptions(asio::ip::tcp::socket& socket, int send_buffer_bytes) {
  std::error_code ignored;  // without the options, calls only take longer
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (send_buffer_bytes <= 0) return;
  socket.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes),
                    ignored);
}

std::string FrameBytes(const wire::Frame& frame) {
  const std::string body = Encode(frame);
  const auto length = static_cast<uint32_t>(body.size());
  std::string out;
  out.reserve(kLengthBytes + body.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((length >> shift) & 0xFFU));
  }
  return out + body;
}

uint32_t FrameLength(const std::string& buffer) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<uint8_t>(buffer[i]);
  }
  return length;
}

}  // namespace mimosarail::rpc
