// The part of Scheduler that judges upstreams by their failures, and keeps
// steps with failures off the upstreams that are likely to fail them again.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// The exclusion of a waiting step is recomputed after this time. It depends on
/// the step's own failures, which expire it at once, on failures of other
/// tasks, and on the adviser's answers.
constexpr Millis kExclusionMaxAge{500};

/// Longest time for which failures keep a gang, or a task that has failed, off
/// upstreams that have capacity for it.
constexpr Millis kMaxAvoidance{2000};
/// The same while half of the pool is in use, so that other upstreams are only
/// busy. A failing upstream, which looks idle, would otherwise use up the
/// attempts of tasks that wait their turn.
constexpr Millis kMaxAvoidanceIfBusy{20000};

/// Returns how many waiting tasks of the step the upstream could run once all
/// tasks there have ended that end by themselves.
int32_t TasksInTheLongRun(const UpstreamPool& pool, UpstreamIndex upstream,
                          const wire::StepSpec& step, const StepId& id) {
  const Upstream& it = pool.at(upstream);
  Amount free = it.capacity;
  free -= it.held_long;
  const int32_t fit = FitCount(free, TaskResources(step));
  if (step.max_per_upstream <= 0) return fit;
  const int32_t held = step.long_running ? pool.ReservedTasks(upstream, id) : 0;
  return std::clamp(step.max_per_upstream - held, 0, fit);
}

/// Failures in a row of a task, and of all tasks of a step, that count against
/// their upstreams. What still fails is more likely to be at fault itself.
constexpr int kUpstreamFailuresPerTask = 2;
constexpr int kUpstreamFailuresPerStep = 4;
/// Delay of the restart of a long-running task after its first failure beyond
/// kUpstreamFailuresPerTask; each further one is twice as long. With the
/// maximum, the task runs again well before it has been down for 6 s.
constexpr Millis kInitialRestartDelay{500};
constexpr Millis kMaxRestartDelay{4000};

Millis RestartDelay(int failures_in_a_row) {
  Millis delay = kInitialRestartDelay;
  for (int i = kUpstreamFailuresPerTask + 1;
       i < failures_in_a_row && delay < kMaxRestartDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, kMaxRestartDelay);
}

}  // namespace

void Scheduler::BlameForFailure(JobRecord& record, const FailedRun& run,
                                TimePoint now, Orders& orders) {
  const StepId step = run.task.step_id();
  FailureStreak& step_streak =
      record.step_state(step.occurrence, step.step).failure_streak;
  Task& keeper = record.job.MutableTask(record.job.FailureKeeper(run.task));
  step_streak.NoteFailure(run.lasted);
  keeper.failure_streak.NoteFailure(run.lasted);
  const int failures = keeper.failure_streak.length();
  // If all failures counted against upstreams, a service that never stops
  // failing would keep them in backoff and take each start that they get.
  if (failures <= kUpstreamFailuresPerTask && !IsAtFault(record, step)) {
    NoteUpstreamFailure(run, now, 1, orders);
  } else {
    pool_.at(run.upstream).health.NoteFailureOfFaultyStep(step, now);
  }
  keeper.avoids_since = now;
  if (failures <= kUpstreamFailuresPerTask ||
      !record.job.step(step.step).long_running) {
    return;
  }
  keeper.earliest_start = now + RestartDelay(failures);
  keeper.avoids_since = keeper.earliest_start;
  orders.delayed_restarts.push_back({.task = run.task,
                                     .failures = failures,
                                     .delay = RestartDelay(failures)});
}

bool Scheduler::IsAtFault(const JobRecord& record, const StepId& id) const {
  return record.step_state(id.occurrence, id.step).failure_streak.length() >
         kUpstreamFailuresPerStep;
}

int32_t Scheduler::DelayedRestarts(const JobRecord& record, const StepId& id,
                                   TimePoint now) const {
  const Job& job = record.job;
  const wire::StepSpec& step = job.step(id.step);
  if (!step.long_running && !silent_upstreams_.AnyAwaitsFate() &&
      earlier_runs_.empty()) {
    return 0;
  }
  const int32_t waiting = job.step_counts(id.occurrence, id.step).waiting;
  int32_t delayed = 0;
  for (int32_t i = 0; i < step.tasks; ++i) {
    const TaskId id_of_task{id.job, id.occurrence, id.step, i};
    const Task& task = job.task(id_of_task);
    if (task.phase != TaskPhase::kWaiting) continue;
    const Task& keeper = job.task(job.FailureKeeper(id_of_task));
    if (now >= keeper.earliest_start && !AwaitsEvidence(task) &&
        !earlier_runs_.IsRunning(id_of_task, pool_)) {
      continue;
    }
    if (step.gang) return waiting;
    ++delayed;
  }
  return delayed;
}

void Scheduler::NoteUpstreamFailure(const FailedRun& run, TimePoint now,
                                    int weight, Orders& orders) {
  UpstreamHealth& health = pool_.at(run.upstream).health;
  const bool was_suspect = health.suspect();
  const bool was_in_backoff = health.InBackoff(now);
  health.NoteFailure(now, run.lasted, weight);
  HealthEvent event{.upstream = run.upstream,
                    .task = run.task,
                    .failures = health.failures()};
  if (!was_in_backoff && health.InBackoff(now)) {
    event.change = HealthChange::kBackoff;
    event.backoff =
        std::chrono::duration_cast<Millis>(health.backoff_until() - now);
  } else if (was_suspect) {
    return;
  }
  orders.health.push_back(event);
}

