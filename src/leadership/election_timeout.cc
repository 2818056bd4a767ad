#include "src/leadership/election_timeout.h"

#include <algorithm>

#include "src/leadership/live_replacements.h"

namespace mimosarail::leadership {
namespace {

constexpr int kSaturatedFactor = 4;

}  // namespace

Millis ElectionTimeout(Millis base,
                       const std::optional<wire::AnnounceCall>& record) {
  const int32_t doublings =
      std::max(UnstableTerms(record), DoublingsAfterReplacements(record));
  return base * (1 << doublings);
}

Millis UnresponsiveTimeout(Millis base,
                           const std::optional<wire::AnnounceCall>& record) {
  const Millis timeout = ElectionTimeout(base, record);
  const bool saturated = record && record->saturated;
  return saturated ? std::max(timeout, kSaturatedFactor * base) : timeout;
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
