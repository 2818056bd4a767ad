#pragma once

#include "src/jobentry/job_entry.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::jobentry {

/// Registers the handlers of other entries' calls. Must be called before
/// Listen(); `executor` and `entry` must outlive the server.
void RegisterEntryHandlers(rpc::Server& server, Executor& executor,
                           JobEntry& entry);

}  // namespace mimosarail::jobentry
