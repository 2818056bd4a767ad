#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>

#include "frame_types.h"
#include "src/libs/base/result.h"
#include "src/libs/rpc/asio.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::rpc {

/// Maximum size of a frame that either side accepts.
inline constexpr uint32_t kMaxFrameBytes = 32U << 20U;
/// Size of the length prefix of a frame.
inline constexpr size_t kLengthBytes = 4;

/// An IP address and a port.
struct Endpoint {
  asio::ip::address address;
  uint16_t port = 0;
};

/// Parses "ip:port". Thread-safe.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

/// Sets the options of a connected socket. `send_buffer_bytes` is as in Client.
/// Thread-safe for different sockets.
void SetSocketOptions(asio::ip::tcp::socket& socket, int send_buffer_bytes);

/// Returns the length prefix and the encoded frame. Thread-safe.
std::string FrameBytes(const wire::Frame& frame);

/// Returns the length given by the first kLengthBytes bytes.
uint32_t FrameLength(const std::string& buffer);

/// Reads one frame into `buffer` and passes it to `done`, or an error. `socket`
/// and `buffer` must outlive the read.
template <typename Socket>
void AsyncReadFrame(Socket& socket, std::string& buffer,
                    std::function<void(Result<wire::Frame>)> done) {
  buffer.resize(kLengthBytes);
  asio::async_read(
      socket, asio::buffer(buffer),
      [&socket, &buffer, done = std::move(done)](std::error_code error,
                                                 size_t) mutable {
        if (error) return done(Error{error, error.message()});
        const uint32_t length = FrameLength(buffer);
        if (length > kMaxFrameBytes) return done(Errc::kMalformed);
        // The buffer grows as bytes arrive. If it were allocated at once, a
        // sender could use up the 260 MB of memory of a process by sending only
        // the length prefix kMaxFrameBytes on each of eight connections.
        buffer.clear();
        asio::async_read(
            socket, asio::dynamic_buffer(buffer, length),
            asio::transfer_exactly(length),
            [&buffer, done = std::move(done)](std::error_code body_error,
                                              size_t) {
              if (body_error) {
                return done(Error{body_error, body_error.message()});
              }
              done(Decode<wire::Frame>(buffer));
            });
      });
}

}  // namespace mimosarail::rpc
