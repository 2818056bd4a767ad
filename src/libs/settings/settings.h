#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/libs/base/findings.h"

namespace mimosarail::settings {

/// Settings of one request daemon (src/app/daemon.h), as opposed to
/// JobSettings. Times are in milliseconds.
struct Settings {
  std::string name;
  std::string region = "local";
  std::string failure_domain;
  std::string listen;
  std::string advertise;
  std::string http_listen;
  std::string log_address;
  std::string list_address;
  std::vector<std::string> peers;
  int64_t http_threads = 64;
  int64_t http_max_body = 1 << 20;
  int64_t traffic_threads = 2;
  int64_t heartbeat_ms = 500;
  int64_t suspect_ms = 1500;
  int64_t dead_ms = 2500;
  int64_t return_ms = 2000;
  int64_t list_refresh_ms = 1000;
  int64_t lease_ms = 8000;
  int64_t max_delay_ms = 2000;
  int64_t call_timeout_ms = 1000;
  int64_t log_read_wait_ms = 1000;
  int64_t group_commit_ms = 25;
  int64_t intent_wait_ms = 1500;
  int64_t checkpoint_ms = 60000;
  int64_t cost_flush_ms = 10000;
  int64_t outcome_window_ms = 600000;
  int64_t max_requests = 20000;
  int64_t max_answer_bytes = 8 << 20;
  int64_t max_wait_ms = 30000;
  int64_t shutdown_ms = 20000;
};

/// Parses settings from JSON with comments. All faults are added to `findings`
/// with line and column, and the result is then empty. Thread-safe.
std::optional<Settings> Parse(const std::string& text, Findings& findings);

/// All keys with value, unit, bounds and help, as commented JSON that Parse()
/// accepts. Thread-safe.
std::string Print(const Settings& settings);

}  // namespace mimosarail::settings
