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

/// Calls other processes over framed TCP, one multiplexed connection an
/// address. Thread-safe. A failed call says nothing about its effect.
class Client {
 public:
  /// `io` and `traffic`, which may be null, must outlive the client's last
  /// callback. Frames are counted there as "ask" and the call's name.
  explicit Client(asio::io_context& io, metrics::Traffic* traffic = nullptr);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// `address` is "ip:port". `done` runs once, on a thread of `io`.
  void Call(const std::string& address, Method method, std::string body,
            Millis timeout, Callback<std::string> done);

  /// Bytes of frames sent and received so far; for the control cost.
  int64_t bytes() const;

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

/// Call() with the typed messages encoded and decoded around it; `done` is
/// handed to `executor`.
template <typename Reply, typename Message>
void CallTyped(Client& client, Executor& executor, const std::string& address,
               Method method, const Message& call, Millis timeout,
               Callback<Reply> done) {
  client.Call(address, method, Encode(call), timeout,
              [&executor, done = std::move(done)](Result<std::string> bytes) {
                Result<Reply> reply = bytes.ok() ? Decode<Reply>(bytes.value())
                                                 : Result<Reply>(bytes.error());
                executor.Post([done, reply = std::move(reply)]() mutable {
                  done(std::move(reply));
                });
              });
}

}  // namespace mimosarail::rpc
