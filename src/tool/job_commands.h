#pragma once

#include <string>
#include <vector>

#include "src/tool/commands.h"

namespace mimosarail::tool {

/// `job submit FILE | state ID | cancel ID | pending QUEUE | leader`, asked of
/// the entry at `options.peer`; follows to the leader. `words` start after
/// "job".
ExitCode RunJob(const std::vector<std::string>& words, const Options& options);

}  // namespace mimosarail::tool
