#include "src/scheduling/upstream_health.h"

#include <algorithm>
#include <limits>

namespace mimosarail::scheduling {

void UpstreamHealth::NoteFailure(TimePoint now, Millis lasted, int weight) {
  streak_.NoteFailure(lasted, weight);
  last_failure_ = now;
  probe_until_ = {};
  if (failures() < kBackoffAfterFailures || InBackoff(now)) return;
  last_backoff_ = last_backoff_ == Millis(0)
                      ? kInitialBackoff
                      : std::min(kMaxBackoff, last_backoff_ * 2);
  backoff_until_ = now + last_backoff_;
}

void UpstreamHealth::NoteStartOfFaultyStep(const StepId& step, TimePoint now) {
  if (suspect()) HoldBack(step, now);
}

void UpstreamHealth::NoteFailureOfFaultyStep(const StepId& step,
                                             TimePoint now) {
  NoteProbeWithoutResult();
  HoldBack(step, now);
}

void UpstreamHealth::HoldBack(const StepId& step, TimePoint now) {
  held_step_ = step;
  step_held_until_ = now + kStepHoldTime;
}

bool UpstreamHealth::NoteAtWork(TimePoint started_at, TimePoint now) {
  if (!suspect() || started_at < last_failure_) return false;
  const auto lasted = std::chrono::duration_cast<Millis>(now - started_at);
  if (!streak_.IsOverAfter(lasted)) return false;
  NoteSuccess();
  return true;
}

int UpstreamHealth::MaxStarts(TimePoint now) const {
  if (!suspect()) return std::numeric_limits<int>::max();
  return now < probe_until_ ? 0 : 1;
}

}  // namespace mimosarail::scheduling
