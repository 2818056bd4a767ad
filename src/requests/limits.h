#pragma once

#include <cstdint>

#include "src/libs/base/executor.h"
#include "src/requests/record.h"

// Durations and limits shared by the source files of Requests.
namespace mimosarail::requests {

/// Interval of the checks of running requests, and of repeated calls to peers.
inline constexpr Millis kCheckInterval{1000};
/// Bounds of the delay after which a refused caller should retry.
inline constexpr int64_t kMinRetryAfterMs = 1000;
inline constexpr int64_t kMaxRetryAfterMs = 60000;

/// Returns whether a task with this result had started.
inline bool HadStarted(wire::TaskEnd::type end) {
  return end != wire::TaskEnd::kNotStarted;
}

}  // namespace mimosarail::requests
