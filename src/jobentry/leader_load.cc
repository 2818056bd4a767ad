#include "src/jobentry/leader_load.h"

#include <algorithm>

namespace mimosarail::jobentry {

void LeaderLoad::Update(const wire::LoadSummary& summary, int64_t term,
                        TimePoint sent) {
  // A reply that another one has overtaken.
  const Millis age(std::clamp<int64_t>(summary.age_ms, 0, INT32_MAX));
  if (term < term_ || (term == term_ && sent - age < as_of_)) return;
  term_ = term;
  as_of_ = sent - age;
  queues_.clear();
  for (const wire::QueueLoad& row : summary.queues) {
    if (queues_.size() >= kMaxQueues) break;
    queues_[row.queue] = row;
  }
}

std::optional<wire::QueueLoad> LeaderLoad::Find(const std::string& queue,
                                                int64_t term,
                                                TimePoint now) const {
  if (term != term_ || now - as_of_ >= kMaxAge) return std::nullopt;
  const auto found = queues_.find(queue);
  if (found == queues_.end()) return std::nullopt;
  return found->second;
}

}  // namespace mimosarail::jobentry
