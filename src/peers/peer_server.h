#pragma once

#include "src/instance/instance.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::peers {

/// Registers the handlers of calls from other entry instances; they run on the
/// control thread. Call before Server::Listen(). `executor` and `instance` must
/// outlive the server.
void ServePeers(rpc::Server& server, Executor& executor,
                instance::Instance& instance);

}  // namespace mimosarail::peers
