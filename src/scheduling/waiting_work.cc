// What waits in the queue, and whether a job that is not accepted yet would
// have to wait. Used to decide which new jobs are accepted.

#include "src/scheduling/waiting_work.h"

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

constexpr double kMillicoresPerCore = 1000;

/// Whether tasks of the step may start on the upstream, regardless of capacity.
bool MayRunOn(const Upstream& upstream, const wire::QueuePolicy& queue,
              const wire::StepSpec& step) {
  const ports::UpstreamEntry& entry = upstream.entry;
  if (entry.pool != queue.pool) return false;
  return step.label.empty() ||
         std::find(entry.labels.begin(), entry.labels.end(), step.label) !=
             entry.labels.end();
}

/// Returns how many tasks of this size fit into the free capacity, up to
/// `max_tasks`.
int32_t CountFitting(Amount free, const Amount& size, int32_t max_tasks) {
  int32_t count = 0;
  while (count < max_tasks && size.FitsIn(free)) {
    free -= size;
    ++count;
  }
  return count;
}

}  // namespace

Millis EstimatedDuration(const wire::StepSpec& step) {
  if (step.long_running) return Millis(0);
  return std::chrono::duration_cast<Millis>(ExpectedEnd(step, TimePoint{}) -
                                            TimePoint{});
}

double EstimatedWork(const wire::StepSpec& step, int32_t tasks) {
  const double cores =
      static_cast<double>(TaskResources(step)[Dimension::kCores]) /
      kMillicoresPerCore;
  return cores * tasks * static_cast<double>(EstimatedDuration(step).count());
}

std::vector<WaitingStep> Scheduler::WaitingSteps() const {
  std::vector<WaitingStep> out;
  out.reserve(queue_.size());
  for (const QueueKey& key : queue_) {
    const Job& job = jobs_.at(key.id.job)->job;
    out.push_back(
        {.job = &job,
         .step = key.id.step,
         .tasks = job.step_counts(key.id.occurrence, key.id.step).waiting,
         .timeliness = key.timeliness,
         .latest_start_ms = key.latest_start_ms});
  }
  return out;
}

bool Scheduler::HasFreeCapacityFor(const wire::JobSpec& spec, TimePoint now) {
  const AccountIndex account = pool_.accounts().IndexOf(spec.account);
  const auto step_fits = [&](const wire::StepSpec& step) {
    if (!step.after.empty()) return false;
    const int32_t needed = step.gang ? step.tasks : 1;
    if (pool_.accounts().FreeTasks(account, TaskCharge(step)) < needed) {
      return false;
    }
    const Amount size = TaskResources(step);
    int32_t fitting = 0;
    for (const UpstreamIndex index : pool_.all()) {
      const Upstream& upstream = pool_.at(index);
      if (!MayRunOn(upstream, spec.queue, step)) continue;
      if (!pool_.Usable(index, now)) continue;
      int32_t most = std::min(needed - fitting, pool_.MaxStarts(index, now));
      if (step.max_per_upstream > 0) {
        most = std::min(most, step.max_per_upstream);
      }
      fitting += CountFitting(upstream.free, size, most);
      if (fitting >= needed) return true;
    }
    return false;
  };
  return std::any_of(spec.steps.begin(), spec.steps.end(), step_fits);
}

}  // namespace mimosarail::scheduling
