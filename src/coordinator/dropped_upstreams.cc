#include "src/coordinator/dropped_upstreams.h"

#include <algorithm>

namespace mimosarail::coordinator {

void DroppedUpstreams::Add(const std::string& id,
                           const DroppedUpstream& dropped) {
  dropped_.insert_or_assign(id, dropped);
  if (dropped_.size() > max_upstreams_) RemoveOldest();
}

std::optional<DroppedUpstream> DroppedUpstreams::TakeAnswering(
    const std::string& id, int64_t incarnation) {
  const auto found = dropped_.find(id);
  if (found == dropped_.end()) return std::nullopt;
  const DroppedUpstream dropped = found->second;
  dropped_.erase(found);
  if (dropped.incarnation != incarnation) return std::nullopt;
  return dropped;
}

void DroppedUpstreams::RemoveOldest() {
  const auto oldest = std::min_element(
      dropped_.begin(), dropped_.end(), [](const auto& a, const auto& b) {
        return a.second.dropped_at < b.second.dropped_at;
      });
  dropped_.erase(oldest);
}

}  // namespace mimosarail::coordinator
