#pragma once

#include <cstdint>

#include "src/libs/base/executor.h"

namespace mimosarail::fleet {

/// Upper bound of a duration on the local clock, relative to the same duration
/// on the clock of an upstream. That clock may run 2 % slow; half a percent
/// more and the margin of a lease cover the error of the estimate of its time.
inline constexpr double kClockDriftFactor = 1.025;

/// Estimates the clock of one incarnation of an upstream from its newest
/// reading. Not thread-safe.
class UpstreamClock {
 public:
  /// Records a reading that has arrived at `now`; ignored unless it is newer
  /// than those before.
  ///
  /// The upstream may have read its clock just before it replied, a second
  /// after the call if a renewal waited for a completion. The reading is
  /// therefore paired with the arrival of the reply. Paired with the sending
  /// time, leases would outlast the end calculated by the leader, and a task
  /// could run twice at once.
  void Record(int64_t clock_ms, TimePoint now);

  bool known() const { return newest_ms_ > 0; }
  /// The newest reading, in ms; 0 until one is known.
  int64_t newest_ms() const { return newest_ms_; }
  TimePoint received_at() const { return received_at_; }
  /// Returns the time on the upstream's clock at `now`.
  int64_t EstimateAt(TimePoint now) const;
  /// Returns when the upstream read `clock_ms`, `now` at the latest.
  TimePoint ReadAt(int64_t clock_ms, TimePoint now) const;
  /// Whether `clock_ms` may be a reading of the same clock, taken between
  /// `sent` and `received`. A lease until a time on this clock then ends when
  /// the leader expects it, even if another incarnation has granted it.
  bool Continues(int64_t clock_ms, TimePoint sent, TimePoint received) const;

 private:
  int64_t newest_ms_ = 0;
  TimePoint received_at_{};
};

}  // namespace mimosarail::fleet
