#include "src/libs/settings/job_settings.h"

#include "src/libs/settings/schema.h"

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
       "failure domain it stands in"},
      {"front_address", Text{&S::front_address, true, true}, "ip:port",
       "callers' requests"},
      {"ready_address", Text{&S::ready_address, true, true}, "ip:port",
       "tells the balancer whether to send callers here"},
      {"peer_address", Text{&S::peer_address, true, true}, "ip:port",
       "calls from other entry instances"},
      {"metrics_address", Text{&S::metrics_address, false, true}, "ip:port",
       "counters and latency histograms as text; none if empty"},
      {"store_address", Text{&S::store_address, true, true}, "ip:port",
       "the platform's store"},
      {"adviser_address", Text{&S::adviser_address, false, true}, "ip:port",
       "says which upstreams may run a step"},
      {"hosts_address", Text{&S::hosts_address, false, true}, "ip:port",
       "the platform's API of hosts; without it maintenance waves are not "
       "answered"},
      {"host_lists_per_s", Scaled{&S::host_lists_per_100_s, {0, 100000}},
       "calls/s", "readings of the list of hosts that its API takes from all"},
      {"host_orders_per_s", Scaled{&S::host_orders_per_100_s, {0, 100000}},
       "calls/s", "orders to hosts that their API takes from all"},
      {"upkeep_s", Scaled{&S::upkeep_centis, {0, 86400}}, "s",
       "how long a host is away for its upkeep"},
      {"holder_lease_ms", Number{&S::holder_lease_ms, {0, 600000}}, "ms",
       "a new leader that finds hosts ordered by an earlier one gives no "
       "orders "
       "to hosts before this"},
      {"seeds", List{&S::seeds}, "ip:port",
       "entry instances to ask for the leader while the store is away"},
      {"log_level", Text{&S::log_level, false}, "",
       "least level of lines: debug (every start, every request), info, "
       "warning, error"},
      {"cpu_share", Scaled{&S::cpu_percent, {0, 64}}, "cores",
       "what this machine may use; one with less than a quarter lets others "
       "claim the lead first"},
      {"lease_ms", Number{&S::lease_ms, {1000, 60000}}, "ms",
       "how long tasks go on without a word from the leader"},
      {"hello_ms", Number{&S::hello_ms, kMs}, "ms",
       "time between greetings of the leader"},
      {"silence_ms", Number{&S::silence_ms, kMs}, "ms",
       "silence after which the leader is suspected"},
      {"renew_ms", Number{&S::renew_ms, kMs}, "ms",
       "time between the leader's renewals in the store"},
      {"quiet_ms", Number{&S::quiet_ms, kMs}, "ms",
       "a suspected leader that did not renew for this long is replaced"},
      {"trust_ms", Number{&S::trust_ms, kMs}, "ms",
       "a leader that heard neither store nor follower for this long gives no "
       "orders"},
      {"store_silence_ms", Number{&S::store_silence_ms, kMs}, "ms",
       "a leader without the store for this long is replaced"},
      {"list_ms", Number{&S::list_ms, kMs}, "ms",
       "time between reads of the list of upstreams"},
      {"patience_ms", Number{&S::patience_ms, kMs}, "ms",
       "longest that a caller waits for a leader"},
      {"max_connections", Number{&S::max_connections, {10, 100000}},
       "connections", "callers at once"},
      {"max_jobs", Number{&S::max_jobs, {1, 10000000}}, "jobs",
       "jobs that the leader keeps; further ones are refused"},
      {"unready_ms", Number{&S::unready_ms, kMs}, "ms",
       "at shutdown: how long callers still come after the balancer was told"},
      {"shutdown_ms", Number{&S::shutdown_ms, kMs}, "ms",
       "longest a graceful shutdown takes"},
  };
  return keys;
}

/// Relations without which a guard of the design does not hold.
void CheckClashes(const JobSettings& s, json::ObjectReader& reader) {
  if (s.silence_ms <= 2 * s.hello_ms) {
    reader.Add("silence_ms", "must be above twice hello_ms");
  }
  if (s.quiet_ms <= 2 * s.renew_ms) {
    reader.Add("quiet_ms",
               "must be above twice renew_ms, or a live leader is replaced");
  }
  if (s.trust_ms <= s.renew_ms) {
    reader.Add("trust_ms", "must be above renew_ms");
  }
  if (s.shutdown_ms <= s.unready_ms) {
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
               "must be ip:port, the ip in numbers");
  }
  if (findings.empty()) CheckClashes(out, reader);
  reader.Finish();
  if (!findings.empty()) return std::nullopt;
  return out;
}

std::string Print(const JobSettings& settings) {
  return PrintKeys(Keys(), settings);
}

}  // namespace mimosarail::settings
