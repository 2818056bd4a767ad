#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "src/scheduling/upstream_pool.h"

namespace mimosarail::scheduling {

/// The free capacity of the upstreams that may take tasks, in one array: it
/// shows whether a waiting step fits anywhere without a full search for
/// candidates. Not thread-safe.
class RoomTable {
 public:
  struct Row {
    UpstreamIndex upstream = kNoUpstream;
    Amount free;
    /// What is left for tasks that end after `reserved_from`, because a gang
    /// waits for the rest.
    Amount free_later;
    TimePoint reserved_from = TimePoint::max();
  };

  void Clear() { rows_.clear(); }
  void Add(const Row& row) { rows_.push_back(row); }

  /// Returns how many tasks of this size that end at `end` fit on the upstreams
  /// for which `matches(upstream)` holds, but no more than `wanted`.
  template <typename Predicate>
  int32_t CountRoom(const Amount& size, TimePoint end, int32_t wanted,
                    const Predicate& matches) const {
    int32_t count = 0;
    for (const Row& row : rows_) {
      const Amount& free = end <= row.reserved_from ? row.free : row.free_later;
      const int32_t fit = FitCount(free, size);
      if (fit == 0 || !matches(row.upstream)) continue;
      count += wanted == 1 ? 1 : fit;
      if (count >= wanted) return wanted;
    }
    return count;
  }

 private:
  std::vector<Row> rows_;
};

}  // namespace mimosarail::scheduling
