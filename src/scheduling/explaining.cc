// The part of Scheduler that tells operators what the cell is busy with, and
// what waiting steps wait for.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

std::string DescribeStates(const std::map<UpstreamState, int>& upstreams) {
  int total = 0;
  std::string states;
  for (const auto& [state, count] : upstreams) {
    total += count;
    states += (states.empty() ? "" : " ") +
              std::string(kUpstreamStateNames.Name(state)) + ":" +
              std::to_string(count);
  }
  return std::to_string(total) + " (" + states + ")";
}

}  // namespace

std::string Scheduler::DescribeLoad() const {
  int64_t capacity = 0;
  int64_t free = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!pool_.at(upstream).listed) continue;
    capacity += pool_.at(upstream).capacity[Dimension::kCores];
    free += std::max(0, pool_.at(upstream).free[Dimension::kCores]);
  }
  std::map<int32_t, int32_t> waiting;
  for (const QueueKey& key : queue_) ++waiting[key.priority];
  constexpr int64_t kPercent = 100;
  const int64_t used =
      capacity == 0 ? 0 : kPercent - kPercent * free / capacity;
  std::string out =
      "cores in use " + std::to_string(used) + " %, free for waiting gangs " +
      std::to_string(
          capacity == 0 ? 0 : kPercent * gang_reserved_millicores_ / capacity) +
      " %, steps waiting by priority";
  for (const auto& [priority, steps] : waiting) {
    out += " " + std::to_string(priority) + ":" + std::to_string(steps);
  }
  return out;
}

std::string Scheduler::Explain(const JobRecord& record, const StepId& id,
                               TimePoint now) const {
  const wire::StepSpec& step = record.job.step(id.step);
  const StepState& step_state = record.step_state(id.occurrence, id.step);
  const StepAdvice& advice = step_state.advice;
  const PlacementExclusion& exclusion = step_state.exclusion;
  std::map<UpstreamState, int> matching;
  int excluded = 0;
  int allowed = 0;
  int tickets = 0;
  int64_t fit_now = 0;
  int64_t fit_allowed = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!Matches(upstream, record, step)) continue;
    const UpstreamState state = pool_.State(upstream, now);
    ++matching[state];
    if (state != UpstreamState::kOpen) continue;
    excluded += static_cast<int>(exclusion.excluded.count(upstream));
    const int32_t fit =
        FittingTasks(upstream, record, id, pool_.at(upstream).free, now);
    fit_now += fit;
    if (!advice.Allowed(upstream)) continue;
    ++allowed;
    fit_allowed += fit;
    if (advice.Ticket(upstream, now) != nullptr) ++tickets;
  }
  const StepCounts& counts = record.job.step_counts(id.occurrence, id.step);
  std::string out = "waiting " + std::to_string(counts.waiting) + " of " +
                    std::to_string(step.tasks) + (step.gang ? " (gang)" : "") +
                    ", within the limit of its account " +
                    std::to_string(TasksWithinLimit(record, id)) +
                    ", upstreams " + DescribeStates(matching) + ", excluded " +
                    std::to_string(excluded) + ", room for " +
                    std::to_string(fit_now);
  const int32_t delayed = DelayedRestarts(record, id, now);
  if (delayed > 0) out += ", restarts delayed " + std::to_string(delayed);
  if (!record.job.queue().advised) return out;
  return out + ", asked " + std::to_string(advice.upstreams.size()) +
         ", allowed " + std::to_string(allowed) + " with room for " +
         std::to_string(fit_allowed) + ", tickets " + std::to_string(tickets) +
         (advice.calls_in_flight > 0 ? ", asking" : "");
}

std::vector<std::pair<StepId, std::string>> Scheduler::ExplainWaiting(
    size_t max_steps, TimePoint now) const {
  std::vector<QueueKey> oldest(queue_.begin(), queue_.end());
  std::sort(oldest.begin(), oldest.end(), [&](const auto& a, const auto& b) {
    return std::pair(jobs_.at(a.id.job)->accepted_at, a.id) <
           std::pair(jobs_.at(b.id.job)->accepted_at, b.id);
  });
  if (oldest.size() > max_steps) oldest.resize(max_steps);
  std::vector<std::pair<StepId, std::string>> out;
  for (const QueueKey& key : oldest) {
    out.emplace_back(key.id, Explain(*jobs_.at(key.id.job), key.id, now));
  }
  return out;
}

}  // namespace mimosarail::scheduling
