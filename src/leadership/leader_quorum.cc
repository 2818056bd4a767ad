#include "src/leadership/leader_quorum.h"

#include <algorithm>

namespace mimosarail::leadership {

void LeaderQuorum::BeginTerm(const std::string& self) {
  self_ = self;
  possible_ = {Members()};
  processes_.clear();
}

void LeaderQuorum::OnHeartbeat(const std::string& name, int64_t incarnation,
                               TimePoint followed_at) {
  const auto [at, added] = processes_.try_emplace(name);
  Process& process = at->second;
  if (added || process.incarnation != incarnation) {
    process = {.incarnation = incarnation,
               .first_followed_at = followed_at,
               .last_followed_at = followed_at};
  }
  process.last_followed_at = std::max(process.last_followed_at, followed_at);
}

void LeaderQuorum::OnSent(const std::vector<std::string>& members) {
  Members sent(members.begin(), members.end());
  if (possible_.back() != sent) possible_.push_back(std::move(sent));
}

void LeaderQuorum::OnStored() {
  possible_.erase(possible_.begin(), possible_.end() - 1);
}

bool LeaderQuorum::IsStored(const std::vector<std::string>& members) const {
  return possible_.size() == 1 &&
         possible_.front() == Members(members.begin(), members.end());
}

bool LeaderQuorum::HasMajority(TimePoint since, TimePoint known_by) const {
  const auto confirms = [&](const std::string& name) {
    if (name == self_) return true;
    const auto found = processes_.find(name);
    return found != processes_.end() &&
           found->second.last_followed_at >= since &&
           found->second.first_followed_at <= known_by;
  };
  const auto has_majority = [&](const Members& members) {
    const auto confirming = static_cast<size_t>(
        std::count_if(members.begin(), members.end(), confirms));
    return confirming > 1 && 2 * confirming > members.size();
  };
  return std::all_of(possible_.begin(), possible_.end(), has_majority);
}

}  // namespace mimosarail::leadership
