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

/// How callers reach a queue, and how its jobs are treated.
struct QueueConfig {
  wire::QueuePolicy policy;
  std::string host;
  std::string prefix;
};

/// One accepted configuration of the cell.
struct CellConfig {
  int64_t version = 0;
  std::vector<QueueConfig> queues;
  /// Every pool that the configuration names, with a queue or without.
  std::set<std::string> pools;
  /// Largest body of a caller's request, in bytes.
  int64_t max_body_bytes = 0;
};

/// What one look at the configuration found.
struct ConfigUpdate {
  /// Where to look on from.
  int64_t cursor = 0;
  /// New documents as stored, oldest first. Of several that came at once the
  /// newest that decodes counts.
  std::vector<std::string> documents;
  /// Maintenance waves that stand beside it in the same log, so that following
  /// them costs no call of its own.
  std::vector<WaveRequest> waves{};
};

/// The operators' configuration. Callbacks run on the control thread. Control
/// thread only.
class CellConfigPort {
 public:
  virtual ~CellConfigPort() = default;
  /// The newest document and the cursor after it.
  virtual void ReadNewest(Millis timeout, Callback<ConfigUpdate> done) = 0;
  /// Waits up to `wait` for a change after `cursor`. Errc::kInvalid when the
  /// cursor is too old: read the newest instead.
  virtual void ReadChange(int64_t cursor, Millis wait, Millis timeout,
                          Callback<ConfigUpdate> done) = 0;
  /// Decodes a document; errors name the place.
  virtual Result<CellConfig> Decode(const std::string& document) const = 0;
};

}  // namespace mimosarail::ports
