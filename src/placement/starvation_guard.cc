#include "src/placement/starvation_guard.h"

namespace mimosarail::placement {

void StarvationGuard::BeginPass(TimePoint now) {
  now_ = now;
  candidate_.reset();
  if (held_for_ && now_ - held_since_ > options_.hold_limit) {
    // Whatever runs there is longer than anybody thought: idling on would
    // cost more than the large item's wait.
    held_for_.reset();
    rest_until_ = now_ + options_.hold_limit;
  }
}

bool StarvationGuard::MayStart(const QueueItem& item) const {
  if (!held_for_ || item.id == *held_for_ || item.priority == 0) return true;
  return item.declared > Millis(0) && item.declared <= options_.backfill;
}

void StarvationGuard::NoteBlocked(const QueueItem& item) {
  if (candidate_ || !item.large || now_ < rest_until_) return;
  if (now_ - item.since < options_.hold_after) return;
  candidate_ = item.id;
}

void StarvationGuard::EndPass() {
  if (candidate_ == held_for_) return;
  // The one that is held for stays so until it has started or its time is up.
  held_for_ = candidate_;
  held_since_ = now_;
}

}  // namespace mimosarail::placement
