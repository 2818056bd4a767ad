// The part of Scheduler that keeps the order of the queue: which position a
// waiting step has, and when it moves.

#include "src/scheduling/step_queue.h"

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// With QueueOrder::kDelayCost, a step that has lost all its value, or that
/// never loses it, has waited too long after this further time. It is longer
/// than any expected overload, so that work without value does not displace
/// work with value while capacity is short only for a while.
constexpr Millis kAgedWait{120000};
/// Steps that have waited too long start to use about this part of all cores,
/// the oldest first. More of it would cost the value of other work.
constexpr double kAgedCapacityPart = 0.1;
/// Minimum time between two promotions; the search covers the whole queue.
constexpr Millis kAgedCheckInterval{100};
/// Longest such time, in seconds: a task whose estimate is far too long must
/// not keep all others waiting.
constexpr double kMaxAgedPause = 30;
constexpr double kMillicoresPerCore = 1000;

int64_t ToMs(TimePoint at) {
  return std::chrono::duration_cast<Millis>(at.time_since_epoch()).count();
}

/// Returns the time that one task of the step takes; a long-running task counts
/// with its estimate.
Millis ExpectedRunTime(const wire::StepSpec& step) {
  return std::max(Millis(1), Millis(step.estimate_ms));
}

}  // namespace

QueueKey Scheduler::KeyOf(const JobRecord& record, const StepId& id,
                          Timeliness timeliness) const {
  const Job& job = record.job;
  const int64_t objectives =
      timeliness == Timeliness::kInTime ? 1 : kWorthlessMultiple;
  const int32_t priority = job.queue().priority;
  const bool by_cost = options_.queue_order == QueueOrder::kDelayCost;
  // A job whose caller's estimate is too short would count as late, and wait
  // for other work, while it could still be in time.
  const StepTimes times =
      by_cost && !job.step(id.step).long_running
          ? ObservedTimes(record, id.step)
          : StepTimes{job.Objective(), job.CriticalPathFrom(id.step)};
  return {
      .band = by_cost
                  ? DelayCostBand(priority, timeliness, options_.priority_price)
                  : PriorityBand(priority, timeliness),
      .latest_start_ms =
          ToMs(record.accepted_at + objectives * times.objective - times.path),
      .id = id,
      .account = record.account,
      .priority = priority,
      .timeliness = timeliness};
}

void Scheduler::DemoteLateSteps(TimePoint now) {
  const bool by_cost = options_.queue_order == QueueOrder::kDelayCost;
  std::vector<QueueKey> late;
  for (const QueueKey& key : queue_) {
    if (key.latest_start_ms > ToMs(now) ||
        key.timeliness == Timeliness::kWorthless ||
        (by_cost && key.band == kAgedBand)) {
      continue;
    }
    const Job& job = jobs_.at(key.id.job)->job;
    if (!job.step(key.id.step).long_running && !job.timed()) {
      late.push_back(key);
    }
  }
  for (const QueueKey& key : late) {
    const JobRecord& record = *jobs_.at(key.id.job);
    // Under overload, starting the steps nearest to their objective first would
    // make all of them slightly late. Therefore a step that can no longer be in
    // time goes after all steps of its priority that can. Late steps are
    // ordered by the latest start with which they still have a value. Urgent
    // steps are not moved when they become late, only when they become
    // worthless. Urgent jobs are small: a backlog of them that built up without
    // a leader is worked off within a second, the oldest first, so that none is
    // served too late to have any value. With QueueOrder::kDelayCost, late
    // urgent steps go after those in time.
    const bool urgent = key.priority == 0;
    QueueKey next = KeyOf(record, key.id, Timeliness::kLate);
    if (key.timeliness == Timeliness::kLate ||
        (urgent && next.latest_start_ms <= ToMs(now))) {
      next = KeyOf(record, key.id, Timeliness::kWorthless);
    } else if (urgent && !by_cost) {
      continue;
    }
    Requeue(key, next);
  }
  if (by_cost) PromoteAgedStep(now);
}

void Scheduler::Requeue(const QueueKey& from, const QueueKey& to) {
  queue_.erase(from);
  jobs_.at(to.id.job)->step_state(to.id.occurrence, to.id.step).key = to;
  queue_.insert(to);
}

TimePoint Scheduler::DueAt(const JobRecord& record, const StepId& id) {
  return record.accepted_at +
         Millis(id.occurrence * record.job.spec().interval_ms);
}

TimePoint Scheduler::AgedAt(const JobRecord& record, const StepId& id) {
  const Job& job = record.job;
  const bool keeps_value = job.step(id.step).long_running || job.timed();
  return DueAt(record, id) + kAgedWait +
         (keeps_value ? Millis(0) : kWorthlessMultiple * job.Objective());
}

void Scheduler::PromoteAgedStep(TimePoint now) {
  if (now < next_promotion_) return;
  const QueueKey* oldest = nullptr;
  TimePoint oldest_at = now;
  for (const QueueKey& key : queue_) {
    if (key.band <= kAgedBand) continue;
    const TimePoint aged_at = AgedAt(*jobs_.at(key.id.job), key.id);
    if (aged_at >= oldest_at) continue;
    oldest = &key;
    oldest_at = aged_at;
  }
  next_promotion_ = now + kAgedCheckInterval;
  const double cores =
      static_cast<double>(UsableCapacity()[Dimension::kCores]) /
      kMillicoresPerCore;
  if (oldest == nullptr || cores <= 0) return;
  QueueKey next = *oldest;
  next.band = kAgedBand;
  const JobRecord& record = *jobs_.at(next.id.job);
  const wire::StepSpec& step = record.job.step(next.id.step);
  const double core_seconds =
      static_cast<double>(step.tasks) * step.millicores / kMillicoresPerCore *
      std::chrono::duration<double>(ExpectedRunTime(step)).count();
  const std::chrono::duration<double> pause(
      std::min(core_seconds / (kAgedCapacityPart * cores), kMaxAgedPause));
  next_promotion_ += std::chrono::duration_cast<Millis>(pause);
  Requeue(*oldest, next);
}

}  // namespace mimosarail::scheduling
