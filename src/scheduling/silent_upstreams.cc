#include "src/scheduling/silent_upstreams.h"

#include <algorithm>

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
  SilentUpstream& silent =
      upstreams_.try_emplace(upstream, SilentUpstream{.since = since})
          .first->second;
  if (silent.assumed_crashed) silent.since = since;
  silent.assumed_crashed = false;
  silent.tasks.insert(task);
}

bool SilentUpstreams::AnyAwaitsFate() const {
  return std::any_of(upstreams_.begin(), upstreams_.end(),
                     [](const auto& it) { return !it.second.assumed_crashed; });
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
    if (silent.assumed_crashed) continue;
    if (is_listed(upstream)) silent.since = now;
    if (now - silent.since < kMissingTime) continue;
    silent.assumed_crashed = true;
    out.push_back(upstream);
  }
  return out;
}

}  // namespace mimosarail::scheduling
