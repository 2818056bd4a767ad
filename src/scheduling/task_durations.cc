#include "src/scheduling/task_durations.h"

#include <algorithm>
#include <cmath>

namespace mimosarail::scheduling {
namespace {

/// A generation ends after this many runs, so that a queue whose tasks change
/// is followed within two generations.
constexpr size_t kGenerationRuns = 500;
/// A new generation replaces the previous median from this many runs on.
constexpr size_t kMinGenerationRuns = 50;

}  // namespace

void TaskDurations::Observe(const std::string& queue, Millis duration) {
  namespace acc = boost::accumulators;
  Durations& durations = by_queue_[queue];
  durations.current(std::log(static_cast<double>(duration.count())));
  const size_t count = acc::count(durations.current);
  if (durations.count <= static_cast<double>(count) ||
      count >= kMinGenerationRuns) {
    durations.median = acc::p_square_quantile(durations.current);
    durations.count = static_cast<double>(count);
  }
  if (count < kGenerationRuns) return;
  durations.current = Median(acc::quantile_probability = 0.5);
}

Millis TaskDurations::Expected(const std::string& queue,
                               Millis estimate) const {
  const auto found = by_queue_.find(queue);
  if (found == by_queue_.end()) return estimate;
  const Durations& known = found->second;
  const double prior = std::log(static_cast<double>(estimate.count()));
  const double mean = (known.count * known.median + kEstimateWeight * prior) /
                      (known.count + kEstimateWeight);
  return Millis(std::max<int64_t>(1, std::llround(std::exp(mean))));
}

}  // namespace mimosarail::scheduling
