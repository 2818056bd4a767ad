#include "src/placement/capacity_table.h"

#include "src/libs/base/digest.h"
#include "src/libs/base/soft_assert.h"

namespace mimosarail::placement {
namespace {

constexpr Millis kInitialProbeBackoff{1000};
constexpr int32_t kMaxProbeDoublings = 6;

/// What a number of tasks of a group is counted for.
enum class Scope : uint64_t { kUpstream = 1, kRack = 2, kDomain = 3 };

uint64_t GroupKey(uint64_t group, Scope scope, uint64_t location) {
  constexpr uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;
  uint64_t key =
      group * kGoldenRatio ^ (static_cast<uint64_t>(scope) << 60U) ^ location;
  key ^= key >> 31U;
  return key * kGoldenRatio;
}

}  // namespace

CapacityIndex CapacityTable::Add(UpstreamSpec spec) {
  CapacityIndex index = 0;
  if (unused_indices_.empty()) {
    index = static_cast<CapacityIndex>(upstreams_.size());
    upstreams_.emplace_back();
  } else {
    index = unused_indices_.back();
    unused_indices_.pop_back();
  }
  UpstreamCapacity& upstream = upstreams_[index];
  upstream = UpstreamCapacity{.name = std::move(spec.name),
                              .rack = RackIndex(spec.rack, spec.failure_domain),
                              .capacity = spec.capacity,
                              .free = spec.capacity};
  racks_[upstream.rack].upstreams.push_back(index);
  return index;
}

void CapacityTable::Remove(CapacityIndex index) {
  SetUsable(index, false);
  UpstreamCapacity& upstream = upstreams_[index];
  std::erase(racks_[upstream.rack].upstreams, index);
  upstream = UpstreamCapacity{};
  unused_indices_.push_back(index);
}

uint32_t CapacityTable::RackIndex(const std::string& rack,
                                  const std::string& domain) {
  const auto [found, fresh] =
      rack_index_.emplace(rack, static_cast<uint32_t>(racks_.size()));
  if (fresh) racks_.push_back({.name = rack, .failure_domain = domain});
  return found->second;
}

void CapacityTable::AddToTotals(const UpstreamCapacity& upstream, int sign) {
  if (sign > 0) {
    total_free_ += upstream.free;
    total_capacity_ += upstream.capacity;
  } else {
    total_free_ -= upstream.free;
    total_capacity_ -= upstream.capacity;
  }
}

void CapacityTable::SetUsable(CapacityIndex index, bool usable) {
  UpstreamCapacity& upstream = upstreams_[index];
  if (upstream.usable == usable) return;
  upstream.usable = usable;
  AddToTotals(upstream, usable ? 1 : -1);
  RecomputeMaxFree(upstream.rack);
}

void CapacityTable::SetCapacity(CapacityIndex index, const Amount& capacity) {
  UpstreamCapacity& upstream = upstreams_[index];
  if (upstream.capacity == capacity) return;
  if (upstream.usable) AddToTotals(upstream, -1);
  upstream.free += capacity;
  upstream.free -= upstream.capacity;
  upstream.capacity = capacity;
  if (upstream.usable) AddToTotals(upstream, 1);
  RecomputeMaxFree(upstream.rack);
}

bool CapacityTable::Reserve(CapacityIndex index, const Amount& amount,
                            uint64_t group) {
  const UpstreamCapacity& upstream = upstreams_[index];
  if (!upstream.usable || !amount.FitsIn(upstream.free)) return false;
  ForceReserve(index, amount, group);
  return true;
}

void CapacityTable::ForceReserve(CapacityIndex index, const Amount& amount,
                                 uint64_t group) {
  UpstreamCapacity& upstream = upstreams_[index];
  upstream.free -= amount;
  ++upstream.tasks;
  if (upstream.usable) total_free_ -= amount;
  if (group != 0) AddGroupTasks(index, group, 1);
  RecomputeMaxFree(upstream.rack);
}

void CapacityTable::Release(CapacityIndex index, const Amount& amount,
                            uint64_t group) {
  UpstreamCapacity& upstream = upstreams_[index];
  MR_EXPECT(upstream.tasks > 0, return );
  upstream.free += amount;
  --upstream.tasks;
  if (upstream.usable) total_free_ += amount;
  if (group != 0) AddGroupTasks(index, group, -1);
  racks_[upstream.rack].max_free.RaiseTo(upstream.usable ? upstream.free
                                                         : Amount{});
}

void CapacityTable::RecomputeMaxFree(uint32_t rack_index) {
  Rack& rack = racks_[rack_index];
  rack.max_free = Amount{};
  for (const CapacityIndex index : rack.upstreams) {
    if (upstreams_[index].usable) rack.max_free.RaiseTo(upstreams_[index].free);
  }
}

void CapacityTable::AddGroupTasks(CapacityIndex index, uint64_t group,
                                  int32_t change) {
  const UpstreamCapacity& upstream = upstreams_[index];
  const uint64_t domain = Hash64(racks_[upstream.rack].failure_domain);
  for (const uint64_t key : {GroupKey(group, Scope::kUpstream, index),
                             GroupKey(group, Scope::kRack, upstream.rack),
                             GroupKey(group, Scope::kDomain, domain)}) {
    int32_t& count = group_tasks_[key];
    count += change;
    if (count <= 0) group_tasks_.erase(key);
  }
}

namespace {
int32_t CountOf(const std::unordered_map<uint64_t, int32_t>& counts,
                uint64_t key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}
}  // namespace

int32_t CapacityTable::GroupTasksOnUpstream(uint64_t group,
                                            CapacityIndex index) const {
  return CountOf(group_tasks_, GroupKey(group, Scope::kUpstream, index));
}

int32_t CapacityTable::GroupTasksInRack(uint64_t group, uint32_t rack) const {
  return CountOf(group_tasks_, GroupKey(group, Scope::kRack, rack));
}

int32_t CapacityTable::GroupTasksInDomain(uint64_t group,
                                          const std::string& domain) const {
  return CountOf(group_tasks_, GroupKey(group, Scope::kDomain, Hash64(domain)));
}

void CapacityTable::NoteFailure(CapacityIndex index, TimePoint now) {
  UpstreamCapacity& upstream = upstreams_[index];
  ++upstream.failures;
  const int32_t doublings = std::min(
      std::max(upstream.failures - kProbeAfterFailures, 0), kMaxProbeDoublings);
  upstream.probe_after = now + kInitialProbeBackoff * (1 << doublings);
}

void CapacityTable::NoteSuccess(CapacityIndex index) {
  upstreams_[index].failures = 0;
}

bool CapacityTable::MayReceiveTask(CapacityIndex index, TimePoint now) const {
  const UpstreamCapacity& upstream = upstreams_[index];
  if (upstream.failures < kProbeAfterFailures) return true;
  return upstream.tasks == 0 && now >= upstream.probe_after;
}

Amount CapacityTable::MaxFree() const {
  Amount max_free;
  for (const Rack& rack : racks_) max_free.RaiseTo(rack.max_free);
  return max_free;
}

}  // namespace mimosarail::placement
