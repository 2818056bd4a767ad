#include "src/scheduling/speed_choice.h"

#include <algorithm>

namespace mimosarail::scheduling {
namespace {

/// Runs of a step vary by about 15 %. A gang ends with its slowest task: the
/// longest of 20 such runs takes about 1.35 times the usual time.
constexpr double kRunTimeMargin = 1.15;
constexpr double kGangRunTimeMargin = 1.4;
/// A step that is late on an upstream of this speed too is late on any.
constexpr double kFastestFactor = 2;
/// Cost of a speed that is one class further off. Two classes, a factor of 1.6,
/// cost more than the worst fit, which costs 1.5 (placing.cc).
constexpr double kClassCost = 1;
/// Cost of an upstream on which the step is late. Exceeds the cost of any other
/// preference.
constexpr double kLateCost = 12;
/// Ranges of speed whose waste differs by less than this factor are equal.
constexpr double kEqualWaste = 1.05;

}  // namespace

bool LateAt(const SpeedNeeds& needs, double factor) {
  const double margin = needs.gang ? kGangRunTimeMargin : kRunTimeMargin;
  const double run_time =
      margin * static_cast<double>(needs.work.count()) / factor;
  return run_time > static_cast<double>(needs.time_left.count());
}

SpeedRank RankSpeed(const SpeedNeeds& needs, const UpstreamSpeed& speed) {
  const int32_t rank = speed.speed_class;
  if (LateAt(needs, kFastestFactor)) return {.rank = rank};
  const bool late = LateAt(needs, speed.factor);
  return {.late = late, .rank = needs.urgent || late ? -rank : rank};
}

double SpeedCost(const SpeedNeeds& needs, const UpstreamSpeed& speed) {
  const SpeedRank rank = RankSpeed(needs, speed);
  return (rank.late ? kLateCost : 0) +
         kClassCost * static_cast<double>(rank.rank);
}

double SlowestForGang(std::vector<GangOption> options, double tasks,
                      const SpeedNeeds& needs) {
  std::sort(options.begin(), options.end(),
            [](const auto& a, const auto& b) { return a.factor < b.factor; });
  // Uses the slowest upstreams from each lowest speed on.
  double best = 0;
  double best_waste = 0;
  bool best_late = true;
  const bool hopeless = LateAt(needs, kFastestFactor);
  double compared = 0;
  for (size_t begin = 0; begin < options.size(); ++begin) {
    const double slowest = options[begin].factor;
    // Only noticeably different speeds are compared.
    if (slowest < kEqualWaste * compared) continue;
    compared = slowest;
    double left = tasks;
    double speed_used = 0;
    for (size_t i = begin; i < options.size() && left > 0; ++i) {
      const double taken = std::min(left, options[i].tasks);
      speed_used += taken * options[i].factor;
      left -= taken;
    }
    if (left > 0) break;
    const bool late = !hopeless && LateAt(needs, slowest);
    const double waste = late ? 1 / slowest : speed_used / (tasks * slowest);
    const bool better = best <= 0 || (best_late && !late) ||
                        (best_late == late && kEqualWaste * waste < best_waste);
    if (!better) continue;
    best = slowest;
    best_waste = waste;
    best_late = late;
  }
  return best;
}

int32_t RankForGang(double slowest, const UpstreamSpeed& speed) {
  constexpr int32_t kBelow = 1000;
  return speed.factor < slowest ? kBelow - speed.speed_class
                                : speed.speed_class;
}

}  // namespace mimosarail::scheduling
