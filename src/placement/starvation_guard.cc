#include "src/placement/starvation_guard.h"

namespace mimosarail::placement {

void StarvationGuard::BeginPass(TimePoint now) {
  now_ = now;
  candidate_.reset();
  if (reserved_for_ && now_ - reserved_since_ > options_.max_reservation) {
    // The running tasks take longer than expected: keeping the freed capacity
    // idle any longer would cost more than the wait of the large item.
    reserved_for_.reset();
    backoff_until_ = now_ + options_.max_reservation;
  }
}

bool StarvationGuard::MayStart(const QueueItem& item) const {
  if (!reserved_for_ || item.id == *reserved_for_ || item.priority == 0) {
    return true;
  }
  return item.declared_run_time > Millis(0) &&
         item.declared_run_time <= options_.max_backfill_run_time;
}

void StarvationGuard::NoteBlocked(const QueueItem& item) {
  if (candidate_ || !item.large || now_ < backoff_until_) return;
  if (now_ - item.since < options_.reserve_after) return;
  candidate_ = item.id;
}

void StarvationGuard::EndPass() {
  // The reservation stays with its item while the item is the candidate of each
  // pass, up to max_reservation.
  if (candidate_ == reserved_for_) return;
  reserved_for_ = candidate_;
  reserved_since_ = now_;
}

}  // namespace mimosarail::placement
