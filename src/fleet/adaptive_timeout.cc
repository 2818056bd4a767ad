#include "src/fleet/adaptive_timeout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosarail::fleet {
namespace {

/// Weights of a new sample and factor of the deviation, from RFC 6298.
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviationFactor = 4;
/// Maximum number of doublings. In all settings in use, fewer doublings lead
/// from the minimum to the maximum.
constexpr int kMaxDoublings = 10;

}  // namespace

void AdaptiveTimeout::AddSample(Clock::duration reply_time) {
  const Seconds sample = reply_time;
  timeouts_ = 0;
  if (!std::exchange(known_, true)) {
    mean_ = sample;
    deviation_ = sample / 2;
    return;
  }
  const Seconds error(std::abs((sample - mean_).count()));
  deviation_ += kDeviationGain * (error - deviation_);
  mean_ += kMeanGain * (sample - mean_);
}

void AdaptiveTimeout::AddTimeout() {
  timeouts_ = std::min(timeouts_ + 1, kMaxDoublings);
}

Millis AdaptiveTimeout::timeout() const {
  if (!known_) return max_;
  const auto expected =
      std::chrono::ceil<Millis>(mean_ + kDeviationFactor * deviation_);
  return std::min(std::max(expected, min_) * (1 << timeouts_), max_);
}

}  // namespace mimosarail::fleet
