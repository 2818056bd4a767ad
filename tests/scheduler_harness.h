#pragma once

#include <string>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {

inline constexpr AdviceBudget kAmpleBudget{.any = 50, .urgent_only = 5};

/// Returns a job of one step in queue "q", whose tasks may fail twice.
inline wire::JobSpec Spec(JobId id, int32_t tasks, int32_t millicores) {
  wire::JobSpec spec;
  spec.id = static_cast<int64_t>(id);
  spec.queue.name = "q";
  spec.queue.pool = "pool";
  spec.queue.max_attempts = 2;
  spec.queue.slack_factor = 2;
  wire::StepSpec step;
  step.tasks = tasks;
  step.millicores = millicores;
  step.memory_mb = 100;
  step.estimate_ms = 1000;
  spec.steps.push_back(step);
  return spec;
}

/// A scheduler whose upstreams accept every start, with a clock that the test
/// sets.
class SchedulerHarness {
 public:
  explicit SchedulerHarness(int upstreams, int32_t millicores = 16000) {
    for (int i = 0; i < upstreams; ++i) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(i);
      entry.pool = "pool";
      entry.rack = "r" + std::to_string(i / 8);
      entry.capacity = {.millicores = millicores, .memory_mb = 32000};
      const UpstreamIndex index = scheduler.pool().Update(entry);
      scheduler.pool().at(index).reachable = true;
    }
    Orders none;
    scheduler.ResolveAll(now, none);
  }

  /// Makes one placement pass and confirms all starts.
  Orders Place(AdviceBudget budget = kAmpleBudget) {
    Orders orders;
    scheduler.Place(now, budget, orders);
    for (const StartOrder& start : orders.starts) {
      Orders more;
      scheduler.OnStartReply(start, ports::CallVerdict::kDone, now, more);
    }
    return orders;
  }
  /// The upstream reports the end of a run.
  Orders EndRun(const StartOrder& start, ports::EndKind kind) {
    Orders orders;
    scheduler.OnEnd(start.upstream,
                    {.number = ++ends,
                     .task = start.task,
                     .attempt = start.attempt,
                     .kind = kind},
                    now, orders);
    return orders;
  }

  /// The upstream reports the progress of a task. Returns the number of stops
  /// that are ordered.
  size_t ReportProgress(const StartOrder& start, int32_t percent) {
    Orders orders;
    scheduler.OnRunning(
        start.upstream,
        {{.task = start.task, .attempt = start.attempt, .percent = percent}},
        now, orders);
    return orders.stops.size();
  }

  Scheduler scheduler{SchedulerOptions{}};
  TimePoint now = TimePoint() + std::chrono::hours(1);
  int64_t ends = 0;
};

}  // namespace mimosarail::scheduling
