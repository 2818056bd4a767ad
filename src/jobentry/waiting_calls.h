#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

/// Holds calls at the callers' entry while the leader can't accept them,
/// instead of repeating them at the leader. Control thread only. Must outlive
/// the tasks of its executor.
class WaitingCalls {
 public:
  explicit WaitingCalls(Executor& executor) : executor_(executor) {}

  /// Runs `resume` once: at the next ReleaseAll(), or after `timeout`.
  void Wait(Millis timeout, std::function<void()> resume);
  /// Resumes all waiting calls, in the order of their Wait().
  void ReleaseAll();

 private:
  Executor& executor_;
  int64_t last_number_ = 0;
  std::map<int64_t, std::function<void()>> waiting_;
};

}  // namespace mimosarail::jobentry
