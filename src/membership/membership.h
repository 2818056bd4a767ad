#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "heartbeat_types.h"
#include "platform_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::membership {

/// The state of a peer as seen by this entry. Entries may see different states,
/// so these affect only liveness, never a guarantee given to a caller.
enum class PeerState {
  kListed,     ///< In the instance list; no heartbeat received yet.
  kReturning,  ///< Sends heartbeats again, but not yet for long enough to be
               ///< assigned racks.
  kAlive,
  kSuspect,  ///< Unresponsive for `suspect_after`; keeps its racks.
  kDead,     ///< Unresponsive for `dead_after`; its racks are taken over.
};

std::string_view PeerStateName(PeerState state);

struct Peer {
  std::string name;
  std::string address;
  std::string failure_domain;
  PeerState state = PeerState::kListed;
  wire::Heartbeat last_heartbeat;
  /// When the last heartbeat arrived, or when this process resumed from a later
  /// pause.
  TimePoint last_received{};
  /// When the first heartbeat arrived since the peer became known, restarted or
  /// was last dead.
  TimePoint received_since{};
  /// Whether the peer receives the heartbeats of this entry. Calls to a peer
  /// that does not would be lost.
  bool receives_heartbeats = false;
};

/// Sends a heartbeat as one datagram; loss is expected.
class HeartbeatSender {
 public:
  virtual ~HeartbeatSender() = default;
  virtual void Send(const std::string& address,
                    const wire::Heartbeat& heartbeat) = 0;
};

struct MembershipOptions {
  std::string name;
  int64_t incarnation = 0;
  std::string address;
  std::string failure_domain;
  std::vector<std::string> seeds;
  Millis heartbeat_interval{500};
  /// A peer is suspect, then dead, after this time without a heartbeat.
  Millis suspect_after{1500};
  Millis dead_after{2500};
  /// How long a returning peer must send heartbeats before it counts as alive.
  Millis return_after{2000};
};

/// Tracks the other entry instances and their states by heartbeats. Control
/// thread only.
class Membership {
 public:
  /// `executor` and `sender` must outlive it. `fill_heartbeat` adds the state
  /// of this entry to a heartbeat; `on_change` is called when the state of any
  /// peer has changed.
  Membership(Executor& executor, HeartbeatSender& sender,
             MembershipOptions options,
             std::function<void(wire::Heartbeat&)> fill_heartbeat,
             std::function<void()> on_change);

  void Start();
  /// Sends a heartbeat at once, for example when the phase changes.
  void SendHeartbeat();
  void Receive(const wire::Heartbeat& heartbeat);
  /// Applies a new version of the instance list; its entries are sent
  /// heartbeats.
  void ApplyInstanceList(const std::vector<wire::ListedInstance>& instances);

  /// All peers by name, without this entry.
  const std::map<std::string, Peer>& peers() const { return peers_; }
  const Peer* Find(const std::string& name) const;
  /// Whether `name` is this entry or a peer that is neither kDead nor kListed,
  /// and still runs as the process with this incarnation.
  bool IsCurrentProcess(const std::string& name, int64_t incarnation) const;
  /// Whether the process is confirmed to have ended, by what the platform
  /// guarantees: a newer process runs under the name, or the instance list no
  /// longer contains the name and no heartbeats arrive from it.
  bool IsConfirmedDead(const std::string& name, int64_t incarnation) const;
  /// Whether this entry and the listed entries that it exchanges heartbeats
  /// with are less than half of the listed entries; this entry always counts as
  /// listed. In that case a partition is more likely than the death of all the
  /// others. With exactly half, this entry is in the minority unless its name
  /// is the smallest of all listed entries.
  bool InMinority() const;
  /// Ready peers that may be assigned racks, without this entry.
  std::vector<const Peer*> Controllers() const;
  const MembershipOptions& options() const { return options_; }

  /// Number of the last heartbeat sent. A peer's call contains the number of
  /// the heartbeat that it is based on, which shows how old the peer's
  /// information is.
  int64_t sequence() const { return sequence_; }

  /// Returns and resets the longest gap between two ticks since the last call.
  /// A long gap shows that this process was paused.
  Millis TakeLongestPause();

 private:
  void Tick();
  void UpdateState(Peer& peer, TimePoint now);
  void SetState(Peer& peer, PeerState state);

  Executor& executor_;
  HeartbeatSender& sender_;
  MembershipOptions options_;
  std::function<void(wire::Heartbeat&)> fill_heartbeat_;
  std::function<void()> on_change_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> listed_;
  bool list_read_ = false;
  int64_t sequence_ = 0;
  TimePoint last_tick_{};
  Millis longest_tick_gap_{0};
};

}  // namespace mimosarail::membership
