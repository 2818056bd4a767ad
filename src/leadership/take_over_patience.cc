#include "src/leadership/take_over_patience.h"

#include <algorithm>

namespace mimosarail::leadership {

Millis Patience(Millis usual, const std::optional<wire::AnnounceCall>& record) {
  return usual * (1 << UnsettledTerms(record));
}

int32_t UnsettledTerms(const std::optional<wire::AnnounceCall>& record) {
  if (!record || record->settled) return 0;
  return std::clamp(record->unsettled_terms, 0, kMostPatienceDoublings);
}

int32_t UnsettledTermsAfter(const std::optional<wire::AnnounceCall>& record) {
  if (!record || record->settled) return 0;
  return std::min(UnsettledTerms(record) + 1, kMostPatienceDoublings);
}

}  // namespace mimosarail::leadership
