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

/// How a peer looks from here. Views may differ between entries, so only
/// liveness may depend on them, never a promise.
enum class PeerState {
  kListed,     ///< Known of, never heard.
  kReturning,  ///< Heard again, not yet for long enough to be given racks.
  kAlive,
  kSuspect,  ///< Silent for a while; keeps its racks.
  kDead,     ///< Silent for long; its racks are taken over.
};

std::string_view PeerStateName(PeerState state);

struct Peer {
  std::string name;
  std::string address;
  std::string failure_domain;
  PeerState state = PeerState::kListed;
  wire::Heartbeat last;
  TimePoint heard{};
  TimePoint heard_since{};
  /// It hears this entry too; calls to one that does not would be lost.
  bool mutual = false;
};

/// Sends one datagram's worth of heartbeat; loss is expected.
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
  Millis heartbeat{500};
  Millis suspect_after{1500};
  Millis dead_after{2500};
  Millis return_after{2000};
};

/// Who the other entry instances are and how they do. Control thread only.
class Membership {
 public:
  /// `executor` and `sender` outlive it. `fill` completes a heartbeat with what
  /// this entry says of itself; `changed` runs when any peer's state changed.
  Membership(Executor& executor, HeartbeatSender& sender,
             MembershipOptions options,
             std::function<void(wire::Heartbeat&)> fill,
             std::function<void()> changed);

  /// Starts the heartbeats.
  void Start();
  /// Sends a heartbeat now, as when the phase changes.
  void Announce();
  void Receive(const wire::Heartbeat& heartbeat);
  /// The instance list, a hint of whom to greet.
  void SetListed(const std::vector<wire::ListedInstance>& instances);

  /// Peers by name, without this entry.
  const std::map<std::string, Peer>& peers() const { return peers_; }
  const Peer* Find(const std::string& name) const;
  /// Alive or suspect, and still the process with this incarnation.
  bool Lives(const std::string& name, int64_t incarnation) const;
  /// Certain, as far as the platform's word goes: a newer process runs under
  /// the name, or the instance list no longer has it and it is not heard.
  bool SurelyGone(const std::string& name, int64_t incarnation) const;
  /// This entry hears less than half of the listed entries: it is more likely
  /// cut off than all the others dead. Ties go to the smallest name.
  bool InMinority() const;
  /// Ready peers that may be given racks, without this entry.
  std::vector<const Peer*> Controllers() const;
  const MembershipOptions& options() const { return options_; }

  /// Number of the last heartbeat sent; tells how old a peer's call is.
  int64_t sequence() const { return sequence_; }

  /// Longest gap between two ticks of this process since the last call: shows
  /// that it was paused itself.
  Millis TakeLongestGap();

 private:
  void Tick();
  void UpdateState(Peer& peer, TimePoint now);
  void SetState(Peer& peer, PeerState state);

  Executor& executor_;
  HeartbeatSender& sender_;
  MembershipOptions options_;
  std::function<void(wire::Heartbeat&)> fill_;
  std::function<void()> changed_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> listed_;
  bool list_read_ = false;
  int64_t sequence_ = 0;
  TimePoint last_tick_{};
  Millis longest_gap_{0};
};

}  // namespace mimosarail::membership
