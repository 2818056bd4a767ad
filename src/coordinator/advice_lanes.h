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

/// Has one entry call the adviser. Control thread only.
class AdviceCaller {
 public:
  virtual ~AdviceCaller() = default;
  virtual void Ask(const std::string& entry_address, const StepId& step,
                   const std::vector<std::string>& upstreams, Millis timeout,
                   Callback<ports::Advice> done) = 0;
};

/// Which entries call the adviser now. It serves the calls of one machine one
/// by one, so each entry is a lane that carries one call at a time; some lanes
/// are kept for urgent work, whose calls of 10 ms would otherwise stand behind
/// calls of 400 ms and more. Not thread-safe.
class AdviceLanes {
 public:
  void SetEntries(const std::vector<std::string>& addresses, TimePoint now);
  scheduling::AdviceBudget Budget(TimePoint now);
  /// Takes a free lane; empty if there is none for this priority.
  std::string Take(int32_t priority, TimePoint now);
  /// Gives it back; one whose call failed rests.
  void Free(const std::string& address, bool failed, TimePoint now);

  /// Most lanes kept for urgent work. Two of seven kept late urgent work in
  /// bursts from 94 to 4 of 154 jobs; none kept or half kept did worse.
  static constexpr double kUrgentShare = 2.0 / 7;
  /// Kept beside the most that urgent work used lately: with 36 lanes, 9 of the
  /// 11 that the share alone kept stood idle while gangs waited for one.
  static constexpr int kUrgentHeadroom = 2;
  /// The most that was used counts for e times less after this.
  static constexpr Millis kPeakDecay{8000};
  /// A lane whose call failed is not used for this long.
  static constexpr Millis kFailureBackoff{700};

 private:
  /// Sets which lanes are kept, by what urgent work has used lately.
  void Keep(TimePoint now);

  struct Lane {
    bool busy = false;
    bool urgent = false;
    /// Its call is for urgent work.
    bool urgent_call = false;
    TimePoint backoff_until{};
  };
  std::map<std::string, Lane> lanes_;
  double urgent_peak_ = 0;
  TimePoint peak_at_{};
};

}  // namespace mimosarail::coordinator
