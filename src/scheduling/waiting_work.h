#pragma once

#include <cstdint>

#include "src/jobs/job.h"
#include "src/scheduling/delay_cost.h"

namespace mimosarail::scheduling {

/// The waiting tasks of one step, as seen by those who estimate how long other
/// work has to wait for them. Valid until the scheduler changes.
struct WaitingStep {
  const Job* job = nullptr;
  int32_t step = 0;
  int32_t tasks = 0;
  Timeliness timeliness = Timeliness::kInTime;
  /// The latest start with which the step keeps this value, in ms of the steady
  /// clock.
  int64_t latest_start_ms = 0;
};

/// Returns the estimated duration of a task of the step, with the default for
/// callers that give none; 0 if it is long-running. Thread-safe.
Millis EstimatedDuration(const wire::StepSpec& step);

/// Returns the estimated work of `tasks` tasks of the step in core-milliseconds
/// (a core for 1 ms). Thread-safe.
double EstimatedWork(const wire::StepSpec& step, int32_t tasks);

}  // namespace mimosarail::scheduling
