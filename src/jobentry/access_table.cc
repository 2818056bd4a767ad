#include "src/jobentry/access_table.h"

#include <algorithm>
#include <functional>
#include <random>

#include "src/libs/base/digest.h"

namespace mimosarail::jobentry {
namespace {

/// Hashes a key with a seed that is random for each process. A caller who could
/// predict the hashes could learn a key from the times of refusals.
uint64_t KeyHash(std::string_view key) {
  static const uint64_t seed = [] {
    std::random_device random;
    constexpr unsigned kHalf = 32;
    return uint64_t{random()} << kHalf | random();
  }();
  return Hash64(key, seed);
}

/// Compares in a time that depends only on the lengths.
bool EqualKeys(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

AccessTable::AccessTable(const ports::CellConfig& config)
    : version_(config.version),
      authenticates_(config.accounts.has_value()),
      limits_(config.limits) {
  for (const ports::QueueConfig& queue : config.queues) {
    HostQueues& host = by_host_[queue.host];
    host.by_prefix[queue.prefix] = queue;
    host.prefix_lengths.push_back(queue.prefix.size());
  }
  for (auto& [name, host] : by_host_) {
    std::vector<size_t>& lengths = host.prefix_lengths;
    std::sort(lengths.begin(), lengths.end(), std::greater<>());
    lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
  }
  if (!authenticates_) return;
  for (const ports::AccountConfig& account : *config.accounts) {
    for (const std::string& key : account.keys) {
      by_key_hash_.emplace(KeyHash(key), KeyOwner{key, account.name});
    }
  }
}

const ports::QueueConfig* AccessTable::FindQueue(const std::string& host,
                                                 std::string_view path) const {
  const auto queues = by_host_.find(host);
  if (queues == by_host_.end()) return nullptr;
  for (const size_t length : queues->second.prefix_lengths) {
    if (length > path.size()) continue;
    const auto found =
        queues->second.by_prefix.find(std::string(path.substr(0, length)));
    if (found != queues->second.by_prefix.end()) return &found->second;
  }
  return nullptr;
}

const std::string* AccessTable::FindAccount(std::string_view key) const {
  const auto [begin, end] = by_key_hash_.equal_range(KeyHash(key));
  const std::string* account = nullptr;
  for (auto at = begin; at != end; ++at) {
    if (EqualKeys(at->second.key, key)) account = &at->second.account;
  }
  return account;
}

}  // namespace mimosarail::jobentry
