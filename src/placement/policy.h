#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/placement/capacity_table.h"

namespace mimosarail::placement {

/// A request to place `tasks` equal tasks, either all of them or none.
struct PlacementRequest {
  /// Resources of each task.
  Amount size;
  int32_t tasks = 1;
  bool spread = false;
  /// Tasks of the same group are spread if `spread` is set; 0 for no group.
  uint64_t group = 0;
  /// Allowed failure domains and racks; null or empty for all. Not owned.
  const std::vector<std::string>* failure_domains = nullptr;
  const std::vector<std::string>* racks = nullptr;
  TimePoint now{};
  /// Whether the capacity reserved for urgent work may be used.
  bool urgent = false;
};

/// Whether the rack meets the constraints on failure domains and racks.
bool Allows(const PlacementRequest& request, const Rack& rack);

/// Chooses upstreams for tasks and reserves resources on them. Not thread-safe.
class Policy {
 public:
  virtual ~Policy() = default;
  /// Reserves resources in `table` and returns one upstream per task. Returns
  /// an empty list and reserves nothing if not all tasks fit.
  std::vector<CapacityIndex> Place(CapacityTable& table,
                                   const PlacementRequest& request);

 protected:
  /// Returns the upstream for one more task, or kNoCapacityIndex.
  virtual CapacityIndex ChooseUpstream(const CapacityTable& table,
                                       const PlacementRequest& request) = 0;
};

/// The policy used in production: approximate best fit over all dimensions.
/// Keeps accelerators free for tasks that need them, and spreads groups if
/// requested.
std::unique_ptr<Policy> MakeScoredPolicy(uint64_t seed);

/// Baselines for benchmarks.
std::unique_ptr<Policy> MakeFirstFitPolicy();
std::unique_ptr<Policy> MakeRandomFitPolicy(uint64_t seed);
std::unique_ptr<Policy> MakeBestOfTwoPolicy(uint64_t seed);

/// Explains why the request does not fit now, and names the upstream that comes
/// closest.
std::string ExplainNoCapacity(const CapacityTable& table,
                              const PlacementRequest& request);

}  // namespace mimosarail::placement
