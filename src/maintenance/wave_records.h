#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/ports/host_port.h"
#include "src/ports/record_store_port.h"

namespace mimosarail::maintenance {

/// What the leader keeps of waves in its table, for the next leader. All
/// functions are safe from any thread.

/// First character of the keys.
inline constexpr char kWavePrefix = 'w';

/// One wave, as far as it was told to operators.
struct WaveRecord {
  int64_t wave = 0;
  ports::WaveStatus status = ports::WaveStatus::kRunning;
  /// When it was first seen, in ms since 1970.
  int64_t since_unix_ms = 0;
};

/// One host of a wave; stored before the order goes out.
struct HostRecord {
  int64_t wave = 0;
  std::string host;
  bool begun = false;
  /// The upstream that the host was when it was ordered.
  std::string upstream;
};

ports::KeyedRecord Encode(const WaveRecord& record);
ports::KeyedRecord Encode(const HostRecord& record);
std::string KeyOf(const HostRecord& record);
/// Whether the key is that of a host's record, else a wave's.
bool IsHostKey(const std::string& key);
std::optional<WaveRecord> DecodeWave(const ports::KeyedRecord& record);
std::optional<HostRecord> DecodeHost(const ports::KeyedRecord& record);

}  // namespace mimosarail::maintenance
