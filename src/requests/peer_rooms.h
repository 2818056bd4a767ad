#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/control/controller.h"
#include "src/membership/membership.h"
#include "src/placement/policy.h"

namespace mimosarail::requests {

/// What other controllers have free, from their heartbeats, less what this
/// entry has sent them since. A guess that a controller may refuse. Control
/// thread only.
class PeerRooms {
 public:
  PeerRooms(const membership::Membership& members,
            const control::Controller& controller)
      : members_(members), controller_(controller) {}

  /// The peer that most likely has room, or null.
  const membership::Peer* Choose(const placement::Ask& ask);
  void NoteSent(const std::string& peer, const placement::Ask& ask);
  /// It had no room: not asked again before its next heartbeat.
  void NoteRefused(const std::string& peer, const placement::Ask& ask);

 private:
  struct Sent {
    int64_t sequence = 0;
    placement::Amount amount;
    std::vector<placement::Amount> refused;
  };
  Sent& SentTo(const membership::Peer& peer);
  bool MeetsConstraints(const std::string& peer,
                        const placement::Ask& ask) const;

  const membership::Membership& members_;
  const control::Controller& controller_;
  std::map<std::string, Sent> sent_;
};

}  // namespace mimosarail::requests
