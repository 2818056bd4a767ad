#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"
#include "src/libs/http/message.h"
#include "src/libs/http/server_limits.h"
#include "src/libs/metrics/metrics.h"
#include "src/libs/metrics/traffic.h"

namespace asio {
class io_context;
}

namespace mimosarail::http {

/// Sends the response to one request. Called once, on any thread.
using Responder = std::function<void(Response)>;
using Handler = std::function<void(Request, Responder)>;

struct ServerOptions {
  /// Maximum number of open connections. A further one takes the place of one
  /// that has had its last response. If there is none, it takes that of the
  /// connection that has been idle for longest or, if none is idle or it began
  /// much earlier, has been sending its request for longest. Otherwise it is
  /// closed on accept.
  size_t max_connections = 2000;
  ServerLimits limits;
  /// Returns the limits of the request that begins, unless it is empty;
  /// `limits` then has no effect. Runs on the thread of `io`.
  std::function<ServerLimits()> current_limits;
  /// Memory that unfinished and waiting requests may take; 0 for no bound.
  size_t request_memory_bytes = 0;
  /// Receive buffer of each connection (SO_RCVBUF; the kernel doubles it); 0
  /// leaves it to the system. What a client sends while its previous requests
  /// are handled waits there.
  int receive_buffer_bytes = 0;
  /// Returns at most how much memory the handler makes of a body, unless it is
  /// empty. The larger of this and the body itself counts until the answer.
  /// Runs on the thread of `io`.
  std::function<size_t(const std::string& body)> decoded_bytes;
  /// A request that may have been sent longer ago than this is not handled,
  /// because it waited for the answers to earlier ones: its connection closes
  /// with the answer before it. A shutdown handles such requests. 0 for no
  /// bound.
  Millis max_wait_behind{0};
  /// Counts requests and responses as `traffic_kind` unless it is null; must
  /// outlive the server.
  metrics::Traffic* traffic = nullptr;
  std::string traffic_kind = "served";
  /// Counts refusals unless it is null; must outlive the server.
  metrics::Registry* metrics = nullptr;
};

/// HTTP/1.1 server. `handler` runs on the thread of `io`.
class Server {
 public:
  /// `io` is run by exactly one thread and must outlive the server.
  Server(asio::io_context& io, ServerOptions options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds "ip:port" (port 0 lets the kernel choose); returns the port.
  Result<uint16_t> Listen(const std::string& address);

  /// Closes each connection with its next response from now on. Thread-safe.
  void BeginShutdown();

  /// Stops accepting connections and closes those that have no request in
  /// flight. Requests that have been received, completely or in part, are
  /// answered; the last response on a connection closes it. `done` runs on the
  /// thread of `io` once further connections are refused. Thread-safe.
  void StopAccepting(std::function<void()> done = [] {});

  /// Number of requests read and not yet answered. Thread-safe.
  int64_t open_requests() const;

  /// Number of connections accepted and not yet closed. Thread-safe.
  size_t connections() const;

  /// Public only for the helpers of the implementation.
  struct Private;

 private:
  std::shared_ptr<Private> d_;
};

}  // namespace mimosarail::http
