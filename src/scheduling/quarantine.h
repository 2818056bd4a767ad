#pragma once

#include <cstdint>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/scheduling/candidate.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::scheduling {

/// Chooses the best candidate for a task of the job that is suspected of
/// crashing upstreams, and begins a quarantine of that upstream: it keeps new
/// tasks of other jobs away for a while. Returns the candidate if the task may
/// start there now. Returns null if no candidate has capacity, or if runs of
/// other jobs there were started less than CrashEvidence::kEarlyWindow ago.
Candidate* PickForQuarantine(UpstreamPool& pool, JobId job,
                             std::vector<Candidate>& from, TimePoint now);

/// Does the same for a gang of this many tasks: reduces `found` to the
/// upstreams to start on, begins their quarantine, and returns whether the gang
/// may start now. Precondition: `found` has capacity for the gang.
bool SelectForQuarantine(UpstreamPool& pool, JobId job, int32_t tasks,
                         std::vector<Candidate>& found, TimePoint now);

}  // namespace mimosarail::scheduling
