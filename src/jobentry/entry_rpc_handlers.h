#pragma once

#include "src/jobentry/job_entry.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::jobentry {

/// Registers the handlers of calls from other entries. Must be called before
/// Server::Listen(). `executor` and `entry` must outlive the server.
void RegisterEntryHandlers(rpc::Server& server, Executor& executor,
                           JobEntry& entry);

}  // namespace mimosarail::jobentry
