#pragma once

#include <algorithm>
#include <cstdint>

#include "src/libs/base/executor.h"

namespace mimosarail::maintenance {

/// Timeout of a call to the host API, which answers in about 20 ms, and in 1 s
/// at its slowest.
inline constexpr Millis kCallTimeout{2000};

/// Returns the minimum time between two calls at `per_s` calls per second.
/// Thread-safe.
inline Millis MinInterval(double per_s) {
  constexpr double kMsPerSecond = 1000;
  constexpr double kMinRate = 0.1;
  return Millis(static_cast<int64_t>(kMsPerSecond / std::max(kMinRate, per_s)));
}

}  // namespace mimosarail::maintenance
