#pragma once

#include <cstdint>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// The one key of the table.
inline constexpr const char* kLeaderKey = "leader";
/// Limit of one call to the store.
inline constexpr Millis kStoreTimeout{1000};
/// Pause after a look that failed or a claim that was lost.
inline constexpr Millis kLookAgain{150};
/// Highest term that is believed. A term times a million is the upper part of a
/// fencing token, which must stay a whole number in JSON (2^53).
inline constexpr int64_t kMaxTerm = 9000000000;

}  // namespace mimosarail::leadership
