#include "src/fleet/adaptive_timeout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosarail::fleet {
namespace {

/// Weights of a new sample and the factor of the deviation, from RFC 6298.
constexpr double kUsualGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviations = 4;
/// More doublings than from the least to the most limit that anybody sets.
constexpr int kMaxMisses = 10;

}  // namespace

void AdaptiveTimeout::AddSample(Clock::duration took) {
  const Seconds sample = took;
  misses_ = 0;
  if (!std::exchange(known_, true)) {
    usual_ = sample;
    deviation_ = sample / 2;
    return;
  }
  const Seconds off(std::abs((sample - usual_).count()));
  deviation_ += kDeviationGain * (off - deviation_);
  usual_ += kUsualGain * (sample - usual_);
}

void AdaptiveTimeout::AddTimeout() {
  misses_ = std::min(misses_ + 1, kMaxMisses);
}

Millis AdaptiveTimeout::limit() const {
  if (!known_) return most_;
  const auto expected =
      std::chrono::ceil<Millis>(usual_ + kDeviations * deviation_);
  return std::min(std::max(expected, least_) * (1 << misses_), most_);
}

}  // namespace mimosarail::fleet
