#include "src/libs/base/receive_budget.h"

namespace mimosarail {

bool ReceiveBudget::Charge::Receive(size_t bytes) {
  Release();
  if (bytes == 0) return true;
  bytes_ = bytes;
  budget_.used_bytes_ += bytes;
  at_ = budget_.unfinished_.insert(budget_.unfinished_.end(), this);
  unfinished_ = true;
  return budget_.MakeRoom(*this);
}

bool ReceiveBudget::Charge::Complete(size_t bytes) {
  Release();
  bytes_ = bytes;
  budget_.used_bytes_ += bytes;
  return budget_.MakeRoom(*this);
}

void ReceiveBudget::Charge::Release() {
  if (bytes_ == 0) return;
  if (unfinished_) budget_.unfinished_.erase(at_);
  unfinished_ = false;
  budget_.used_bytes_ -= bytes_;
  bytes_ = 0;
}

bool ReceiveBudget::MakeRoom(Charge& newest) {
  while (used_bytes_ > budget_bytes_) {
    if (unfinished_.empty() || unfinished_.front() == &newest) {
      newest.Release();
      on_overrun_(Overrun::kRefused);
      return false;
    }
    Charge& longest = *unfinished_.front();
    longest.Release();
    on_overrun_(Overrun::kClosed);
    longest.close_();
  }
  return true;
}

}  // namespace mimosarail
