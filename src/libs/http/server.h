#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"
#include "src/libs/http/message.h"
#include "src/libs/metrics/traffic.h"

namespace asio {
class io_context;
}

namespace mimosarail::http {

/// Takes the response of one request, once, on any thread.
using Responder = std::function<void(Response)>;
using Handler = std::function<void(Request, Responder)>;

struct ServerOptions {
  /// Most connections at once; further ones are closed as they come.
  size_t max_connections = 2000;
  /// A connection that has not finished sending a request is closed after
  /// this, so that slow senders cannot hold connections for ever.
  Millis request_timeout{5000};
  /// A connection without a request is closed after this.
  Millis idle_timeout{60000};
  size_t max_body = 1 << 20;
  /// Requests and responses are counted here as `traffic_kind`, if it is not
  /// null; it outlives the server.
  metrics::Traffic* traffic = nullptr;
  std::string traffic_kind = "served";
};

/// HTTP/1.1 server. `handler` runs on the thread of `io`.
class Server {
 public:
  /// One thread runs `io`, which outlives the server.
  Server(asio::io_context& io, ServerOptions options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds "ip:port" (port 0 lets the kernel choose); returns the port.
  Result<uint16_t> Listen(const std::string& address);

  /// From now on each response closes its connection. Thread-safe.
  void BeginShutdown();

  /// Takes no connection any more, and closes those on which no request is
  /// under way. Requests that were read, or of which a part has come, are
  /// answered, each connection's last one with its end. `done` runs on the
  /// thread of `io` when further connections are refused. Thread-safe.
  void StopAccepting(std::function<void()> done = [] {});

  /// Requests read and not yet answered. Thread-safe.
  int64_t open_requests() const;

  /// Connections accepted and not yet closed. Thread-safe.
  size_t connections() const;

  /// Named here only for the helpers of the implementation.
  struct Private;

 private:
  std::shared_ptr<Private> d_;
};

}  // namespace mimosarail::http
