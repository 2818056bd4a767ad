#pragma once

#include <chrono>
#include <functional>

namespace mimosarail {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// Runs the control state's work on one thread and tells the monotonic time.
/// Everything posted or timed runs one after the other, never inside the call.
class Executor {
 public:
  virtual ~Executor() = default;
  /// Safe from any thread.
  virtual TimePoint Now() const = 0;
  /// Wall clock in ms since 1970, for records and rules only, never for leases.
  virtual int64_t UnixMillis() const = 0;
  /// How long this machine has been suspended in all; the monotonic clock does
  /// not count that time. Safe from any thread.
  virtual Millis Suspended() const { return Millis(0); }
  /// Safe from any thread.
  virtual void Post(std::function<void()> work) = 0;
  /// Safe from any thread; runs `work` no earlier than `delay` from now.
  virtual void RunAfter(Millis delay, std::function<void()> work) = 0;
};

/// Runs `work` every `period`, for as long as the executor lives.
inline void RunEvery(Executor& executor, Millis period,
                     std::function<void()> work) {
  executor.RunAfter(period, [&executor, period, work = std::move(work)] {
    work();
    RunEvery(executor, period, work);
  });
}

}  // namespace mimosarail
