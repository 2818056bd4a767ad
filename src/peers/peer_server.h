#pragma once

#include "src/instance/instance.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::peers {

/// Registers handlers for the calls of other entry instances; each runs on the
/// control thread. Call before Server::Listen(); all arguments outlive the
/// server.
void ServePeers(rpc::Server& server, Executor& executor,
                instance::Instance& instance);

}  // namespace mimosarail::peers
