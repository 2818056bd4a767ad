#include "src/fleet/task_leases.h"

#include <algorithm>

namespace mimosarail::fleet {
namespace {

/// Upper bound of a duration on the local clock, relative to the same duration
/// on the clock of an upstream. That clock may run 2 % slow; half a percent
/// more and kLeaseMargin cover the error of the estimate of its time.
constexpr double kClockDriftFactor = 1.025;
constexpr Millis kLeaseMargin{50};
/// For this long after a restart, leaders may send calls to the earlier
/// incarnation that ask for a lease.
constexpr Millis kMaxNoticeTime{6000};
/// The time of day here and at an upstream may differ by this much.
constexpr Millis kMaxTimeOfDayError{5000};

LeaseEnd Later(const LeaseEnd& a, const LeaseEnd& b) {
  return a.at >= b.at ? a : b;
}

}  // namespace

Millis MaxLeaseDuration(Millis lease) {
  return Millis(static_cast<int64_t>(static_cast<double>(lease.count()) *
                                     kClockDriftFactor)) +
         kLeaseMargin;
}

void TaskLeases::BeginIncarnation(std::optional<TimePoint> started,
                                  TimePoint now) {
  started_ = started;
  known_at_ = now;
  reported_ = false;
}

void TaskLeases::NoteCall(LeaseEndCause cause, TimePoint now) {
  Extend(cause, now + MaxLeaseDuration(options_.lease));
}

void TaskLeases::NoteFirstReport(TimePoint now) {
  reported_ = true;
  Extend(LeaseEndCause::kFirstReport, now + MaxLeaseDuration(options_.lease));
  if (!started_) return;
  const TimePoint last_stray_call = std::min(now, LastStrayCall(now));
  Extend(LeaseEndCause::kStrayCall,
         last_stray_call + MaxLeaseDuration(options_.max_lease));
}

std::optional<LeaseEnd> TaskLeases::End(
    std::optional<TimePoint> predecessor_lease_end) const {
  if (reported_) return end_;
  if (!predecessor_lease_end) return std::nullopt;
  const LeaseEnd of_predecessor{
      .at = *predecessor_lease_end + MaxLeaseDuration(options_.lease),
      .cause = LeaseEndCause::kPredecessor};
  const LeaseEnd end = Later(end_, of_predecessor);
  if (!started_) return end;
  const TimePoint sent_until = std::max(known_at_, *predecessor_lease_end);
  const LeaseEnd of_stray_call{
      .at = LastStrayCall(sent_until) + MaxLeaseDuration(options_.max_lease),
      .cause = LeaseEndCause::kStrayCall};
  return Later(end, of_stray_call);
}

void TaskLeases::Extend(LeaseEndCause cause, TimePoint end) {
  end_ = Later(end_, {.at = end, .cause = cause});
}

TimePoint TaskLeases::LastStrayCall(TimePoint sent_until) const {
  const TimePoint noticed = *started_ + kMaxNoticeTime + kMaxTimeOfDayError;
  return std::min(sent_until, noticed) + options_.max_call_delay;
}

}  // namespace mimosarail::fleet
