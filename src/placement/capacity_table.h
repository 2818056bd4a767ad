#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/placement/amount.h"

namespace mimosarail::placement {

/// Identifies an upstream in a CapacityTable; reused after its removal.
using CapacityIndex = uint32_t;
inline constexpr CapacityIndex kNoCapacityIndex = UINT32_MAX;

/// Capacity of an upstream and whether it may get new tasks.
struct UpstreamCapacity {
  std::string name;
  /// Index into CapacityTable::racks().
  uint32_t rack = 0;
  Amount capacity;
  Amount free;
  /// Whether the upstream may get new tasks: it is attached, its tasks are
  /// known and it is not leaving.
  bool usable = false;
  /// Number of tasks with a reservation here.
  int32_t tasks = 0;
  /// Consecutive failures since the last success; see
  /// CapacityTable::NoteFailure().
  int32_t failures = 0;
  /// Earliest time of the next probe; see CapacityTable::NoteFailure().
  TimePoint probe_after{};
};

struct Rack {
  std::string name;
  std::string failure_domain;
  std::vector<CapacityIndex> upstreams;
  /// Upper bound, per dimension, of the free capacity of each usable upstream.
  Amount max_free;
};

/// An upstream to add to a CapacityTable.
struct UpstreamSpec {
  std::string name;
  std::string rack;
  std::string failure_domain;
  Amount capacity;
};

/// Free capacity of the upstreams of one controller, indexed by rack. All
/// reservations of policies go through Reserve(), which refuses amounts that do
/// not fit, so that no policy can overcommit. Precondition of every method with
/// an index: Add() returned it, and Remove() was not called for it since. Not
/// thread-safe.
class CapacityTable {
 public:
  /// Adds an upstream, which is not usable yet.
  CapacityIndex Add(UpstreamSpec spec);
  /// Removes an upstream with its reservations.
  void Remove(CapacityIndex index);
  void SetUsable(CapacityIndex index, bool usable);
  void SetCapacity(CapacityIndex index, const Amount& capacity);

  /// Reserves an amount; returns false and reserves nothing if it does not fit
  /// or the upstream is not usable.
  bool Reserve(CapacityIndex index, const Amount& amount, uint64_t group = 0);
  /// Reserves the amount of a task that already runs there, even beyond the
  /// capacity.
  void ForceReserve(CapacityIndex index, const Amount& amount,
                    uint64_t group = 0);
  /// Releases a reservation of the same amount and group.
  void Release(CapacityIndex index, const Amount& amount, uint64_t group = 0);

  /// Counts a failure. An upstream on which tasks fail quickly looks idle and
  /// would attract all work, so after kProbeAfterFailures consecutive failures
  /// it gets only one task at a time, as a probe, after exponentially growing
  /// pauses.
  void NoteFailure(CapacityIndex index, TimePoint now);
  /// Resets the count of consecutive failures.
  void NoteSuccess(CapacityIndex index);
  /// Whether the failures of the upstream permit another task now.
  bool MayReceiveTask(CapacityIndex index, TimePoint now) const;

  const UpstreamCapacity& upstream(CapacityIndex index) const {
    return upstreams_[index];
  }
  const std::vector<UpstreamCapacity>& upstreams() const { return upstreams_; }
  const std::vector<Rack>& racks() const { return racks_; }
  /// Number of tasks of a group on an upstream, in a rack, in a failure domain.
  int32_t GroupTasksOnUpstream(uint64_t group, CapacityIndex index) const;
  int32_t GroupTasksInRack(uint64_t group, uint32_t rack) const;
  int32_t GroupTasksInDomain(uint64_t group, const std::string& domain) const;

  Amount total_free() const { return total_free_; }
  Amount total_capacity() const { return total_capacity_; }
  /// Largest free capacity of a usable upstream, per dimension.
  Amount MaxFree() const;

  static constexpr int32_t kProbeAfterFailures = 3;

 private:
  uint32_t RackIndex(const std::string& rack, const std::string& domain);
  void RecomputeMaxFree(uint32_t rack_index);
  /// Adds the upstream to the totals if `sign` is positive, else subtracts it.
  void AddToTotals(const UpstreamCapacity& upstream, int sign);
  void AddGroupTasks(CapacityIndex index, uint64_t group, int32_t change);

  std::vector<UpstreamCapacity> upstreams_;
  std::vector<Rack> racks_;
  std::vector<CapacityIndex> unused_indices_;
  std::unordered_map<std::string, uint32_t> rack_index_;
  /// Number of tasks by a hash of group and upstream, rack or failure domain.
  std::unordered_map<uint64_t, int32_t> group_tasks_;
  Amount total_free_;
  Amount total_capacity_;
};

}  // namespace mimosarail::placement
