#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/ports/cell_config_port.h"

namespace mimosarail::jobentry {

/// The queues and the accounts of one version of the configuration, indexed for
/// the calls of callers. Immutable; thread-safe.
class AccessTable {
 public:
  explicit AccessTable(const ports::CellConfig& config);

  int64_t version() const { return version_; }
  /// Whether calls to queues that are not open need a key.
  bool authenticates() const { return authenticates_; }
  const ports::RequestLimits& limits() const { return limits_; }
  /// Returns the queue of this host whose prefix is the longest that matches
  /// the path; null if there is none.
  const ports::QueueConfig* FindQueue(const std::string& host,
                                      std::string_view path) const;
  /// Returns the account of the key; null if no account has it. The time taken
  /// tells nothing about how much of a key matches.
  const std::string* FindAccount(std::string_view key) const;

 private:
  struct HostQueues {
    /// The lengths of the prefixes, longest first.
    std::vector<size_t> prefix_lengths;
    std::unordered_map<std::string, ports::QueueConfig> by_prefix;
  };
  struct KeyOwner {
    std::string key;
    std::string account;
  };

  int64_t version_;
  bool authenticates_;
  ports::RequestLimits limits_;
  std::unordered_map<std::string, HostQueues> by_host_;
  /// By the hash of the key with a secret seed.
  std::unordered_multimap<uint64_t, KeyOwner> by_key_hash_;
};

}  // namespace mimosarail::jobentry
