#include "src/jobentry/final_states.h"

namespace mimosarail::jobentry {

std::optional<JobState> FinalStates::Find(JobId id,
                                          const CallerAccount& account) const {
  const auto found = reports_.find(id);
  if (found == reports_.end() || found->second.account != account) {
    return std::nullopt;
  }
  return found->second.state;
}

void FinalStates::Add(JobId id, const CallerAccount& account, JobState state) {
  const Report report{.state = state, .account = account};
  if (!reports_.emplace(id, report).second) return;
  order_.push_back(id);
  if (order_.size() <= max_size_) return;
  reports_.erase(order_.front());
  order_.pop_front();
}

}  // namespace mimosarail::jobentry
