#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs_types.h"
#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"
#include "src/ports/host_port.h"

namespace mimosarail::ports {

/// The address of a queue for callers, and the policy of its jobs.
struct QueueConfig {
  wire::QueuePolicy policy;
  std::string host;
  std::string prefix;
};

/// One accepted configuration of the cell.
struct CellConfig {
  int64_t version = 0;
  std::vector<QueueConfig> queues;
  /// All pools that the configuration names, with or without a queue.
  std::set<std::string> pools;
  /// Largest body of a caller's request, in bytes.
  int64_t max_body_bytes = 0;
};

/// The result of one read of the configuration.
struct ConfigUpdate {
  /// Position from which the next read continues.
  int64_t cursor = 0;
  /// New documents as stored, oldest first. The newest one that decodes
  /// applies.
  std::vector<std::string> documents;
  /// Maintenance waves from the same log, so that following them needs no
  /// separate call.
  std::vector<WaveRequest> waves{};
};

/// The operators' configuration. Callbacks run on the control thread. Control
/// thread only.
class CellConfigPort {
 public:
  virtual ~CellConfigPort() = default;
  /// Reads the newest document and the cursor after it.
  virtual void ReadNewest(Millis timeout, Callback<ConfigUpdate> done) = 0;
  /// Waits up to `wait` for a change after `cursor`. Errc::kInvalid when the
  /// cursor is too old: read the newest instead.
  virtual void ReadChange(int64_t cursor, Millis wait, Millis timeout,
                          Callback<ConfigUpdate> done) = 0;
  /// Decodes a document; errors name the field.
  virtual Result<CellConfig> Decode(const std::string& document) const = 0;
};

}  // namespace mimosarail::ports
