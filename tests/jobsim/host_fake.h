#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/ports/host_port.h"
#include "tests/jobsim/store_fake.h"
#include "tests/jobsim/upstream_fake.h"

namespace mimosarail::jobsim {

/// Faults of the API of hosts, switched by tests.
struct HostApiFaults {
  /// No call gets an answer, and none is carried out.
  bool down = false;
  /// So many calls are refused: too many of them.
  int throttled_calls = 0;
  /// So many orders are carried out and not answered.
  int drop_replies = 0;
  /// So many orders are carried out this much later and not answered.
  int delayed_orders = 0;
  Millis execution_delay{5000};
  /// Time of an answer.
  Millis latency{20};
};

/// The platform's hosts, each with the upstream that it is now, and the checks
/// of what is ordered for them.
class HostsFake {
 public:
  static constexpr Millis kMaintenanceTime{2000};
  static constexpr Millis kHolderLease{3000};

  HostsFake(sim::ManualClock& clock, StoreFake& store, UpstreamsFake& upstreams)
      : clock_(clock), store_(store), upstreams_(upstreams) {}

  void Add(const std::string& host, const std::string& upstream,
           const wire::UpstreamRecord& record);
  /// An operator asks for a wave.
  void RequestWave(const ports::WaveRequest& wave);
  /// The host crashes, and comes back as another upstream or never.
  void Crash(const std::string& host, std::optional<Millis> back_after);
  /// The host leaves the list for good.
  void Leave(const std::string& host);

  ports::HostPage List(const std::string& after) const;
  /// `transit_delay`: how long it was on its way. What a late one ends is not
  /// laid to its sender, and holders take turns by when they sent, not by when
  /// it acts.
  ports::HostReply Begin(const ports::MaintenanceOrder& order,
                         Millis transit_delay = Millis(0));

  HostApiFaults& faults() { return faults_; }
  sim::ManualClock& clock() { return clock_; }
  /// Hosts that have begun their upkeep for the wave.
  std::set<std::string> Begun(int64_t wave) const;
  /// What operators read of it; empty if nothing.
  std::string Status(int64_t wave);
  /// Looks for a wave that is told as complete and is not.
  void CheckStatus();
  int calls() const { return calls_; }
  int lists() const { return lists_; }
  int orders() const { return calls_ - lists_; }
  void NoteCall(bool list) {
    ++calls_;
    if (list) ++lists_;
  }
  std::string UpstreamOf(const std::string& host) const;
  /// Upkeeps begun, counting a host once a wave.
  int begins() const { return begins_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Host {
    ports::HostState state = ports::HostState::kUp;
    std::string upstream;
    wire::UpstreamRecord record;
    int lives = 0;
    int64_t away_for = 0;
    std::set<int64_t> begun;
    int64_t fence = 0;
    std::string holder;
    std::string holder_before;
    TimePoint held_since{};
    /// Tokens that were refused, by holder.
    std::map<std::string, int64_t> refused;
  };

  void CheckHolder(Host& host, const ports::MaintenanceOrder& order,
                   TimePoint sent);
  void TerminateUpstream(Host& host);
  void StartUpstream(const std::string& name, int incarnation);

  sim::ManualClock& clock_;
  StoreFake& store_;
  UpstreamsFake& upstreams_;
  HostApiFaults faults_;
  std::map<std::string, Host> hosts_;
  std::map<int64_t, ports::WaveRequest> waves_;
  std::vector<std::string> violations_;
  int calls_ = 0;
  int lists_ = 0;
  int begins_ = 0;
};

/// One entry's way to the API of hosts, and to where waves are told of.
class HostClientFake final : public ports::HostPort,
                             public ports::WaveStatusPort {
 public:
  HostClientFake(HostsFake& hosts, Executor& executor)
      : hosts_(hosts), executor_(executor) {}

  void ListHosts(const std::string& after, Millis timeout,
                 Callback<ports::HostPage> done) override;
  void BeginMaintenance(const ports::MaintenanceOrder& order, Millis timeout,
                        std::function<void(ports::HostReply)> done) override;
  std::string status_table() const override;
  ports::KeyedRecord EncodeStatus(int64_t wave,
                                  ports::WaveStatus status) const override;

 private:
  HostsFake& hosts_;
  Executor& executor_;
};

}  // namespace mimosarail::jobsim
