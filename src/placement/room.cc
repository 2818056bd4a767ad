#include "src/placement/room.h"

#include "src/libs/base/digest.h"
#include "src/libs/base/soft_assert.h"

namespace mimosarail::placement {
namespace {

constexpr Millis kInitialProbeBackoff{1000};
constexpr int32_t kMaxProbeDoublings = 6;

enum class Scope : uint64_t { kRow = 1, kRack = 2, kDomain = 3 };

uint64_t GroupKey(uint64_t group, Scope scope, uint64_t where) {
  constexpr uint64_t kMix = 0x9E3779B97F4A7C15ULL;
  uint64_t key = group * kMix ^ (static_cast<uint64_t>(scope) << 60U) ^ where;
  key ^= key >> 31U;
  return key * kMix;
}

}  // namespace

RowId Room::Add(RowOptions options) {
  RowId id = 0;
  if (unused_.empty()) {
    id = static_cast<RowId>(rows_.size());
    rows_.emplace_back();
  } else {
    id = unused_.back();
    unused_.pop_back();
  }
  Row& row = rows_[id];
  row = Row{.name = std::move(options.name),
            .rack = RackIndex(options.rack, options.failure_domain),
            .capacity = options.capacity,
            .free = options.capacity};
  racks_[row.rack].rows.push_back(id);
  return id;
}

void Room::Remove(RowId id) {
  SetUsable(id, false);
  Row& row = rows_[id];
  std::erase(racks_[row.rack].rows, id);
  row = Row{};
  unused_.push_back(id);
}

uint32_t Room::RackIndex(const std::string& rack, const std::string& domain) {
  const auto [found, fresh] =
      rack_index_.emplace(rack, static_cast<uint32_t>(racks_.size()));
  if (fresh) racks_.push_back({.name = rack, .failure_domain = domain});
  return found->second;
}

void Room::CountUsable(const Row& row, int sign) {
  if (sign > 0) {
    total_free_ += row.free;
    total_capacity_ += row.capacity;
  } else {
    total_free_ -= row.free;
    total_capacity_ -= row.capacity;
  }
}

void Room::SetUsable(RowId id, bool usable) {
  Row& row = rows_[id];
  if (row.usable == usable) return;
  row.usable = usable;
  CountUsable(row, usable ? 1 : -1);
  RecomputeMostFree(row.rack);
}

void Room::SetCapacity(RowId id, const Amount& capacity) {
  Row& row = rows_[id];
  if (row.capacity == capacity) return;
  if (row.usable) CountUsable(row, -1);
  row.free += capacity;
  row.free -= row.capacity;
  row.capacity = capacity;
  if (row.usable) CountUsable(row, 1);
  RecomputeMostFree(row.rack);
}

bool Room::Take(RowId id, const Amount& amount, uint64_t group) {
  const Row& row = rows_[id];
  if (!row.usable || !amount.FitsIn(row.free)) return false;
  ForceTake(id, amount, group);
  return true;
}

void Room::ForceTake(RowId id, const Amount& amount, uint64_t group) {
  Row& row = rows_[id];
  row.free -= amount;
  ++row.tasks;
  if (row.usable) total_free_ -= amount;
  if (group != 0) AddToGroup(id, group, 1);
  RecomputeMostFree(row.rack);
}

void Room::Give(RowId id, const Amount& amount, uint64_t group) {
  Row& row = rows_[id];
  MR_EXPECT(row.tasks > 0, return );
  row.free += amount;
  --row.tasks;
  if (row.usable) total_free_ += amount;
  if (group != 0) AddToGroup(id, group, -1);
  racks_[row.rack].most_free.RaiseTo(row.usable ? row.free : Amount{});
}

void Room::RecomputeMostFree(uint32_t index) {
  Rack& rack = racks_[index];
  rack.most_free = Amount{};
  for (const RowId id : rack.rows) {
    if (rows_[id].usable) rack.most_free.RaiseTo(rows_[id].free);
  }
}

void Room::AddToGroup(RowId id, uint64_t group, int32_t by) {
  const Row& row = rows_[id];
  const uint64_t domain = Hash64(racks_[row.rack].failure_domain);
  for (const uint64_t key : {GroupKey(group, Scope::kRow, id),
                             GroupKey(group, Scope::kRack, row.rack),
                             GroupKey(group, Scope::kDomain, domain)}) {
    int32_t& count = groups_[key];
    count += by;
    if (count <= 0) groups_.erase(key);
  }
}

namespace {
int32_t CountOf(const std::unordered_map<uint64_t, int32_t>& groups,
                uint64_t key) {
  const auto found = groups.find(key);
  return found == groups.end() ? 0 : found->second;
}
}  // namespace

int32_t Room::GroupOnRow(uint64_t group, RowId row) const {
  return CountOf(groups_, GroupKey(group, Scope::kRow, row));
}

int32_t Room::GroupInRack(uint64_t group, uint32_t rack) const {
  return CountOf(groups_, GroupKey(group, Scope::kRack, rack));
}

int32_t Room::GroupInDomain(uint64_t group, const std::string& domain) const {
  return CountOf(groups_, GroupKey(group, Scope::kDomain, Hash64(domain)));
}

void Room::NoteFailure(RowId id, TimePoint now) {
  Row& row = rows_[id];
  ++row.failures;
  const int32_t doublings = std::min(
      std::max(row.failures - kProbeAfterFailures, 0), kMaxProbeDoublings);
  row.probe_after = now + kInitialProbeBackoff * (1 << doublings);
}

void Room::NoteSuccess(RowId id) { rows_[id].failures = 0; }

bool Room::MayTryNow(RowId id, TimePoint now) const {
  const Row& row = rows_[id];
  if (row.failures < kProbeAfterFailures) return true;
  return row.tasks == 0 && now >= row.probe_after;
}

Amount Room::MostFree() const {
  Amount most;
  for (const Rack& rack : racks_) most.RaiseTo(rack.most_free);
  return most;
}

}  // namespace mimosarail::placement
