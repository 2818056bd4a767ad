#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/libs/base/executor.h"

namespace mimosarail::coordinator {

/// Callers' estimates of durations are wrong by up to this factor, in either
/// direction.
inline constexpr double kEstimateError = 2.5;

/// By what an estimated amount of work is multiplied.
struct WorkFactors {
  /// Gives the expected amount.
  double expected = 1;
  /// Gives an amount that the real one certainly reaches.
  double at_least = 1 / kEstimateError;
};

/// Observes how fast each pool finishes work, and how the work of each queue
/// compares with its callers' estimates. Soft state: a new leader knows nothing
/// and assumes that a pool finishes as much as it has cores, and that estimates
/// are right within kEstimateError. Uses no clock. Not thread-safe.
class WorkRates {
 public:
  /// A task of the queue has succeeded. Both amounts are in core-milliseconds.
  void NoteFinished(const std::string& pool, const std::string& queue,
                    double work, double estimated_work);

  /// Takes over what the pool has finished since the last call. With
  /// `saturated`, work was waiting during that time; only then does the work
  /// finished show what the pool can do.
  void Update(const std::string& pool, bool saturated, TimePoint now);

  /// Returns the cores that the pool keeps busy with work that succeeds.
  /// At most `capacity`, the cores of its upstreams.
  double Rate(const std::string& pool, double capacity) const;

  /// Returns the factors for the estimates of the queue's callers.
  WorkFactors FactorsOf(const std::string& queue) const;

 private:
  struct PoolRate {
    /// Work finished since the last update.
    double fresh_work = 0;
    /// Work finished while the pool was saturated, and the duration of that
    /// time in ms; both decay with kRateMemory.
    double work = 0;
    double saturated_ms = 0;
    TimePoint updated_at{};
  };
  struct QueueRatio {
    double work = 0;
    double estimated_work = 0;
    int64_t runs = 0;
  };

  std::map<std::string, PoolRate> pools_;
  std::map<std::string, QueueRatio> queues_;
};

}  // namespace mimosarail::coordinator