void Scheduler::NoteUpstreamSuccess(UpstreamIndex upstream, const TaskId& task,
                                    Orders& orders) {
  UpstreamHealth& health = pool_.at(upstream).health;
  if (health.suspect()) {
    orders.health.push_back({.upstream = upstream,
                             .change = HealthChange::kHealthy,
                             .task = task,
                             .failures = health.failures()});
  }
  health.NoteSuccess();
}

void Scheduler::NoteRunAtWork(JobRecord& record, UpstreamIndex upstream,
                              const ports::RunningTask& running, TimePoint now,
                              Orders& orders) {
  UpstreamHealth& health = pool_.at(upstream).health;
  const bool starts_up = record.job.step(running.task.step).long_running &&
                         running.percent < kReadyPercent;
  if (starts_up) return;
  const Millis lasted =
      pool_.RunTime(upstream, running.task, running.attempt, now);
  const TaskId keeper = record.job.FailureKeeper(running.task);
  const FailureStreak& task_streak = record.job.task(keeper).failure_streak;
  if (task_streak.length() > 0 && task_streak.IsOverAfter(lasted)) {
    record.job.MutableTask(keeper).failure_streak.Reset();
  }
  FailureStreak& step_streak =
      record.step_state(running.task.occurrence, running.task.step)
          .failure_streak;
  if (step_streak.IsOverAfter(lasted)) step_streak.Reset();
  const int failures = health.failures();
  if (!health.NoteAtWork(now - lasted, now)) return;
  orders.health.push_back({.upstream = upstream,
                           .change = HealthChange::kHealthy,
                           .task = running.task,
                           .failures = failures});
}

void Scheduler::RemoveExcluded(const PlacementExclusion& exclusion,
                               std::vector<Candidate>& candidates) {
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return exclusion.excluded.count(candidate.upstream) > 0;
  });
}

StepFailures Scheduler::FailuresOf(const JobRecord& record,
                                   const StepId& id) const {
  StepFailures out;
  for (int32_t i = 0; i < record.job.step(id.step).tasks; ++i) {
    const Task& task = record.job.task({id.job, id.occurrence, id.step, i});
    out.any = out.any || task.failures() > 0;
    if (task.failed_upstream != kNoUpstream) {
      out.upstreams.insert(task.failed_upstream);
    }
  }
  return out;
}

void Scheduler::UpdateExclusion(JobRecord& record, const StepId& id,
                                TimePoint now) {
  const wire::StepSpec& step = record.job.step(id.step);
  StepState& step_state = record.step_state(id.occurrence, id.step);
  if (!step_state.waits_since) step_state.waits_since = now;
  if (now < step_state.exclusion.valid_until) return;
  StepFailures failures = FailuresOf(record, id);
  if (!failures.any && !step.gang) return;
  step_state.exclusion = {.valid_until = now + kExclusionMaxAge};
  std::set<UpstreamIndex>& excluded = failures.upstreams;
  const bool advised = record.job.queue().advised;
  // Tasks that fit in the long run: on the upstreams not excluded, and on all
  // if each suspect one gets a single probe start.
  int64_t fit_elsewhere = 0;
  int64_t fit_with_probes = 0;
  int64_t pool_millicores = 0;
  int64_t free_millicores = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    const Upstream& it = pool_.at(upstream);
    if (!it.AcceptsWork()) continue;
    if (it.entry.pool == record.job.queue().pool) {
      pool_millicores += it.capacity[Dimension::kCores];
      free_millicores += it.free[Dimension::kCores];
    }
    if (!Matches(upstream, record, step)) continue;
    const bool asked = step_state.advice.upstreams.count(upstream) > 0;
    if (advised && asked && !step_state.advice.Allowed(upstream)) continue;
    const int32_t fit = TasksInTheLongRun(pool_, upstream, step, id);
    const bool suspect = it.health.suspect();
    fit_with_probes += suspect ? std::min(fit, 1) : fit;
    if (suspect) excluded.insert(upstream);
    if (excluded.count(upstream) == 0) fit_elsewhere += fit;
  }
  // Excludes upstreams only if the others, allowed or not asked about yet,
  // could take the gang in the long run, or one task if the step is no gang.
  // Otherwise a step without an alternative would wait for nothing.
  const int32_t needed = step.gang ? step.tasks : 1;
  const bool busy = 2 * free_millicores <= pool_millicores;
  const Millis max_avoidance =
      busy && !step.long_running ? kMaxAvoidanceIfBusy : kMaxAvoidance;
  const bool gave_up =
      step.gang && now - *step_state.waits_since >= max_avoidance;
  step_state.exclusion.max_avoidance = max_avoidance;
  if (failures.any && fit_elsewhere >= needed && !gave_up) {
    step_state.exclusion.excluded = std::move(excluded);
  }
  step_state.exclusion.allows_suspects =
      step.gang && (gave_up || fit_with_probes < needed);
}

}  // namespace mimosarail::scheduling
