#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/placement/room.h"

namespace mimosarail::placement {

/// A request to place `tasks` equal tasks, either all of them or none.
struct PlacementRequest {
  Amount size;
  int32_t tasks = 1;
  bool spread = false;
  /// Tasks of the same group are spread if `spread` is set; 0 for no group.
  uint64_t group = 0;
  const std::vector<std::string>* failure_domains = nullptr;
  const std::vector<std::string>* racks = nullptr;
  TimePoint now{};
  /// Whether the capacity reserved for urgent work may be used.
  bool urgent = false;
};

/// Whether the rack meets the constraints on failure domains and racks.
bool Allows(const PlacementRequest& ask, const Rack& rack);

/// Chooses rows for tasks and reserves resources on them. Not thread-safe.
class Policy {
 public:
  virtual ~Policy() = default;
  /// Reserves resources in `room` and returns one row per task. Returns an
  /// empty list and reserves nothing if not all tasks fit.
  std::vector<RowId> Place(Room& room, const PlacementRequest& ask);

 protected:
  /// Returns the row for one more task, or kNoRow.
  virtual RowId ChooseOne(const Room& room, const PlacementRequest& ask) = 0;
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
std::string ExplainNoCapacity(const Room& room, const PlacementRequest& ask);

}  // namespace mimosarail::placement
