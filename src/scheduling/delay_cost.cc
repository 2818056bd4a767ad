#include "src/scheduling/delay_cost.h"

#include <cmath>
#include <limits>

namespace mimosarail::scheduling {
namespace {

/// Bands are logarithms of values, since priorities go up to 1,000,000. Values
/// that differ by less than this relative step share a band.
constexpr double kBandStep = 1e-6;

constexpr ValueBand kWorthlessBand = std::numeric_limits<ValueBand>::max();

/// Returns by how many bands a step moves back if its value falls to this part.
ValueBand BandsBetween(double part) {
  return std::llround(-std::log(part) / kBandStep);
}

double RemainingValue(Timeliness timeliness) {
  switch (timeliness) {
    case Timeliness::kInTime:
      return 1;
    case Timeliness::kLate:
      return kLateValue;
    case Timeliness::kWorthless:
      break;
  }
  return 0;
}

}  // namespace

double WaitingValue(int32_t priority, Timeliness timeliness,
                    double priority_price) {
  return std::pow(priority_price, -priority) * RemainingValue(timeliness);
}

ValueBand DelayCostBand(int32_t priority, Timeliness timeliness,
                        double priority_price) {
  if (timeliness == Timeliness::kWorthless) return kWorthlessBand;
  if (priority == 0) {
    return timeliness == Timeliness::kInTime ? kUrgentBand : kUrgentLateBand;
  }
  return priority * BandsBetween(1 / priority_price) +
         BandsBetween(RemainingValue(timeliness));
}

ValueBand PriorityBand(int32_t priority, Timeliness timeliness) {
  constexpr ValueBand kTimelinessCount = 3;
  return priority * kTimelinessCount + static_cast<ValueBand>(timeliness);
}

}  // namespace mimosarail::scheduling
