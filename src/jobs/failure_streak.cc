#include "src/jobs/failure_streak.h"

#include <algorithm>

namespace mimosarail {

void FailureStreak::NoteFailure(Millis lasted, int weight) {
  length_ += weight;
  longest_run_ = std::max(longest_run_, lasted);
}

bool FailureStreak::IsOverAfter(Millis lasted) const {
  return lasted >=
         std::clamp(kProofFactor * longest_run_, kMinProofTime, kMaxProofTime);
}

}  // namespace mimosarail
