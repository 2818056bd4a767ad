#pragma once

#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace mimosarail::scenarios {

/// Forwards the TCP and UDP port of one process. While inbound traffic is
/// blocked, all that other processes send to it is dropped; its own outgoing
/// traffic is not affected.
class Relay {
 public:
  /// Listens on `from` and forwards to `to`; both are loopback ports. `io` must
  /// run on one thread and outlive the relay.
  Relay(asio::io_context& io, int from, int to);
  ~Relay();
  /// Blocking also closes the existing connections. Thread-safe.
  void SetInboundBlocked(bool blocked);

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

}  // namespace mimosarail::scenarios
