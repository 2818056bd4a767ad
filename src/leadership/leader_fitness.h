#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs_types.h"

namespace mimosarail::leadership {

/// Returns the fitness for leadership of a machine with this processor share,
/// in percent of a core, and this link rate, in Mbit/s; 0 if unknown.
///
/// With an unknown link or one of at least 87 Mbit/s this is the processor
/// share. On a link that is too thin for a leader, it is the processor share
/// times the share of the leader's traffic that the link carries in time: of
/// entries with 0.3 core, one with 10 Mbit/s took 6 s to load the jobs, in
/// which no caller was served, and one with 200 Mbit/s takes 0.3 s. Never 0 for
/// a machine with a processor share, so that a thin link does not rank behind a
/// machine that cannot run at all.
///
/// Preconditions: neither argument is negative. Thread-safe.
int32_t LeaderFitness(int64_t cpu_percent, double link_mbps);

/// Rank of an entry among the other known members: 1 if none of them is fitter.
/// `former_leader` is the address of the leader to be replaced, which does not
/// count. Thread-safe.
int32_t FitnessRank(const wire::Member& self,
                    const std::vector<wire::Member>& members,
                    const std::string& former_leader);

}  // namespace mimosarail::leadership
