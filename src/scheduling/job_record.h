#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "src/jobs/failure_streak.h"
#include "src/jobs/job.h"
#include "src/scheduling/account_ledger.h"
#include "src/scheduling/advice_state.h"
#include "src/scheduling/gang_plan.h"
#include "src/scheduling/placement_exclusion.h"
#include "src/scheduling/speed_choice.h"
#include "src/scheduling/step_queue.h"

namespace mimosarail::scheduling {

/// Scheduling state of one step of one occurrence.
struct StepState {
  bool queued = false;
  /// Position in the queue; set if `queued`.
  QueueKey key;
  StepAdvice advice;
  PlacementExclusion exclusion;
  /// When the step was first placed since it was queued; unset before.
  std::optional<TimePoint> waits_since{};
  /// Failures of all tasks since a run of the step succeeded or outlasted the
  /// failed ones.
  FailureStreak failure_streak;
  /// For a waiting gang: where and when it could start. Computed again after
  /// `plan_valid_until`.
  GangPlan plan;
  TimePoint plan_valid_until{};
  /// What the step needs of the speed of its upstreams; unset unless speeds
  /// are in use. Computed again after `speed_needs_valid_until`.
  std::optional<SpeedNeeds> speed_needs;
  TimePoint speed_needs_valid_until{};
  /// Whether advice is needed is not checked again before this time.
  TimePoint next_advice_check{};
  /// A member of the gang could not start, ended without success, stalled,
  /// was lost or is being moved. All members have to end before the gang
  /// restarts.
  bool broken = false;
  TimePoint broken_since{};
  /// Sets `broken`; `broken_since` only if that is new.
  void MarkBroken(TimePoint now) {
    if (!broken) broken_since = now;
    broken = true;
  }
  /// For a running gang: when it is expected to end.
  TimePoint expected_end{};
  /// When a task of the step first waited for a faster upstream.
  std::optional<TimePoint> waits_for_faster_since{};
};

/// A job with its scheduling state.
struct JobRecord {
  explicit JobRecord(const wire::JobSpec& spec) : job(spec) {}
  Job job;
  AccountIndex account = kNoAccount;
  /// When the job was accepted, or its first occurrence became due. The
  /// positions of its steps in the queue depend on it.
  TimePoint accepted_at{};
  /// Runs of this job may exist that no upstream has reported yet. No task of
  /// it starts.
  bool may_have_unreported_runs = false;
  /// Its waiting tasks are charged to the account as if they ran, since runs
  /// of this job may exist that no upstream has reported yet. Unlike
  /// may_have_unreported_runs, also set for cancelled and failed jobs.
  bool counts_as_unreported = false;
  /// When the job became final; unset if it was final when loaded.
  std::optional<TimePoint> ended_at;
  /// Number of occurrences whose steps may be queued. Further ones may be
  /// due; see Scheduler::OpenDueOccurrences().
  int32_t due_occurrences = 0;
  /// All occurrences before this one are done.
  int32_t done_occurrences = 0;
  /// Number of steps without predecessors that are queued.
  int32_t queued_first_steps = 0;
  /// Bytes of memory that the job counts with; see Scheduler::memory_bytes().
  size_t memory_bytes = 0;
  /// By step index. A step has a state from when it is first queued until it
  /// is done.
  std::unordered_map<size_t, StepState> step_states;
  /// Allocates the state of a step that has none.
  StepState& step_state(int32_t occurrence, int32_t step) {
    return step_states[StepStateIndex(occurrence, step)];
  }
  const StepState& step_state(int32_t occurrence, int32_t step) const {
    static const StepState kNewStep;
    const auto found = step_states.find(StepStateIndex(occurrence, step));
    return found == step_states.end() ? kNewStep : found->second;
  }
  size_t StepStateIndex(int32_t occurrence, int32_t step) const {
    return static_cast<size_t>(occurrence) * static_cast<size_t>(job.steps()) +
           static_cast<size_t>(step);
  }
};

/// When the next occurrence of a job is due.
struct DueTime {
  int64_t unix_ms = 0;
  JobId job{};

  bool operator<(const DueTime& other) const {
    return std::tie(unix_ms, job) < std::tie(other.unix_ms, other.job);
  }
};

}  // namespace mimosarail::scheduling
