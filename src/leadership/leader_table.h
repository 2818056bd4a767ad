#pragma once

#include <cstdint>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// The only key of the leader table.
inline constexpr const char* kLeaderKey = "leader";
/// Timeout of one call to the store.
inline constexpr Millis kStoreTimeout{1000};
/// Pause after a failed check of the leader record or a lost claim.
inline constexpr Millis kLeaderCheckRetry{150};
/// Highest plausible term. A term times a million is the upper part of a
/// fencing token, which must stay an exact integer in JSON (2^53).
inline constexpr int64_t kMaxTerm = 9000000000;

}  // namespace mimosarail::leadership
