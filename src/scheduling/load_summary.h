#pragma once

#include <cstdint>
#include <string>

#include "src/libs/base/executor.h"
#include "src/scheduling/account_shares.h"

namespace mimosarail::scheduling {

/// The runs on an upstream that have to end before its host can be taken out of
/// service.
struct UpstreamWork {
  int32_t tasks = 0;
  /// Long-running tasks of steps that limit how many may be unavailable, except
  /// those of final jobs.
  int32_t budgeted_tasks = 0;
  /// Time until the last task that has to run to completion is expected to end.
  /// Long-running tasks and tasks with checkpoints are not counted, even if
  /// Scheduler::EvictTasks() does not stop them.
  Millis drain_time{0};
  int64_t millicores = 0;
};

/// What the tasks of one account take, and how much of its work waits.
struct AccountLoad {
  std::string name;
  int64_t millicores = 0;
  /// 0 for no limit.
  int64_t limit_millicores = 0;
  int64_t waiting_steps = 0;
  /// The fraction of its dominant resource, of the cell's capacity, that the
  /// account may take before its steps go after those of other accounts;
  /// kUnlimitedShare unless QueueOrder::kDelayCost is set, accounts have
  /// weights and capacity is short.
  double share_due = kUnlimitedShare;
  /// The fraction that its tasks take now.
  double share_taken = 0;
};

}  // namespace mimosarail::scheduling
