#include "src/requests/peer_capacity.h"

#include <algorithm>

namespace mimosarail::requests {

using placement::Amount;
using placement::Dimension;

PeerCapacity::SentSinceHeartbeat& PeerCapacity::SentTo(
    const membership::Peer& peer) {
  SentSinceHeartbeat& sent = sent_[peer.name];
  if (sent.sequence != peer.last_heartbeat.sequence) {
    sent = SentSinceHeartbeat{.sequence = peer.last_heartbeat.sequence};
  }
  return sent;
}

bool PeerCapacity::MeetsConstraints(
    const std::string& peer, const placement::PlacementRequest& request) const {
  const bool unconstrained =
      (request.failure_domains == nullptr ||
       request.failure_domains->empty()) &&
      (request.racks == nullptr || request.racks->empty());
  if (unconstrained) return true;
  return std::any_of(controller_.listed().begin(), controller_.listed().end(),
                     [&](const auto& entry) {
                       const wire::ListedInstance& listed = entry.second;
                       const placement::Rack rack{
                           .name = listed.rack,
                           .failure_domain = listed.failure_domain};
                       return controller_.ControllerOf(listed.rack) == peer &&
                              placement::Allows(request, rack);
                     });
}

const membership::Peer* PeerCapacity::Choose(
    const placement::PlacementRequest& request) {
  const membership::Peer* best = nullptr;
  int32_t best_free = 0;
  for (const membership::Peer* peer : members_.Controllers()) {
    if (peer->state != membership::PeerState::kAlive) continue;
    SentSinceHeartbeat& sent = SentTo(*peer);
    const Amount largest =
        placement::ToAmount(peer->last_heartbeat.free_largest, 1);
    if (!request.size.FitsIn(largest)) continue;
    Amount total = placement::ToAmount(peer->last_heartbeat.free_total,
                                       peer->last_heartbeat.free_slots);
    total -= sent.amount;
    Amount wanted;
    for (int32_t i = 0; i < request.tasks; ++i) wanted += request.size;
    if (!wanted.FitsIn(total)) continue;
    const bool refused =
        std::any_of(sent.refused.begin(), sent.refused.end(),
                    [&](const Amount& size) { return size.FitsIn(wanted); });
    if (refused || !MeetsConstraints(peer->name, request)) continue;
    const int32_t free = total[Dimension::kCores];
    if (best == nullptr || free > best_free) {
      best = peer;
      best_free = free;
    }
  }
  return best;
}

void PeerCapacity::NoteSent(const std::string& peer,
                            const placement::PlacementRequest& request) {
  for (int32_t i = 0; i < request.tasks; ++i) {
    sent_[peer].amount += request.size;
  }
}

void PeerCapacity::NoteRefused(const std::string& peer,
                               const placement::PlacementRequest& request) {
  Amount wanted;
  for (int32_t i = 0; i < request.tasks; ++i) wanted += request.size;
  sent_[peer].refused.push_back(wanted);
}

}  // namespace mimosarail::requests
