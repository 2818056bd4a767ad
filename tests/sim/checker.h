#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/sim/cell.h"

namespace mimosarail::sim {

/// One submission of a test and what its caller was told.
struct Submission {
  wire::RequestSpec spec;
  std::shared_ptr<SubmitResult> result;
};

/// Reads the upstreams' own history against what callers were told, and lists
/// every broken promise; empty is good.
std::vector<std::string> CheckInvariants(
    const nlohmann::json& history, const std::vector<Submission>& submissions,
    const wire::Resources& capacity, int slots);

/// How often tasks of the request were started.
int StartsOf(const nlohmann::json& history, const std::string& request_id);

}  // namespace mimosarail::sim
