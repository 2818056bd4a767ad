#pragma once

#include <optional>
#include <string>

#include "jobs_types.h"
#include "src/libs/base/findings.h"

namespace mimosarail::tool {

/// Parses a job from JSON with comments, with the product's own member names
/// rather than the platform's. All faults are added to `findings` with line and
/// column; the result is then empty. Thread-safe.
std::optional<wire::JobSpec> ParseJobFile(const std::string& text,
                                          Findings& findings);

}  // namespace mimosarail::tool
