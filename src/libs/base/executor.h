#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include "src/libs/base/result.h"

namespace mimosarail {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// Runs all work that accesses the state of the instance on one thread, the
/// control thread, and provides the clocks. Posted and delayed work runs
/// sequentially, never inside the call that schedules it.
class Executor {
 public:
  virtual ~Executor() = default;
  /// Thread-safe.
  virtual TimePoint Now() const = 0;
  /// Wall-clock time in ms since 1970, for records, schedules and rules, never
  /// for leases.
  virtual int64_t UnixMillis() const = 0;
  /// Total time for which this machine has been suspended; the monotonic clock
  /// does not count it. Thread-safe.
  virtual Millis Suspended() const { return Millis(0); }
  /// Thread-safe.
  virtual void Post(std::function<void()> work) = 0;
  /// Thread-safe. Runs `work` no earlier than `delay` from now.
  virtual void RunAfter(Millis delay, std::function<void()> work) = 0;
};

/// Runs `work` every `period`, first after one period, until the executor is
/// destroyed.
inline void RunEvery(Executor& executor, Millis period,
                     std::function<void()> work) {
  executor.RunAfter(period, [&executor, period, work = std::move(work)] {
    work();
    RunEvery(executor, period, work);
  });
}

/// Returns a callback that passes its result to `done` on `executor`. It may be
/// called on any thread, but only once. `executor` must outlive it.
template <typename T>
Callback<T> RunOn(Executor& executor, Callback<T> done) {
  return [&executor, done = std::move(done)](Result<T> result) mutable {
    // If the calling thread kept a copy of `done`, it could be the last to
    // release what `done` owns. It would then change state of the control
    // thread, such as the map of open requests, while that thread uses it.
    executor.Post(
        [done = std::move(done), result = std::move(result)]() mutable {
          done(std::move(result));
        });
  };
}

}  // namespace mimosarail
