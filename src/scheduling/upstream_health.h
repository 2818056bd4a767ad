#pragma once

#include <array>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail::scheduling {

/// Reliability of an upstream. It is judged only by the results of starts and
/// tasks, because an upstream may report that it is healthy and still fail
/// every task that it starts.
///
/// After a failure the upstream is suspect, and gets one start at a time until
/// a task succeeds. After further failures it gets no starts for a while. Not
/// thread-safe.
class UpstreamHealth {
 public:
  /// A task has succeeded.
  void NoteSuccess() { *this = {}; }
  /// A task or a start has failed. A `weight` of kBackoffAfterFailures starts a
  /// backoff at once.
  void NoteFailure(TimePoint now, int weight = 1);
  /// A start was ordered.
  void NoteStartOrdered() { ++starts_since_result_; }
  /// A start was rejected, or a run has ended in a way that says nothing about
  /// the upstream. The next probe need not wait for it.
  void NoteProbeWithoutResult() { starts_since_result_ = 0; }

  /// Whether tasks or starts have failed since the last success.
  bool suspect() const { return failures_ > 0; }
  /// Failures since the last success; a stalled task counts as
  /// kBackoffAfterFailures.
  int failures() const { return failures_; }
  /// No task starts before this time.
  TimePoint backoff_until() const { return backoff_until_; }
  bool InBackoff(TimePoint now) const { return now < backoff_until_; }
  /// Returns the number of starts that the results so far permit, apart
  /// from a backoff.
  int StartsPermitted() const;

  /// First backoff of a failing upstream; each further one is twice as long.
  /// Machine faults last seconds, so a longer first backoff would cost more
  /// capacity than the few tasks that fail in probe starts.
  static constexpr Millis kInitialBackoff{1000};
  static constexpr Millis kMaxBackoff{8000};
  /// Number of failures that puts an upstream into backoff. A single failure is
  /// often the task's own fault: 1 to 5 % of tasks fail on any upstream.
  static constexpr int kBackoffAfterFailures = 2;

 private:
  int failures_ = 0;
  TimePoint backoff_until_{};
  Millis last_backoff_{0};
  /// Starts ordered since the last result, on a healthy upstream too.
  int starts_since_result_ = 0;
};

/// What an upstream's health has changed to.
enum class HealthChange {
  kSuspect,  ///< It has failed, and gets probe starts only.
  kBackoff,  ///< It has failed again, and gets no starts for a while.
  kHealthy,  ///< It gets starts as before.
};

inline constexpr EnumTable kHealthChangeNames{std::array{
    EnumName{HealthChange::kSuspect, "suspect"},
    EnumName{HealthChange::kBackoff, "backoff"},
    EnumName{HealthChange::kHealthy, "healthy"},
}};

}  // namespace mimosarail::scheduling
