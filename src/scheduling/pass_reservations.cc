#include "src/scheduling/pass_reservations.h"

#include <algorithm>

namespace mimosarail::scheduling {

bool PassReservations::UseBudget(const wire::StepSpec& step) {
  if (!HasBudget()) return false;
  budget_millicores_ -=
      static_cast<int64_t>(step.tasks) * TaskResources(step)[Dimension::kCores];
  return true;
}

void PassReservations::Reserve(const wire::StepSpec& step,
                               const GangPlan& plan) {
  const Amount size = TaskResources(step);
  for (const auto& [upstream, tasks] : plan.tasks_by_upstream) {
    PassReservation& reservation = by_upstream_[upstream];
    for (int32_t n = 0; n < tasks; ++n) reservation.amount += size;
    reservation.needed_at = std::min(reservation.needed_at, plan.ready_at);
  }
}

const PassReservation* PassReservations::Find(UpstreamIndex upstream) const {
  const auto found = by_upstream_.find(upstream);
  return found == by_upstream_.end() ? nullptr : &found->second;
}

}  // namespace mimosarail::scheduling
