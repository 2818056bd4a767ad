#include "src/placement/policy.h"

#include <algorithm>
#include <limits>
#include <random>

namespace mimosarail::placement {
namespace {

/// The total capacity divided by this number is reserved for urgent work.
constexpr int32_t kReserveDivisor = 40;

bool Contains(const std::vector<std::string>* list, const std::string& value) {
  if (list == nullptr || list->empty()) return true;
  return std::find(list->begin(), list->end(), value) != list->end();
}

bool Fits(const Room& room, RowId id, const PlacementRequest& ask) {
  const Row& row = room.row(id);
  return row.usable && ask.size.FitsIn(row.free) && room.MayTryNow(id, ask.now);
}

/// Rates rows for a task; the row with the lowest score is the best.
class Scorer {
 public:
  Scorer(const Room& room, const PlacementRequest& ask)
      : room_(room), ask_(ask) {}

  double Score(RowId id) const { return ask_.spread ? Spread(id) : Pack(id); }

 private:
  static constexpr double kDomainWeight = 100.0;
  static constexpr double kRackWeight = 10.0;
  static constexpr double kImbalanceWeight = 1.0;
  static constexpr double kAcceleratorWeight = 2.0;
  static constexpr double kFailureWeight = 0.5;

  /// Share of the row's capacity that is free after the task is placed; 0 if
  /// the row has no capacity in this dimension.
  double ShareLeft(const Row& row, Dimension d) const {
    if (row.capacity[d] == 0) return 0.0;
    return static_cast<double>(row.free[d] - ask_.size[d]) / row.capacity[d];
  }

  double Pack(RowId id) const {
    const Row& row = room_.row(id);
    const double cores = ShareLeft(row, Dimension::kCores);
    const double memory = ShareLeft(row, Dimension::kMemory);
    const double slots = ShareLeft(row, Dimension::kSlots);
    const double max_share = std::max({cores, memory, slots});
    const double min_share = std::min({cores, memory, slots});
    return cores + memory + slots + kImbalanceWeight * (max_share - min_share) +
           Accelerators(row) + kFailureWeight * row.failures;
  }

  /// Penalty for a task that needs no accelerators on a row that has free ones:
  /// it could fill the row and so block them for tasks that need them.
  double Accelerators(const Row& row) const {
    if (ask_.size[Dimension::kAccelerators] > 0) return 0.0;
    return row.free[Dimension::kAccelerators] > 0 ? kAcceleratorWeight : 0.0;
  }

  double Spread(RowId id) const {
    const Row& row = room_.row(id);
    const Rack& rack = room_.racks()[row.rack];
    return kDomainWeight *
               room_.GroupInDomain(ask_.group, rack.failure_domain) +
           kRackWeight * room_.GroupInRack(ask_.group, row.rack) +
           room_.GroupOnRow(ask_.group, id) -
           ShareLeft(row, Dimension::kCores) -
           ShareLeft(row, Dimension::kSlots) + Accelerators(row) +
           kFailureWeight * row.failures;
  }

  const Room& room_;
  const PlacementRequest& ask_;
};

/// Scans the racks from a random start and stops once it has scored
/// kMaxCandidates fitting rows, at the end of a rack. The cost of a decision
/// thus depends on how scarce free capacity is, not on the number of
/// upstreams.
class ScoredPolicy final : public Policy {
 public:
  explicit ScoredPolicy(uint64_t seed) : random_(seed) {}

 protected:
  RowId ChooseOne(const Room& room, const PlacementRequest& ask) override {
    const auto& racks = room.racks();
    if (racks.empty()) return kNoRow;
    const Scorer scorer(room, ask);
    const size_t first = random_() % racks.size();
    RowId best = kNoRow;
    double best_score = std::numeric_limits<double>::max();
    size_t candidates = 0;
    for (size_t i = 0; i < racks.size() && candidates < kMaxCandidates; ++i) {
      const Rack& rack = racks[(first + i) % racks.size()];
      if (!ask.size.FitsIn(rack.most_free) || !Allows(ask, rack)) continue;
      for (const RowId id : rack.rows) {
        if (!Fits(room, id, ask)) continue;
        ++candidates;
        const double score = scorer.Score(id);
        if (score < best_score) {
          best_score = score;
          best = id;
        }
      }
    }
    return best;
  }

 private:
  static constexpr size_t kMaxCandidates = 64;
  std::mt19937_64 random_;
};

class FirstFitPolicy final : public Policy {
 protected:
  RowId ChooseOne(const Room& room, const PlacementRequest& ask) override {
    for (const Rack& rack : room.racks()) {
      if (!Allows(ask, rack)) continue;
      for (const RowId id : rack.rows) {
        if (Fits(room, id, ask)) return id;
      }
    }
    return kNoRow;
  }
};

std::vector<RowId> AllFitting(const Room& room, const PlacementRequest& ask) {
  std::vector<RowId> out;
  for (const Rack& rack : room.racks()) {
    if (!Allows(ask, rack)) continue;
    for (const RowId id : rack.rows) {
      if (Fits(room, id, ask)) out.push_back(id);
    }
  }
  return out;
}

class RandomFitPolicy final : public Policy {
 public:
  explicit RandomFitPolicy(uint64_t seed) : random_(seed) {}

