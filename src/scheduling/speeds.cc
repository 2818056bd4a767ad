// The part of Scheduler that observes the speeds of upstreams and derives from
// them how long runs take and which upstreams suit a step.

#include <algorithm>
#include <limits>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// Once in use, speeds are used until the spread is below this fraction of the
/// setting, so that a spread near the setting doesn't switch them all the time.
constexpr double kInactiveFraction = 0.85;
/// The duration of a gang's task is extrapolated when it passes this progress:
/// at its end it waits for the slowest member.
constexpr int32_t kGangObservationPercent = 50;
constexpr int32_t kDonePercent = 100;
/// An urgent task that would be late on the upstreams with free capacity waits
/// for a faster one that is expected to be free within this time.
constexpr Millis kMaxWaitForFaster{200};

/// What a waiting step needs is computed again after this time, by which the
/// time left is then too long. Run times are 0.6 s and more.
constexpr Millis kSpeedNeedsMaxAge{20};

/// Stop, start elsewhere and restore of a moved task take 250 to 600 ms, and
/// the start may have to wait for advice.
constexpr Millis kMoveTime{1000};
/// The rate of progress is known from this much progress on; see running.cc.
constexpr int32_t kMinMeasuredPercent = 5;
/// A task is moved if it then ends in at most this fraction of the time.
constexpr double kMaxMovedFraction = 0.5;

/// The caller's estimate, or the default if there is none.
Millis EstimateOf(const wire::StepSpec& step) {
  return std::chrono::duration_cast<Millis>(
      ExpectedEnd(step, TimePoint{}).time_since_epoch());
}

Millis Scaled(Millis span, double factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(span.count()) * factor));
}

}  // namespace

void Scheduler::UpdateSpeeds(TimePoint now) {
  if (options_.upstream_speed_spread <= 0) return;
  UpstreamSpeeds& speeds = pool_.speeds();
  speeds.Update(now);
  const double needed =
      options_.upstream_speed_spread * (speeds_active_ ? kInactiveFraction : 1);
  speeds_active_ = speeds.spread() >= needed;
}

void Scheduler::ObserveEnd(const JobRecord& record, UpstreamIndex upstream,
                           const ports::EndedTask& end, TimePoint now) {
  if (!MeasuresRuns()) return;
  const wire::StepSpec& step = record.job.step(end.task.step);
  if (end.kind != ports::EndKind::kDone || step.gang || step.long_running ||
      step.filler) {
    return;
  }
  const Reservations& runs = pool_.at(upstream).reservations;
  const auto run = runs.find({end.task, end.attempt});
  if (run == runs.end() || !run->second.confirmed || run->second.resumed) {
    return;
  }
  const auto duration =
      std::chrono::duration_cast<Millis>(now - *run->second.started_at);
  if (duration <= Millis(0)) return;
  UpstreamSpeeds& speeds = pool_.speeds();
  if (options_.upstream_speed_spread > 0) {
    speeds.NoteCompleted({upstream, end.task, end.attempt}, duration, now);
  }
  durations_.Observe(record.job.queue().name, EstimateOf(step),
                     Scaled(duration, speeds.Factor(upstream)));
}

void Scheduler::ObserveProgress(const JobRecord& record, UpstreamIndex upstream,
                                const ports::RunningTask& running,
                                TimePoint now) {
  if (!MeasuresRuns()) return;
  const wire::StepSpec& step = record.job.step(running.task.step);
  if (step.long_running || step.filler) return;
  const Task& task = record.job.task(running.task);
  const Reservations& runs = pool_.at(upstream).reservations;
  const auto run = runs.find({running.task, running.attempt});
  if (run == runs.end()) return;
  // The start of a run that an earlier leader started is unknown, and one with
  // a checkpoint may not have begun at 0 %.
  const bool from_zero = !run->second.resumed && run->second.confirmed;
  const TimePoint started_at =
      from_zero ? run->second.started_at.value_or(TimePoint{}) : TimePoint{};
  UpstreamSpeeds& speeds = pool_.speeds();
  speeds.NoteProgress({upstream, running.task, running.attempt},
                      running.percent, started_at, now);
  if (!step.gang || started_at == TimePoint{} ||
      task.percent >= kGangObservationPercent ||
      running.percent < kGangObservationPercent ||
      running.percent >= kDonePercent) {
    return;
  }
  const auto elapsed = std::chrono::duration_cast<Millis>(now - started_at);
  const Millis duration = elapsed * kDonePercent / running.percent;
  if (duration <= Millis(0)) return;
  durations_.Observe(record.job.queue().name, EstimateOf(step),
                     Scaled(duration, speeds.Factor(upstream)));
}

