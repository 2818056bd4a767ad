#include "src/libs/settings/job_settings.h"

#include "src/coordinator/admission_policy.h"
#include "src/libs/settings/schema.h"
#include "src/scheduling/queue_order.h"

namespace mimosarail::settings {
namespace {

using Number = NumberKey<JobSettings>;
using Scaled = ScaledKey<JobSettings>;
using Text = TextKey<JobSettings>;
using List = ListKey<JobSettings>;

const std::vector<Key<JobSettings>>& Keys() {
  using S = JobSettings;
  static const std::vector<Key<JobSettings>> keys{
      {"name", Text{&S::name}, "", "unique name of this entry instance"},
      {"failure_domain", Text{&S::failure_domain}, "",
       "failure domain of this entry instance"},
      {"front_address", Text{&S::front_address, true, true}, "ip:port",
       "callers' requests"},
      {"ready_address", Text{&S::ready_address, true, true}, "ip:port",
       "reports to the balancer whether this entry instance takes callers"},
      {"peer_address", Text{&S::peer_address, true, true}, "ip:port",
       "calls from other entry instances"},
      {"metrics_address", Text{&S::metrics_address, false, true}, "ip:port",
       "counters and latency histograms as text; none if empty"},
      {"store_address", Text{&S::store_address, true, true}, "ip:port",
       "the platform's store"},
      {"adviser_address", Text{&S::adviser_address, false, true}, "ip:port",
       "adviser service, which decides which upstreams may run a step"},
      {"hosts_address", Text{&S::hosts_address, false, true}, "ip:port",
       "the platform's API of hosts; if empty, maintenance waves are not "
       "answered"},
      {"host_lists_per_s", Scaled{&S::host_lists_per_100_s, {0, 100000}},
       "calls/s",
       "reads of the list of hosts that its API accepts from all entry "
       "instances together"},
      {"host_orders_per_s", Scaled{&S::host_orders_per_100_s, {0, 100000}},
       "calls/s",
       "orders to hosts that their API accepts from all entry instances "
       "together"},
      {"upkeep_s", Scaled{&S::maintenance_duration_centis, {0, 86400}}, "s",
       "how long a host is away for maintenance"},
      {"holder_lease_ms", Number{&S::holder_lease_ms, {0, 600000}}, "ms",
       "a new leader that finds hosts ordered by an earlier leader waits this "
       "long before it orders hosts itself"},
      {"seeds", List{&S::seeds}, "ip:port",
       "entry instances to ask for the leader while the store is unavailable"},
      {"log_level", Text{&S::log_level, false}, "",
       "minimum level of log lines: debug (every start, every request), info, "
       "warning, error"},
      {"cpu_share", Scaled{&S::cpu_percent, {0, 64}}, "cores",
       "CPU that this machine may use; an entry instance with less than a "
       "quarter of a core lets others claim leadership first"},
      {"link_mbps", Scaled{&S::link_centi_mbps, {0, 1000000}}, "Mbit/s",
       "rate of this machine's link; 0 if it is unknown"},
      {"memory_mb", Number{&S::memory_mb, {0, 1 << 20}}, "MB",
       "memory that this process may take; 0 if it is unknown"},
      {"request_memory_mb", Number{&S::request_memory_mb, {0, 1 << 20}}, "MB",
       "memory that callers' requests may take until they are answered; 0 for "
       "an eighth of memory_mb"},
      {"receive_buffer_kb", Number{&S::receive_buffer_kb, {0, 4 << 10}}, "KiB",
       "receive buffer of each caller's connection (the kernel doubles it); 0 "
       "for an eighth of memory_mb divided by max_connections, from 4 to 64"},
      {"queue_order", Text{&S::queue_order, false}, "",
       "order of waiting work: priority, or delay_cost (what a delay costs "
       "callers, by priority, deadline and work)"},
      {"priority_price", Scaled{&S::priority_price_percent, {1, 100}}, "",
       "with delay_cost: how many times as much a delay costs as at the next "
       "lower priority"},
      {"admission", Text{&S::admission, false}, "",
       "which jobs are refused: capacity (those that can never run), or "
       "deadline (also those that would end too late to be of value)"},
      {"upstream_speed_spread",
       Scaled{&S::upstream_speed_spread_percent, {0, 100}}, "",
       "measured speeds of upstreams are used once the fast ones are this many "
       "times as fast as the slow ones; 0 for never"},
      {"lease_ms", Number{&S::lease_ms, {1000, 60000}}, "ms",
       "how long tasks continue without contact from the leader; at most "
       "max_lease_ms"},
      {"max_lease_ms", Number{&S::max_lease_ms, {1000, 600000}}, "ms",
       "longest lease that an upstream grants; it shortens a longer one"},
      {"max_call_delay_ms", Number{&S::max_call_delay_ms, {0, 600000}}, "ms",
       "how long after it was sent an upstream may execute a call"},
      {"hello_ms", Number{&S::heartbeat_interval_ms, kTimeBoundsMs}, "ms",
       "time between heartbeats to the leader"},
      {"silence_ms", Number{&S::leader_suspect_after_ms, kTimeBoundsMs}, "ms",
       "time without an answer after which the leader is suspected"},
      {"renew_ms", Number{&S::renew_ms, kTimeBoundsMs}, "ms",
       "time between the leader's renewals in the store"},
      {"quiet_ms", Number{&S::election_timeout_ms, kTimeBoundsMs}, "ms",
       "a suspected leader that did not renew for this long is replaced"},
      {"trust_ms", Number{&S::leader_lease_ms, kTimeBoundsMs}, "ms",
       "leader lease: a leader that gets no answer from the store and none "
       "from a follower for this long gives no orders"},
      {"store_silence_ms",
       Number{&S::store_unreachable_after_ms, kTimeBoundsMs}, "ms",
       "a leader that cannot reach the store for this long is replaced"},
      {"list_ms", Number{&S::upstream_list_period_ms, kTimeBoundsMs}, "ms",
       "time between reads of the list of upstreams"},
      {"patience_ms", Number{&S::leader_wait_timeout_ms, kTimeBoundsMs}, "ms",
       "longest time that a caller waits for a leader"},
      {"revocation_timeout_ms", Number{&S::revocation_timeout_ms, {0, 3600000}},
       "ms",
       "keys are refused after this time without confirmation that none was "
       "revoked; 0 for never"},
      {"max_connections", Number{&S::max_connections, {10, 100000}},
       "connections", "maximum number of open connections of callers"},
      {"max_jobs", Number{&S::max_jobs, {1, 10000000}}, "jobs",
       "maximum number of jobs that the leader keeps; further ones are "
       "refused"},
      {"unready_ms", Number{&S::unready_period_ms, kTimeBoundsMs}, "ms",
       "at shutdown: how long callers still arrive after the balancer was "
       "notified"},
      {"shutdown_ms", Number{&S::shutdown_ms, kTimeBoundsMs}, "ms",
       "longest duration of a graceful shutdown"},
  };
  return keys;
}

/// Reports settings whose relation would break a safety rule of the design.
void CheckConsistency(const JobSettings& s, json::ObjectReader& reader) {
  if (!scheduling::kQueueOrderNames.Find(s.queue_order)) {
    reader.Add("queue_order",
               "must be one of " + scheduling::kQueueOrderNames.Choices());
  }
  if (!coordinator::kAdmissionPolicyNames.Find(s.admission)) {
    reader.Add("admission", "must be one of " +
                                coordinator::kAdmissionPolicyNames.Choices());
  }
  if (s.leader_suspect_after_ms <= 2 * s.heartbeat_interval_ms) {
    reader.Add("silence_ms", "must be above twice hello_ms");
  }
  if (s.election_timeout_ms <= 2 * s.renew_ms) {
    reader.Add("quiet_ms",
               "must be above twice renew_ms, or a live leader is replaced");
  }
  if (s.leader_lease_ms <= s.renew_ms) {
    reader.Add("trust_ms", "must be above renew_ms");
  }
  if (s.shutdown_ms <= s.unready_period_ms) {
    reader.Add("shutdown_ms", "must be above unready_ms");
  }
}

}  // namespace

std::optional<JobSettings> ParseJobSettings(const std::string& text,
                                            Findings& findings) {
  const auto parsed = json::ParseText(text, findings);
  if (!parsed) return std::nullopt;
  JobSettings out;
  json::ObjectReader reader(*parsed, parsed->value, "", findings);
  for (const auto& key : Keys()) ReadKey(key, reader, out);
  for (size_t i = 0; i < out.seeds.size(); ++i) {
    if (LooksLikeAddress(out.seeds[i])) continue;
    reader.Add("seeds[" + std::to_string(i) + "]",
               "must be ip:port with a numeric IP address");
  }
  if (findings.empty()) CheckConsistency(out, reader);
  reader.Finish();
  if (!findings.empty()) return std::nullopt;
  return out;
}

std::string Print(const JobSettings& settings) {
  return PrintKeys(Keys(), settings);
}

}  // namespace mimosarail::settings
