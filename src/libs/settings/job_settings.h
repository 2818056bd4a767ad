#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/libs/base/findings.h"

namespace mimosarail::settings {

/// Settings of one daemon on the users' platform. Times are in milliseconds.
struct JobSettings {
  std::string name;
  std::string failure_domain;
  std::string front_address;
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;
  std::string store_address;
  std::string adviser_address;
  /// Empty if the platform has no host API.
  std::string hosts_address;
  /// Reads of the list of hosts that the host API accepts from all entries
  /// together, in hundredths of a call per second.
  int64_t host_lists_per_100_s = 1000;
  /// Orders that the host API accepts from all entries together, in hundredths
  /// of a call per second.
  int64_t host_orders_per_100_s = 1000;
  /// How long a host is away for maintenance, in hundredths of a second.
  int64_t maintenance_duration_centis = 200;
  /// A new leader that finds hosts ordered by an earlier leader waits this long
  /// before it orders hosts itself.
  int64_t holder_lease_ms = 3000;
  std::vector<std::string> seeds;
  std::string log_level = "info";
  /// CPU that the machine may use, in hundredths of a core.
  int64_t cpu_percent = 100;
  /// Rate of the machine's link, in hundredths of a Mbit/s; 0 if unknown.
  int64_t link_centi_mbps = 0;
  /// Memory that the process may take, in MB; 0 if unknown.
  int64_t memory_mb = 0;
  /// Memory that unfinished and waiting requests may take, in MB; 0 for an
  /// eighth of memory_mb.
  int64_t request_memory_mb = 0;
  /// Receive buffer of each caller's connection, in KiB; 0 for an eighth of
  /// memory_mb divided by max_connections.
  int64_t receive_buffer_kb = 0;
  /// Name of a scheduling::QueueOrder.
  std::string queue_order = "priority";
  /// Hundredths of the factor by which the cost of a delay grows with each step
  /// of priority.
  int64_t priority_price_percent = 200;
  /// Name of a coordinator::AdmissionPolicy.
  std::string admission = "capacity";
  /// Hundredths of the ratio of fast to slow upstreams from which on measured
  /// speeds are used; 0 for never.
  int64_t upstream_speed_spread_percent = 0;
  /// How long tasks continue without contact from the leader.
  int64_t lease_ms = 4000;
  /// Longest lease that an upstream grants, whatever is asked for.
  int64_t max_lease_ms = 10000;
  /// An upstream may execute a call this long after it was sent.
  int64_t max_call_delay_ms = 12000;
  /// Time between heartbeats to the leader.
  int64_t heartbeat_interval_ms = 200;
  /// Time without an answer after which the leader is suspected.
  int64_t leader_suspect_after_ms = 700;
  /// Time between the leader's renewals in the store.
  int64_t renew_ms = 200;
  /// A suspected leader that did not renew for this long is replaced.
  int64_t election_timeout_ms = 450;
  /// Leader lease: a leader that gets no answer from the store and none from a
  /// follower for this long gives no orders.
  int64_t leader_lease_ms = 2000;
  /// A leader that cannot reach the store for this long is replaced.
  int64_t store_unreachable_after_ms = 700;
  /// Time between reads of the list of upstreams.
  int64_t upstream_list_period_ms = 250;
  /// Longest time that a caller waits for a leader.
  int64_t leader_wait_timeout_ms = 1300;
  /// Keys are refused after this time without confirmation that none was
  /// revoked; 0 for never.
  int64_t revocation_timeout_ms = 0;
  int64_t max_connections = 2000;
  int64_t max_jobs = 20000;
  /// At shutdown: how long callers still arrive after the balancer was
  /// notified.
  int64_t unready_period_ms = 2600;
  int64_t shutdown_ms = 5200;
};

/// Parses settings from JSON with comments. All faults are added to `findings`
/// with line and column, and the result is then empty. Thread-safe.
std::optional<JobSettings> ParseJobSettings(const std::string& text,
                                            Findings& findings);

/// All keys with value, unit, bounds and help, as commented JSON that
/// ParseJobSettings() accepts. Thread-safe.
std::string Print(const JobSettings& settings);

}  // namespace mimosarail::settings
