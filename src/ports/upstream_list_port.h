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

/// One incarnation of an upstream, from its start to its end, with the data
/// that it has registered.
struct UpstreamEntry {
  /// May be that of an earlier incarnation.
  std::string id;
  /// False if the upstream has left the list; then only `id` is set.
  bool listed = true;
  /// Why the entry is malformed; empty for a valid one. For a malformed entry
  /// only `id` and `listed` are set.
  std::string decode_error{};
  std::string pool;
  std::string address;
  std::string failure_domain;
  std::string rack;
  /// The kind and the rack of the upstream.
  std::vector<std::string> labels;
  UpstreamSize capacity;
  bool draining = false;
  /// How long the upstream will still run tasks slower than usual after its
  /// start, in ms.
  int64_t warmup_left_ms = 0;
  /// While draining: minimum time until it leaves, in ms; 0 if not reported.
  int64_t leaves_in_ms = 0;
  /// When this incarnation was started, in Unix ms; 0 if not reported.
  int64_t incarnation = 0;
};

/// The result of one read of the list.
struct UpstreamListUpdate {
  /// Position from which ReadChanges() continues.
  int64_t cursor = 0;
  std::vector<UpstreamEntry> entries;
};

/// The list of upstreams. Callbacks run on the control thread. Control thread
/// only.
class UpstreamListPort {
 public:
  virtual ~UpstreamListPort() = default;
  /// Reads all upstreams that are listed now.
  virtual void ReadAll(Millis timeout, Callback<UpstreamListUpdate> done) = 0;
  /// Reads the changes after `cursor`. The error is Errc::kInvalid if the
  /// cursor is too old, and Errc::kMalformed if the list can't be read from the
  /// cursor on.
  virtual void ReadChanges(int64_t cursor, Millis timeout,
                           Callback<UpstreamListUpdate> done) = 0;
};

}  // namespace mimosarail::ports
