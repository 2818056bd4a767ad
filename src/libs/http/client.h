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

/// Path of a request without its query.
std::string PathOf(const Request& request);

struct ClientOptions {
  /// Most connections to one address; calls beyond them wait their turn.
  size_t max_connections = 16;
  /// An idle connection is not used again after this, since the peer may be
  /// closing it just then and a call on it would be in doubt. Peers keep idle
  /// connections for 4 s or longer.
  Millis max_idle{2500};
  /// Limit of opening a connection.
  Millis connect_timeout{700};
  /// Unacknowledged data breaks a connection after this (TCP_USER_TIMEOUT).
  Millis silence_timeout{1500};
  size_t max_body = 4 << 20;
  /// An answer that has begun is waited for as long as no more than the call's
  /// timeout passes between two parts of it, and for no longer than this since
  /// the call; 0 if the call's timeout holds for the whole of it.
  Millis longest_answer{0};
  /// Requests and responses are counted here if it is not null; it outlives the
  /// client.
  metrics::Traffic* traffic = nullptr;
  /// Names the kind of message that a request and its response are counted as.
  std::function<std::string(const Request&)> traffic_kind = PathOf;
};

/// HTTP/1.1 client with reused connections. Every call has a timeout. Errors:
/// kUnavailable when nothing was sent; kTimeout, kDisconnected and kMalformed
/// when the call may have taken effect.
class Client {
 public:
  /// One thread runs `io`, which outlives the client.
  Client(asio::io_context& io, ClientOptions options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// `address` is "ip:port"; Host and Content-Length are added unless Host is
  /// there. `done` runs once, on the thread of `io`. Thread-safe.
  void Call(const std::string& address, Request request, Millis timeout,
            Callback<Response> done);

  /// Connections opened so far. Thread-safe.
  int64_t connections_opened() const;

  /// Named here only for the helpers of the implementation.
  struct Private;

 private:
  std::shared_ptr<Private> d_;
};

}  // namespace mimosarail::http
