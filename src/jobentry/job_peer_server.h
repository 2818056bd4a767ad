#pragma once

#include "src/jobentry/job_entry.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::jobentry {

/// Registers the calls of other entries; before Listen(). Everything given
/// outlives the server.
void ServeJobPeers(rpc::Server& server, Executor& executor, JobEntry& entry);

}  // namespace mimosarail::jobentry