 protected:
  RowId ChooseOne(const Room& room, const PlacementRequest& ask) override {
    const std::vector<RowId> fitting = AllFitting(room, ask);
    return fitting.empty() ? kNoRow : fitting[random_() % fitting.size()];
  }

 private:
  std::mt19937_64 random_;
};

class BestOfTwoPolicy final : public Policy {
 public:
  explicit BestOfTwoPolicy(uint64_t seed) : random_(seed) {}

 protected:
  RowId ChooseOne(const Room& room, const PlacementRequest& ask) override {
    const std::vector<RowId> fitting = AllFitting(room, ask);
    if (fitting.empty()) return kNoRow;
    const RowId a = fitting[random_() % fitting.size()];
    const RowId b = fitting[random_() % fitting.size()];
    return room.row(a).tasks <= room.row(b).tasks ? a : b;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace

bool Allows(const PlacementRequest& ask, const Rack& rack) {
  return Contains(ask.failure_domains, rack.failure_domain) &&
         Contains(ask.racks, rack.name);
}

/// Whether the request leaves the reserve for urgent work free. Work that is
/// not urgent leaves a small share of cores and slots, so that an urgent
/// request need not wait for a task to end.
bool LeavesReserve(const Room& room, const PlacementRequest& ask) {
  if (ask.urgent) return true;
  const Amount free = room.total_free();
  const Amount capacity = room.total_capacity();
  for (const Dimension d : {Dimension::kCores, Dimension::kSlots}) {
    const int64_t wanted = int64_t{ask.size[d]} * ask.tasks;
    // A request for more than half of the capacity is exempt, since it could
    // otherwise never start.
    if (2 * wanted > capacity[d]) continue;
    const int64_t left = free[d] - wanted;
    if (left < capacity[d] / kReserveDivisor) return false;
  }
  return true;
}

std::vector<RowId> Policy::Place(Room& room, const PlacementRequest& ask) {
  std::vector<RowId> out;
  if (!LeavesReserve(room, ask)) return out;
  for (int32_t i = 0; i < ask.tasks; ++i) {
    const RowId id = ChooseOne(room, ask);
    if (id == kNoRow || !room.Take(id, ask.size, ask.group)) break;
    out.push_back(id);
  }
  if (out.size() == static_cast<size_t>(ask.tasks)) return out;
  for (const RowId id : out) room.Give(id, ask.size, ask.group);
  return {};
}

std::unique_ptr<Policy> MakeScoredPolicy(uint64_t seed) {
  return std::make_unique<ScoredPolicy>(seed);
}

std::unique_ptr<Policy> MakeFirstFitPolicy() {
  return std::make_unique<FirstFitPolicy>();
}

std::unique_ptr<Policy> MakeRandomFitPolicy(uint64_t seed) {
  return std::make_unique<RandomFitPolicy>(seed);
}

std::unique_ptr<Policy> MakeBestOfTwoPolicy(uint64_t seed) {
  return std::make_unique<BestOfTwoPolicy>(seed);
}

std::string ExplainNoCapacity(const Room& room, const PlacementRequest& ask) {
  RowId nearest = kNoRow;
  size_t nearest_short = kDimensions + 1;
  int32_t allowed = 0;
  for (const Rack& rack : room.racks()) {
    if (!Allows(ask, rack)) continue;
    for (const RowId id : rack.rows) {
      const Row& row = room.row(id);
      if (!row.usable) continue;
      ++allowed;
      size_t short_of = 0;
      for (size_t d = 0; d < kDimensions; ++d) {
        if (ask.size.of[d] > row.free.of[d]) ++short_of;
      }
      if (short_of < nearest_short) {
        nearest_short = short_of;
        nearest = id;
      }
    }
  }
  if (nearest == kNoRow) return "no usable upstream meets the constraints";
  const Row& row = room.row(nearest);
  if (nearest_short == 0 && !ask.urgent && ask.tasks == 1) {
    return "the remaining free capacity is reserved for urgent work, or its "
           "upstreams are on probation after failures";
  }
  if (nearest_short == 0) {
    return ask.tasks > 1 ? "not all " + std::to_string(ask.tasks) +
                               " tasks fit at once on " +
                               std::to_string(allowed) + " upstreams"
                         : "fitting upstreams are on probation after failures";
  }
  std::string out = "nearest is " + row.name + ":";
  for (size_t d = 0; d < kDimensions; ++d) {
    if (ask.size.of[d] <= row.free.of[d]) continue;
    out += " needs " + std::to_string(ask.size.of[d]) + " " +
           std::string(kDimensionNames.Name(static_cast<Dimension>(d))) +
           ", free " + std::to_string(row.free.of[d]) + ";";
  }
  out.pop_back();
  return out;
}

}  // namespace mimosarail::placement
