#include "src/coordinator/backlog_builder.h"

namespace mimosarail::coordinator {
namespace {

/// Latest starts of waiting work are rounded up to a multiple of this.
constexpr int64_t kLatestStartStepMs = 250;

int64_t RoundUp(int64_t ms) {
  return (ms + kLatestStartStepMs - 1) / kLatestStartStepMs *
         kLatestStartStepMs;
}

}  // namespace

int32_t BacklogBuilder::Names::IndexOf(const std::string& name) {
  const auto next = static_cast<int32_t>(names_.size());
  const auto [found, added] = indexes_.try_emplace(name, next);
  if (added) names_.push_back(name);
  return found->second;
}

void BacklogBuilder::Add(const scheduling::WaitingStep& waiting) {
  using scheduling::Timeliness;
  const wire::JobSpec& spec = waiting.job->spec();
  // The latest start decides only among work in time.
  const int64_t latest = waiting.timeliness == Timeliness::kInTime
                             ? RoundUp(waiting.latest_start_ms)
                             : 0;
  work_[{spec.queue.priority, waiting.timeliness, latest,
         names_.IndexOf(spec.queue.name), names_.IndexOf(spec.account),
         names_.IndexOf(spec.queue.pool)}] +=
      scheduling::EstimatedWork(waiting.job->step(waiting.step), waiting.tasks);
}

std::vector<BacklogRow> BacklogBuilder::Rows() const {
  std::vector<BacklogRow> out;
  out.reserve(work_.size());
  for (const auto& [key, work] : work_) {
    const auto& [priority, timeliness, latest, queue, account, pool] = key;
    out.push_back({.pool = names_.at(pool),
                   .queue = names_.at(queue),
                   .account = names_.at(account),
                   .priority = priority,
                   .timeliness = timeliness,
                   .latest_start_ms = latest,
                   .work = work});
  }
  return out;
}

}  // namespace mimosarail::coordinator
