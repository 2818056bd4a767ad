#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/placement/room.h"

namespace mimosarail::placement {

/// What is to be placed: `tasks` equal tasks, all or none.
struct Ask {
  Amount size;
  int32_t tasks = 1;
  bool spread = false;
  /// Tasks of one group are spread apart; 0 for none.
  uint64_t group = 0;
  const std::vector<std::string>* failure_domains = nullptr;
  const std::vector<std::string>* racks = nullptr;
  TimePoint now{};
  /// May use the room that is kept for urgent work.
  bool urgent = false;
};

/// Whether the rack satisfies the constraints of the ask.
bool Allows(const Ask& ask, const Rack& rack);

/// Decides where tasks go, and reserves there. Not thread-safe.
class Policy {
 public:
  virtual ~Policy() = default;
  /// One row a task, reserved in `room`; empty, with nothing reserved, if
  /// there is no room for all.
  std::vector<RowId> Place(Room& room, const Ask& ask);

 protected:
  /// The row for one more task, or kNoRow.
  virtual RowId ChooseOne(const Room& room, const Ask& ask) = 0;
};

/// The product's policy: relaxed best fit over all dimensions, keeping
/// accelerators for those that need them; spreads groups where asked to.
std::unique_ptr<Policy> MakeScoredPolicy(uint64_t seed);

/// Baselines for the benches.
std::unique_ptr<Policy> MakeFirstFitPolicy();
std::unique_ptr<Policy> MakeRandomFitPolicy(uint64_t seed);
std::unique_ptr<Policy> MakeBestOfTwoPolicy(uint64_t seed);

/// Why nothing fits now, naming the nearest miss.
std::string ExplainNoRoom(const Room& room, const Ask& ask);

}  // namespace mimosarail::placement
