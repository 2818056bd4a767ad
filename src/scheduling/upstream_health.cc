#include "src/scheduling/upstream_health.h"

#include <algorithm>
#include <limits>

namespace mimosarail::scheduling {

void UpstreamHealth::NoteFailure(TimePoint now, int weight) {
  failures_ += weight;
  starts_since_result_ = 0;
  if (failures_ < kBackoffAfterFailures || InBackoff(now)) return;
  last_backoff_ = last_backoff_ == Millis(0)
                      ? kInitialBackoff
                      : std::min(kMaxBackoff, last_backoff_ * 2);
  backoff_until_ = now + last_backoff_;
}

int UpstreamHealth::StartsPermitted() const {
  if (!suspect()) return std::numeric_limits<int>::max();
  return std::max(0, 1 - starts_since_result_);
}

}  // namespace mimosarail::scheduling
