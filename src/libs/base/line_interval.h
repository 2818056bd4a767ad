#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "src/libs/base/executor.h"

namespace mimosarail {

/// Bounds how often a kind of log line is written. Not thread-safe.
class LineInterval {
 public:
  static constexpr Millis kInterval{1000};

  /// Notes an event. Returns how many events have passed without a line since
  /// the last one if a line is due now, and nothing otherwise.
  std::optional<int64_t> Add(TimePoint now) {
    if (next_line_ && now < *next_line_) {
      ++not_logged_;
      return std::nullopt;
    }
    next_line_ = now + kInterval;
    return std::exchange(not_logged_, 0);
  }

 private:
  std::optional<TimePoint> next_line_;
  int64_t not_logged_ = 0;
};

}  // namespace mimosarail
