#include "src/scheduling/silent_upstreams.h"

namespace mimosarail::scheduling {

std::set<TaskId> SilentUpstreams::TasksOf(const std::string& upstream) const {
  const auto found = upstreams_.find(upstream);
  return found == upstreams_.end() ? std::set<TaskId>{} : found->second.tasks;
}

bool SilentUpstreams::AwaitsFate(const std::string& upstream) const {
  const auto found = upstreams_.find(upstream);
  return found != upstreams_.end() && !found->second.assumed_crashed;
}

void SilentUpstreams::Add(const std::string& upstream, const TaskId& task,
                          TimePoint since) {
  upstreams_.try_emplace(upstream, SilentUpstream{.since = since})
      .first->second.tasks.insert(task);
}

void SilentUpstreams::RemoveTasks(
    const std::function<bool(const TaskId&)>& is_cleared) {
  for (auto& [upstream, silent] : upstreams_) {
    std::erase_if(silent.tasks, is_cleared);
  }
  std::erase_if(upstreams_,
                [](const auto& silent) { return silent.second.tasks.empty(); });
}

std::vector<std::string> SilentUpstreams::AssumeCrashes(
    const std::function<bool(const std::string&)>& is_listed, TimePoint now) {
  std::vector<std::string> out;
  for (auto& [upstream, silent] : upstreams_) {
    if (silent.assumed_crashed || now - silent.since < kMissingTime) continue;
    if (is_listed(upstream)) continue;
    silent.assumed_crashed = true;
    out.push_back(upstream);
  }
  return out;
}

}  // namespace mimosarail::scheduling
