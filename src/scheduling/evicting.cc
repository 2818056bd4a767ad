// Clearing an upstream ahead of its host's upkeep.
#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// A task that ends within this is left to its end: a stop, the start elsewhere
/// and the restore (250 to 600 ms) would take it longer.
constexpr Millis kWorthMoving{1500};
/// The same for a gang, which all starts anew and may wait for room first.
constexpr Millis kWorthMovingGang{3000};
/// A lasting task is at work when it reports this.
constexpr int32_t kAtWorkPercent = 100;

Millis Left(TimePoint ends, TimePoint now) {
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(ends - now));
}

}  // namespace

Scheduler::EvictionMode Scheduler::EvictionModeOf(const wire::StepSpec& step) {
  if (step.lasting) {
    return step.max_unavailable > 0 ? EvictionMode::kBound
                                    : EvictionMode::kLasting;
  }
  return step.checkpoints ? EvictionMode::kFromCheckpoint
                          : EvictionMode::kByItsEnd;
}

UpstreamWork Scheduler::WorkOn(UpstreamIndex upstream, TimePoint now) const {
  UpstreamWork out;
  for (const auto& [run, room] : pool_.at(upstream).held) {
    ++out.tasks;
    out.millicores += room.amount[Dimension::kCores];
    const auto found = jobs_.find(run.first.job);
    if (found == jobs_.end() || !found->second->job.Has(run.first)) continue;
    const Job& job = found->second->job;
    const EvictionMode leaving = EvictionModeOf(job.step(run.first.step));
    // One that is being stopped counts until its end is listed.
    if (leaving == EvictionMode::kBound && !job.final()) ++out.budgeted_tasks;
    const bool stays = leaving == EvictionMode::kByItsEnd;
    const Millis left = stays ? Left(room.ends, now) : Millis(0);
    out.drained_in = std::max(out.drained_in, left);
  }
  return out;
}

void Scheduler::EvictTasks(UpstreamIndex upstream, bool all, TimePoint now,
                           Orders& orders) {
  // A copy: stopping a gang may touch what is held.
  const auto held = pool_.at(upstream).held;
  for (const auto& [run, room] : held) {
    Entry* entry = FindEntry(run.first.job);
    if (entry == nullptr || !entry->job.Has(run.first)) continue;
    const Task& task = entry->job.task(run.first);
    const bool present =
        task.upstream == upstream && task.attempt == run.second;
    if (!present || task.phase != TaskPhase::kRunning) continue;
    EvictTask(*entry, run.first, room, all, now, orders);
  }
}

void Scheduler::EvictTask(Entry& entry, const TaskId& id,
                          const Reservation& room, bool all, TimePoint now,
                          Orders& orders) {
  const wire::StepSpec& step = entry.job.step(id.step);
  const EvictionMode leaving = EvictionModeOf(step);
  if (!step.lasting) {
    const Millis least = step.gang ? kWorthMovingGang : kWorthMoving;
    const bool worth_moving = leaving == EvictionMode::kFromCheckpoint &&
                              Left(room.ends, now) >= least;
    if (!all && !worth_moving) return;
    const StopReason reason =
        step.checkpoints ? StopReason::kMoved : StopReason::kEvicted;
    if (step.gang) return EvictGang(entry, id.step_id(), reason, now, orders);
    return StopTask(entry, id, reason, now, orders);
  }
  // Stopped without a place to go on, it would be away for nothing; one without
  // a bound goes all the same when the time is over.
  const bool must_go = all && leaving == EvictionMode::kLasting;
  if (!must_go && !RoomElsewhere(entry, id, now)) return;
  // Others of its step may be away for any cause; whichever it is, one more
  // than the step allows would be our doing.
  if (leaving == EvictionMode::kBound &&
      OthersAway(entry, id) >= step.max_unavailable) {
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

int32_t Scheduler::OthersAway(const Entry& entry, const TaskId& id) const {
  int32_t away = 0;
  for (int32_t i = 0; i < entry.job.step(id.step).tasks; ++i) {
    if (i == id.index) continue;
    const Task& other = entry.job.task({id.job, id.occurrence, id.step, i});
    const bool at_work = other.phase == TaskPhase::kRunning &&
                         other.percent >= kAtWorkPercent &&
                         pool_.at(other.upstream).reachable;
    if (!at_work) ++away;
  }
  return away;
}

bool Scheduler::RoomElsewhere(const Entry& entry, const TaskId& id,
                              TimePoint now) const {
  const wire::StepSpec& step = entry.job.step(id.step);
  return std::any_of(
      pool_.all().begin(), pool_.all().end(), [&](UpstreamIndex upstream) {
        return pool_.Usable(upstream, now) && Suits(upstream, entry, step) &&
               Fit(upstream, entry, id.step_id(), pool_.at(upstream).free) > 0;
      });
}

}  // namespace mimosarail::scheduling
