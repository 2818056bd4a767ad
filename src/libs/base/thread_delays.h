#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "src/libs/base/executor.h"

namespace mimosarail {

/// Time that work waits in the queue of each thread before it runs.
struct QueueDelays {
  Millis control{0};
  Millis network{0};
};

/// Measures how far the control thread and the network thread are behind, by
/// work that passes through both queues. Call on the control thread only.
class ThreadDelays {
 public:
  /// Interval between measurements while both threads keep up.
  static constexpr Millis kPeriod{100};

  /// Both executors must outlive this object, which must outlive the work
  /// queued there.
  ThreadDelays(Executor& control, Executor& network)
      : control_(control), network_(network) {}

  void Start() { Probe(); }

  /// Returns the longest delay of each queue since the previous call.
  QueueDelays TakeMax() {
    // A measurement that takes long counts before it ends.
    if (sent_) max_.network = std::max(max_.network, Since(*sent_));
    return std::exchange(max_, {});
  }

 private:
  Millis Since(TimePoint start) const {
    return std::chrono::duration_cast<Millis>(control_.Now() - start);
  }
  void Probe() {
    sent_ = control_.Now();
    network_.Post([this, sent = *sent_] {
      const TimePoint reached = network_.Now();
      control_.Post([this, sent, reached] { OnProbe(sent, reached); });
    });
  }
  void OnProbe(TimePoint sent, TimePoint reached) {
    sent_.reset();
    max_.network = std::max(max_.network,
                            std::chrono::duration_cast<Millis>(reached - sent));
    max_.control = std::max(max_.control, Since(reached));
    control_.RunAfter(kPeriod, [this] { Probe(); });
  }

  Executor& control_;
  Executor& network_;
  QueueDelays max_;
  /// When the measurement under way began.
  std::optional<TimePoint> sent_;
};

}  // namespace mimosarail
