#include "src/libs/rpc/asio_executor.h"

#include "src/libs/rpc/asio.h"

namespace mimosarail::rpc {

int64_t AsioExecutor::UnixMillis() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
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
