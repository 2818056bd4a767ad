#pragma once

#include <optional>
#include <string>

#include "jobs_types.h"
#include "src/libs/base/findings.h"

namespace mimosarail::tool {

/// Parses a job from JSON with comments. The member names are mimosarail's own,
/// not those of the platform. All faults are added to `findings` with line and
/// column, and the result is then empty. Thread-safe.
std::optional<wire::JobSpec> ParseJobFile(const std::string& text,
                                          Findings& findings);

}  // namespace mimosarail::tool
