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
  /// Empty if the platform has no API of hosts.
  std::string hosts_address;
  /// In hundredths of a call per second.
  int64_t host_lists_per_100_s = 1000;
  int64_t host_orders_per_100_s = 1000;
  /// In hundredths of a second.
  int64_t upkeep_centis = 200;
  int64_t holder_lease_ms = 3000;
  std::vector<std::string> seeds;
  std::string log_level = "info";
  /// In hundredths of a core.
  int64_t cpu_percent = 100;
  int64_t lease_ms = 4000;
  int64_t hello_ms = 200;
  int64_t silence_ms = 700;
  int64_t renew_ms = 200;
  int64_t quiet_ms = 450;
  int64_t trust_ms = 2000;
  int64_t store_silence_ms = 700;
  int64_t list_ms = 250;
  int64_t patience_ms = 1300;
  int64_t max_connections = 2000;
  int64_t max_jobs = 20000;
  int64_t unready_ms = 2600;
  int64_t shutdown_ms = 5200;
};

/// Parses settings from JSON with comments. All faults are added to `findings`
/// with line and column, and the result is then empty. Safe from any thread.
std::optional<JobSettings> ParseJobSettings(const std::string& text,
                                            Findings& findings);

/// All keys with value, unit, bounds and help, as commented JSON that
/// ParseJobSettings() accepts. Safe from any thread.
std::string Print(const JobSettings& settings);

}  // namespace mimosarail::settings
