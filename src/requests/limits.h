#pragma once

#include <cstdint>

#include "src/libs/base/executor.h"
#include "src/requests/record.h"

// Durations and limits shared by the source files of Requests.
namespace mimosarail::requests {

inline constexpr Millis kCheckInterval{1000};
inline constexpr int64_t kMinRetryMs = 1000;
inline constexpr int64_t kMaxRetryMs = 60000;

/// Returns whether a task with this result had started.
inline bool HadStarted(wire::TaskEnd::type end) {
  return end != wire::TaskEnd::kNotStarted;
}

}  // namespace mimosarail::requests
