#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

/// Calls that wait here, at the callers' entry, instead of being repeated at a
/// leader that can't take them yet. Control thread only; it outlives what its
/// executor runs.
class WaitingCalls {
 public:
  explicit WaitingCalls(Executor& executor) : executor_(executor) {}

  /// Runs `resume` once: with the next ReleaseAll(), or after `longest`.
  void Wait(Millis longest, std::function<void()> resume);
  /// Resumes all that wait now, those that waited longest first.
  void ReleaseAll();

 private:
  Executor& executor_;
  int64_t last_number_ = 0;
  std::map<int64_t, std::function<void()>> waiting_;
};

}  // namespace mimosarail::jobentry