bool Scheduler::MeasuresRuns() const {
  return options_.upstream_speed_spread > 0 ||
         options_.queue_order == QueueOrder::kDelayCost;
}

Millis Scheduler::ObservedWork(const JobRecord& record, int32_t step) const {
  const wire::StepSpec& spec = record.job.step(step);
  if (spec.long_running) return EstimateOf(spec);
  return durations_.Expected(record.job.queue().name, EstimateOf(spec));
}

Millis Scheduler::ExpectedWork(const JobRecord& record, int32_t step) const {
  if (!speeds_active_) return EstimateOf(record.job.step(step));
  return ObservedWork(record, step);
}

Scheduler::StepTimes Scheduler::ObservedTimes(const JobRecord& record,
                                              int32_t step) const {
  const Job& job = record.job;
  const double scale =
      static_cast<double>(ObservedWork(record, step).count()) /
      static_cast<double>(
          std::max(Millis(1), EstimateOf(job.step(step))).count());
  const Millis target(job.queue().target_ms);
  return {.objective = Scaled(job.Objective() - target, scale) + target,
          .path = Scaled(job.CriticalPathFrom(step), scale)};
}

TimePoint Scheduler::ExpectedEndOn(UpstreamIndex upstream,
                                   const JobRecord& record, int32_t step,
                                   TimePoint now) const {
  const wire::StepSpec& spec = record.job.step(step);
  if (!speeds_active_ || spec.long_running) return ExpectedEnd(spec, now);
  return now + Scaled(ExpectedWork(record, step),
                      1 / pool_.speeds().Factor(upstream));
}

std::optional<SpeedNeeds> Scheduler::SpeedNeedsOf(const JobRecord& record,
                                                  const StepId& id,
                                                  TimePoint now) const {
  const wire::StepSpec& step = record.job.step(id.step);
  if (!speeds_active_ || step.long_running || step.filler) return std::nullopt;
  const Job& job = record.job;
  const Millis work = ExpectedWork(record, id.step);
  const StepTimes times = ObservedTimes(record, id.step);
  const Millis later_steps = times.path - work;
  const Millis time_left =
      times.objective - later_steps -
      std::chrono::duration_cast<Millis>(now - DueAt(record, id));
  return SpeedNeeds{.urgent = job.queue().priority == 0,
                    .gang = step.gang,
                    .work = work,
                    .time_left = time_left};
}

void Scheduler::UpdateSpeedNeeds(JobRecord& record, const StepId& id,
                                 TimePoint now) {
  StepState& step_state = record.step_state(id.occurrence, id.step);
  if (!speeds_active_) {
    step_state.speed_needs.reset();
    return;
  }
  if (step_state.speed_needs && now < step_state.speed_needs_valid_until) {
    return;
  }
  step_state.speed_needs = SpeedNeedsOf(record, id, now);
  step_state.speed_needs_valid_until = now + kSpeedNeedsMaxAge;
}

void Scheduler::OrderBySpeed(const wire::StepSpec& step,
                             const SpeedNeeds& needs,
                             std::vector<Candidate>& found) const {
  std::vector<GangOption> options;
  options.reserve(found.size());
  for (const Candidate& candidate : found) {
    options.push_back({.factor = pool_.speeds().Factor(candidate.upstream),
                       .tasks = static_cast<double>(candidate.fitting_tasks)});
  }
  const double slowest = SlowestForGang(std::move(options), step.tasks, needs);
  std::stable_sort(
      found.begin(), found.end(), [&](const auto& a, const auto& b) {
        const auto order = [&](const Candidate& c) {
          return RankForGang(slowest, pool_.speeds().Speed(c.upstream));
        };
        return order(a) < order(b);
      });
}

bool Scheduler::IsWorthMoving(const JobRecord& record, UpstreamIndex upstream,
                              const TaskId& id, TimePoint now) const {
  const wire::StepSpec& step = record.job.step(id.step);
  const Task& task = record.job.task(id);
  if (!speeds_active_ || !step.checkpoints || step.gang || step.long_running ||
      step.filler || task.checkpoint.empty() ||
      task.phase != TaskPhase::kRunning) {
    return false;
  }
  // Without a measured rate the expected end follows from the estimate.
  if (task.rate_base_time == TimePoint{} ||
      task.percent - task.rate_base_percent < kMinMeasuredPercent) {
    return false;
  }
  const auto time_left =
      std::chrono::duration_cast<Millis>(task.expected_end - now);
  const double factor = pool_.speeds().Factor(upstream);
  const StepId step_id = id.step_id();
  const StepAdvice& advice =
      record.step_state(step_id.occurrence, step_id.step).advice;
  return std::any_of(
      pool_.all().begin(), pool_.all().end(), [&](UpstreamIndex other) {
        const Millis elsewhere =
            Scaled(time_left, factor / pool_.speeds().Factor(other)) +
            kMoveTime;
        return elsewhere <= Scaled(time_left, kMaxMovedFraction) &&
               (!record.job.queue().advised || advice.Allowed(other)) &&
               pool_.Usable(other, now) && Matches(other, record, step) &&
               !UsesGangReservation(other, TaskResources(step)) &&
               FittingTasks(other, record, step_id, pool_.at(other).free, now) >
                   0;
      });
}

