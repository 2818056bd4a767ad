#pragma once

#include <algorithm>

#include "src/libs/base/executor.h"

namespace mimosarail::coordinator {

/// Decides when the next placement pass runs, so that passes take at most a
/// quarter of the control thread's time. With a long queue or a full processor,
/// passes without a pause would delay all answers to upstreams and callers.
/// Reads no clock. Not thread-safe.
class PlacementPacing {
 public:
  /// Delay of a pass, so that changes shortly after each other share one.
  static constexpr Millis kDelay{2};
  /// The pause after a pass, as a multiple of its duration.
  static constexpr int kPauseFactor = 3;
  static constexpr Millis kMaxPause{40};

  /// A pass has run.
  void NotePass(TimePoint start, TimePoint end) {
    next_at_ = end + std::min<Clock::duration>(kPauseFactor * (end - start),
                                               kMaxPause);
  }
  /// Returns how long to wait before a pass that is needed now.
  Millis DelayAt(TimePoint now) const {
    return std::max(kDelay, std::chrono::ceil<Millis>(next_at_ - now));
  }

 private:
  TimePoint next_at_{};
};

}  // namespace mimosarail::coordinator
