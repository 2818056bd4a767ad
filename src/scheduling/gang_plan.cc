#include "src/scheduling/gang_plan.h"

#include <algorithm>
#include <utility>

namespace mimosarail::scheduling {
namespace {

/// An overdue run is expected to end after this time.
constexpr Millis kOverdueGrace{100};

}  // namespace

SlotTimes FindSlots(const UpstreamPool& pool, UpstreamIndex upstream,
                    const Amount& size, const Amount& blocked, int32_t most,
                    TimePoint now) {
  const Upstream& it = pool.at(upstream);
  SlotTimes out{.upstream = upstream};
  Amount free = it.free;
  free -= blocked;
  const TimePoint earliest = std::max(now, it.health.backoff_until);
  const auto take = [&](TimePoint when) {
    while (static_cast<int32_t>(out.times.size()) < most && size.FitsIn(free)) {
      free -= size;
      out.times.push_back(std::max(earliest, when));
    }
  };
  take(now);
  if (static_cast<int32_t>(out.times.size()) == most) return out;
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
    take(when);
  }
  return out;
}

GangPlan EarliestPlan(const std::vector<SlotTimes>& slots, int32_t tasks) {
  std::vector<std::pair<TimePoint, UpstreamIndex>> all;
  for (const SlotTimes& of : slots) {
    for (const TimePoint when : of.times) all.emplace_back(when, of.upstream);
  }
  GangPlan plan;
  const auto wanted = static_cast<size_t>(tasks);
  if (all.size() < wanted) return plan;
  std::sort(all.begin(), all.end());
  for (size_t i = 0; i < wanted; ++i) ++plan.places[all[i].second];
  plan.ready = all[wanted - 1].first;
  return plan;
}

}  // namespace mimosarail::scheduling
