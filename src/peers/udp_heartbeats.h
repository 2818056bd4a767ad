#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/libs/base/result.h"
#include "src/membership/membership.h"

namespace asio {
class io_context;
}

namespace mimosarail::peers {

/// Sends and receives heartbeats over UDP. Send() may be called from any
/// thread; received heartbeats are passed to `receive` on the executor.
class UdpHeartbeats final : public membership::HeartbeatSender {
 public:
  /// `io` and `executor` must outlive it.
  UdpHeartbeats(asio::io_context& io, Executor& executor,
                std::function<void(const wire::Heartbeat&)> receive);
  ~UdpHeartbeats() override;
  /// Binds "ip:port" and returns the port.
  Result<uint16_t> Listen(const std::string& address);
  void Send(const std::string& address,
            const wire::Heartbeat& heartbeat) override;
  /// Bytes of datagrams sent and received so far. Thread-safe.
  int64_t bytes() const;

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

}  // namespace mimosarail::peers
