// The part of Scheduler that evicts tasks from an upstream before maintenance
// of its host.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// A task that is expected to end within this time is not moved: the stop, the
/// start elsewhere and the restore (250 to 600 ms) would take longer.
constexpr Millis kMinTimeLeftToMove{1500};
/// The corresponding time for a gang, which restarts as a whole and may have to
/// wait for capacity first.
constexpr Millis kMinGangTimeLeftToMove{3000};

Millis TimeLeft(TimePoint end, TimePoint now) {
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(end - now));
}

/// How a run is evicted when the host of its upstream needs maintenance.
enum class EvictionMode {
  kRunToCompletion,
  kFromCheckpoint,
  kLongRunningUnlimited,
  kLongRunningLimited
};

EvictionMode EvictionModeOf(const wire::StepSpec& step) {
  if (step.long_running) {
    return step.max_unavailable > 0 ? EvictionMode::kLongRunningLimited
                                    : EvictionMode::kLongRunningUnlimited;
  }
  return step.checkpoints ? EvictionMode::kFromCheckpoint
                          : EvictionMode::kRunToCompletion;
}

}  // namespace

UpstreamWork Scheduler::WorkOn(UpstreamIndex upstream, TimePoint now) const {
  UpstreamWork out;
  for (const auto& [run, reservation] : pool_.at(upstream).reservations) {
    ++out.tasks;
    out.millicores += reservation.amount[Dimension::kCores];
    const auto found = jobs_.find(run.first.job);
    if (found == jobs_.end() || !found->second->job.Has(run.first)) continue;
    const Job& job = found->second->job;
    const EvictionMode mode = EvictionModeOf(job.step(run.first.step));
    // A task that is being stopped counts until its end is listed.
    if (mode == EvictionMode::kLongRunningLimited && !job.final()) {
      ++out.budgeted_tasks;
    }
    const bool runs_to_completion = mode == EvictionMode::kRunToCompletion;
    const Millis time_left = runs_to_completion
                                 ? TimeLeft(reservation.expected_end, now)
                                 : Millis(0);
    out.drain_time = std::max(out.drain_time, time_left);
  }
  return out;
}

void Scheduler::EvictTasks(UpstreamIndex upstream, bool all, TimePoint now,
                           Orders& orders) {
  // Iterates over a copy, because stopping a gang may change the reservations.
  const auto reservations = pool_.at(upstream).reservations;
  for (const auto& [run, reservation] : reservations) {
    JobRecord* record = FindJobRecord(run.first.job);
    if (record == nullptr || !record->job.Has(run.first)) continue;
    const Task& task = record->job.task(run.first);
    const bool current =
        task.upstream == upstream && task.attempt == run.second;
    if (!current || task.phase != TaskPhase::kRunning) continue;
    EvictTask(*record, run.first, reservation, all, now, orders);
  }
}

void Scheduler::EvictTask(JobRecord& record, const TaskId& id,
                          const Reservation& reservation, bool all,
                          TimePoint now, Orders& orders) {
  const wire::StepSpec& step = record.job.step(id.step);
  const EvictionMode mode = EvictionModeOf(step);
  if (!step.long_running) {
    const Millis min_time_left =
        step.gang ? kMinGangTimeLeftToMove : kMinTimeLeftToMove;
    const bool worth_moving =
        mode == EvictionMode::kFromCheckpoint &&
        TimeLeft(reservation.expected_end, now) >= min_time_left;
    if (!all && !worth_moving) return;
    const StopReason reason =
        step.checkpoints ? StopReason::kMoved : StopReason::kEvicted;
    if (step.gang) return EvictGang(record, id.step_id(), reason, now, orders);
    return StopTask(record, id, reason, now, orders);
  }
  // Stopping a long-running task while no other upstream has capacity would
  // make it unavailable. With `all`, the host is needed now, and a task of a
  // step without a limit is stopped nevertheless.
  const bool must_evict = all && mode == EvictionMode::kLongRunningUnlimited;
  if (!must_evict && !HasCapacityElsewhere(record, id, now)) return;
  // Whatever the reason why other tasks of the step are unavailable, the
  // scheduler must not make one more unavailable than the step permits.
  if (mode == EvictionMode::kLongRunningLimited &&
      OthersUnavailable(record, id) >= step.max_unavailable) {
    return;
  }
  StopTask(record, id, StopReason::kMoved, now, orders);
}

void Scheduler::EvictGang(JobRecord& record, const StepId& id,
                          StopReason reason, TimePoint now, Orders& orders) {
  if (record.step_state(id.occurrence, id.step).broken) return;
  StopGang(record, id, reason, now, orders);
}

int32_t Scheduler::OthersUnavailable(const JobRecord& record,
                                     const TaskId& id) const {
  int32_t unavailable = 0;
  for (int32_t i = 0; i < record.job.step(id.step).tasks; ++i) {
    if (i == id.index) continue;
    const Task& other = record.job.task({id.job, id.occurrence, id.step, i});
    const bool ready = other.phase == TaskPhase::kRunning &&
                       other.percent >= kReadyPercent &&
                       pool_.at(other.upstream).reachable;
    if (!ready) ++unavailable;
  }
  return unavailable;
}

bool Scheduler::HasCapacityElsewhere(const JobRecord& record, const TaskId& id,
                                     TimePoint now) const {
  const wire::StepSpec& step = record.job.step(id.step);
  return std::any_of(
      pool_.all().begin(), pool_.all().end(), [&](UpstreamIndex upstream) {
        return pool_.Usable(upstream, now) && Matches(upstream, record, step) &&
               FittingTasks(upstream, record, id.step_id(),
                            pool_.at(upstream).free, now) > 0;
      });
}

}  // namespace mimosarail::scheduling
