#pragma once

#include <cstdint>
#include <optional>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// What this instance may use, as its settings state it.
struct CapacityLimits {
  /// Rate of each direction of the link; 0 if unknown.
  int64_t link_bytes_per_s = 0;
  /// Processor share in percent of a core.
  int64_t cpu_percent = 0;
};

/// What this process has used since its start.
struct ResourceTotals {
  int64_t bytes_in = 0;
  int64_t bytes_out = 0;
  Millis cpu{0};
};

/// Whether this process uses its link or its processor share to the full. A
/// leader states this in its record: it answers slowly because of its load, so
/// an equally fit leader would be as slow. A machine that has become slow uses
/// less than its share and is not saturated. Not thread-safe.
class CapacityUse {
 public:
  /// With an unknown link, saturated() is always false.
  explicit CapacityUse(CapacityLimits limits) : limits_(limits) {}

  /// Notes the totals as of `now`. Call every kPeriod.
  void Update(const ResourceTotals& totals, TimePoint now);
  /// Whether a limit was used to the full within the last kMemory.
  bool saturated(TimePoint now) const;

  static constexpr Millis kPeriod{500};
  /// Longer than the gaps of a load that comes in bursts, and shorter than the
  /// minimum term of a slow leader.
  static constexpr Millis kMemory{2000};

 private:
  CapacityLimits limits_;
  std::optional<TimePoint> updated_at_;
  ResourceTotals before_;
  std::optional<TimePoint> saturated_at_;
};

}  // namespace mimosarail::leadership