double Scheduler::SlowestIn(const GangPlan& plan) const {
  double slowest = std::numeric_limits<double>::max();
  for (const auto& [upstream, tasks] : plan.tasks_by_upstream) {
    slowest = std::min(slowest, pool_.speeds().Factor(upstream));
  }
  return slowest;
}

GangPlan Scheduler::PlanBySpeed(const std::vector<SlotTimes>& slots,
                                int32_t tasks, const SpeedNeeds& needs) const {
  std::vector<SlotTimes> usable = slots;
  const auto speed_class = [&](const SlotTimes& slot) {
    return pool_.speeds().Speed(slot.upstream).speed_class;
  };
  GangPlan best;
  TimePoint best_end{};
  // Leaves out the slowest class, then the next one, and so on.
  while (!usable.empty()) {
    const GangPlan plan = EarliestPlan(usable, tasks);
    if (!plan.found()) break;
    const TimePoint end = plan.ready_at + needs.RunTime(SlowestIn(plan));
    if (!best.found() || end < best_end) {
      best = plan;
      best_end = end;
    }
    int32_t slowest = speed_class(usable.front());
    for (const SlotTimes& slot : usable) {
      slowest = std::min(slowest, speed_class(slot));
    }
    std::erase_if(usable, [&](const SlotTimes& slot) {
      return speed_class(slot) == slowest;
    });
  }
  return best;
}

bool Scheduler::GangWaitsForFaster(JobRecord& record, const StepId& id,
                                   const std::vector<Candidate>& found,
                                   TimePoint now,
                                   const PassReservations& reserved) {
  const StepState& step_state = record.step_state(id.occurrence, id.step);
  const SpeedNeeds needs = *step_state.speed_needs;
  double slowest = std::numeric_limits<double>::max();
  int32_t left = record.job.step(id.step).tasks;
  for (const Candidate& candidate : found) {
    if (left <= 0) break;
    left -= candidate.fitting_tasks;
    slowest = std::min(slowest, pool_.speeds().Factor(candidate.upstream));
  }
  if (!LateAt(needs, slowest)) return false;
  const GangPlan& plan = UpdatePlan(record, id, now, reserved);
  if (!plan.found()) return false;
  SpeedNeeds after_wait = needs;
  after_wait.time_left -=
      std::chrono::duration_cast<Millis>(plan.ready_at - now);
  return !LateAt(after_wait, SlowestIn(plan));
}

bool Scheduler::WaitsForFaster(const JobRecord& record, const StepId& id,
                               const SpeedNeeds& needs, UpstreamIndex upstream,
                               TimePoint now) const {
  if (!needs.urgent || !RankSpeed(needs, pool_.speeds().Speed(upstream)).late) {
    return false;
  }
  const std::optional<TimePoint> since =
      record.step_state(id.occurrence, id.step).waits_for_faster_since;
  if (since && now - *since >= kMaxWaitForFaster) return false;
  SpeedNeeds after_wait = needs;
  after_wait.time_left -= kMaxWaitForFaster;
  const wire::StepSpec& step = record.job.step(id.step);
  const Amount size = TaskResources(step);
  const StepAdvice& advice = record.step_state(id.occurrence, id.step).advice;
  const auto frees_soon = [&](UpstreamIndex other) {
    return !LateAt(after_wait, pool_.speeds().Factor(other)) &&
           pool_.State(other, now) == UpstreamState::kOpen &&
           Matches(other, record, step) &&
           size.FitsIn(pool_.FreeAt(other, now + kMaxWaitForFaster));
  };
  if (!record.job.queue().advised) {
    return std::any_of(pool_.all().begin(), pool_.all().end(), frees_soon);
  }
  return std::any_of(advice.upstreams.begin(), advice.upstreams.end(),
                     [&](const auto& it) {
                       return it.second.allowed && frees_soon(it.first);
                     });
}

}  // namespace mimosarail::scheduling
