#include "src/fleet/upstream_clock.h"

#include <algorithm>

namespace mimosarail::fleet {
namespace {

/// A reading arrives at most this long after it was taken, unless this process
/// was paused.
constexpr Millis kMaxReplyTime{2000};

}  // namespace

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

bool UpstreamClock::Continues(int64_t clock_ms, TimePoint sent,
                              TimePoint received) const {
  if (!known()) return false;
  const std::chrono::duration<double, std::milli> elapsed = sent - received_at_;
  const int64_t earliest =
      newest_ms_ + static_cast<int64_t>(elapsed.count() / kClockDriftFactor);
  const int64_t latest = EstimateAt(received + kMaxReplyTime);
  return clock_ms >= earliest && clock_ms <= latest;
}

}  // namespace mimosarail::fleet
