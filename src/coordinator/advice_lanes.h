#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/ports/advice_port.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::coordinator {

/// Calls the adviser through a given entry. Control thread only.
class AdviceCaller {
 public:
  virtual ~AdviceCaller() = default;
  virtual void RequestAdvice(const std::string& entry_address,
                             const StepId& step,
                             const std::vector<std::string>& upstreams,
                             Millis timeout, Callback<ports::Advice> done) = 0;
};

/// Tracks which entries are calling the adviser. The adviser serves the calls
/// of one machine one at a time, so each entry is a lane that carries one call
/// at a time. Some lanes are reserved for urgent work (priority 0), whose calls
/// take 10 ms and would otherwise queue behind calls of 400 ms and more. Not
/// thread-safe.
class AdviceLanes {
 public:
  /// Sets the entries that may call the adviser. A lane that remains keeps its
  /// state.
  void SetEntries(const std::vector<std::string>& addresses, TimePoint now);
  /// Number of entries.
  size_t size() const { return lanes_.size(); }
  /// Number of lanes that can carry a call now.
  scheduling::AdviceBudget Budget(TimePoint now);
  /// Occupies a free lane and returns the address of its entry; empty if there
  /// is none for this priority.
  std::string Acquire(int32_t priority, TimePoint now);
  /// Ends the call of a lane. After a failed call, the lane is not used for
  /// kFailureBackoff.
  void Release(const std::string& address, bool failed, TimePoint now);

  /// Largest share of the lanes that is reserved for urgent work. In bursts of
  /// urgent work, a share of 2/7 reduced the number of late jobs from 94 to 4
  /// of 154. Reserving none or half of the lanes gave more late jobs.
  static constexpr double kMaxUrgentShare = 2.0 / 7;
  /// Lanes reserved in addition to the recent peak of urgent calls. Reserving
  /// by kMaxUrgentShare alone took 11 of 36 lanes, 9 of which were idle while
  /// gangs waited for a lane.
  static constexpr int kUrgentHeadroom = 2;
  /// Time constant of the exponential decay of the recent peak of urgent
  /// calls.
  static constexpr Millis kPeakDecay{8000};
  /// A lane whose call failed is not used for this long.
  static constexpr Millis kFailureBackoff{700};

 private:
  /// Selects the lanes reserved for urgent work by the recent peak of urgent
  /// calls.
  void UpdateUrgentLanes(TimePoint now);

  struct Lane {
    bool busy = false;
    bool reserved_for_urgent = false;
    /// The current call is for urgent work.
    bool urgent_call = false;
    TimePoint backoff_until{};
  };
  /// By address of the entry.
  std::map<std::string, Lane> lanes_;
  /// Decaying maximum of the number of urgent calls at a time, as of
  /// peak_updated_at_.
  double urgent_peak_ = 0;
  TimePoint peak_updated_at_{};
};

}  // namespace mimosarail::coordinator
