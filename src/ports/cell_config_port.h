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

/// A queue of jobs: the policy for its jobs, and the HTTP host and the path
/// prefix under which callers reach it.
struct QueueConfig {
  wire::QueuePolicy policy;
  std::string host;
  std::string prefix;
  /// Calls need no key, and the queue's jobs belong to no account.
  bool open = false;
};

/// What the tasks of one account may take at a time over all upstreams; 0 in a
/// dimension for no limit.
struct AccountLimit {
  int64_t millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  friend bool operator==(const AccountLimit&, const AccountLimit&) = default;
};

/// A client account.
struct AccountConfig {
  std::string name;
  /// Keys that authenticate the account's calls. Never logged.
  std::vector<std::string> keys;
  /// The account's share when all capacity is in use: jobs per second. 0 for
  /// none.
  double weight = 0;
  AccountLimit limit;
};

/// The operators' limits on callers' requests; 0 for what is not given.
struct RequestLimits {
  /// Start line and headers of a request, in bytes.
  int64_t max_head_bytes = 0;
  int64_t max_body_bytes = 0;
  /// Longest time in which start line and headers arrive.
  int64_t head_timeout_ms = 0;
  /// Longest time of a connection without a request.
  int64_t idle_timeout_ms = 0;
};

/// A valid configuration of the cell.
struct CellConfig {
  int64_t version = 0;
  std::vector<QueueConfig> queues;
  /// All pools that the configuration names, with or without a queue.
  std::set<std::string> pools;
  /// Unset if the cell has no accounts; calls then need no key.
  std::optional<std::vector<AccountConfig>> accounts;
  RequestLimits limits;
};

/// The result of one read of the configuration.
struct ConfigUpdate {
  /// Position in the configuration log from which the next read continues.
  int64_t cursor = 0;
  /// New configuration documents as stored, oldest first. The newest one that
  /// decodes is in force.
  std::vector<std::string> documents;
  /// Requests for maintenance waves. They are in the same log, so that reading
  /// them needs no separate call.
  std::vector<WaveRequest> waves{};
};

/// The operators' configuration. Callbacks run on the control thread. Control
/// thread only.
class CellConfigPort {
 public:
  virtual ~CellConfigPort() = default;
  /// Reads the newest document and the cursor after it.
  virtual void ReadNewest(Millis timeout, Callback<ConfigUpdate> done) = 0;
  /// Waits up to `wait` for a change after `cursor`. The error is
  /// Errc::kInvalid if the cursor is too old; ReadNewest() gives a new one.
  virtual void ReadChange(int64_t cursor, Millis wait, Millis timeout,
                          Callback<ConfigUpdate> done) = 0;
  /// Decodes a document; errors name the field.
  virtual Result<CellConfig> Decode(const std::string& document) const = 0;
};

}  // namespace mimosarail::ports
