#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/configlog/config_log_client.h"
#include "src/control/controller.h"
#include "src/cost/cost_aggregator.h"
#include "src/execution/execution.h"
#include "src/instance/lookup.h"
#include "src/libs/metrics/metrics.h"
#include "src/membership/membership.h"
#include "src/ports/instance_list_port.h"
#include "src/requests/requests.h"

namespace mimosarail::instance {

struct InstanceOptions {
  membership::MembershipOptions membership;
  control::SessionOptions session;
  configlog::ConfigLogClientOptions config;
  requests::IntentLedgerOptions intents;
  requests::RequestsOptions requests;
  Millis list_refresh_interval{1000};
  Millis cost_flush_interval{10000};
  /// Longest duration of a graceful shutdown.
  Millis shutdown_limit{20000};
  uint64_t seed = 1;
};

/// External interfaces used by an entry instance. All must outlive it.
struct InstancePorts {
  Executor& executor;
  ports::UpstreamPort& upstreams;
  ports::LogPort& log;
  ports::InstanceListPort& list;
  requests::PeerPort& peers;
  configlog::PeerConfigSource& config_source;
  membership::HeartbeatSender& heartbeats;
  metrics::Registry& metrics;
};

/// The logic of one entry instance, without threads or sockets, so that the
/// daemon and the fault injection tests use the same class. Control thread
/// only, except for the metrics.
class Instance {
 public:
  Instance(InstancePorts ports, InstanceOptions options);
  void Start();

  /// Stops accepting requests, hands over its racks and waits for work in
  /// flight. `done` is called once, at the latest after the shutdown limit.
  void BeginShutdown(std::function<void()> done);

  /// Returns the conditions that prevent readiness; empty when ready.
  std::vector<std::string> ReadinessBlockers() const;
  bool ready() const { return phase_ == wire::EntryPhase::kReady; }
  wire::EntryPhase::type phase() const { return phase_; }

  // Calls from peers.
  void OnHeartbeat(const wire::Heartbeat& heartbeat);
  wire::PlaceReply OnPlace(const wire::PlaceCall& call);
  wire::ReportReply OnReport(const wire::ReportCall& call);
  void OnFind(const wire::FindCall& call,
              std::function<void(wire::FindReply)> done);
  void OnSubmit(const wire::SubmitCall& call,
                std::function<void(wire::SubmitReply)> done);
  wire::CancelReply OnCancel(const wire::CancelCall& call);

  requests::Requests& requests() { return *requests_; }
  configlog::ConfigLogClient& config() { return *config_; }
  control::Controller& controller() { return *controller_; }
  execution::Execution& execution() { return *execution_; }
  membership::Membership& members() { return *members_; }
  Lookup& lookup() { return *lookup_; }
  ports::LogPort& log() { return ports_.log; }
  /// Sets the gauges that are computed on demand.
  void UpdateGauges();

 private:
  void FillHeartbeat(wire::Heartbeat& heartbeat);
  void RefreshList();
  void ReassignRacks();
  void UpdatePhase();
  void OnMembershipChanged();
  void OnEnded(const requests::EndedRequest& ended);
  void OnFirstStart(const requests::Record& record);
  void CheckShutdown();
  execution::OwnerLocation FindOwner(const std::string& owner,
                                     int64_t incarnation);

  InstancePorts ports_;
  InstanceOptions options_;
  wire::EntryPhase::type phase_ = wire::EntryPhase::kJoining;
  TimePoint started_{};
  bool list_read_ = false;
  int64_t list_version_ = 0;
  bool reassign_pending_ = false;
  int64_t heartbeats_filled_ = 0;
  std::function<void()> shutdown_done_;
  TimePoint shutdown_deadline_{};
  std::unique_ptr<membership::Membership> members_;
  std::unique_ptr<execution::Execution> execution_;
  std::unique_ptr<control::Controller> controller_;
  std::unique_ptr<configlog::ConfigLogClient> config_;
  std::unique_ptr<requests::IntentLedger> ledger_;
  std::unique_ptr<requests::Requests> requests_;
  std::unique_ptr<cost::CostAggregator> cost_;
  std::unique_ptr<Lookup> lookup_;
};

}  // namespace mimosarail::instance
