#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/covariance.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/accumulators/statistics/variates/covariate.hpp>
#include <string>
#include <unordered_map>

#include "src/libs/base/executor.h"

namespace mimosarail::scheduling {

/// Learns how long the tasks of each queue run on an upstream of the usual
/// speed, and how much the callers' estimates say about it: the logarithm of
/// the duration is a linear function of that of the estimate, fitted by least
/// squares. Uses no clock. Not thread-safe.
class TaskDurations {
 public:
  /// A run that was estimated to take `estimate` has taken `duration`,
  /// converted to the usual speed. Preconditions: both are above 0.
  void Observe(const std::string& queue, Millis estimate, Millis duration);
  /// Returns the expected run time of a task at the usual speed. `estimate` is
  /// that of the caller. Precondition: estimate > 0.
  Millis Expected(const std::string& queue, Millis estimate) const;

 private:
  using Estimates = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::mean,
                                         boost::accumulators::tag::variance>>;
  using Durations = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::mean,
                  boost::accumulators::tag::covariance<
                      double, boost::accumulators::tag::covariate1>>>;
  /// Logarithms of the estimates and the durations of some runs.
  struct Generation {
    Estimates estimates;
    Durations durations;
  };
  /// log(duration) = mean_duration + slope * (log(estimate) - mean_estimate).
  struct Fit {
    double count = 0;
    double mean_estimate = 0;
    double mean_duration = 0;
    double slope = 1;
  };
  struct Queue {
    Generation current;
    /// The fit of the current generation, or of the previous one while the
    /// current one has few runs.
    Fit fit;
  };

  static Fit FitOf(const Generation& generation);
  /// Returns the logarithm of the expected duration.
  static double Predict(const Fit& fit, double log_estimate);

  std::unordered_map<std::string, Queue> by_queue_;
};

}  // namespace mimosarail::scheduling
