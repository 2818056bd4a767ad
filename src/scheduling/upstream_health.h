#pragma once

#include <array>

#include "src/jobs/failure_streak.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail::scheduling {

/// Reliability of an upstream. It is judged only by the results of starts and
/// tasks, because an upstream may report that it is healthy and still fail
/// every task that it starts.
///
/// After a failure the upstream is suspect, and gets probe starts until a task
/// succeeds or a run has proved it. After further failures it gets no starts
/// for a while. Each of these states ends after a bounded time, since a
/// long-running task has no result. Not thread-safe.
class UpstreamHealth {
 public:
  /// A task has succeeded.
  void NoteSuccess() { *this = {}; }
  /// A task that ran for `lasted`, or a start, has failed. A `weight` of
  /// kBackoffAfterFailures starts a backoff at once.
  void NoteFailure(TimePoint now, Millis lasted, int weight = 1);
  /// A start was ordered.
  void NoteStartOrdered(TimePoint now) { probe_until_ = now + kProbeTimeout; }
  /// A start of a step that is itself at fault was ordered. It is no probe, so
  /// that the step does not use up the starts that other steps need.
  void NoteStartOfFaultyStep(const StepId& step, TimePoint now);
  /// A start was rejected, or a run has ended in a way that says nothing about
  /// the upstream. The next probe need not wait for it.
  void NoteProbeWithoutResult() { probe_until_ = {}; }
  /// A task of a step that is itself at fault has failed. This says nothing
  /// about the upstream, but the step gets no start there for a while.
  void NoteFailureOfFaultyStep(const StepId& step, TimePoint now);
  /// A run that started at `started_at` makes progress, or serves. Returns
  /// whether it proves the upstream (FailureStreak::IsOverAfter()), which then
  /// is no longer suspect.
  bool NoteAtWork(TimePoint started_at, TimePoint now);

  /// Whether tasks or starts have failed since the last success or proof.
  bool suspect() const { return streak_.length() > 0; }
  /// Failures since the last success or proof; a stalled task counts as
  /// kBackoffAfterFailures.
  int failures() const { return streak_.length(); }
  /// No task starts before this time.
  TimePoint backoff_until() const { return backoff_until_; }
  bool InBackoff(TimePoint now) const { return now < backoff_until_; }
  /// Whether the step gets no start because it is itself at fault.
  bool HoldsBack(const StepId& step, TimePoint now) const {
    return now < step_held_until_ && step == held_step_;
  }
  /// Returns how many starts the results so far permit now, apart from a
  /// backoff.
  int MaxStarts(TimePoint now) const;

  /// Time for which a step is held back.
  static constexpr Millis kStepHoldTime{2000};
  /// A probe that has given no result for this time does not delay the next
  /// one. Longer than a stalled task usually takes to be noticed.
  static constexpr Millis kProbeTimeout{2000};
  /// First backoff of a failing upstream; each further one is twice as long.
  /// Machine faults last seconds, so a longer first backoff would cost more
  /// capacity than the few tasks that fail in probe starts.
  static constexpr Millis kInitialBackoff{1000};
  static constexpr Millis kMaxBackoff{8000};
  /// Number of failures that puts an upstream into backoff. A single failure is
  /// often the task's own fault: 1 to 5 % of tasks fail on any upstream.
  static constexpr int kBackoffAfterFailures = 2;

 private:
  void HoldBack(const StepId& step, TimePoint now);

  FailureStreak streak_;
  TimePoint last_failure_{};
  TimePoint backoff_until_{};
  Millis last_backoff_{0};
  /// Until this time, the last start takes the place of the next probe.
  TimePoint probe_until_{};
  /// The last step that was held back.
  StepId held_step_{};
  TimePoint step_held_until_{};
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
