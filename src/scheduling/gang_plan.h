#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "src/scheduling/upstream_pool.h"

namespace mimosarail::scheduling {

/// Where and when all tasks of a gang could start together.
struct GangPlan {
  /// Number of tasks on each upstream; empty if the gang fits nowhere.
  std::map<UpstreamIndex, int32_t> places;
  TimePoint ready{};

  bool found() const { return !places.empty(); }
};

/// The times at which an upstream can take one more task, two more, and so on.
struct SlotTimes {
  UpstreamIndex upstream = kNoUpstream;
  std::vector<TimePoint> times;
};

/// Returns the times at which up to `most` tasks of `size` could start one
/// after the other if runs end as expected and nothing else starts. `blocked`
/// is kept free for other steps. No time is before `now` or before the end of
/// the upstream's backoff.
SlotTimes FindSlots(const UpstreamPool& pool, UpstreamIndex upstream,
                    const Amount& size, const Amount& blocked, int32_t most,
                    TimePoint now);

/// Combines the earliest slots for all tasks of a gang.
GangPlan EarliestPlan(const std::vector<SlotTimes>& slots, int32_t tasks);

}  // namespace mimosarail::scheduling
