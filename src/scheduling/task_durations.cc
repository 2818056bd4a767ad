#include "src/scheduling/task_durations.h"

#include <algorithm>
#include <cmath>

namespace mimosarail::scheduling {
namespace {

namespace acc = boost::accumulators;

/// A generation ends after this many runs, so that a queue whose tasks change
/// is followed within two generations. The tasks of a step are alike: this many
/// runs may come from a few dozen jobs.
constexpr size_t kGenerationRuns = 2000;
/// A new generation replaces the fit of the previous one from this many runs
/// on.
constexpr size_t kMinGenerationRuns = 200;
/// An estimate counts as much as this many observed runs.
constexpr double kEstimateWeight = 3;
/// Estimates are trusted as if this many runs, whose estimates differed by a
/// factor of about 1.6, had confirmed them: about those of one step.
constexpr double kPriorRuns = 20;
constexpr double kPriorVariance = 0.25;

/// A run counts as at most this much longer or shorter than expected, in
/// logarithms: a factor of 2. Some percent of runs take 7 times as long.
constexpr double kMaxDeviation = 0.7;
/// Deviations are limited from this many runs on, so that a queue whose
/// estimates are far off is learned quickly.
constexpr double kMinRunsToLimit = 10;

double LogOf(Millis span) {
  return std::log(static_cast<double>(std::max(Millis(1), span).count()));
}

}  // namespace

TaskDurations::Fit TaskDurations::FitOf(const Generation& generation) {
  Fit out;
  out.count = static_cast<double>(acc::count(generation.estimates));
  out.mean_estimate = acc::mean(generation.estimates);
  out.mean_duration = acc::mean(generation.durations);
  const double covariance =
      acc::covariance(generation.durations, acc::tag::covariate1());
  const double prior = kPriorRuns * kPriorVariance;
  const double slope =
      (out.count * covariance + prior) /
      (out.count * acc::variance(generation.estimates) + prior);
  out.slope = std::clamp(slope, 0.0, 1.0);
  return out;
}

double TaskDurations::Predict(const Fit& fit, double log_estimate) {
  return fit.mean_duration + fit.slope * (log_estimate - fit.mean_estimate);
}

void TaskDurations::Observe(const std::string& queue, Millis estimate,
                            Millis duration) {
  Queue& known = by_queue_[queue];
  Generation& current = known.current;
  const double log_estimate = LogOf(estimate);
  double log_duration = LogOf(duration);
  if (known.fit.count >= kMinRunsToLimit) {
    const double expected = Predict(known.fit, log_estimate);
    log_duration = std::clamp(log_duration, expected - kMaxDeviation,
                              expected + kMaxDeviation);
  }
  current.estimates(log_estimate);
  current.durations(log_duration, acc::covariate1 = log_estimate);
  const size_t count = acc::count(current.estimates);
  if (known.fit.count <= static_cast<double>(count) ||
      count >= kMinGenerationRuns) {
    known.fit = FitOf(current);
  }
  if (count >= kGenerationRuns) current = Generation();
}

Millis TaskDurations::Expected(const std::string& queue,
                               Millis estimate) const {
  const auto found = by_queue_.find(queue);
  if (found == by_queue_.end()) return estimate;
  const Fit& fit = found->second.fit;
  const double by_caller = LogOf(estimate);
  const double by_runs = Predict(fit, by_caller);
  const double mean = (fit.count * by_runs + kEstimateWeight * by_caller) /
                      (fit.count + kEstimateWeight);
  return Millis(std::max<int64_t>(1, std::llround(std::exp(mean))));
}

}  // namespace mimosarail::scheduling
