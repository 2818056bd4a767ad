#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "src/libs/base/executor.h"

namespace mimosarail::sim {

/// A clock that advances only on request, and the work scheduled on it.
class ManualClock {
 public:
  TimePoint now() const { return now_; }
  void At(TimePoint when, std::function<void()> work) {
    queue_.emplace(std::pair(std::max(when, now_), ++sequence_),
                   std::move(work));
  }
  /// Runs all work due up to `until` and sets the clock to `until`.
  void RunUntil(TimePoint until) {
    while (!queue_.empty() && queue_.begin()->first.first <= until) {
      auto first = queue_.extract(queue_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = until;
  }
  void RunFor(Millis span) { RunUntil(now_ + span); }

 private:
  // Starts far from zero, as real monotonic clocks usually do.
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> queue_;
};

/// The time of day at `time`, in Unix ms.
inline int64_t UnixMillisAt(TimePoint time) {
  constexpr int64_t kUnixMsAtClockZero = 1796000000000;
  return kUnixMsAtClockZero +
         std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

/// The executor of one simulated process, which can be paused and killed.
class ManualExecutor final : public Executor {
 public:
  explicit ManualExecutor(ManualClock& clock) : clock_(clock) {}

  TimePoint Now() const override { return clock_.now(); }
  int64_t UnixMillis() const override { return UnixMillisAt(clock_.now()); }
  void Post(std::function<void()> work) override {
    RunAfter(Millis(0), std::move(work));
  }
  void RunAfter(Millis delay, std::function<void()> work) override {
    clock_.At(clock_.now() + delay, [this, work = std::move(work)]() mutable {
      Run(std::move(work));
    });
  }

  void Pause() { paused_ = true; }
  void Resume() {
    paused_ = false;
    for (auto& work : std::exchange(deferred_, {})) Post(std::move(work));
  }
  void Kill() { dead_ = true; }
  bool dead() const { return dead_; }
  bool paused() const { return paused_; }

 private:
  void Run(std::function<void()> work) {
    if (dead_) return;
    if (paused_) return deferred_.push_back(std::move(work));
    work();
  }

  ManualClock& clock_;
  bool paused_ = false;
  bool dead_ = false;
  std::vector<std::function<void()>> deferred_;
};

}  // namespace mimosarail::sim
