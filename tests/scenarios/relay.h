#pragma once

#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace mimosarail::scenarios {

/// Stands before one process's TCP and UDP port and can be cut: what others
/// send it is then swallowed, what it sends itself still goes out.
class Relay {
 public:
  /// Listens on `from`, passes on to `to`; both are loopback ports. `io` must
  /// run on one thread and outlive the relay.
  Relay(asio::io_context& io, int from, int to);
  ~Relay();
  /// Thread-safe. Cutting also breaks the connections that stand.
  void SetCut(bool cut);

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

}  // namespace mimosarail::scenarios
