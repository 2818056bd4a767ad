#include "src/libs/settings/settings.h"

#include "src/libs/settings/schema.h"

namespace mimosarail::settings {
namespace {

const std::vector<Key<Settings>>& Keys() {
  static const std::vector<Key<Settings>> keys{
      {"name", TextKey<Settings>{&Settings::name}, "",
       "unique name of this entry instance"},
      {"region", TextKey<Settings>{&Settings::region, false}, "",
       "region of this entry instance"},
      {"failure_domain", TextKey<Settings>{&Settings::failure_domain}, "",
       "failure domain of this entry instance"},
      {"listen", TextKey<Settings>{&Settings::listen, true, true}, "ip:port",
       "calls from other entry instances (TCP) and heartbeats (UDP)"},
      {"advertise", TextKey<Settings>{&Settings::advertise, false, true},
       "ip:port",
       "address at which other entry instances reach listen; listen itself if "
       "absent"},
      {"http_listen", TextKey<Settings>{&Settings::http_listen, true, true},
       "ip:port", "HTTP requests of callers and operators, and metrics"},
      {"log_address", TextKey<Settings>{&Settings::log_address, true, true},
       "ip:port", "the platform's log"},
      {"list_address", TextKey<Settings>{&Settings::list_address, true, true},
       "ip:port", "the platform's instance list"},
      {"peers", ListKey<Settings>{&Settings::peers}, "ip:port",
       "entry instances to send heartbeats to while the instance list is "
       "unavailable"},
      {"http_threads", NumberKey<Settings>{&Settings::http_threads, {2, 512}},
       "threads", "HTTP worker threads; at most half of them wait for answers"},
      {"http_max_body",
       NumberKey<Settings>{&Settings::http_max_body, {1024, 16 << 20}}, "bytes",
       "largest request body"},
      {"traffic_threads",
       NumberKey<Settings>{&Settings::traffic_threads, {1, 64}}, "threads",
       "threads for calls between processes"},
      {"heartbeat_ms",
       NumberKey<Settings>{&Settings::heartbeat_ms, {20, 10000}}, "ms",
       "time between heartbeats"},
      {"suspect_ms", NumberKey<Settings>{&Settings::suspect_ms, kTimeBoundsMs},
       "ms", "time without heartbeats after which a peer is suspect"},
      {"dead_ms", NumberKey<Settings>{&Settings::dead_ms, kTimeBoundsMs}, "ms",
       "time without heartbeats after which a peer's racks are taken over"},
      {"return_ms", NumberKey<Settings>{&Settings::return_ms, kTimeBoundsMs},
       "ms", "how long a returned peer sends heartbeats before it gets racks"},
      {"list_refresh_ms",
       NumberKey<Settings>{&Settings::list_refresh_ms, {20, 600000}}, "ms",
       "time between reads of the instance list"},
      {"lease_ms", NumberKey<Settings>{&Settings::lease_ms, {200, 600000}},
       "ms", "lease of a task"},
      {"max_delay_ms",
       NumberKey<Settings>{&Settings::max_delay_ms, kTimeBoundsMs}, "ms",
       "longest time after which a sent call may still arrive; added to a "
       "lease before it counts as expired"},
      {"call_timeout_ms",
       NumberKey<Settings>{&Settings::call_timeout_ms, {20, 60000}}, "ms",
       "time limit of one call"},
      {"log_read_wait_ms",
       NumberKey<Settings>{&Settings::log_read_wait_ms, {1, 60000}}, "ms",
       "how long a read of the log waits for a record"},
      {"group_commit_ms",
       NumberKey<Settings>{&Settings::group_commit_ms, {1, 1000}}, "ms",
       "time for which intents are gathered for one append"},
      {"intent_wait_ms",
       NumberKey<Settings>{&Settings::intent_wait_ms, {10, 60000}}, "ms",
       "longest time to wait for an intent to be read back"},
      {"checkpoint_ms",
       NumberKey<Settings>{&Settings::checkpoint_ms, {100, 86400000}}, "ms",
       "age at which the configuration is appended to the log again; at most "
       "a third of the log's retention"},
      {"cost_flush_ms",
       NumberKey<Settings>{&Settings::cost_flush_ms, {100, 3600000}}, "ms",
       "time between cost records"},
      {"outcome_window_ms",
       NumberKey<Settings>{&Settings::outcome_window_ms, {1000, 86400000}},
       "ms", "time for which outcomes can be collected"},
      {"max_requests",
       NumberKey<Settings>{&Settings::max_requests, {1, 1000000}}, "requests",
       "requests kept by this entry instance, including those that ended"},
      {"max_answer_bytes",
       NumberKey<Settings>{&Settings::max_answer_bytes, {1024, 1 << 30}},
       "bytes", "total size of the answers kept by this entry instance"},
      {"max_wait_ms", NumberKey<Settings>{&Settings::max_wait_ms, {1, 600000}},
       "ms", "longest time that a caller's HTTP request waits"},
      {"shutdown_ms",
       NumberKey<Settings>{&Settings::shutdown_ms, {100, 3600000}}, "ms",
       "longest duration of a graceful shutdown"},
  };
  return keys;
}

/// Reports settings whose relation would break a safety rule of the design.
void CheckConsistency(const Settings& s, json::ObjectReader& reader) {
  if (s.suspect_ms <= 2 * s.heartbeat_ms) {
    reader.Add("suspect_ms", "must be above twice heartbeat_ms");
  }
  if (s.dead_ms <= s.suspect_ms) {
    reader.Add("dead_ms", "must be above suspect_ms");
  }
  if (s.lease_ms < 2 * s.dead_ms) {
    reader.Add(
        "lease_ms",
        "must be at least twice dead_ms, or task leases expire while control "
        "is taken over");
  }
}

void CheckPeers(const Settings& s, json::ObjectReader& reader) {
  for (size_t i = 0; i < s.peers.size(); ++i) {
    if (LooksLikeAddress(s.peers[i])) continue;
    reader.Add("peers[" + std::to_string(i) + "]",
               "must be ip:port with a numeric IP address");
  }
}

}  // namespace

bool LooksLikeAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  const std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5) return false;
  if (port.find_first_not_of("0123456789") != std::string::npos) return false;
  return text.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
         std::string::npos;
}

std::optional<Settings> Parse(const std::string& text, Findings& findings) {
  const auto parsed = json::ParseText(text, findings);
  if (!parsed) return std::nullopt;
  Settings out;
  json::ObjectReader reader(*parsed, parsed->value, "", findings);
  for (const auto& key : Keys()) ReadKey(key, reader, out);
  CheckPeers(out, reader);
  if (findings.empty()) CheckConsistency(out, reader);
  reader.Finish();
  if (!findings.empty()) return std::nullopt;
  return out;
}

std::string Print(const Settings& settings) {
  return PrintKeys(Keys(), settings);
}

}  // namespace mimosarail::settings
