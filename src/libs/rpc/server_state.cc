#include "src/libs/rpc/server_state.h"

#include "src/libs/logging/log.h"
#include "src/libs/rpc/session.h"

namespace mimosarail::rpc {

bool ServerState::Admit() {
  std::lock_guard lock(mutex);
  if (connections >= options.max_connections) {
    const bool has_room =
        connections < options.max_connections + kMaxOverLimit &&
        (CloseFirst(idle, "idle at the connection limit") ||
         CloseFirst(receiving, "unfinished at the connection limit"));
    if (!has_room) {
      Count("too many connections");
      return false;
    }
  }
  ++connections;
  return true;
}

void ServerState::NoteRefusal(const std::string& why) {
  std::lock_guard lock(mutex);
  Count(why);
}

bool ServerState::CloseFirst(const ConnectionList<Session>& list,
                             const char* why) {
  if (list.empty()) return false;
  list.front().connection->MakeRoom();
  Count(why);
  return true;
}

void ServerState::Count(const std::string& why) {
  if (options.metrics != nullptr) {
    options.metrics->Count({.name = "peers_refused", .labels = {{"why", why}}});
  }
  const auto not_logged = lines_.Add(Clock::now());
  if (!not_logged) return;
  logging::Event(logging::Level::kWarning, "peer refused",
                 {{"why", why}, {"not_logged", logging::Text(*not_logged)}});
}

}  // namespace mimosarail::rpc
