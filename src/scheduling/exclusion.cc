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

/// Returns how many tasks of the step may use this capacity of one upstream.
int32_t MaxTasks(const wire::StepSpec& step, const Amount& free) {
  const int32_t fit = FitCount(free, TaskResources(step));
  return step.max_per_upstream > 0 ? std::min(fit, step.max_per_upstream) : fit;
}

}  // namespace

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

void Scheduler::NoteRunAtWork(const JobRecord& record, UpstreamIndex upstream,
                              const ports::RunningTask& running, TimePoint now,
                              Orders& orders) {
  UpstreamHealth& health = pool_.at(upstream).health;
  const bool starts_up = record.job.step(running.task.step).long_running &&
                         running.percent < kReadyPercent;
  if (!health.suspect() || starts_up) return;
  const int failures = health.failures();
  const Millis lasted =
      pool_.RunTime(upstream, running.task, running.attempt, now);
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
  if (now < step_state.exclusion.valid_until) return;
  StepFailures failures = FailuresOf(record, id);
  if (!failures.any && !step.gang) return;
  step_state.exclusion = {.valid_until = now + kExclusionMaxAge};
  std::set<UpstreamIndex>& excluded = failures.upstreams;
  const bool advised = record.job.queue().advised;
  // Tasks that fit on the upstreams if empty: on those not excluded, and on all
  // if each suspect one gets a single probe start.
  int64_t fit_elsewhere = 0;
  int64_t fit_with_probes = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    const Upstream& it = pool_.at(upstream);
    if (!it.AcceptsWork() || !Matches(upstream, record, step)) continue;
    const bool asked = step_state.advice.upstreams.count(upstream) > 0;
    if (advised && asked && !step_state.advice.Allowed(upstream)) continue;
    const int32_t fit = MaxTasks(step, it.capacity);
    const bool suspect = it.health.suspect();
    fit_with_probes += suspect ? std::min(fit, 1) : fit;
    if (suspect) excluded.insert(upstream);
    if (excluded.count(upstream) == 0) fit_elsewhere += fit;
  }
  // Excludes upstreams only if the others, allowed or not asked about yet,
  // could take the gang when empty, or one task if the step is no gang.
  // Otherwise a step without an alternative would wait forever.
  const int32_t needed = step.gang ? step.tasks : 1;
  if (failures.any && fit_elsewhere >= needed) {
    step_state.exclusion.excluded = std::move(excluded);
  }
  step_state.exclusion.allows_suspects = step.gang && fit_with_probes < needed;
}

}  // namespace mimosarail::scheduling
