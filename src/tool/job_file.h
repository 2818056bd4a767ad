#pragma once

#include <optional>
#include <string>

#include "jobs_types.h"
#include "src/libs/base/findings.h"

namespace mimosarail::tool {

/// Reads a job from JSON with comments, in the product's own words. All faults
/// go to `findings` with line and column; then the result is empty. Safe from
/// any thread.
std::optional<wire::JobSpec> ParseJobFile(const std::string& text,
                                          Findings& findings);

}  // namespace mimosarail::tool
