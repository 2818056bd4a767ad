#include "src/scheduling/ask_size.h"

#include <cmath>

namespace mimosarail::scheduling {
namespace {

/// A call is sized so that its expected result minus this many standard
/// deviations is sufficient. This holds for nine calls in ten.
constexpr double kDeviations = 1.3;

}  // namespace

int32_t AskCount(const std::vector<AskOption>& options, double tasks,
                 int32_t most) {
  double mean = 0;
  double variance = 0;
  int32_t count = 0;
  for (const AskOption& option : options) {
    if (count == most) break;
    if (mean - kDeviations * std::sqrt(variance) >= tasks) break;
    ++count;
    mean += option.rate * option.fit;
    variance += option.rate * (1 - option.rate) * option.fit * option.fit;
  }
  return count;
}

}  // namespace mimosarail::scheduling
