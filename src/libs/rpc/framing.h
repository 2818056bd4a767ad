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

/// Largest frame either side accepts, in bytes.
inline constexpr uint32_t kMaxFrame = 32U << 20U;
inline constexpr size_t kLengthBytes = 4;

/// An IP number and a port.
struct Endpoint {
  asio::ip::address address;
  uint16_t port = 0;
};

/// Reads "ip:port"; safe from any thread.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

/// Length and encoded frame, ready to write; safe from any thread.
std::string FrameBytes(const wire::Frame& frame);

/// Length that the first bytes announce.
uint32_t FrameLength(const std::string& buffer);

/// Reads one frame into `buffer`, which must outlive the read.
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
        if (length > kMaxFrame) return done(Errc::kMalformed);
        // Grows as the bytes come: a length alone, sent on eight connections,
        // would otherwise take the 260 MB that a process has.
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
