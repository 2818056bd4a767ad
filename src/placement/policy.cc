#include "src/placement/policy.h"

#include <algorithm>
#include <limits>
#include <random>

namespace mimosarail::placement {
namespace {

/// The total capacity divided by this number is reserved for urgent work.
constexpr int32_t kReserveDivisor = 40;

/// An absent or empty list permits every value.
bool Permits(const std::vector<std::string>* list, const std::string& value) {
  if (list == nullptr || list->empty()) return true;
  return std::find(list->begin(), list->end(), value) != list->end();
}

bool Fits(const CapacityTable& table, CapacityIndex index,
          const PlacementRequest& request) {
  const UpstreamCapacity& upstream = table.upstream(index);
  return upstream.usable && request.size.FitsIn(upstream.free) &&
         table.MayReceiveTask(index, request.now);
}

/// Scores upstreams for a task; the upstream with the lowest score is the best.
class Scorer {
 public:
  Scorer(const CapacityTable& table, const PlacementRequest& request)
      : table_(table), request_(request) {}

  double Score(CapacityIndex index) const {
    return request_.spread ? SpreadScore(index) : PackScore(index);
  }

 private:
  static constexpr double kDomainWeight = 100.0;
  static constexpr double kRackWeight = 10.0;
  static constexpr double kImbalanceWeight = 1.0;
  static constexpr double kAcceleratorWeight = 2.0;
  static constexpr double kFailureWeight = 0.5;

  /// Share of the upstream's capacity that is free after the task is placed; 0
  /// if the upstream has no capacity in this dimension.
  double FreeShareAfter(const UpstreamCapacity& upstream, Dimension d) const {
    if (upstream.capacity[d] == 0) return 0.0;
    return static_cast<double>(upstream.free[d] - request_.size[d]) /
           upstream.capacity[d];
  }

  /// Lower the less capacity is left after the task is placed, and the more
  /// evenly over the dimensions.
  double PackScore(CapacityIndex index) const {
    const UpstreamCapacity& upstream = table_.upstream(index);
    const double cores = FreeShareAfter(upstream, Dimension::kCores);
    const double memory = FreeShareAfter(upstream, Dimension::kMemory);
    const double slots = FreeShareAfter(upstream, Dimension::kSlots);
    const double max_share = std::max({cores, memory, slots});
    const double min_share = std::min({cores, memory, slots});
    return cores + memory + slots + kImbalanceWeight * (max_share - min_share) +
           AcceleratorPenalty(upstream) + kFailureWeight * upstream.failures;
  }

  /// Penalty for a task that needs no accelerators on an upstream that has free
  /// ones: it could fill the upstream and so block them for tasks that need
  /// them.
  double AcceleratorPenalty(const UpstreamCapacity& upstream) const {
    if (request_.size[Dimension::kAccelerators] > 0) return 0.0;
    return upstream.free[Dimension::kAccelerators] > 0 ? kAcceleratorWeight
                                                       : 0.0;
  }

  /// Lower for failure domains, then racks, then upstreams with fewer tasks of
  /// the group, and for upstreams with more capacity left.
  double SpreadScore(CapacityIndex index) const {
    const UpstreamCapacity& upstream = table_.upstream(index);
    const Rack& rack = table_.racks()[upstream.rack];
    return kDomainWeight *
               table_.GroupTasksInDomain(request_.group, rack.failure_domain) +
           kRackWeight *
               table_.GroupTasksInRack(request_.group, upstream.rack) +
           table_.GroupTasksOnUpstream(request_.group, index) -
           FreeShareAfter(upstream, Dimension::kCores) -
           FreeShareAfter(upstream, Dimension::kSlots) +
           AcceleratorPenalty(upstream) + kFailureWeight * upstream.failures;
  }

  const CapacityTable& table_;
  const PlacementRequest& request_;
};

/// Scans the racks from a random start and stops once it has scored
/// kMaxCandidates fitting upstreams, at the end of a rack. The cost of a
/// decision thus depends on how scarce free capacity is, not on the number of
/// upstreams.
class ScoredPolicy final : public Policy {
 public:
  explicit ScoredPolicy(uint64_t seed) : random_(seed) {}

