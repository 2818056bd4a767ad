#include "src/coordinator/advice_lanes.h"

#include <algorithm>
#include <cmath>

namespace mimosarail::coordinator {

void AdviceLanes::SetEntries(const std::vector<std::string>& addresses,
                             TimePoint now) {
  std::erase_if(lanes_, [&](const auto& lane) {
    return std::find(addresses.begin(), addresses.end(), lane.first) ==
           addresses.end();
  });
  for (const std::string& address : addresses) lanes_.try_emplace(address);
  UpdateUrgentLanes(now);
}

void AdviceLanes::UpdateUrgentLanes(TimePoint now) {
  const auto urgent_calls =
      std::count_if(lanes_.begin(), lanes_.end(), [](const auto& lane) {
        return lane.second.busy && lane.second.urgent_call;
      });
  const std::chrono::duration<double> elapsed = now - peak_updated_at_;
  const std::chrono::duration<double> decay = kPeakDecay;
  urgent_peak_ = std::max(static_cast<double>(urgent_calls),
                          urgent_peak_ * std::exp(-(elapsed / decay)));
  peak_updated_at_ = now;
  const auto lane_count = static_cast<double>(lanes_.size());
  const int max_reserved =
      lanes_.size() < 2
          ? 0
          : static_cast<int>(std::ceil(kMaxUrgentShare * lane_count));
  int reserved =
      std::min(max_reserved,
               static_cast<int>(std::ceil(urgent_peak_)) + kUrgentHeadroom);
  for (auto& [address, lane] : lanes_) {
    lane.reserved_for_urgent = reserved-- > 0;
  }
}

scheduling::AdviceBudget AdviceLanes::Budget(TimePoint now) {
  UpdateUrgentLanes(now);
  scheduling::AdviceBudget out;
  for (const auto& [address, lane] : lanes_) {
    if (lane.busy || now < lane.backoff_until) continue;
    ++(lane.reserved_for_urgent ? out.urgent_only : out.any);
  }
  return out;
}

std::string AdviceLanes::Acquire(int32_t priority, TimePoint now) {
  Lane* best = nullptr;
  std::string best_address;
  for (auto& [address, lane] : lanes_) {
    if (lane.busy || now < lane.backoff_until) continue;
    if (lane.reserved_for_urgent && priority != 0) continue;
    if (best != nullptr && !lane.reserved_for_urgent) continue;
    best = &lane;
    best_address = address;
  }
  if (best == nullptr) return best_address;
  best->busy = true;
  best->urgent_call = priority == 0;
  return best_address;
}

void AdviceLanes::Release(const std::string& address, bool failed,
                          TimePoint now) {
  const auto lane = lanes_.find(address);
  if (lane == lanes_.end()) return;
  lane->second.busy = false;
  if (failed) lane->second.backoff_until = now + kFailureBackoff;
}

}  // namespace mimosarail::coordinator
