#include "src/coordinator/memory_budget.h"

#include <algorithm>
#include <cmath>

namespace mimosarail::coordinator {
namespace {

constexpr int64_t kBytesPerMb = 1 << 20;
/// Part of a machine's memory that the state of jobs may take.
constexpr int64_t kStateDivisor = 4;
/// Releases this long ago count 1/e towards the rate.
constexpr std::chrono::duration<double> kRateMemory{30};
constexpr Millis kMinReleaseTime{1000};
/// Where next to nothing is released, a caller looks again after this.
constexpr Millis kMaxReleaseTime{60000};
constexpr double kMsPerSecond = 1000;

}  // namespace

void MemoryBudget::SetMachineMemory(int64_t memory_mb) {
  const int64_t known = memory_mb > 0 ? memory_mb : kDefaultMemoryMb;
  bytes_ = static_cast<size_t>(known * kBytesPerMb / kStateDivisor);
}

void MemoryBudget::NoteReleased(size_t released_in_all, TimePoint now) {
  const std::chrono::duration<double> passed = now - noted_at_;
  if (noted_at_ != TimePoint{} && passed.count() > 0) {
    const double kept = std::exp(-(passed / kRateMemory));
    const double rate =
        static_cast<double>(released_in_all - released_in_all_) /
        passed.count();
    bytes_per_s_ = kept * bytes_per_s_ + (1 - kept) * rate;
  }
  released_in_all_ = released_in_all;
  noted_at_ = now;
}

Millis MemoryBudget::TimeToRelease(size_t bytes) const {
  const double least = static_cast<double>(bytes) * kMsPerSecond /
                       static_cast<double>(kMaxReleaseTime.count());
  if (bytes_per_s_ <= least) return kMaxReleaseTime;
  const double ms = static_cast<double>(bytes) / bytes_per_s_ * kMsPerSecond;
  return std::max(kMinReleaseTime, Millis(std::llround(ms)));
}

}  // namespace mimosarail::coordinator
