#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

/// Holds calls at the entry that received them, while no leader can accept them
/// or until their next retry, so that they need not be repeated at the leader.
/// Control thread only. Must outlive the callbacks queued in its executor.
class WaitingCalls {
 public:
  explicit WaitingCalls(Executor& executor) : executor_(executor) {}

  /// Runs `resume` once: at the next ReleaseAll(), or after `timeout`.
  void Wait(Millis timeout, std::function<void()> resume);
  /// Resumes all waiting calls, in the order of their Wait().
  void ReleaseAll();
  int64_t size() const { return static_cast<int64_t>(waiting_.size()); }

 private:
  Executor& executor_;
  int64_t last_number_ = 0;
  /// Callbacks of the waiting calls, by a number that increases with each
  /// Wait().
  std::map<int64_t, std::function<void()>> waiting_;
};

}  // namespace mimosarail::jobentry
