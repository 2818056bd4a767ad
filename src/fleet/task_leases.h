#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail::fleet {

/// Returns the longest time, on the local clock, that a lease of duration
/// `lease` on an upstream's clock can last.
Millis MaxLeaseDuration(Millis lease);

/// What sets the end of the leases at an upstream.
enum class LeaseEndCause {
  kNone,
  kStart,
  kRenewal,
  kFirstReport,  ///< An earlier leader may have renewed until then.
  kPredecessor,  ///< An earlier leader may have renewed until its lease ended.
  kStaleCall,    ///< See TaskLeases.
};

inline constexpr EnumTable kLeaseEndCauseNames{std::array{
    EnumName{LeaseEndCause::kNone, "none"},
    EnumName{LeaseEndCause::kStart, "start"},
    EnumName{LeaseEndCause::kRenewal, "renewal"},
    EnumName{LeaseEndCause::kFirstReport, "first report"},
    EnumName{LeaseEndCause::kPredecessor, "predecessor"},
    EnumName{LeaseEndCause::kStaleCall, "stale call"},
}};

/// The end of the leases at an upstream, on the local clock.
struct LeaseEnd {
  TimePoint at{};
  LeaseEndCause cause = LeaseEndCause::kNone;
};

struct TaskLeaseOptions {
  /// Duration of the leases that leaders ask for: how long tasks at an upstream
  /// keep running without a renewal. With a shorter lease, the tasks of a lost
  /// upstream can be restarted elsewhere sooner. With a longer one, tasks
  /// survive a longer time without a leader or a connection.
  Millis lease{4000};
  /// Longest lease that an upstream grants. It shortens longer ones to this.
  Millis max_lease{10000};
  /// An upstream may execute a call this long after it was sent.
  Millis max_call_delay{12000};
};

/// Calculates when the task leases at one upstream end at the latest, on the
/// local clock.
///
/// An upstream that restarts under its id may execute stale calls, those meant
/// for a previous incarnation. The end of the lease in such a call is a time on
/// another clock. It may lie far ahead, so that the upstream grants its longest
/// lease to all that runs there. This ends with the first report to a leader:
/// from then on, the upstream refuses the fencing tokens of all stale calls.
///
/// Not thread-safe.
class TaskLeases {
 public:
  explicit TaskLeases(TaskLeaseOptions options) : options_(options) {}

  /// This leader now knows the upstream, in an incarnation that began at
  /// `started`. Not to be called if the upstream does not report its start: it
  /// then has a new id when it restarts.
  void OnStartKnown(TimePoint started, TimePoint now);
  /// The upstream has restarted. All stale calls of this leader are sent.
  void OnRestart(TimePoint now);
  /// A call to the current incarnation that asks for a lease is sent now.
  /// Precondition: NoteFirstReport() was called for this incarnation.
  void NoteCall(LeaseEndCause cause, TimePoint now);
  /// The first report of the incarnation to this leader has arrived, under a
  /// fencing token higher than those of all stale calls.
  void NoteFirstReport(TimePoint now);

  /// When all leases have ended. `predecessor_lease_end` is when the lease of
  /// the last earlier leader ends; nullopt if that is not known. Returns
  /// nullopt if the end depends on it.
  std::optional<LeaseEnd> End(
      std::optional<TimePoint> predecessor_lease_end) const;
  /// When the leases have ended that a later incarnation may have granted, of
  /// which this leader has not heard: the calls to the current incarnation are
  /// stale calls there.
  LeaseEnd EndAtUnknownIncarnation() const;

 private:
  /// Stale calls that may not be executed yet.
  struct StaleCalls {
    /// This leader sent none later.
    TimePoint sent_until{};
    /// No leader sent any later, however long it led.
    TimePoint detected_by = TimePoint::max();
  };

  void Extend(LeaseEndCause cause, TimePoint end);
  /// When the last stale call is executed, if leaders before this one have sent
  /// none after `predecessor_lease_end`. Precondition: `stale_calls_` is set.
  TimePoint StaleCallsExecutedBy(TimePoint predecessor_lease_end) const;

  TaskLeaseOptions options_;
  std::optional<StaleCalls> stale_calls_;
  bool reported_ = false;
  LeaseEnd end_;
  /// When the last call that asks for a lease was sent.
  TimePoint last_call_{};
};

}  // namespace mimosarail::fleet
