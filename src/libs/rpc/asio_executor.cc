#include "src/libs/rpc/asio_executor.h"

#include <asio.hpp>
#include <ctime>

namespace mimosarail::rpc {

int64_t AsioExecutor::UnixMillis() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

Millis AsioExecutor::Suspended() const {
  const auto read = [](clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  };
  return std::chrono::duration_cast<Millis>(read(CLOCK_BOOTTIME) -
                                            read(CLOCK_MONOTONIC));
}

void AsioExecutor::Post(std::function<void()> work) {
  asio::post(io_, std::move(work));
}

void AsioExecutor::RunAfter(Millis delay, std::function<void()> work) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, work = std::move(work)](std::error_code error) {
    if (!error) work();
  });
}

}  // namespace mimosarail::rpc
