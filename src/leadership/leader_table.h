#pragma once

#include <cstdint>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// Keys of the leader table: the leader's record, and the quorum that may
/// confirm a leader without the store.
inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kQuorumKey = "quorum";
/// Timeout of one call to the store.
inline constexpr Millis kStoreTimeout{1000};
/// A follower whose last heartbeat is older than this is regarded as lost.
inline constexpr Millis kFollowerTimeout{1000};
/// Pause after a failed check of the leader record or a lost claim.
inline constexpr Millis kLeaderCheckRetry{150};
/// Highest plausible term. A term times a million is the upper part of a
/// fencing token, which must stay an exact integer in JSON (2^53).
inline constexpr int64_t kMaxTerm = 9000000000;

}  // namespace mimosarail::leadership
