#pragma once

#include <string>
#include <vector>

#include "src/tool/commands.h"

namespace mimosarail::tool {

/// Runs `config check FILE`, with the version in force in `options.against` if
/// that is not empty. `args` are the arguments after "config". Reads files (or
/// standard input for "-") and calls no entry.
ExitCode RunConfig(const std::vector<std::string>& args,
                   const Options& options);

}  // namespace mimosarail::tool
