#include "src/scheduling/gang_plan.h"

#include <algorithm>
#include <utility>

namespace mimosarail::scheduling {
namespace {

/// A run that is overdue is expected to end after this time from now.
constexpr Millis kOverdueGrace{100};

}  // namespace

SlotTimes FindSlots(const UpstreamPool& pool, UpstreamIndex upstream,
                    const Amount& size, const Amount& blocked,
                    int32_t max_tasks, TimePoint now) {
  const Upstream& it = pool.at(upstream);
  SlotTimes out{.upstream = upstream};
  Amount free = it.free;
  free -= blocked;
  const TimePoint earliest = std::max(now, it.health.backoff_until());
  const auto add_slots = [&](TimePoint when) {
    while (static_cast<int32_t>(out.times.size()) < max_tasks &&
           size.FitsIn(free)) {
      free -= size;
      out.times.push_back(std::max(earliest, when));
    }
  };
  add_slots(now);
  if (static_cast<int32_t>(out.times.size()) == max_tasks) return out;
  std::vector<std::pair<TimePoint, const Amount*>> ends;
  ends.reserve(it.reservations.size());
  for (const auto& [run, reservation] : it.reservations) {
    if (reservation.expected_end == TimePoint::max()) continue;
    ends.emplace_back(std::max(reservation.expected_end, now + kOverdueGrace),
                      &reservation.amount);
  }
  std::sort(ends.begin(), ends.end());
  for (const auto& [when, amount] : ends) {
    free += *amount;
    add_slots(when);
  }
  return out;
}

GangPlan EarliestPlan(const std::vector<SlotTimes>& slots, int32_t tasks) {
  std::vector<std::pair<TimePoint, UpstreamIndex>> all;
  for (const SlotTimes& slot : slots) {
    for (const TimePoint when : slot.times) {
      all.emplace_back(when, slot.upstream);
    }
  }
  GangPlan plan;
  const auto needed = static_cast<size_t>(tasks);
  if (all.size() < needed) return plan;
  std::sort(all.begin(), all.end());
  for (size_t i = 0; i < needed; ++i) ++plan.tasks_by_upstream[all[i].second];
  plan.ready_at = all[needed - 1].first;
  return plan;
}

}  // namespace mimosarail::scheduling
