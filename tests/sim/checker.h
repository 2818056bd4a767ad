#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/sim/cluster.h"

namespace mimosarail::sim {

/// One submission of a test and the reply to its caller.
struct Submission {
  wire::RequestSpec spec;
  std::shared_ptr<SubmitResult> result;
};

/// Checks the replies to callers against the history that the fake upstreams
/// recorded, and returns all violations. `capacity` and `slots` are those of
/// one upstream.
std::vector<std::string> CheckInvariants(
    const nlohmann::json& history, const std::vector<Submission>& submissions,
    const wire::Resources& capacity, int slots);

/// Returns the number of task starts of the request.
int StartsOf(const nlohmann::json& history, const std::string& request_id);

}  // namespace mimosarail::sim
