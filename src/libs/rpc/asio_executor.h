#pragma once

#include <memory>

#include "src/libs/base/executor.h"

namespace asio {
class io_context;
}

namespace mimosarail::rpc {

/// Executor based on an io_context that is run by exactly one thread.
class AsioExecutor final : public Executor {
 public:
  /// `io` must outlive the executor.
  explicit AsioExecutor(asio::io_context& io) : io_(io) {}
  TimePoint Now() const override { return Clock::now(); }
  int64_t UnixMillis() const override;
  Millis Suspended() const override;
  void Post(std::function<void()> work) override;
  void RunAfter(Millis delay, std::function<void()> work) override;

 private:
  asio::io_context& io_;
};

}  // namespace mimosarail::rpc
