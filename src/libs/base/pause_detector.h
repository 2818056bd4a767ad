#pragma once

#include <algorithm>
#include <chrono>

#include "src/libs/base/executor.h"

namespace mimosarail {

/// Detects that this process was paused, or its thread busy, for so long that
/// what it reads next may be outdated. All times are of one clock that does not
/// stop while the machine is suspended. Not thread-safe.
class PauseDetector {
 public:
  /// Interval at which to call Tick().
  static constexpr Millis kTickPeriod{250};
  /// Shortest time without a tick that counts as a pause.
  static constexpr Millis kMinPause{1000};
  /// What had arrived during a pause is read within this time after it.
  static constexpr Millis kCatchUpTime{1000};

  explicit PauseDetector(TimePoint now) : last_tick_(now) {}

  void Tick(TimePoint now) {
    const Millis pause = TimeSince(last_tick_, now);
    last_tick_ = now;
    if (pause < kMinPause) return;
    pause_ = pause;
    pause_end_ = now;
  }

  /// Returns the length of the pause that has just ended; 0 if there was none.
  Millis RecentPause(TimePoint now) const {
    const Millis unnoticed = TimeSince(last_tick_, now);
    const bool catching_up =
        pause_ > Millis(0) && now - pause_end_ <= kCatchUpTime;
    return std::max(unnoticed < kMinPause ? Millis(0) : unnoticed,
                    catching_up ? pause_ : Millis(0));
  }

 private:
  static Millis TimeSince(TimePoint then, TimePoint now) {
    return std::chrono::duration_cast<Millis>(now - then);
  }

  TimePoint last_tick_;
  Millis pause_{0};
  TimePoint pause_end_{};
};

}  // namespace mimosarail
