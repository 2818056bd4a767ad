#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "src/scheduling/upstream_pool.h"

namespace mimosarail::scheduling {

/// Where and when all tasks of a gang could start together.
struct GangPlan {
  /// Number of tasks on each upstream; empty if there is no plan.
  std::map<UpstreamIndex, int32_t> tasks_by_upstream;
  /// When all tasks can start.
  TimePoint ready_at{};

  bool found() const { return !tasks_by_upstream.empty(); }
};

/// The times at which an upstream can take one more task, two more, and so on.
struct SlotTimes {
  UpstreamIndex upstream = kNoUpstream;
  std::vector<TimePoint> times;
};

/// Returns when up to `max_tasks` tasks of `size` could start on the upstream,
/// if runs end as expected and nothing else starts. The capacity in `blocked`
/// is kept free for other steps. No time is before `now` or before the end of
/// the upstream's backoff.
SlotTimes FindSlots(const UpstreamPool& pool, UpstreamIndex upstream,
                    const Amount& size, const Amount& blocked,
                    int32_t max_tasks, TimePoint now);

/// Returns the plan with the earliest possible start for a gang of this many
/// tasks; empty if there are too few slots.
GangPlan EarliestPlan(const std::vector<SlotTimes>& slots, int32_t tasks);

}  // namespace mimosarail::scheduling
