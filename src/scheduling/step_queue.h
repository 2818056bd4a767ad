#pragma once

#include <cstdint>

#include "src/jobs/task_id.h"
#include "src/scheduling/account_ledger.h"
#include "src/scheduling/delay_cost.h"

namespace mimosarail::scheduling {

/// Position of a step in the queue: by band, then by the latest start with
/// which the step keeps its value.
struct QueueKey {
  ValueBand band = 0;
  int64_t latest_start_ms = 0;
  StepId id;
  AccountIndex account = kNoAccount;
  int32_t priority = 0;
  Timeliness timeliness = Timeliness::kInTime;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on =default
  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

}  // namespace mimosarail::scheduling
