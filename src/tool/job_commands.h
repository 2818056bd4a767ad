#pragma once

#include <string>
#include <vector>

#include "src/tool/commands.h"

namespace mimosarail::tool {

/// Runs `job submit FILE | state ID | cancel ID | pending QUEUE | leader`. Asks
/// the entry at `options.peer` for the leader and sends the command there.
/// `args` are the arguments after "job".
ExitCode RunJob(const std::vector<std::string>& args, const Options& options);

}  // namespace mimosarail::tool
