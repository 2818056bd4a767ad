#include "src/scheduling/upstream_pool.h"

#include <algorithm>

#include "src/libs/base/soft_assert.h"

namespace mimosarail::scheduling {
namespace {

/// Upstreams that become unresponsive within this time may have done so for the
/// same reason.
constexpr Millis kSameTime{300};

Amount CapacityOf(const ports::UpstreamSize& size) {
  Amount out;
  out[Dimension::kCores] = size.millicores;
  out[Dimension::kMemory] = size.memory_mb;
  out[Dimension::kAccelerators] = size.accelerators;
  return out;
}

}  // namespace

Amount TaskResources(const wire::StepSpec& step) {
  Amount out;
  // A filler runs on the cores that other tasks leave idle, and reserves none.
  out[Dimension::kCores] = step.filler ? 0 : step.millicores;
  out[Dimension::kMemory] = step.memory_mb;
  out[Dimension::kAccelerators] = step.accelerators;
  return out;
}

int32_t FitCount(const Amount& free, const Amount& size) {
  int32_t fit = kMaxStepTasks;
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    if (size.values[d] <= 0) continue;
    fit = std::min(fit, std::max(0, free.values[d]) / size.values[d]);
  }
  return fit;
}

Amount TaskCharge(const wire::StepSpec& step) {
  Amount out = TaskResources(step);
  out[Dimension::kCores] = step.millicores;
  return out;
}

UpstreamIndex UpstreamPool::Update(const ports::UpstreamEntry& entry,
                                   TimePoint now) {
  const auto known = index_by_id_.find(entry.id);
  if (known != index_by_id_.end()) {
    Upstream& upstream = upstreams_[known->second];
    const Amount capacity = CapacityOf(entry.capacity);
    if (capacity.values != upstream.capacity.values) {
      speeds_.Reset(known->second);
    }
    upstream.free += capacity;
    upstream.free -= upstream.capacity;
    upstream.capacity = capacity;
    const bool restarted = upstream.entry.incarnation > 0 &&
                           entry.incarnation > upstream.entry.incarnation;
    if (restarted) upstream.predecessor_drained = upstream.entry.draining;
    const int64_t incarnation =
        std::max(upstream.entry.incarnation, entry.incarnation);
    upstream.entry = entry;
    upstream.entry.incarnation = incarnation;
    upstream.listed = true;
    upstream.entry_malformed = false;
    upstream.entry_outdated = false;
    return known->second;
  }
  const auto index = static_cast<UpstreamIndex>(upstreams_.size());
  const Amount capacity = CapacityOf(entry.capacity);
  upstreams_.push_back({.entry = entry,
                        .capacity = capacity,
                        .free = capacity,
                        .known_since = now});
  index_by_id_.emplace(entry.id, index);
  indexes_in_use_.push_back(index);
  return index;
}

void UpstreamPool::NoteRestarted(UpstreamIndex index, int64_t incarnation,
                                 TimePoint now) {
  Upstream& upstream = upstreams_[index];
  // An entry without a start time may be that of this incarnation.
  const int64_t listed = upstream.entry.incarnation;
  upstream.entry_outdated = listed > 0 && listed < incarnation;
  upstream.entry.incarnation = incarnation;
  upstream.health = {};
  speeds_.Reset(index);
  upstream.quarantine.reset();
  upstream.predecessor_drained = false;
  upstream.known_since = now;
}

void UpstreamPool::Remove(UpstreamIndex index) {
  Upstream& upstream = upstreams_[index];
  index_by_id_.erase(upstream.entry.id);
  std::erase(indexes_in_use_, index);
  speeds_.Reset(index);
  for (const auto& [run, reservation] : upstream.reservations) {
    accounts_.Refund(reservation.charge);
  }
  upstream.reservations.clear();
  upstream.suspect_runs.clear();
  upstream.listed = false;
  upstream.reachable = false;
}

UpstreamIndex UpstreamPool::Find(const std::string& id) const {
  const auto found = index_by_id_.find(id);
  return found == index_by_id_.end() ? kNoUpstream : found->second;
}

void UpstreamPool::SetReachable(UpstreamIndex index, bool reachable,
                                TimePoint now) {
  Upstream& upstream = upstreams_[index];
  upstream.reachable = reachable;
  upstream.unresponsive_since.reset();
  upstream.unresponsive_with_others = false;
  if (reachable) return;
  for (const UpstreamIndex other : indexes_in_use_) {
    std::optional<TimePoint>& since = upstreams_[other].unresponsive_since;
    if (!since || now - *since >= kSameTime) continue;
    upstreams_[other].unresponsive_with_others = true;
    upstream.unresponsive_with_others = true;
  }
  upstream.unresponsive_since = now;
}

