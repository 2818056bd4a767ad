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

/// Path of the request's target, without the query.
std::string PathOf(const Request& request);

struct ClientOptions {
  /// Maximum number of connections to one address; further calls are queued.
  size_t max_connections = 16;
  /// An idle connection is not reused after this time, since the peer may be
  /// closing it at that moment, which would leave the outcome of a call on it
  /// unknown. Peers keep idle connections for 4 s or longer.
  Millis max_idle{2500};
  /// Time limit for opening a connection.
  Millis connect_timeout{700};
  /// A connection is aborted when sent data remains unacknowledged for this
  /// long (TCP_USER_TIMEOUT).
  Millis unacked_data_timeout{1500};
  /// Bounds what waits in the kernel on each connection; 0 leaves it to the
  /// system.
  int send_buffer_bytes = 0;
  size_t max_body = 4 << 20;
  /// Time limit for a complete response that arrives in parts, measured from
  /// the start of the call. Once the response has begun, the call's timeout
  /// limits the time between two parts. If 0, the call's timeout limits the
  /// complete response.
  Millis max_response_time{0};
  /// Counts requests and responses unless it is null; must outlive the client.
  metrics::Traffic* traffic = nullptr;
  /// Returns the kind under which a request and its response are counted.
  std::function<std::string(const Request&)> traffic_kind = PathOf;
};

/// HTTP/1.1 client that reuses connections. Every call has a timeout. Errors:
/// kUnavailable if nothing was sent; kTimeout, kDisconnected and kMalformed
/// if the call may have taken effect.
class Client {
 public:
  /// `io` is run by exactly one thread and must outlive the client.
  Client(asio::io_context& io, ClientOptions options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request. `address` is "ip:port". Adds Content-Length, and adds
  /// Host if the request lacks it. `done` runs once, on the thread of `io`.
  /// Thread-safe.
  void Call(const std::string& address, Request request, Millis timeout,
            Callback<Response> done);

  /// Number of connections opened so far. Thread-safe.
  int64_t connections_opened() const;

  /// Public only for the helpers of the implementation.
  struct Private;

 private:
  std::shared_ptr<Private> d_;
};

}  // namespace mimosarail::http
