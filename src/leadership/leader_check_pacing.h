#pragma once

#include <cstddef>
#include <random>
#include <string>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// Spreads the reads of the leader's record over time where many entries
/// suspect the same leader. 300 entries that each read it every 150 ms sent
/// 1,900 reads a second to the store, which the leader needs for its renewals.
/// Since they read at different moments, the first of them finds out about a
/// dead leader about as soon as before.
///
/// Up to kFewEntries, the pauses are constant and the first read is immediate.
/// Not thread-safe.
class LeaderCheckPacing {
 public:
  /// `seed` distinguishes the entries.
  explicit LeaderCheckPacing(const std::string& seed);

  /// Delay of the first read after an entry of so many has begun to suspect the
  /// leader.
  Millis FirstDelay(size_t entries);
  /// Pause after a check that was inconclusive.
  Millis NextPause(size_t entries);
  /// The leader is no longer suspected, or another one is known.
  void Reset() { inconclusive_ = 0; }

  static constexpr size_t kFewEntries = 32;
  /// Longest first delay. A longer one would let unfit entries, whose claims
  /// are delayed by up to 0.5 s, claim before fit ones.
  static constexpr Millis kMaxFirstDelay{300};

 private:
  /// A random duration of at most `limit`.
  Millis Random(Millis limit);

  std::minstd_rand random_;
  /// Consecutive inconclusive checks.
  int inconclusive_ = 0;
};

}  // namespace mimosarail::leadership