void UpstreamPool::Reserve(UpstreamIndex index, const TaskId& task,
                           int64_t attempt, const Reservation& reservation) {
  Upstream& upstream = upstreams_[index];
  if (upstream.reservations.emplace(std::pair(task, attempt), reservation)
          .second) {
    upstream.free -= reservation.amount;
    if (reservation.charge.long_running) {
      upstream.held_long += reservation.amount;
    }
    accounts_.Charge(reservation.charge);
  }
}

void UpstreamPool::NoteStartConfirmed(UpstreamIndex index, const TaskId& task,
                                      int64_t attempt, TimePoint now) {
  auto& reservations = upstreams_[index].reservations;
  const auto found = reservations.find({task, attempt});
  if (found == reservations.end()) return;
  if (!found->second.started_at) found->second.started_at = now;
  found->second.confirmed = true;
}

void UpstreamPool::NoteListed(UpstreamIndex index, const TaskId& task,
                              int64_t attempt, TimePoint now) {
  auto& reservations = upstreams_[index].reservations;
  const auto found = reservations.find({task, attempt});
  if (found == reservations.end()) return;
  if (!found->second.started_at) found->second.started_at = now;
  found->second.last_listed_at = now;
}

void UpstreamPool::SetExpectedEnd(UpstreamIndex index, const TaskId& task,
                                  int64_t attempt, TimePoint expected_end) {
  auto& reservations = upstreams_[index].reservations;
  const auto found = reservations.find({task, attempt});
  if (found != reservations.end()) found->second.expected_end = expected_end;
}

Amount UpstreamPool::FreeAt(UpstreamIndex index, TimePoint when) const {
  const Upstream& upstream = upstreams_[index];
  Amount out = upstream.free;
  for (const auto& [run, reservation] : upstream.reservations) {
    if (reservation.expected_end <= when) out += reservation.amount;
  }
  return out;
}

bool UpstreamPool::Release(UpstreamIndex index, const TaskId& task,
                           int64_t attempt) {
  Upstream& upstream = upstreams_[index];
  const auto found = upstream.reservations.find({task, attempt});
  if (found == upstream.reservations.end()) return false;
  upstream.free += found->second.amount;
  if (found->second.charge.long_running) {
    upstream.held_long -= found->second.amount;
  }
  accounts_.Refund(found->second.charge);
  upstream.reservations.erase(found);
  return true;
}

int32_t UpstreamPool::ReservedTasks(UpstreamIndex index,
                                    const StepId& step) const {
  const auto& reservations = upstreams_[index].reservations;
  const TaskId first{step.job, step.occurrence, step.step, 0};
  int32_t count = 0;
  for (auto at = reservations.lower_bound({first, 0});
       at != reservations.end() && at->first.first.step_id() == step; ++at) {
    ++count;
  }
  return count;
}

bool UpstreamPool::QuarantinedForOtherJob(UpstreamIndex index, JobId job,
                                          TimePoint now) const {
  const auto& quarantine = upstreams_[index].quarantine;
  return quarantine && quarantine->job != job && now < quarantine->until;
}

bool UpstreamPool::HasNoRecentStarts(UpstreamIndex index, JobId job,
                                     Millis span, TimePoint now) const {
  const Reservations& reservations = upstreams_[index].reservations;
  return std::all_of(reservations.begin(), reservations.end(),
                     [&](const auto& run) {
                       return run.first.first.job == job ||
                              now - run.second.reserved_at >= span;
                     });
}

Millis UpstreamPool::RunTime(UpstreamIndex index, const TaskId& task,
                             int64_t attempt, TimePoint now) const {
  const Reservations& reservations = upstreams_[index].reservations;
  const auto found = reservations.find({task, attempt});
  if (found == reservations.end() || !found->second.started_at) {
    return Millis(0);
  }
  return std::chrono::duration_cast<Millis>(now - *found->second.started_at);
}

UpstreamState UpstreamPool::State(UpstreamIndex index, TimePoint now) const {
  const Upstream& upstream = upstreams_[index];
  if (!upstream.AcceptsWork()) return UpstreamState::kClosed;
  if (upstream.health.InBackoff(now)) return UpstreamState::kBackoff;
  return MaxStarts(index, now) > 0 ? UpstreamState::kOpen
                                   : UpstreamState::kProbed;
}

}  // namespace mimosarail::scheduling
