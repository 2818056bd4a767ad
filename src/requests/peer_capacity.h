#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/control/controller.h"
#include "src/membership/membership.h"
#include "src/placement/policy.h"

namespace mimosarail::requests {

/// Estimates the free capacity of other controllers: the figures of their
/// latest heartbeats less what this entry has sent them since. A controller
/// may still refuse a call. Control thread only.
class PeerCapacity {
 public:
  PeerCapacity(const membership::Membership& members,
               const control::Controller& controller)
      : members_(members), controller_(controller) {}

  /// Returns the peer with the most free cores among those expected to accept
  /// the request, or null.
  const membership::Peer* Choose(const placement::PlacementRequest& request);
  void NoteSent(const std::string& peer,
                const placement::PlacementRequest& request);
  /// The peer refused the request for lack of free capacity. Requests of this
  /// size or larger are not sent to it before its next heartbeat.
  void NoteRefused(const std::string& peer,
                   const placement::PlacementRequest& request);

 private:
  /// Requests sent to a peer since its latest heartbeat.
  struct SentSinceHeartbeat {
    int64_t sequence = 0;  ///< Number of that heartbeat.
    placement::Amount amount;
    std::vector<placement::Amount> refused;
  };
  SentSinceHeartbeat& SentTo(const membership::Peer& peer);
  bool MeetsConstraints(const std::string& peer,
                        const placement::PlacementRequest& request) const;

  const membership::Membership& members_;
  const control::Controller& controller_;
  std::map<std::string, SentSinceHeartbeat> sent_;
};

}  // namespace mimosarail::requests
