#include "src/membership/membership.h"

#include <algorithm>
#include <utility>

#include "src/libs/base/enum_table.h"
#include "src/libs/logging/log.h"

namespace mimosarail::membership {
namespace {

constexpr EnumTable kPeerStateNames{std::array{
    EnumName{PeerState::kListed, "listed"},
    EnumName{PeerState::kReturning, "returning"},
    EnumName{PeerState::kAlive, "alive"},
    EnumName{PeerState::kSuspect, "suspect"},
    EnumName{PeerState::kDead, "dead"},
}};

/// A dead peer is removed after this many times `dead_after`.
constexpr int kDeadPeerRetentionFactor = 40;

/// Whether heartbeats of the peer arrive.
bool SendsHeartbeats(const Peer& peer) {
  return peer.state != PeerState::kDead && peer.state != PeerState::kListed;
}

}  // namespace

std::string_view PeerStateName(PeerState state) {
  return kPeerStateNames.Name(state);
}

Membership::Membership(Executor& executor, HeartbeatSender& sender,
                       MembershipOptions options,
                       std::function<void(wire::Heartbeat&)> fill_heartbeat,
                       std::function<void()> on_change)
    : executor_(executor),
      sender_(sender),
      options_(std::move(options)),
      fill_heartbeat_(std::move(fill_heartbeat)),
      on_change_(std::move(on_change)),
      last_tick_(executor.Now()) {}

void Membership::Start() {
  Tick();
  RunEvery(executor_, options_.heartbeat_interval, [this] { Tick(); });
}

void Membership::Tick() {
  const TimePoint now = executor_.Now();
  const auto gap = std::chrono::duration_cast<Millis>(now - last_tick_);
  longest_tick_gap_ = std::max(longest_tick_gap_, gap);
  last_tick_ = now;
  // After a pause of this process, missing heartbeats prove nothing: those that
  // arrived meanwhile are still queued in the socket. Without this correction
  // every peer would appear dead and this entry would try to take over all
  // racks.
  if (gap > options_.suspect_after) {
    // A peer's call contains the number of the heartbeat that it is based on.
    // Skipping the numbers of the pause makes calls from before it count as
    // old.
    sequence_ += gap / options_.heartbeat_interval;
    for (auto& [name, peer] : peers_) {
      if (peer.state != PeerState::kDead) peer.last_received = now;
    }
  }
  for (auto& [name, peer] : peers_) UpdateState(peer, now);
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.state == PeerState::kDead &&
           now - entry.second.last_received >
               kDeadPeerRetentionFactor * options_.dead_after;
  });
  SendHeartbeat();
}

void Membership::SendHeartbeat() {
  wire::Heartbeat heartbeat;
  heartbeat.name = options_.name;
  heartbeat.incarnation = options_.incarnation;
  heartbeat.address = options_.address;
  heartbeat.failure_domain = options_.failure_domain;
  heartbeat.sequence = ++sequence_;
  for (const auto& [name, peer] : peers_) {
    if (SendsHeartbeats(peer)) heartbeat.heard.push_back(name);
  }
  fill_heartbeat_(heartbeat);
  for (const auto& [name, peer] : peers_) {
    sender_.Send(peer.address, heartbeat);
  }
  for (const std::string& seed : options_.seeds) {
    const bool known =
        seed == options_.address ||
        std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
          return entry.second.address == seed;
        });
    if (!known) sender_.Send(seed, heartbeat);
  }
}

void Membership::Receive(const wire::Heartbeat& heartbeat) {
  if (heartbeat.name == options_.name) return;
  const TimePoint now = executor_.Now();
  Peer& peer = peers_[heartbeat.name];
  const bool known = peer.last_heartbeat.incarnation != 0;
  if (known && heartbeat.incarnation < peer.last_heartbeat.incarnation) return;
  const bool same = heartbeat.incarnation == peer.last_heartbeat.incarnation;
  // Datagrams may arrive twice or out of order; an old one must not overwrite
  // newer state, for example that the peer is leaving.
  if (known && same && heartbeat.sequence <= peer.last_heartbeat.sequence) {
    return;
  }
  const bool first_contact = !known || !same || peer.state == PeerState::kDead;
  if (first_contact) peer.received_since = now;
  const bool restarted = known && !same;
  const bool status_change =
      known && (heartbeat.phase != peer.last_heartbeat.phase ||
                heartbeat.revision != peer.last_heartbeat.revision);
  std::vector<wire::TeamUse> teams = std::move(peer.last_heartbeat.teams);
  peer.name = heartbeat.name;
  peer.address = heartbeat.address;
  peer.failure_domain = heartbeat.failure_domain;
  peer.last_heartbeat = heartbeat;
  if (!heartbeat.has_teams && !restarted) {
    peer.last_heartbeat.teams = std::move(teams);
  }
  peer.last_received = now;
  const bool receives_heartbeats =
      std::find(heartbeat.heard.begin(), heartbeat.heard.end(),
                options_.name) != heartbeat.heard.end();
  const bool link_change = receives_heartbeats != peer.receives_heartbeats;
  peer.receives_heartbeats = receives_heartbeats;
  if (first_contact) SetState(peer, PeerState::kReturning);
  UpdateState(peer, now);
  if (restarted || status_change || link_change) on_change_();
}

