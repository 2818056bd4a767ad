// Evicts tasks from an upstream before maintenance of its host.
#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// A task that ends within this time is left to run to completion: a stop, the
/// start elsewhere and the restore (250 to 600 ms) would take longer.
constexpr Millis kMinTimeLeftToMove{1500};
/// The same for a gang, which restarts as a whole and may have to wait for
/// capacity first.
constexpr Millis kMinGangTimeLeftToMove{3000};
/// A long-running task is ready when it reports this percentage.
constexpr int32_t kReadyPercent = 100;

Millis TimeLeft(TimePoint end, TimePoint now) {
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(end - now));
}

}  // namespace

Scheduler::EvictionMode Scheduler::EvictionModeOf(const wire::StepSpec& step) {
  if (step.long_running) {
    return step.max_unavailable > 0 ? EvictionMode::kBudgeted
                                    : EvictionMode::kLongRunning;
  }
  return step.checkpoints ? EvictionMode::kFromCheckpoint
                          : EvictionMode::kRunToCompletion;
}

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
    if (mode == EvictionMode::kBudgeted && !job.final()) ++out.budgeted_tasks;
    const bool stays = mode == EvictionMode::kRunToCompletion;
    const Millis left =
        stays ? TimeLeft(reservation.expected_end, now) : Millis(0);
    out.drain_time = std::max(out.drain_time, left);
  }
  return out;
}

void Scheduler::EvictTasks(UpstreamIndex upstream, bool all, TimePoint now,
                           Orders& orders) {
  // A copy, because stopping a gang may change the reservations.
  const auto reservations = pool_.at(upstream).reservations;
  for (const auto& [run, reservation] : reservations) {
    Entry* entry = FindEntry(run.first.job);
    if (entry == nullptr || !entry->job.Has(run.first)) continue;
    const Task& task = entry->job.task(run.first);
    const bool current =
        task.upstream == upstream && task.attempt == run.second;
    if (!current || task.phase != TaskPhase::kRunning) continue;
    EvictTask(*entry, run.first, reservation, all, now, orders);
  }
}

void Scheduler::EvictTask(Entry& entry, const TaskId& id,
                          const Reservation& reservation, bool all,
                          TimePoint now, Orders& orders) {
  const wire::StepSpec& step = entry.job.step(id.step);
  const EvictionMode mode = EvictionModeOf(step);
  if (!step.long_running) {
    const Millis least =
        step.gang ? kMinGangTimeLeftToMove : kMinTimeLeftToMove;
    const bool worth_moving = mode == EvictionMode::kFromCheckpoint &&
                              TimeLeft(reservation.expected_end, now) >= least;
    if (!all && !worth_moving) return;
    const StopReason reason =
        step.checkpoints ? StopReason::kMoved : StopReason::kEvicted;
    if (step.gang) return EvictGang(entry, id.step_id(), reason, now, orders);
    return StopTask(entry, id, reason, now, orders);
  }
  // A task that is stopped without a place to continue would be unavailable for
  // nothing. A task without an unavailability limit is evicted all the same
  // when time runs out.
  const bool must_evict = all && mode == EvictionMode::kLongRunning;
  if (!must_evict && !HasCapacityElsewhere(entry, id, now)) return;
  // Other tasks of the step may be unavailable for any reason. Whatever the
  // reason, the scheduler must not add one beyond the step's limit.
  if (mode == EvictionMode::kBudgeted &&
      OthersUnavailable(entry, id) >= step.max_unavailable) {
    return;
  }
  StopTask(entry, id, StopReason::kMoved, now, orders);
}

void Scheduler::EvictGang(Entry& entry, const StepId& id, StopReason reason,
                          TimePoint now, Orders& orders) {
  Unit& unit = entry.unit(id.occurrence, id.step);
  if (unit.aborting) return;
  unit.aborting = true;
  unit.abort_since = now;
  for (int32_t i = 0; i < entry.job.step(id.step).tasks; ++i) {
    StopTask(entry, {id.job, id.occurrence, id.step, i}, reason, now, orders);
  }
}

int32_t Scheduler::OthersUnavailable(const Entry& entry,
                                     const TaskId& id) const {
  int32_t unavailable = 0;
  for (int32_t i = 0; i < entry.job.step(id.step).tasks; ++i) {
    if (i == id.index) continue;
    const Task& other = entry.job.task({id.job, id.occurrence, id.step, i});
    const bool ready = other.phase == TaskPhase::kRunning &&
                       other.percent >= kReadyPercent &&
                       pool_.at(other.upstream).reachable;
    if (!ready) ++unavailable;
  }
  return unavailable;
}

bool Scheduler::HasCapacityElsewhere(const Entry& entry, const TaskId& id,
                                     TimePoint now) const {
  const wire::StepSpec& step = entry.job.step(id.step);
  return std::any_of(
      pool_.all().begin(), pool_.all().end(), [&](UpstreamIndex upstream) {
        return pool_.Usable(upstream, now) && Matches(upstream, entry, step) &&
               Fit(upstream, entry, id.step_id(), pool_.at(upstream).free) > 0;
      });
}

}  // namespace mimosarail::scheduling
