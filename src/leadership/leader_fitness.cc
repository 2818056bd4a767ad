#include "src/leadership/leader_fitness.h"

#include <algorithm>
#include <cmath>

namespace mimosarail::leadership {
namespace {

/// State that a new leader loads: 2,000 open jobs of 2.5 kB.
constexpr double kLoadedBytes = 2000 * 2500.0;
/// Starts, renewals and records that a leader of 350 upstreams exchanges in a
/// second.
constexpr double kLeadingBytesPerSecond = 1.5e6;
/// Longest time in which a sufficient link transfers the state and the traffic
/// of the first second. Callers are not served before that.
constexpr double kSufficientSeconds = 0.6;
constexpr double kBytesPerMbit = 125000;

}  // namespace

int32_t LeaderFitness(int64_t cpu_percent, double link_mbps) {
  const auto share = static_cast<int32_t>(cpu_percent);
  if (link_mbps <= 0 || share <= 0) return share;
  const double seconds =
      (kLoadedBytes + kLeadingBytesPerSecond) / (link_mbps * kBytesPerMbit);
  if (seconds <= kSufficientSeconds) return share;
  const double reduced =
      static_cast<double>(cpu_percent) * kSufficientSeconds / seconds;
  return std::max(1, static_cast<int32_t>(std::lround(reduced)));
}

int32_t FitnessRank(const wire::Member& self,
                    const std::vector<wire::Member>& members,
                    const std::string& former_leader) {
  const auto fitter = [&](const wire::Member& other) {
    return other.fitness > self.fitness && other.address != former_leader;
  };
  return 1 + static_cast<int32_t>(
                 std::count_if(members.begin(), members.end(), fitter));
}

}  // namespace mimosarail::leadership
