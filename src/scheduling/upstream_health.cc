#include "src/scheduling/upstream_health.h"

#include <algorithm>
#include <limits>

namespace mimosarail::scheduling {

void UpstreamHealth::NoteFailure(TimePoint now, Millis lasted, int weight) {
  failures_ += weight;
  last_failure_ = now;
  longest_failed_run_ = std::max(longest_failed_run_, lasted);
  probe_until_ = {};
  if (failures_ < kBackoffAfterFailures || InBackoff(now)) return;
  last_backoff_ = last_backoff_ == Millis(0)
                      ? kInitialBackoff
                      : std::min(kMaxBackoff, last_backoff_ * 2);
  backoff_until_ = now + last_backoff_;
}

bool UpstreamHealth::NoteAtWork(TimePoint started_at, TimePoint now) {
  if (!suspect() || started_at < last_failure_) return false;
  const Millis proof_time = std::clamp(kProofFactor * longest_failed_run_,
                                       kMinProofTime, kMaxProofTime);
  if (now - started_at < proof_time) return false;
  NoteSuccess();
  return true;
}

int UpstreamHealth::MaxStarts(TimePoint now) const {
  if (!suspect()) return std::numeric_limits<int>::max();
  return now < probe_until_ ? 0 : 1;
}

}  // namespace mimosarail::scheduling
