#include "src/scheduling/ask_size.h"

#include <cmath>

namespace mimosarail::scheduling {
namespace {

/// Enough options are asked that the expected number of tasks they accept,
/// minus this many standard deviations, covers the tasks to place. With this
/// margin, nine calls in ten get enough.
constexpr double kSafetyMarginDeviations = 1.3;

}  // namespace

int32_t AskCount(const std::vector<AskOption>& options, double tasks,
                 int32_t max_options) {
  double mean = 0;
  double variance = 0;
  int32_t count = 0;
  for (const AskOption& option : options) {
    if (count == max_options) break;
    if (mean - kSafetyMarginDeviations * std::sqrt(variance) >= tasks) break;
    ++count;
    mean += option.rate * option.fit;
    variance += option.rate * (1 - option.rate) * option.fit * option.fit;
  }
  return count;
}

}  // namespace mimosarail::scheduling
