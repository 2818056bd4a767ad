#pragma once

#include <cstdint>

#include "src/jobs/job.h"

namespace mimosarail::scheduling {

/// An upstream on which tasks of a step could start now.
struct Candidate {
  UpstreamIndex upstream = kNoUpstream;
  int32_t fitting_tasks = 0;
  /// The lowest score is the best; see Scheduler::Score().
  double score = 0;
};

}  // namespace mimosarail::scheduling
