#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "src/libs/base/executor.h"

namespace mimosarail {

/// Queues posted work until the test runs it. Its clock, which others may
/// share, advances only as far as the work itself or the test sets it.
class QueueingExecutor final : public Executor {
 public:
  explicit QueueingExecutor(TimePoint& now) : now_(now) {}
  TimePoint Now() const override { return now_; }
  int64_t UnixMillis() const override { return 0; }
  void Post(std::function<void()> work) override {
    posted_.push_back(std::move(work));
  }
  void RunAfter(Millis /*delay*/, std::function<void()> work) override {
    delayed_.push_back(std::move(work));
  }

  bool idle() const { return posted_.empty(); }
  /// Runs the oldest posted work. Precondition: not idle.
  void RunNext() {
    const auto work = std::move(posted_.front());
    posted_.pop_front();
    work();
  }
  /// Runs what is posted now, but not what that posts.
  void RunPosted() { RunAll(posted_); }
  void RunDelayed() { RunAll(delayed_); }

 private:
  static void RunAll(std::deque<std::function<void()>>& queue) {
    for (auto& work : std::exchange(queue, {})) work();
  }

  TimePoint& now_;
  std::deque<std::function<void()>> posted_;
  std::deque<std::function<void()>> delayed_;
};

}  // namespace mimosarail
