#include "src/fleet/task_leases.h"

namespace mimosarail::fleet {
namespace {

/// Upper bound of a duration on the local clock, relative to the same duration
/// on the clock of an upstream. That clock may run 2 % slow; half a percent
/// more and kLeaseMargin cover the error of the estimate of its time.
constexpr double kClockDriftFactor = 1.025;
constexpr Millis kLeaseMargin{50};

}  // namespace

Millis MaxLeaseDuration(Millis lease) {
  return Millis(static_cast<int64_t>(static_cast<double>(lease.count()) *
                                     kClockDriftFactor)) +
         kLeaseMargin;
}

void TaskLeases::Extend(LeaseEndCause cause, TimePoint now) {
  const TimePoint end = now + MaxLeaseDuration(lease_);
  if (end <= end_) return;
  end_ = end;
  cause_ = cause;
}

}  // namespace mimosarail::fleet
