#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "src/libs/base/connection_list.h"
#include "src/libs/base/line_interval.h"
#include "src/libs/base/receive_budget.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::rpc {

class Session;

using HandlerTable = std::unordered_map<int32_t, Handler>;

/// Connections that may be open above ServerOptions::max_connections: as many
/// as are accepted in one turn of the event loop.
inline constexpr size_t kMaxOverLimit = 256;

/// Memory that the calls of a connection may take whatever others take.
inline constexpr size_t kFreeCallBytes = 64 << 10;

/// What the connections of a server share. Each may run on another thread.
class ServerState {
 public:
  explicit ServerState(ServerOptions options_in)
      : options(options_in),
        frame_memory(options.frame_memory_bytes,
                     [this](Overrun) { Count("frames over memory"); }) {}
  ServerState(const ServerState&) = delete;
  ServerState& operator=(const ServerState&) = delete;

  /// Counts a connection that was accepted, unless it must be closed. Makes
  /// room for it at the limit.
  bool Admit();
  /// A connection was refused or is closed for this reason.
  void NoteRefusal(const std::string& why);

  const ServerOptions options;
  /// Not changed once the server listens.
  HandlerTable handlers;
  std::atomic<int64_t> bytes{0};
  /// Memory of the calls that are not answered yet, those of closed connections
  /// included.
  std::atomic<size_t> call_bytes{0};

  /// Guards all that follows.
  std::mutex mutex;
  size_t connections = 0;
  /// No frame is being received, no call in flight, no reply to send.
  ConnectionList<Session> idle;
  /// Has sent a part of a frame, otherwise as idle ones.
  ConnectionList<Session> receiving;
  ReceiveBudget frame_memory;

 private:
  /// Closes the first connection of the list. Returns whether there is one.
  bool CloseFirst(const ConnectionList<Session>& list, const char* why);
  void Count(const std::string& why);

  LineInterval lines_;
};

}  // namespace mimosarail::rpc