 protected:
  CapacityIndex ChooseUpstream(const CapacityTable& table,
                               const PlacementRequest& request) override {
    const auto& racks = table.racks();
    if (racks.empty()) return kNoCapacityIndex;
    const Scorer scorer(table, request);
    const size_t first = random_() % racks.size();
    CapacityIndex best = kNoCapacityIndex;
    double best_score = std::numeric_limits<double>::max();
    size_t candidates = 0;
    for (size_t i = 0; i < racks.size() && candidates < kMaxCandidates; ++i) {
      const Rack& rack = racks[(first + i) % racks.size()];
      if (!request.size.FitsIn(rack.max_free) || !Allows(request, rack)) {
        continue;
      }
      for (const CapacityIndex index : rack.upstreams) {
        if (!Fits(table, index, request)) continue;
        ++candidates;
        const double score = scorer.Score(index);
        if (score < best_score) {
          best_score = score;
          best = index;
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
  CapacityIndex ChooseUpstream(const CapacityTable& table,
                               const PlacementRequest& request) override {
    for (const Rack& rack : table.racks()) {
      if (!Allows(request, rack)) continue;
      for (const CapacityIndex index : rack.upstreams) {
        if (Fits(table, index, request)) return index;
      }
    }
    return kNoCapacityIndex;
  }
};

std::vector<CapacityIndex> AllFitting(const CapacityTable& table,
                                      const PlacementRequest& request) {
  std::vector<CapacityIndex> out;
  for (const Rack& rack : table.racks()) {
    if (!Allows(request, rack)) continue;
    for (const CapacityIndex index : rack.upstreams) {
      if (Fits(table, index, request)) out.push_back(index);
    }
  }
  return out;
}

class RandomFitPolicy final : public Policy {
 public:
  explicit RandomFitPolicy(uint64_t seed) : random_(seed) {}

 protected:
  CapacityIndex ChooseUpstream(const CapacityTable& table,
                               const PlacementRequest& request) override {
    const std::vector<CapacityIndex> fitting = AllFitting(table, request);
    return fitting.empty() ? kNoCapacityIndex
                           : fitting[random_() % fitting.size()];
  }

 private:
  std::mt19937_64 random_;
};

class BestOfTwoPolicy final : public Policy {
 public:
  explicit BestOfTwoPolicy(uint64_t seed) : random_(seed) {}

 protected:
  CapacityIndex ChooseUpstream(const CapacityTable& table,
                               const PlacementRequest& request) override {
    const std::vector<CapacityIndex> fitting = AllFitting(table, request);
    if (fitting.empty()) return kNoCapacityIndex;
    const CapacityIndex a = fitting[random_() % fitting.size()];
    const CapacityIndex b = fitting[random_() % fitting.size()];
    return table.upstream(a).tasks <= table.upstream(b).tasks ? a : b;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace

bool Allows(const PlacementRequest& request, const Rack& rack) {
  return Permits(request.failure_domains, rack.failure_domain) &&
         Permits(request.racks, rack.name);
}

/// Whether the request leaves the reserve for urgent work free: a small share
/// of cores and slots that other work may not use, so that an urgent request
/// need not wait for a task to end.
bool LeavesReserve(const CapacityTable& table,
                   const PlacementRequest& request) {
  if (request.urgent) return true;
  const Amount free = table.total_free();
  const Amount capacity = table.total_capacity();
  for (const Dimension d : {Dimension::kCores, Dimension::kSlots}) {
    const int64_t demand = int64_t{request.size[d]} * request.tasks;
    // A request for more than half of the capacity is exempt, since it could
    // otherwise never start.
    if (2 * demand > capacity[d]) continue;
    const int64_t left = free[d] - demand;
    if (left < capacity[d] / kReserveDivisor) return false;
  }
  return true;
}

std::vector<CapacityIndex> Policy::Place(CapacityTable& table,
                                         const PlacementRequest& request) {
  std::vector<CapacityIndex> out;
  if (!LeavesReserve(table, request)) return out;
  for (int32_t i = 0; i < request.tasks; ++i) {
    const CapacityIndex index = ChooseUpstream(table, request);
    if (index == kNoCapacityIndex ||
        !table.Reserve(index, request.size, request.group)) {
      break;
    }
    out.push_back(index);
  }
  if (out.size() == static_cast<size_t>(request.tasks)) return out;
  for (const CapacityIndex index : out) {
    table.Release(index, request.size, request.group);
  }
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

std::string ExplainNoCapacity(const CapacityTable& table,
                              const PlacementRequest& request) {
  CapacityIndex closest = kNoCapacityIndex;
  size_t fewest_missing = kDimensions + 1;
  int32_t allowed = 0;
  for (const Rack& rack : table.racks()) {
    if (!Allows(request, rack)) continue;
    for (const CapacityIndex index : rack.upstreams) {
      const UpstreamCapacity& upstream = table.upstream(index);
      if (!upstream.usable) continue;
      ++allowed;
      size_t missing = 0;
      for (size_t d = 0; d < kDimensions; ++d) {
        if (request.size.values[d] > upstream.free.values[d]) ++missing;
      }
      if (missing < fewest_missing) {
        fewest_missing = missing;
        closest = index;
      }
    }
  }
  if (closest == kNoCapacityIndex) {
    return "no usable upstream meets the constraints";
  }
  const UpstreamCapacity& upstream = table.upstream(closest);
  if (fewest_missing == 0 && !request.urgent && request.tasks == 1) {
    return "the remaining free capacity is reserved for urgent work, or "
           "belongs to upstreams on probation after failures";
  }
  if (fewest_missing == 0) {
    return request.tasks > 1
               ? "not all " + std::to_string(request.tasks) +
                     " tasks fit at once on " + std::to_string(allowed) +
                     " upstreams"
               : "fitting upstreams are on probation after failures";
  }
  std::string out = "closest upstream is " + upstream.name + ":";
  for (size_t d = 0; d < kDimensions; ++d) {
    if (request.size.values[d] <= upstream.free.values[d]) continue;
    out += " needs " + std::to_string(request.size.values[d]) + " " +
           std::string(kDimensionNames.Name(static_cast<Dimension>(d))) +
           ", free " + std::to_string(upstream.free.values[d]) + ";";
  }
  out.pop_back();
  return out;
}

}  // namespace mimosarail::placement
