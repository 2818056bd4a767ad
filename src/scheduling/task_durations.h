#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <string>
#include <unordered_map>

#include "src/libs/base/executor.h"

namespace mimosarail::scheduling {

/// Learns how long the tasks of each queue run on an upstream of the usual
/// speed. Uses no clock. Not thread-safe.
class TaskDurations {
 public:
  /// A run has taken `duration`, converted to the usual speed. Precondition:
  /// duration > 0.
  void Observe(const std::string& queue, Millis duration);
  /// Returns the expected run time of a task at the usual speed. `estimate` is
  /// that of the caller. It counts as much as kEstimateWeight observed runs.
  /// Precondition: estimate > 0.
  Millis Expected(const std::string& queue, Millis estimate) const;

  /// Callers' estimates are wrong by a factor of up to 2.5 either way, runs of
  /// a queue vary by less.
  static constexpr double kEstimateWeight = 3;

 private:
  using Median = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::p_square_quantile>>;
  struct Durations {
    /// Logarithms of the durations since the last generation began.
    Median current{boost::accumulators::quantile_probability = 0.5};
    /// Median of the logarithms, of this or of the previous generation.
    double median = 0;
    /// Number of runs behind `median`.
    double count = 0;
  };
  std::unordered_map<std::string, Durations> by_queue_;
};

}  // namespace mimosarail::scheduling
