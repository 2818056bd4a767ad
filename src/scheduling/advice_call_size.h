#pragma once

#include <cstdint>
#include <vector>

namespace mimosarail::scheduling {

/// An upstream about which an advice call could ask.
struct AdviceCandidate {
  /// Number of tasks of the step that the upstream can probably take when the
  /// answer arrives.
  double tasks = 0;
  /// Probability that the adviser allows the upstream.
  double allow_probability = 1;
};

/// Returns how many of `candidates`, taken in order, one advice call should
/// name so that its answer allows `tasks` tasks with a probability of about
/// 90 %. If even all candidates are too few, all are named. The result is at
/// most `max_upstreams`. Thread-safe.
///
/// A call takes its base time plus 1/70 of it for each upstream named, so that
/// naming more upstreams is much cheaper than calling again. If a call were
/// sized by the expected number of allowed tasks, every second call would allow
/// too few.
int32_t AdviceCallSize(const std::vector<AdviceCandidate>& candidates,
                       double tasks, int32_t max_upstreams);

}  // namespace mimosarail::scheduling
