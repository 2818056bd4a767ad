#include "src/placement/wait_queue.h"

#include <algorithm>
#include <vector>

namespace mimosarail::placement {
namespace {

int64_t ToMillis(TimePoint time) {
  return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

}  // namespace

int64_t WaitQueue::KeyOf(const QueueItem& item) {
  const auto since = static_cast<double>(ToMillis(item.since));
  double& clock = team_clock_[item.team];
  clock = std::max(clock, since);
  const double lag = std::min(
      clock - since, static_cast<double>(options_.team_lag_limit.count()));
  clock += item.core_seconds * 1000.0 / options_.team_rate;
  return ToMillis(item.since) + static_cast<int64_t>(lag) +
         item.priority * options_.age_step.count();
}

int64_t WaitQueue::Push(const QueueItem& item,
                        std::optional<int64_t> existing_key) {
  Remove(item.id);
  const Key key{existing_key ? *existing_key : KeyOf(item), item.id};
  items_[item.id] = {item, key};
  (item.priority == 0 ? urgent_ : others_).insert(key);
  return key.first;
}

void WaitQueue::Remove(uint64_t id) {
  const auto found = items_.find(id);
  if (found == items_.end()) return;
  urgent_.erase(found->second.key);
  others_.erase(found->second.key);
  items_.erase(found);
}

bool WaitQueue::VisitSet(
    const std::set<Key>& keys,
    const std::function<VisitResult(const QueueItem&)>& visit,
    std::unordered_set<uint64_t>& blocked, std::set<uint64_t>& placed) {
  for (const Key& key : keys) {
    const QueueItem& item = items_.at(key.second).item;
    if (placed.contains(item.id) || blocked.contains(item.shape)) continue;
    const VisitResult result = visit(item);
    if (result == VisitResult::kStop) return false;
    if (result == VisitResult::kBlocked) blocked.insert(item.shape);
    if (result == VisitResult::kPlaced) placed.insert(item.id);
  }
  return true;
}

void WaitQueue::VisitInOrder(
    TimePoint now, const std::function<VisitResult(const QueueItem&)>& visit) {
  std::unordered_set<uint64_t> blocked;
  std::set<uint64_t> placed;
  bool proceed = true;
  if (!others_.empty() && urgent_starts_ >= kUrgentStartsPerOther) {
    const QueueItem& oldest = items_.at(others_.begin()->second).item;
    if (now - oldest.since >= options_.starve_after) {
      const std::set<Key> first{*others_.begin()};
      proceed = VisitSet(first, visit, blocked, placed);
      urgent_starts_ = 0;
    }
  }
  const size_t before = placed.size();
  if (proceed) proceed = VisitSet(urgent_, visit, blocked, placed);
  urgent_starts_ += static_cast<int>(placed.size() - before);
  if (proceed) VisitSet(others_, visit, blocked, placed);
  for (const uint64_t id : placed) Remove(id);
}

}  // namespace mimosarail::placement
