#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "src/libs/base/executor.h"

namespace mimosarail::placement {

/// A waiting request.
struct QueueItem {
  uint64_t id = 0;
  int32_t priority = 0;
  std::string team;
  /// When the item began to wait.
  TimePoint since{};
  /// Declared core-seconds; counted against the share of the team.
  double core_seconds = 0;
  /// Equal for items that fit on the same upstreams.
  uint64_t shape = 0;
  /// Needs much free capacity at once, which a stream of small items could use
  /// up indefinitely.
  bool large = false;
  /// Run time declared by the caller; 0 if none.
  Millis declared_run_time{0};
};

/// What became of a visited item.
enum class VisitResult {
  kPlaced,   ///< Started; leaves the queue.
  kBlocked,  ///< Does not fit; items of the same shape are skipped in this
             ///< pass.
  kSkipped,  ///< Stays in the queue; other items of its shape are still
             ///< visited.
  kStop,     ///< Stays in the queue; the pass ends.
};

struct WaitQueueOptions {
  /// One step of priority is equivalent to this waiting time.
  Millis age_step{120000};
  /// Core-seconds per second that a team may request before its items are moved
  /// back in the order.
  double team_rate = 64;
  /// Maximum time by which the items of a team are moved back; limits
  /// starvation.
  Millis team_lag_limit{300000};
  /// Once the first item of lower priority than 0 has waited this long, one
  /// pass visits it before all others after every kUrgentStartsPerOther starts
  /// of priority 0. Items of priority 0 that keep arriving then cannot starve
  /// it.
  Millis starve_after{600000};
};

/// Waiting requests in the order in which they should start: priority 0 first,
/// then the others by time of arrival, moved back according to their priority
/// and to how far their team exceeds its share. Since this key never changes,
/// all items age equally and none starves. Not thread-safe.
class WaitQueue {
 public:
  explicit WaitQueue(WaitQueueOptions options = {}) : options_(options) {}

  /// Adds an item and returns its key. An item that has left the queue keeps
  /// its place if it is added again with that key.
  int64_t Push(const QueueItem& item, std::optional<int64_t> key = {});
  void Remove(uint64_t id);
  size_t size() const { return items_.size(); }
  bool Contains(uint64_t id) const { return items_.contains(id); }

  /// Visits items in order and removes the placed ones. `visit` must not change
  /// the queue.
  void VisitInOrder(TimePoint now,
                    const std::function<VisitResult(const QueueItem&)>& visit);

  static constexpr int kUrgentStartsPerOther = 8;

 private:
  /// Key returned by Push(), and the id of the item to break ties.
  using Key = std::pair<int64_t, uint64_t>;
  struct Entry {
    QueueItem item;
    Key key;
  };

  int64_t KeyOf(const QueueItem& item);
  bool VisitSet(const std::set<Key>& keys,
                const std::function<VisitResult(const QueueItem&)>& visit,
                std::unordered_set<uint64_t>& blocked,
                std::set<uint64_t>& placed);

  WaitQueueOptions options_;
  std::unordered_map<uint64_t, Entry> items_;
  std::set<Key> urgent_;
  std::set<Key> others_;
  /// Virtual time of each team in milliseconds; advances by the declared
  /// core-seconds of its items at team_rate.
  std::unordered_map<std::string, double> team_clock_;
  /// Starts of priority 0 since an item of lower priority was visited first.
  int urgent_starts_ = 0;
};

}  // namespace mimosarail::placement
