#include "src/leadership/live_replacements.h"

#include <algorithm>
#include <utility>

#include "src/leadership/election_timeout.h"

namespace mimosarail::leadership {
namespace {

/// Replacements of live leaders that do not lengthen the time before the next.
constexpr int32_t kFreeReplacements = 1;

}  // namespace

int32_t LiveReplacementsBefore(const std::optional<wire::AnnounceCall>& record,
                               Millis term_duration) {
  if (!record || term_duration >= kReplacementMemory) return 0;
  return std::clamp(record->replaced_alive, 0,
                    kMaxTimeoutDoublings + kFreeReplacements);
}

int32_t DoublingsAfterReplacements(
    const std::optional<wire::AnnounceCall>& record) {
  const int32_t replacements = LiveReplacementsBefore(record, Millis(0));
  return std::max(0, replacements - kFreeReplacements);
}

void LiveReplacements::BeginTerm(std::string predecessor, int32_t before,
                                 TimePoint now) {
  predecessor_ = std::move(predecessor);
  count_ = before;
  began_ = now;
}

bool LiveReplacements::OnHeartbeat(const std::string& name, TimePoint now) {
  if (predecessor_.empty() || name != predecessor_) return false;
  predecessor_.clear();
  if (now - began_ > kNoticePeriod) return false;
  ++count_;
  return true;
}

}  // namespace mimosarail::leadership
