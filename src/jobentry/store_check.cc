#include "src/jobentry/store_check.h"

#include <utility>

#include "src/libs/logging/log.h"

namespace mimosarail::jobentry {

void StoreCheck::Run(std::function<void(bool served)> done) {
  const bool fresh = executor_.Now() - checked_at_ < options_.max_age;
  // A store known to be unavailable is checked again, but no call waits for
  // the result.
  if (fresh || !served_) done(served_);
  if (fresh) return;
  if (served_) waiters_.push_back(std::move(done));
  if (std::exchange(running_, true)) return;
  store_.ReadNewest(
      options_.table, "", options_.timeout,
      [this](const Result<ports::NewestPage>& page) { OnChecked(page.ok()); });
}

void StoreCheck::OnChecked(bool served) {
  running_ = false;
  served_ = served;
  checked_at_ = executor_.Now();
  logging::Event(logging::Level::kInfo, "store checked",
                 {{"serves", served ? "yes" : "no"},
                  {"waiting", std::to_string(waiters_.size())}});
  for (const auto& waiter : std::exchange(waiters_, {})) waiter(served_);
}

}  // namespace mimosarail::jobentry
