#pragma once

#include <map>
#include <optional>

#include "src/placement/wait_queue.h"

namespace mimosarail::placement {

struct StarvationGuardOptions {
  /// A large item gets freed capacity reserved for it after it has waited this
  /// long.
  Millis reserve_after{300000};
  /// Maximum duration of a reservation; for the same time after that no
  /// capacity is reserved.
  Millis max_reservation{90000};
  /// While capacity is reserved, other items start only if they have priority 0
  /// or a declared run time up to this. Since declared times are not reliable,
  /// this is a small part of max_reservation.
  Millis max_backfill_run_time{4000};
};

/// Prevents a stream of small items from starving a gang or another large item:
/// once the large item has waited for reserve_after, capacity that becomes free
/// is reserved for it for a limited time. Two large items cannot block each
/// other, since capacity is reserved only for the first in queue order. Not
/// thread-safe.
class StarvationGuard {
 public:
  explicit StarvationGuard(StarvationGuardOptions options = {})
      : options_(options) {}

  /// Call before a pass over the queue.
  void BeginPass(TimePoint now);
  /// Whether the item may start in this pass.
  bool MayStart(const QueueItem& item) const;
  /// Call for an item that did not fit in this pass.
  void NoteBlocked(const QueueItem& item);
  /// Call after the pass.
  void EndPass();
  /// Whether freed capacity is reserved for this item.
  bool IsReservedFor(uint64_t id) const { return reserved_for_ == id; }

 private:
  StarvationGuardOptions options_;
  TimePoint now_{};
  std::optional<uint64_t> reserved_for_;
  /// First large item in queue order that did not fit in this pass and has
  /// waited for reserve_after.
  std::optional<uint64_t> candidate_;
  TimePoint reserved_since_{};
  /// No candidates are accepted before this time.
  TimePoint backoff_until_{};
};

}  // namespace mimosarail::placement
