#include "src/fleet/upstream_clock.h"

#include <algorithm>

namespace mimosarail::fleet {

void UpstreamClock::Record(int64_t clock_ms, TimePoint now) {
  if (clock_ms <= newest_ms_) return;
  newest_ms_ = clock_ms;
  received_at_ = now;
}

int64_t UpstreamClock::EstimateAt(TimePoint now) const {
  const auto elapsed = std::chrono::duration_cast<Millis>(now - received_at_);
  return newest_ms_ + elapsed.count();
}

TimePoint UpstreamClock::ReadAt(int64_t clock_ms, TimePoint now) const {
  if (!known()) return now;
  return std::min(now, received_at_ + Millis(clock_ms - newest_ms_));
}

}  // namespace mimosarail::fleet
