#include "src/leadership/leader_check_pacing.h"

#include <algorithm>
#include <functional>

#include "src/leadership/leader_table.h"

namespace mimosarail::leadership {
namespace {

/// The pause doubles with each inconclusive check, up to this many times.
constexpr int kMaxDoublings = 2;

}  // namespace

LeaderCheckPacing::LeaderCheckPacing(const std::string& seed)
    : random_(static_cast<unsigned>(std::hash<std::string>()(seed))) {}

Millis LeaderCheckPacing::Random(Millis limit) {
  return Millis(
      std::uniform_int_distribution<int64_t>(0, limit.count())(random_));
}

Millis LeaderCheckPacing::FirstDelay(size_t entries) {
  if (entries <= kFewEntries) return Millis(0);
  return Random(std::min(Millis(entries), kMaxFirstDelay));
}

Millis LeaderCheckPacing::NextPause(size_t entries) {
  if (entries <= kFewEntries) return kLeaderCheckRetry;
  const Millis mean = kLeaderCheckRetry * static_cast<int64_t>(entries) /
                      static_cast<int64_t>(kFewEntries) *
                      (1 << std::min(inconclusive_++, kMaxDoublings));
  return mean / 2 + Random(mean);
}

}  // namespace mimosarail::leadership
