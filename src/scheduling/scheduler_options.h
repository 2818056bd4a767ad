#pragma once

#include <cstdint>

#include "src/scheduling/queue_order.h"

namespace mimosarail::scheduling {

struct SchedulerOptions {
  /// Attempt numbers start above this value, which exceeds every attempt number
  /// of earlier leaders.
  int64_t attempt_base = 0;
  QueueOrder queue_order = QueueOrder::kPriority;
  /// With QueueOrder::kDelayCost: how many times as much a delay costs a job as
  /// one of the next lower priority that needs the same resources.
  double priority_price = 2;
  /// Measured speeds of upstreams are used once the fast ones are at least this
  /// many times as fast as the slow ones; 0 for never.
  double upstream_speed_spread = 0;
};

}  // namespace mimosarail::scheduling
