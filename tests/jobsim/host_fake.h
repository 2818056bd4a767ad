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

/// Faults of the host API, set by tests.
struct HostApiFaults {
  /// No call is executed or answered.
  bool down = false;
  /// Number of upcoming calls that are refused by the rate limit.
  int throttled_calls = 0;
  /// Number of upcoming orders that are executed without a reply.
  int drop_replies = 0;
  /// Number of upcoming orders that are executed after `execution_delay`
  /// without a reply.
  int delayed_orders = 0;
  Millis execution_delay{5000};
  /// By how much each maintenance outlasts its usual time.
  Millis maintenance_overrun{0};
  /// Round-trip time of a call.
  Millis latency{20};
  /// Hosts that are missing from the list although they exist.
  std::set<std::string> unlisted{};
};

/// The platform's hosts, each with its current upstream, and checks of the
/// orders that they get.
class HostsFake {
 public:
  static constexpr Millis kMaintenanceTime{2000};
  static constexpr Millis kHolderLease{3000};

  HostsFake(sim::ManualClock& clock, StoreFake& store, UpstreamsFake& upstreams)
      : clock_(clock), store_(store), upstreams_(upstreams) {}

  void Add(const std::string& host, const std::string& upstream,
           const wire::UpstreamRecord& record);
  /// Requests a maintenance wave, as an operator would.
  void RequestWave(const ports::WaveRequest& wave);
  /// Crashes the host. It comes back as another upstream after `back_after`, or
  /// never.
  void Crash(const std::string& host, std::optional<Millis> back_after);
  /// Removes the host from the list permanently.
  void Leave(const std::string& host);

  ports::HostPage List(const std::string& after) const;
  /// Executes an order that was in transit for `transit_delay`. The sender of a
  /// late order is not blamed for the tasks that it ends, and the check for
  /// alternating holders uses the time of sending, not of execution.
  ports::HostReply Begin(const ports::MaintenanceOrder& order,
                         Millis transit_delay = Millis(0));

  HostApiFaults& faults() { return faults_; }
  sim::ManualClock& clock() { return clock_; }
  /// Names of the hosts whose maintenance for the wave has begun.
  std::set<std::string> Begun(int64_t wave) const;
  /// The status of the wave that operators read; empty if there is none.
  std::string Status(int64_t wave);
  /// Checks that no wave is reported as complete before all of its hosts are.
  void CheckStatus();
  /// Number of calls to the host API: all, those that list hosts, and those
  /// that order a maintenance.
  int calls() const { return calls_; }
  int lists() const { return lists_; }
  int orders() const { return calls_ - lists_; }
  void RecordCall(bool list) {
    ++calls_;
    if (list) ++lists_;
  }
  /// The upstream that runs on the host; empty if there is none.
  std::string UpstreamOf(const std::string& host) const;
  /// Number of maintenances begun; a host counts once per wave.
  int begins() const { return begins_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Host {
    ports::HostState state = ports::HostState::kUp;
    std::string upstream;
    wire::UpstreamRecord record;
    int incarnation = 0;
    int64_t maintenance_wave = 0;
    std::set<int64_t> begun;
    int64_t fence = 0;
    std::string holder;
    std::string previous_holder;
    TimePoint holder_since{};
    /// Fencing tokens that were refused, by holder.
    std::map<std::string, int64_t> refused_tokens;
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

/// The client of one entry for the host API and the wave status.
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
