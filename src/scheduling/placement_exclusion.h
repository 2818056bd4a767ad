#pragma once

#include <set>

#include "src/jobs/job.h"

namespace mimosarail::scheduling {

/// The upstreams on which a waiting gang, or a task that has failed, may not
/// start for a bounded time, since it is likely to fail there. Placing,
/// requesting advice and planning must apply the same exclusion to a gang.
/// Otherwise the gang requests advice about too few upstreams and waits forever
/// although others are free (26 of 284 random pools).
struct PlacementExclusion {
  /// Upstreams that a step with failures avoids: those where it failed, and
  /// those with consecutive failures of any tasks. Empty if the other
  /// upstreams could not take the step.
  std::set<UpstreamIndex> excluded;
  /// For how long a gang that waits, or a task that has failed, avoids them.
  Millis max_avoidance{0};
  /// The gang may start more than one task on an upstream with consecutive
  /// failures. Otherwise too few upstreams would be left for the gang, and
  /// with nothing else to run they would stay suspect.
  bool allows_suspects = false;
  /// The exclusion is computed again after this time.
  TimePoint valid_until{};
};

/// Where tasks of a step have failed.
struct StepFailures {
  /// A task of the step has failed.
  bool any = false;
  /// For each task that has failed, the upstream of its last failure.
  std::set<UpstreamIndex> upstreams;
};

}  // namespace mimosarail::scheduling
