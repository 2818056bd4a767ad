#include "src/fleet/task_leases.h"

#include <algorithm>

#include "src/fleet/upstream_clock.h"

namespace mimosarail::fleet {
namespace {

constexpr Millis kLeaseMargin{50};
/// A leader may send calls that ask for a lease to the previous incarnation for
/// this long after a restart: a pause between renewals, and two renewals
/// without an answer (see UpstreamLinkOptions).
constexpr Millis kMaxRestartDetectionTime{6000};
/// The wall clocks of entries and upstreams may differ by this much.
constexpr Millis kMaxWallClockSkew{5000};

LeaseEnd Later(const LeaseEnd& a, const LeaseEnd& b) {
  return a.at >= b.at ? a : b;
}

}  // namespace

Millis MaxLeaseDuration(Millis lease) {
  return Millis(static_cast<int64_t>(static_cast<double>(lease.count()) *
                                     kClockDriftFactor)) +
         kLeaseMargin;
}

void TaskLeases::OnStartKnown(TimePoint started, TimePoint now) {
  if (reported_) return;
  stale_calls_ = {
      .sent_until = now,
      .detected_by = started + kMaxRestartDetectionTime + kMaxWallClockSkew};
}

void TaskLeases::OnRestart(TimePoint now) {
  // No call asks for a lease while no report of an incarnation has come.
  if (!stale_calls_ || reported_) stale_calls_ = {.sent_until = now};
  stale_calls_->detected_by = TimePoint::max();
  reported_ = false;
}

void TaskLeases::NoteCall(LeaseEndCause cause, TimePoint now) {
  last_call_ = now;
  Extend(cause, now + MaxLeaseDuration(options_.lease));
}

void TaskLeases::NoteFirstReport(TimePoint now) {
  reported_ = true;
  Extend(LeaseEndCause::kFirstReport, now + MaxLeaseDuration(options_.lease));
  if (!stale_calls_) return;
  const TimePoint executed_by = std::min(now, StaleCallsExecutedBy(now));
  Extend(LeaseEndCause::kStaleCall,
         executed_by + MaxLeaseDuration(options_.max_lease));
}

std::optional<LeaseEnd> TaskLeases::End(
    std::optional<TimePoint> predecessor_lease_end) const {
  if (reported_) return end_;
  if (!predecessor_lease_end) return std::nullopt;
  const LeaseEnd of_predecessor{
      .at = *predecessor_lease_end + MaxLeaseDuration(options_.lease),
      .cause = LeaseEndCause::kPredecessor};
  const LeaseEnd end = Later(end_, of_predecessor);
  if (!stale_calls_) return end;
  const LeaseEnd of_stale_call{
      .at = StaleCallsExecutedBy(*predecessor_lease_end) +
            MaxLeaseDuration(options_.max_lease),
      .cause = LeaseEndCause::kStaleCall};
  return Later(end, of_stale_call);
}

LeaseEnd TaskLeases::EndAtUnknownIncarnation() const {
  return {.at = last_call_ + options_.max_call_delay +
                MaxLeaseDuration(options_.max_lease),
          .cause = LeaseEndCause::kStaleCall};
}

void TaskLeases::Extend(LeaseEndCause cause, TimePoint end) {
  end_ = Later(end_, {.at = end, .cause = cause});
}

TimePoint TaskLeases::StaleCallsExecutedBy(
    TimePoint predecessor_lease_end) const {
  const TimePoint sent_until =
      std::max(stale_calls_->sent_until, predecessor_lease_end);
  return std::min(sent_until, stale_calls_->detected_by) +
         options_.max_call_delay;
}

}  // namespace mimosarail::fleet
