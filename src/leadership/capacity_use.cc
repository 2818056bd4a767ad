#include "src/leadership/capacity_use.h"

#include <algorithm>
#include <utility>

namespace mimosarail::leadership {
namespace {

/// Share of the link from which on it counts as full. The bytes are counted
/// without headers of the network: a full link of 2 Mbit/s carried 0.84 of its
/// rate.
constexpr double kFullLink = 0.7;
/// The platform grants a process that is always ready to run 0.83 of its share.
constexpr double kFullProcessor = 0.75;

double Seconds(Clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void CapacityUse::Update(const ResourceTotals& totals, TimePoint now) {
  const auto updated_before = std::exchange(updated_at_, now);
  const ResourceTotals before = std::exchange(before_, totals);
  if (!updated_before || now <= *updated_before) return;
  if (limits_.link_bytes_per_s <= 0) return;
  const double seconds = Seconds(now - *updated_before);
  const auto bytes = static_cast<double>(std::max(
      totals.bytes_in - before.bytes_in, totals.bytes_out - before.bytes_out));
  const double link =
      bytes / (static_cast<double>(limits_.link_bytes_per_s) * seconds);
  constexpr double kPercent = 100;
  const double share = static_cast<double>(limits_.cpu_percent) / kPercent;
  const double processor = Seconds(totals.cpu - before.cpu) / seconds;
  const bool full =
      link >= kFullLink || (share > 0 && processor >= kFullProcessor * share);
  if (full) saturated_at_ = now;
}

bool CapacityUse::saturated(TimePoint now) const {
  return saturated_at_ && now - *saturated_at_ <= kMemory;
}

}  // namespace mimosarail::leadership
