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
constexpr int kForgetFactor = 40;

bool Heard(const Peer& peer) {
  return peer.state != PeerState::kDead && peer.state != PeerState::kListed;
}

}  // namespace

std::string_view PeerStateName(PeerState state) {
  return kPeerStateNames.Name(state);
}

Membership::Membership(Executor& executor, HeartbeatSender& sender,
                       MembershipOptions options,
                       std::function<void(wire::Heartbeat&)> fill,
                       std::function<void()> changed)
    : executor_(executor),
      sender_(sender),
      options_(std::move(options)),
      fill_(std::move(fill)),
      changed_(std::move(changed)),
      last_tick_(executor.Now()) {}

void Membership::Start() {
  Tick();
  RunEvery(executor_, options_.heartbeat, [this] { Tick(); });
}

void Membership::Tick() {
  const TimePoint now = executor_.Now();
  const auto gap = std::chrono::duration_cast<Millis>(now - last_tick_);
  longest_gap_ = std::max(longest_gap_, gap);
  last_tick_ = now;
  // After a pause of this process, missing heartbeats prove nothing: those that
  // arrived meanwhile are still queued in the socket. Without this correction
  // every peer would look dead at once and all racks would be contested.
  if (gap > options_.suspect_after) {
    // Peers' calls name the heartbeat that they are based on. Skipping the
    // numbers of the pause makes calls from before it count as old.
    sequence_ += gap / options_.heartbeat;
    for (auto& [name, peer] : peers_) {
      if (peer.state != PeerState::kDead) peer.last_heard = now;
    }
  }
  for (auto& [name, peer] : peers_) UpdateState(peer, now);
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.state == PeerState::kDead &&
           now - entry.second.last_heard > kForgetFactor * options_.dead_after;
  });
  Announce();
}

void Membership::Announce() {
  wire::Heartbeat heartbeat;
  heartbeat.name = options_.name;
  heartbeat.incarnation = options_.incarnation;
  heartbeat.address = options_.address;
  heartbeat.failure_domain = options_.failure_domain;
  heartbeat.sequence = ++sequence_;
  for (const auto& [name, peer] : peers_) {
    if (Heard(peer)) heartbeat.heard.push_back(name);
  }
  fill_(heartbeat);
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
  const bool known = peer.last.incarnation != 0;
  if (known && heartbeat.incarnation < peer.last.incarnation) return;
  const bool same = heartbeat.incarnation == peer.last.incarnation;
  // Datagrams may arrive twice or out of order; an old one must not overwrite
  // the state of a newer one, such as that the peer is leaving.
  if (known && same && heartbeat.sequence <= peer.last.sequence) return;
  const bool first_contact = !known || !same || peer.state == PeerState::kDead;
  if (first_contact) peer.heard_since = now;
  const bool restarted = known && !same;
  const bool status_change =
      known && (heartbeat.phase != peer.last.phase ||
                heartbeat.revision != peer.last.revision);
  std::vector<wire::TeamUse> teams = std::move(peer.last.teams);
  peer.name = heartbeat.name;
  peer.address = heartbeat.address;
  peer.failure_domain = heartbeat.failure_domain;
  peer.last = heartbeat;
  if (!heartbeat.has_teams && !restarted) peer.last.teams = std::move(teams);
  peer.last_heard = now;
  const bool mutual = std::find(heartbeat.heard.begin(), heartbeat.heard.end(),
                                options_.name) != heartbeat.heard.end();
  const bool link_change = mutual != peer.mutual;
  peer.mutual = mutual;
  if (first_contact) SetState(peer, PeerState::kReturning);
  UpdateState(peer, now);
  if (restarted || status_change || link_change) changed_();
}

void Membership::UpdateState(Peer& peer, TimePoint now) {
  if (peer.state == PeerState::kListed) return;
  const auto silence = now - peer.last_heard;
  if (silence >= options_.dead_after) {
    return SetState(peer, PeerState::kDead);
  }
  if (silence >= options_.suspect_after) {
    return SetState(peer, peer.state == PeerState::kDead ? PeerState::kDead
                                                         : PeerState::kSuspect);
  }
  // Hysteresis: a peer with an unstable link would get racks and lose them
  // again each time. It must send heartbeats for `return_after` before it
  // counts as alive.
  if (peer.state == PeerState::kReturning &&
      now - peer.heard_since < options_.return_after) {
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
  changed_();
}

void Membership::SetListed(const std::vector<wire::ListedInstance>& instances) {
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
  if (peer == nullptr || peer->last.incarnation != incarnation) return false;
  return peer->state != PeerState::kDead && peer->state != PeerState::kListed;
}

bool Membership::IsConfirmedDead(const std::string& name,
                                 int64_t incarnation) const {
  const Peer* peer = Find(name);
  if (peer != nullptr && peer->last.incarnation > incarnation) return true;
  const bool heard = peer != nullptr && Heard(*peer);
  return list_read_ && !heard && !listed_.contains(name);
}

bool Membership::InMinority() const {
  size_t listed = 1;
  size_t heard = 1;
  bool smallest = true;
  for (const std::string& name : listed_) {
    if (name == options_.name) continue;
    ++listed;
    smallest &= options_.name < name;
    const Peer* peer = Find(name);
    if (peer != nullptr && peer->mutual && Heard(*peer)) ++heard;
  }
  if (2 * heard == listed) return !smallest;
  return 2 * heard < listed;
}

std::vector<const Peer*> Membership::Controllers() const {
  std::vector<const Peer*> out;
  for (const auto& [name, peer] : peers_) {
    // With a link that is partitioned in one direction, heartbeats of the peer
    // arrive, but it can neither be called nor learn which entry has its racks.
    const bool reachable = peer.mutual && (peer.state == PeerState::kAlive ||
                                           peer.state == PeerState::kSuspect);
    if (reachable && peer.last.phase == wire::EntryPhase::kReady) {
      out.push_back(&peer);
    }
  }
  return out;
}

Millis Membership::TakeLongestPause() {
  return std::exchange(longest_gap_, Millis(0));
}

}  // namespace mimosarail::membership
