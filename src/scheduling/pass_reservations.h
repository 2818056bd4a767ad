#pragma once

#include <cstdint>
#include <unordered_map>

#include "src/jobs/job.h"
#include "src/libs/base/executor.h"
#include "src/placement/amount.h"
#include "src/scheduling/gang_plan.h"

namespace mimosarail::scheduling {

/// Capacity of an upstream that a waiting gang has reserved in the current
/// pass. Steps further back in the queue can't use it.
struct PassReservation {
  Amount amount;
  /// When the gang needs the capacity. Tasks that end before may use it.
  TimePoint needed_at = TimePoint::max();
};

/// The capacity that waiting gangs reserve in one pass over the queue. Not
/// thread-safe.
class PassReservations {
 public:
  /// No gang may reserve once the tasks of those before it need this many
  /// millicores.
  explicit PassReservations(int64_t budget_millicores)
      : budget_millicores_(budget_millicores) {}

  bool HasBudget() const { return budget_millicores_ > 0; }
  /// Whether the gang may reserve capacity. If so, deducts its cores from the
  /// budget.
  bool UseBudget(const wire::StepSpec& step);
  /// Reserves the planned capacity for the rest of the pass.
  void Reserve(const wire::StepSpec& step, const GangPlan& plan);

  /// Returns null if nothing is reserved on the upstream.
  const PassReservation* Find(UpstreamIndex upstream) const;
  const std::unordered_map<UpstreamIndex, PassReservation>& by_upstream()
      const {
    return by_upstream_;
  }

 private:
  int64_t budget_millicores_ = 0;
  std::unordered_map<UpstreamIndex, PassReservation> by_upstream_;
};

}  // namespace mimosarail::scheduling
