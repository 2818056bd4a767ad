#pragma once

#include <asio.hpp>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "frame_types.h"
#include "src/libs/base/result.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::rpc {

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

/// Extracts frames from the bytes received on a connection, so that one read
/// can deliver many of them. Not thread-safe.
class FrameReader {
 public:
  /// Larger frames are malformed.
  explicit FrameReader(uint32_t max_frame_bytes = kMaxFrameBytes)
      : max_frame_bytes_(max_frame_bytes) {}

  /// Returns where to store the next bytes received. Valid until the next call
  /// of this or of Next().
  asio::mutable_buffer Prepare();
  /// Notes that this many bytes were stored there.
  void Commit(size_t bytes);
  /// Returns the next complete frame, nothing if more bytes are needed, or
  /// Errc::kMalformed if the bytes are not frames. After an error, nothing more
  /// can be read.
  Result<std::optional<wire::Frame>> Next();
  /// Size on the wire of the frame that Next() returned last.
  size_t last_frame_bytes() const { return last_frame_bytes_; }
  /// Bytes received of the frame that is not complete yet.
  size_t unfinished_bytes() const { return received_ - consumed_; }
  /// Bytes of memory that the buffer takes.
  size_t capacity() const { return buffer_.capacity(); }

 private:
  /// The buffer grows with the bytes that arrive, not with the length that a
  /// frame announces: a sender could otherwise use up the 260 MB of memory of
  /// a process by sending only length prefixes of kMaxFrameBytes.
  std::string buffer_;
  uint32_t max_frame_bytes_;
  /// Bytes of `buffer_` that were received, and those of them that belong to
  /// frames already returned.
  size_t received_ = 0;
  size_t consumed_ = 0;
  size_t last_frame_bytes_ = 0;
};

/// Reads bytes from `socket` until they contain a complete frame, and passes
/// all complete frames to `on_frame` in order, with the size of each on the
/// wire. Then runs `done` with an error if the connection has ended or its
/// bytes are not frames. `socket` and `reader` must outlive the read.
template <typename Socket, typename OnFrame, typename Done>
void AsyncReadFrames(Socket& socket, FrameReader& reader, OnFrame on_frame,
                     Done done) {
  socket.async_read_some(
      reader.Prepare(),
      [&reader, on_frame = std::move(on_frame), done = std::move(done)](
          std::error_code error, size_t bytes) mutable {
        if (error) return done(Error{error, error.message()});
        reader.Commit(bytes);
        for (;;) {
          Result<std::optional<wire::Frame>> frame = reader.Next();
          if (!frame.ok()) return done(frame.error());
          if (!frame.value()) return done(Error{});
          on_frame(std::move(*frame.value()), reader.last_frame_bytes());
        }
      });
}

/// Frames that wait to be sent on one connection. Not thread-safe.
class SendQueue {
 public:
  /// A frame and the method that it belongs to.
  struct Outgoing {
    int32_t method;
    std::string bytes;
  };

  void Push(int32_t method, std::string bytes) {
    waiting_bytes_ += MemoryOf(bytes);
    waiting_.push_back({method, std::move(bytes)});
  }
  /// Memory that the frames take which are not being sent yet.
  size_t waiting_bytes() const { return waiting_bytes_; }
  /// Whether frames wait and none is being sent.
  bool CanSend() const { return in_flight_.empty() && !waiting_.empty(); }
  bool empty() const { return in_flight_.empty() && waiting_.empty(); }
  /// Returns the frames to send next, in one write. They are valid until
  /// OnSent(). Precondition: CanSend().
  const std::vector<Outgoing>& TakeBatch();
  /// The frames of the last batch have been sent.
  void OnSent() { in_flight_.clear(); }

 private:
  static size_t MemoryOf(const std::string& bytes) {
    return sizeof(Outgoing) + bytes.size();
  }

  std::deque<Outgoing> waiting_;
  size_t waiting_bytes_ = 0;
  std::vector<Outgoing> in_flight_;
};

/// Returns the buffers of the frames, for one write.
std::vector<asio::const_buffer> Buffers(
    const std::vector<SendQueue::Outgoing>& frames);

/// Accepts all connections that wait at `acceptor`, and passes each to
/// `on_socket`. A listener that accepts one connection for each turn of a busy
/// event loop falls behind callers that reconnect, and then serves only
/// connections that they have given up. Precondition: `acceptor` is
/// non-blocking.
template <typename MakeExecutor, typename OnSocket>
void AcceptWaiting(asio::ip::tcp::acceptor& acceptor,
                   MakeExecutor make_executor, OnSocket on_socket) {
  constexpr int kMaxAtOnce = 256;
  for (int i = 0; i < kMaxAtOnce; ++i) {
    std::error_code error;
    asio::ip::tcp::socket socket = acceptor.accept(make_executor(), error);
    // A failure shows again at the next wait.
    if (error) return;
    on_socket(std::move(socket));
  }
}

}  // namespace mimosarail::rpc
