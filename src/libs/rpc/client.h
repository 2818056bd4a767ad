#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"
#include "src/libs/metrics/traffic.h"
#include "src/libs/rpc/codec.h"
#include "src/libs/rpc/method.h"

namespace asio {
class io_context;
}

namespace mimosarail::rpc {

/// Calls methods of other processes over framed TCP, with one multiplexed
/// connection per address. Thread-safe. A failed call may have taken effect.
class Client {
 public:
  /// `io` and `traffic`, which may be null, must outlive the client's last
  /// callback. `traffic` counts frames as "ask" and the name of the method.
  /// `send_buffer_bytes` bounds what waits in the kernel on each connection; 0
  /// leaves it to the system.
  explicit Client(asio::io_context& io, metrics::Traffic* traffic = nullptr,
                  int send_buffer_bytes = 0);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// `address` is "ip:port". `done` runs once, on a thread of `io`.
  void Call(const std::string& address, Method method, std::string body,
            Millis timeout, Callback<std::string> done);

  /// Bytes of frames sent and received so far, for the metric of control
  /// traffic.
  int64_t bytes() const;

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

/// Client::Call() with typed messages: encodes the call and decodes the reply.
/// `done` runs on `executor`.
template <typename Reply, typename Message>
void CallTyped(Client& client, Executor& executor, const std::string& address,
               Method method, const Message& call, Millis timeout,
               Callback<Reply> done) {
  client.Call(address, method, Encode(call), timeout,
              [done = RunOn(executor, std::move(done))](
                  const Result<std::string>& bytes) {
                done(bytes.ok() ? Decode<Reply>(bytes.value())
                                : Result<Reply>(bytes.error()));
              });
}

}  // namespace mimosarail::rpc
