#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/ports/host_port.h"
#include "src/ports/record_store_port.h"

namespace mimosarail::maintenance {

/// The leader stores the state of maintenance waves in records of its table, so
/// that the next leader can continue the waves. All functions are thread-safe.

/// First character of the keys of these records.
inline constexpr char kWaveKeyPrefix = 'w';

/// One wave, with the status that was last reported to operators.
struct WaveRecord {
  /// Number of the wave.
  int64_t wave = 0;
  ports::WaveStatus status = ports::WaveStatus::kRunning;
  /// When a leader first saw the wave, in ms since 1970.
  int64_t first_seen_unix_ms = 0;
};

/// One host of a wave; stored before the maintenance order is sent.
struct HostRecord {
  int64_t wave = 0;
  std::string host;
  /// False while it is in doubt whether the maintenance has begun.
  bool begun = false;
  /// The upstream that ran on the host at the time of the order.
  std::string upstream;
};

ports::KeyedRecord Encode(const WaveRecord& record);
ports::KeyedRecord Encode(const HostRecord& record);
std::string KeyOf(const HostRecord& record);
/// Returns true for the key of a host record, false for that of a wave record.
bool IsHostKey(const std::string& key);
std::optional<WaveRecord> DecodeWave(const ports::KeyedRecord& record);
std::optional<HostRecord> DecodeHost(const ports::KeyedRecord& record);

}  // namespace mimosarail::maintenance
