#include "src/scheduling/advice_call_size.h"

#include <cmath>

namespace mimosarail::scheduling {
namespace {

/// A call names enough upstreams that the expected number of allowed tasks,
/// minus this many standard deviations, covers the tasks to place. With this
/// margin, nine calls in ten allow enough tasks.
constexpr double kSafetyMarginDeviations = 1.3;

}  // namespace

int32_t AdviceCallSize(const std::vector<AdviceCandidate>& candidates,
                       double tasks, int32_t max_upstreams) {
  double mean = 0;
  double variance = 0;
  int32_t count = 0;
  for (const AdviceCandidate& candidate : candidates) {
    if (count == max_upstreams) break;
    if (mean - kSafetyMarginDeviations * std::sqrt(variance) >= tasks) break;
    ++count;
    mean += candidate.allow_probability * candidate.tasks;
    variance += candidate.allow_probability *
                (1 - candidate.allow_probability) * candidate.tasks *
                candidate.tasks;
  }
  return count;
}

}  // namespace mimosarail::scheduling
