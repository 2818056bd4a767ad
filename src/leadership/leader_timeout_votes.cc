#include "src/leadership/leader_timeout_votes.h"

namespace mimosarail::leadership {

LeaderTimeoutVotes::Count LeaderTimeoutVotes::CountRecent(TimePoint now) const {
  Count out;
  for (const auto& [follower, vote] : votes_) {
    if (now - vote.received > kVoteLifetime) continue;
    ++out.recent;
    if (vote.leader_unresponsive) ++out.unresponsive;
  }
  return out;
}

bool LeaderTimeoutVotes::HasMajority(TimePoint now) const {
  const auto [recent, unresponsive] = CountRecent(now);
  return recent >= kMinVotes && 2 * unresponsive > recent;
}

std::string LeaderTimeoutVotes::Describe(TimePoint now) const {
  const Count count = CountRecent(now);
  return std::to_string(count.unresponsive) + " of " +
         std::to_string(count.recent);
}

}  // namespace mimosarail::leadership
