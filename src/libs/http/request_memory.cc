#include "src/libs/http/request_memory.h"

#include <string>

#include "src/libs/logging/log.h"

namespace mimosarail::http {
namespace {

constexpr Millis kLogInterval{1000};

}  // namespace

bool RequestMemory::Charge::Receive(size_t bytes) {
  Release();
  if (bytes == 0) return true;
  bytes_ = bytes;
  memory_.used_bytes_ += bytes;
  at_ = memory_.unfinished_.insert(memory_.unfinished_.end(), this);
  unfinished_ = true;
  return memory_.MakeRoom(*this);
}

bool RequestMemory::Charge::Complete(size_t bytes) {
  Release();
  bytes_ = bytes;
  memory_.used_bytes_ += bytes;
  return memory_.MakeRoom(*this);
}

void RequestMemory::Charge::Release() {
  if (unfinished_) memory_.unfinished_.erase(at_);
  unfinished_ = false;
  memory_.used_bytes_ -= bytes_;
  bytes_ = 0;
}

bool RequestMemory::MakeRoom(Charge& newest) {
  while (used_bytes_ > budget_bytes_) {
    if (unfinished_.empty() || unfinished_.front() == &newest) {
      newest.Release();
      Note("refused");
      return false;
    }
    Charge& longest = *unfinished_.front();
    longest.Release();
    Note("closed");
    longest.close_();
  }
  return true;
}

void RequestMemory::Note(const char* what) {
  if (metrics_ != nullptr) {
    metrics_->Count(
        {.name = "requests_over_memory", .labels = {{"what", what}}});
  }
  ++unlogged_;
  const TimePoint now = Clock::now();
  if (logged_at_ != TimePoint{} && now < logged_at_ + kLogInterval) return;
  logged_at_ = now;
  logging::Event(logging::Level::kWarning, "requests over memory",
                 {{"requests", std::to_string(unlogged_)},
                  {"last", what},
                  {"used_bytes", std::to_string(used_bytes_)},
                  {"budget_bytes", std::to_string(budget_bytes_)}});
  unlogged_ = 0;
}

}  // namespace mimosarail::http
