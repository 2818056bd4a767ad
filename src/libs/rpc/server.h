#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"
#include "src/libs/metrics/metrics.h"
#include "src/libs/metrics/traffic.h"
#include "src/libs/rpc/codec.h"
#include "src/libs/rpc/method.h"

namespace asio {
class io_context;
}

namespace mimosarail::rpc {

/// Sends the reply to a call. Call at most once, on any thread, at any time.
using Responder = std::function<void(Result<std::string>)>;
using Handler = std::function<void(std::string body, Responder respond)>;

/// What a server accepts at most. A connection beyond a limit is closed.
struct ServerOptions {
  /// Counts frames as "serve" and the name of the method, unless it is null;
  /// must outlive the server.
  metrics::Traffic* traffic = nullptr;
  /// Counts refusals as `peers_refused` unless it is null; must outlive the
  /// server.
  metrics::Registry* metrics = nullptr;
  /// As in Client.
  int send_buffer_bytes = 0;
  /// Maximum number of open connections, of which 600 instances hold two each.
  /// A further one takes the place of the connection that has been idle for
  /// longest or, if none is idle, has been sending a frame for longest. One
  /// with a call in flight or a reply to send is not closed. Until those that
  /// make room have been closed, kMaxOverLimit more may be open.
  size_t max_connections = 1536;
  /// Time for a whole frame from its first byte, and for the first frame of a
  /// connection from its accept. Longer than the timeout of any call, so that a
  /// frame which exceeds it is of use to nobody.
  Millis frame_timeout{10000};
  /// Bytes received of a frame extend its time at this rate. The thinnest
  /// links, of 2 Mbit/s, carry 15 times as much, and share it among peers.
  int64_t min_bytes_per_s = 16 << 10;
  /// No more calls are read from a connection while replies of this size wait
  /// to be sent on it. If its peer takes no reply within the time of a frame,
  /// the connection is closed.
  size_t max_unsent_bytes = 64 << 10;
  /// Memory that calls may take until they are answered. Beyond it, nothing is
  /// read from connections whose calls take more than kFreeCallBytes.
  size_t call_memory_bytes = size_t{2} * kMaxFrameBytes;
  uint32_t max_frame_bytes = kMaxFrameBytes;
  /// Maximum length of a list in a call. Elements take up to 250 times as much
  /// memory as on the wire.
  int32_t max_list_elements = kMaxElements;
  /// Memory that the unfinished frames of all connections may take. Beyond it,
  /// the connection is closed whose frame has waited longest for its next
  /// bytes. A buffer is up to twice as large as its frame.
  size_t frame_memory_bytes = size_t{2} * kMaxFrameBytes;
};

/// Serves calls over framed TCP. Register handlers before Listen().
class Server {
 public:
  /// `io` must outlive the server.
  explicit Server(asio::io_context& io, ServerOptions options = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Registers the handler of a method. Not thread-safe; call before Listen().
  void Handle(Method method, Handler handler);

  /// Binds "ip:port" (port 0 lets the kernel choose) and returns the port.
  Result<uint16_t> Listen(const std::string& address);

  int32_t max_list_elements() const;

  /// Bytes of frames sent and received so far. Thread-safe.
  int64_t bytes() const;

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

/// Server::Handle() with typed messages: `handle` runs on `executor` and
/// receives the call, the time at which it was received, and a function that
/// sends the reply.
template <typename Message, typename Reply>
void HandleTimed(
    Server& server, Executor& executor, Method method,
    std::function<void(Message, TimePoint, std::function<void(Reply)>)>
        handle) {
  server.Handle(method, [&executor, handle = std::move(handle),
                         max_elements = server.max_list_elements()](
                            std::string body, Responder respond) {
    Result<Message> call = Decode<Message>(body, max_elements);
    if (!call.ok()) return respond(call.error());
    executor.Post([handle, respond = std::move(respond),
                   received = executor.Now(),
                   call = std::move(call.value())]() mutable {
      handle(std::move(call), received,
             [respond = std::move(respond)](const Reply& reply) {
               respond(Encode(reply));
             });
    });
  });
}

/// HandleTimed() for calls that are handled whenever they were received.
template <typename Message, typename Reply>
void HandleTyped(
    Server& server, Executor& executor, Method method,
    std::function<void(Message, std::function<void(Reply)>)> handle) {
  HandleTimed<Message, Reply>(
      server, executor, method,
      [handle = std::move(handle)](Message call, TimePoint /*received*/,
                                   std::function<void(Reply)> reply) {
        handle(std::move(call), std::move(reply));
      });
}

}  // namespace mimosarail::rpc
