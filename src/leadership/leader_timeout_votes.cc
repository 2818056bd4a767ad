#include "src/leadership/leader_timeout_votes.h"

namespace mimosarail::leadership {

bool LeaderTimeoutVotes::HasMajority(TimePoint now) const {
  size_t heard = 0;
  size_t waiting = 0;
  for (const auto& [follower, vote] : votes_) {
    if (now - vote.told > kAge) continue;
    ++heard;
    if (vote.waits) ++waiting;
  }
  return heard >= kFewest && 2 * waiting > heard;
}

}  // namespace mimosarail::leadership
