#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

/// Longest time for which an entry refuses jobs itself after one refusal of the
/// leader. The leader refuses at a backlog of 3 s, so its link is still busy
/// when the entry asks again.
inline constexpr Millis kMaxEntryRefusal{1000};

/// Refusals by a leader whose link is full. For a short time the entry refuses
/// jobs that are not more urgent itself: submissions that are forwarded only to
/// be refused would fill the leader's link in the other direction. Not
/// thread-safe.
class LinkRefusals {
 public:
  /// The leader has refused a job of this priority, and lets the entry refuse
  /// others for `refuse_for`.
  void Note(int32_t priority, Millis refuse_for, Millis retry_after,
            TimePoint now) {
    if (refuse_for <= Millis(0)) return;
    by_priority_[priority] = {
        .until = now + std::min(refuse_for, kMaxEntryRefusal),
        .retry_at = now + retry_after};
  }

  /// Returns nothing if a job of this priority has to be forwarded. Otherwise
  /// returns the time after which its caller should retry.
  std::optional<Millis> RetryAfter(int32_t priority, TimePoint now) const {
    std::optional<Millis> out;
    for (const auto& [refused, refusal] : by_priority_) {
      if (refused > priority) break;
      if (now >= refusal.until) continue;
      const auto retry =
          std::chrono::ceil<Millis>(std::max(refusal.retry_at, now) - now);
      out = std::max(out.value_or(Millis(0)), retry);
    }
    return out;
  }

 private:
  struct Refusal {
    TimePoint until;
    TimePoint retry_at;
  };
  /// The last refusal of each priority.
  std::map<int32_t, Refusal> by_priority_;
};

}  // namespace mimosarail::jobentry
