#include "src/coordinator/work_rates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosarail::coordinator {
namespace {

/// Longest time between two updates that is counted.
constexpr Millis kMaxUpdateSpan{1000};
/// What was observed this long ago counts 1/e. Covers several runs of tasks
/// that take some seconds, so that the ends of one gang do not dominate.
constexpr Millis kRateMemory{15000};
/// The full capacity counts like an observation of this duration. In the first
/// seconds of an overload, long tasks have not ended yet.
constexpr Millis kPriorDuration{5000};
/// Number of runs from which the ratio to the estimates is used. Errors of
/// single estimates, evenly spread between 1/2.5 and 2.5 on a logarithmic
/// scale, then change the sum by 7 % (standard deviation).
constexpr int64_t kMinRuns = 50;
/// When this many runs are counted, all sums are halved, so that the ratio
/// follows changes within some hundred runs.
constexpr int64_t kMaxRuns = 400;
/// Margin of a measured ratio: more than twice the standard deviation of its
/// error and that of the waiting work together. A larger one
/// would refuse no urgent jobs at twice the capacity, since their backlog stays
/// below it.
constexpr double kMeasuredMargin = 1.25;

double ToMs(Clock::duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

}  // namespace

void WorkRates::NoteFinished(const std::string& pool, const std::string& queue,
                             double work, double estimated_work) {
  pools_[pool].fresh_work += work;
  QueueRatio& ratio = queues_[queue];
  ratio.work += work;
  ratio.estimated_work += estimated_work;
  if (++ratio.runs < kMaxRuns) return;
  ratio.work /= 2;
  ratio.estimated_work /= 2;
  ratio.runs /= 2;
}

void WorkRates::Update(const std::string& pool, bool saturated, TimePoint now) {
  PoolRate& rate = pools_[pool];
  const double fresh = std::exchange(rate.fresh_work, 0);
  const TimePoint since = std::exchange(rate.updated_at, now);
  if (since == TimePoint{}) return;
  const double passed = ToMs(now - since);
  const double decay = std::exp(-passed / ToMs(kRateMemory));
  rate.work *= decay;
  rate.saturated_ms *= decay;
  // After a pause of the process, the state of the pool in between is not
  // known.
  if (!saturated || passed > ToMs(kMaxUpdateSpan)) return;
  rate.work += fresh;
  rate.saturated_ms += passed;
}

double WorkRates::Rate(const std::string& pool, double capacity) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return capacity;
  const double prior = ToMs(kPriorDuration);
  const double rate = (found->second.work + capacity * prior) /
                      (found->second.saturated_ms + prior);
  return std::min(rate, capacity);
}

WorkFactors WorkRates::FactorsOf(const std::string& queue) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end()) return {};
  const QueueRatio& ratio = found->second;
  if (ratio.runs < kMinRuns || ratio.estimated_work <= 0) return {};
  const double measured = std::clamp(ratio.work / ratio.estimated_work,
                                     1 / kEstimateError, kEstimateError);
  return {.expected = measured,
          .at_least = std::max(measured / kMeasuredMargin, 1 / kEstimateError)};
}

}  // namespace mimosarail::coordinator
