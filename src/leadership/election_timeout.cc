#include "src/leadership/election_timeout.h"

#include <algorithm>

namespace mimosarail::leadership {

Millis ElectionTimeout(Millis base,
                       const std::optional<wire::AnnounceCall>& record) {
  return base * (1 << UnstableTerms(record));
}

int32_t UnstableTerms(const std::optional<wire::AnnounceCall>& record) {
  if (!record || record->stable) return 0;
  return std::clamp(record->unstable_terms, 0, kMaxTimeoutDoublings);
}

int32_t UnstableTermsAfter(const std::optional<wire::AnnounceCall>& record) {
  if (!record || record->stable) return 0;
  return std::min(UnstableTerms(record) + 1, kMaxTimeoutDoublings);
}

}  // namespace mimosarail::leadership
