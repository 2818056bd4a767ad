#include "src/leadership/leader_timeout_votes.h"

namespace mimosarail::leadership {

bool LeaderTimeoutVotes::HasMajority(TimePoint now) const {
  size_t recent = 0;
  size_t unresponsive = 0;
  for (const auto& [follower, vote] : votes_) {
    if (now - vote.received > kVoteLifetime) continue;
    ++recent;
    if (vote.leader_unresponsive) ++unresponsive;
  }
  return recent >= kMinVotes && 2 * unresponsive > recent;
}

}  // namespace mimosarail::leadership
