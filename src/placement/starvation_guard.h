#pragma once

#include <map>
#include <optional>

#include "src/placement/wait_queue.h"

namespace mimosarail::placement {

struct StarvationGuardOptions {
  /// A large item that does not fit for this long gets room held back for it.
  Millis hold_after{300000};
  /// Held no longer than this at a time, then not for as long again.
  Millis hold_limit{90000};
  /// While room is held, only items that declare to be this short may start:
  /// declared times are doubted, so it is a small part of the limit.
  Millis backfill{4000};
};

/// Keeps a stream of small items from starving a gang or a large item: once it
/// has waited long, room that comes free is left for it, within bounds. Two
/// large items never hold against each other, since only the first in order is
/// held for. Pure but for its own state; not thread-safe.
class StarvationGuard {
 public:
  explicit StarvationGuard(StarvationGuardOptions options = {})
      : options_(options) {}

  /// Call before a pass over the queue.
  void BeginPass(TimePoint now);
  /// Whether the item may start in this pass.
  bool MayStart(const QueueItem& item) const;
  /// The item did not fit in this pass.
  void NoteBlocked(const QueueItem& item);
  /// Call after the pass.
  void EndPass();
  /// Whether room is held back for this item.
  bool IsHeldFor(uint64_t id) const { return held_for_ == id; }

 private:
  StarvationGuardOptions options_;
  TimePoint now_{};
  std::optional<uint64_t> held_for_;
  std::optional<uint64_t> candidate_;
  TimePoint held_since_{};
  TimePoint rest_until_{};
};

}  // namespace mimosarail::placement
