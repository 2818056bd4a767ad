#pragma once

#include <cstdint>

#include "src/libs/base/executor.h"
#include "src/requests/record.h"

// Times and bounds that several parts of Requests share.
namespace mimosarail::requests {

inline constexpr Millis kCheckEvery{1000};
inline constexpr int64_t kShortRetryMs = 1000;
inline constexpr int64_t kLongestRetryMs = 60000;

/// Whether the end means that the task had started.
inline bool Ran(wire::TaskEnd::type end) {
  return end != wire::TaskEnd::kNotStarted;
}

}  // namespace mimosarail::requests
