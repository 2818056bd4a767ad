#pragma once

#include <cstdint>
#include <vector>

namespace mimosarail::scheduling {

/// An upstream that a call for advice could name.
struct AskOption {
  /// Number of tasks of the step that it can probably take when the answer
  /// arrives.
  double fit = 0;
  /// Probability that the adviser allows the upstream.
  double rate = 1;
};

/// Returns how many of `options`, taken in order, one call should name so that
/// its answer is sufficient for `tasks` nine times in ten. If no number is
/// sufficient, returns all options; the result is at most `max_options`. A call
/// costs its base time plus 1/70 of it for each upstream named, so naming more
/// upstreams is much cheaper than calling again. If a call were sized by the
/// expected number of allowed tasks, every second call would allow too few.
int32_t AskCount(const std::vector<AskOption>& options, double tasks,
                 int32_t max_options);

}  // namespace mimosarail::scheduling
