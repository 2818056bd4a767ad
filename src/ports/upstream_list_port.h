#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

struct UpstreamSize {
  int32_t millicores = 0;
  int32_t memory_mb = 0;
  int32_t accelerators = 0;
};

/// One life of an upstream, as it registered itself.
struct UpstreamEntry {
  std::string id;
  /// False when it has left the list; then only the id is set.
  bool listed = true;
  /// Why the entry names no upstream to use; empty for one that does. Then only
  /// the id is set, and `listed`.
  std::string decode_error{};
  std::string pool;
  std::string address;
  std::string failure_domain;
  std::string rack;
  /// Its kind and its rack.
  std::vector<std::string> labels;
  UpstreamSize capacity;
  bool draining = false;
  /// Slower than usual for this much longer after its start, in ms.
  int64_t warmup_left_ms = 0;
  /// While it drains: least time that is left, in ms; 0 if not told.
  int64_t leaves_in_ms = 0;
};

struct UpstreamListUpdate {
  int64_t cursor = 0;
  std::vector<UpstreamEntry> entries;
};

/// The list of upstreams. Callbacks run on the control thread. Control thread
/// only.
class UpstreamListPort {
 public:
  virtual ~UpstreamListPort() = default;
  /// Every upstream that is listed now.
  virtual void ReadAll(Millis timeout, Callback<UpstreamListUpdate> done) = 0;
  /// What changed after `cursor`. Errc::kInvalid when the cursor is too old,
  /// Errc::kMalformed when nobody can read on from it.
  virtual void ReadChanges(int64_t cursor, Millis timeout,
                           Callback<UpstreamListUpdate> done) = 0;
};

}  // namespace mimosarail::ports
