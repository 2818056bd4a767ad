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

/// One waiting request.
struct QueueItem {
  uint64_t id = 0;
  int32_t priority = 0;
  std::string team;
  TimePoint since{};
  /// Declared core-seconds; weighs on the team's share.
  double core_seconds = 0;
  /// Equal for items that fit in the same places.
  uint64_t shape = 0;
  /// Needs much room at once, which small items would eat up for ever.
  bool large = false;
  /// Run time that the caller declared; 0 if none.
  Millis declared{0};
};

enum class Visit {
  kPlaced,   ///< Leaves the queue.
  kBlocked,  ///< No room; items of the same shape are skipped this time.
  kSkipped,  ///< Stays, for a reason of its own.
  kStop,     ///< Stays, and so do all others.
};

struct WaitQueueOptions {
  /// One step of priority is worth this much waiting.
  Millis age_step{120000};
  /// Core-seconds a second that a team may ask for before it falls behind.
  double team_rate = 64;
  /// Farthest that a team can fall behind; bounds starvation.
  Millis team_lag_limit{300000};
  /// An item of lower priority that waited this long gets one start in
  /// kStarvedShare even while priority 0 keeps coming.
  Millis starve_after{600000};
};

/// Waiting requests in the order in which they should start: priority 0
/// first; the others by time of arrival, put back by their priority and by how
/// far their team is ahead of its share. Since that key never changes, waiting
/// ages every item alike and none starves. Not thread-safe.
class WaitQueue {
 public:
  explicit WaitQueue(WaitQueueOptions options = {}) : options_(options) {}

  /// Returns the item's key; giving it back keeps the place of an item that
  /// left the queue and returns.
  int64_t Push(const QueueItem& item, std::optional<int64_t> key = {});
  void Remove(uint64_t id);
  size_t size() const { return items_.size(); }
  bool Contains(uint64_t id) const { return items_.contains(id); }

  /// Visits items in order. `visit` must not change the queue.
  void VisitInOrder(TimePoint now,
                    const std::function<Visit(const QueueItem&)>& visit);

  static constexpr int kStarvedShare = 8;

 private:
  using Key = std::pair<int64_t, uint64_t>;
  struct Entry {
    QueueItem item;
    Key key;
  };

  int64_t KeyOf(const QueueItem& item);
  bool VisitSet(const std::set<Key>& keys,
                const std::function<Visit(const QueueItem&)>& visit,
                std::unordered_set<uint64_t>& blocked,
                std::set<uint64_t>& placed);

  WaitQueueOptions options_;
  std::unordered_map<uint64_t, Entry> items_;
  std::set<Key> urgent_;
  std::set<Key> others_;
  std::unordered_map<std::string, double> team_clock_;
  int urgent_run_ = 0;
};

}  // namespace mimosarail::placement
