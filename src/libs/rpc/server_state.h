#pragma once

#include <atomic>
#include <cstdint>
#include <unordered_map>

#include "src/libs/rpc/server.h"

namespace mimosarail::rpc {

using HandlerTable = std::unordered_map<int32_t, Handler>;

/// What the connections of a server share.
struct ServerState {
  explicit ServerState(ServerOptions options_in) : options(options_in) {}

  const ServerOptions options;
  /// Not changed once the server listens.
  HandlerTable handlers;
  std::atomic<int64_t> bytes{0};
};

}  // namespace mimosarail::rpc
