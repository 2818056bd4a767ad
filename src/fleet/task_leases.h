#pragma once

#include <algorithm>
#include <array>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail::fleet {

/// Returns the longest time, on the local clock, that a lease of duration
/// `lease` on an upstream's clock can last.
Millis MaxLeaseDuration(Millis lease);

/// What set the end of the leases at an upstream.
enum class LeaseEndCause {
  kNone,
  kStart,
  kRenewal,
  kFirstReport,  ///< An earlier leader may have renewed until then.
};

inline constexpr EnumTable kLeaseEndCauseNames{std::array{
    EnumName{LeaseEndCause::kNone, "none"},
    EnumName{LeaseEndCause::kStart, "start"},
    EnumName{LeaseEndCause::kRenewal, "renewal"},
    EnumName{LeaseEndCause::kFirstReport, "first report"},
}};

/// When the task leases at one upstream end at the latest, on the local clock.
/// Not thread-safe.
class TaskLeases {
 public:
  explicit TaskLeases(Millis lease) : lease_(lease) {}

  /// A call that asks for a lease is sent now.
  void NoteCall(LeaseEndCause cause, TimePoint now) { Extend(cause, now); }
  /// The first report of an incarnation to this leader has arrived.
  void NoteFirstReport(TimePoint now) {
    Extend(LeaseEndCause::kFirstReport, now);
  }

  TimePoint end() const { return end_; }
  LeaseEndCause cause() const { return cause_; }

 private:
  void Extend(LeaseEndCause cause, TimePoint now);

  Millis lease_;
  TimePoint end_{};
  LeaseEndCause cause_ = LeaseEndCause::kNone;
};

}  // namespace mimosarail::fleet
