#include "src/fleet/adaptive_timeout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosarail::fleet {
namespace {

/// Weights of a new sample in the mean and in the mean deviation, and factor of
/// the deviation in the timeout. RFC 6298 recommends these values.
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviationFactor = 4;
/// Maximum number of doublings; it prevents an overflow. In all settings in
/// use, fewer doublings suffice to get from the minimum to the maximum.
constexpr int kMaxDoublings = 10;

}  // namespace

void AdaptiveTimeout::AddSample(Clock::duration reply_time) {
  const Seconds sample = reply_time;
  consecutive_timeouts_ = 0;
  if (!std::exchange(has_sample_, true)) {
    mean_reply_time_ = sample;
    mean_deviation_ = sample / 2;
    return;
  }
  const Seconds error(std::abs((sample - mean_reply_time_).count()));
  mean_deviation_ += kDeviationGain * (error - mean_deviation_);
  mean_reply_time_ += kMeanGain * (sample - mean_reply_time_);
}

void AdaptiveTimeout::AddTimeout() {
  consecutive_timeouts_ = std::min(consecutive_timeouts_ + 1, kMaxDoublings);
}

Millis AdaptiveTimeout::timeout() const {
  if (!has_sample_) return max_timeout_;
  const auto estimate = std::chrono::ceil<Millis>(
      mean_reply_time_ + kDeviationFactor * mean_deviation_);
  return std::min(
      std::max(estimate, min_timeout_) * (1 << consecutive_timeouts_),
      max_timeout_);
}

}  // namespace mimosarail::fleet