void Membership::UpdateState(Peer& peer, TimePoint now) {
  if (peer.state == PeerState::kListed) return;
  const auto since_heartbeat = now - peer.last_received;
  if (since_heartbeat >= options_.dead_after) {
    return SetState(peer, PeerState::kDead);
  }
  if (since_heartbeat >= options_.suspect_after) {
    return SetState(peer, peer.state == PeerState::kDead ? PeerState::kDead
                                                         : PeerState::kSuspect);
  }
  // Hysteresis: a peer with an unstable link must not gain and lose racks each
  // time the link changes, so it must send heartbeats for `return_after` before
  // it counts as alive.
  if (peer.state == PeerState::kReturning &&
      now - peer.received_since < options_.return_after) {
    return;
  }
  SetState(peer, PeerState::kAlive);
}

void Membership::SetState(Peer& peer, PeerState state) {
  if (peer.state == state) return;
  logging::Event(logging::Level::kInfo, "peer_state",
                 {{"peer", peer.name},
                  {"from", std::string(PeerStateName(peer.state))},
                  {"to", std::string(PeerStateName(state))}});
  peer.state = state;
  on_change_();
}

void Membership::ApplyInstanceList(
    const std::vector<wire::ListedInstance>& instances) {
  listed_.clear();
  list_read_ = true;
  for (const wire::ListedInstance& listed : instances) {
    if (listed.role != wire::ListedRole::kEntry) continue;
    listed_.insert(listed.name);
    if (listed.name == options_.name) continue;
    Peer& peer = peers_[listed.name];
    if (!peer.name.empty()) continue;
    peer.name = listed.name;
    peer.address = listed.address;
    peer.failure_domain = listed.failure_domain;
  }
}

const Peer* Membership::Find(const std::string& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second;
}

bool Membership::IsCurrentProcess(const std::string& name,
                                  int64_t incarnation) const {
  if (name == options_.name) return incarnation == options_.incarnation;
  const Peer* peer = Find(name);
  if (peer == nullptr || peer->last_heartbeat.incarnation != incarnation) {
    return false;
  }
  return peer->state != PeerState::kDead && peer->state != PeerState::kListed;
}

bool Membership::IsConfirmedDead(const std::string& name,
                                 int64_t incarnation) const {
  const Peer* peer = Find(name);
  if (peer != nullptr && peer->last_heartbeat.incarnation > incarnation) {
    return true;
  }
  const bool sends_heartbeats = peer != nullptr && SendsHeartbeats(*peer);
  return list_read_ && !sends_heartbeats && !listed_.contains(name);
}

bool Membership::InMinority() const {
  size_t listed = 1;
  size_t connected = 1;
  bool smallest = true;
  for (const std::string& name : listed_) {
    if (name == options_.name) continue;
    ++listed;
    smallest &= options_.name < name;
    const Peer* peer = Find(name);
    if (peer != nullptr && peer->receives_heartbeats &&
        SendsHeartbeats(*peer)) {
      ++connected;
    }
  }
  if (2 * connected == listed) return !smallest;
  return 2 * connected < listed;
}

std::vector<const Peer*> Membership::Controllers() const {
  std::vector<const Peer*> out;
  for (const auto& [name, peer] : peers_) {
    // In a one-way partition, heartbeats of the peer arrive, but it can neither
    // be called nor learn which entry controls its racks.
    const bool reachable =
        peer.receives_heartbeats &&
        (peer.state == PeerState::kAlive || peer.state == PeerState::kSuspect);
    if (reachable && peer.last_heartbeat.phase == wire::EntryPhase::kReady) {
      out.push_back(&peer);
    }
  }
  return out;
}

Millis Membership::TakeLongestPause() {
  return std::exchange(longest_tick_gap_, Millis(0));
}

}  // namespace mimosarail::membership
