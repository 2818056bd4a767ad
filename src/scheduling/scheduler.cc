#include "src/scheduling/scheduler.h"

#include <algorithm>

#include "src/libs/base/soft_assert.h"

namespace mimosarail::scheduling {
namespace {

/// Beyond this multiple of its objective a job is worth nothing to its caller;
/// it still runs, after all other work. Up to then it keeps part of its value.
constexpr int64_t kWorthlessMultiple = 3;

/// Assumed run time of a task whose caller gave no estimate.
constexpr Millis kDefaultEstimate{1000};

int64_t ToMs(TimePoint at) {
  return std::chrono::duration_cast<Millis>(at.time_since_epoch()).count();
}

}  // namespace

StopReason ReasonToStop(JobState state) {
  switch (state) {
    case JobState::kCancelled:
      return StopReason::kCancelled;
    case JobState::kFailed:
      return StopReason::kJobFailed;
    case JobState::kComplete:
      return StopReason::kJobComplete;
    case JobState::kQueued:
    case JobState::kRunning:
      break;
  }
  return StopReason::kOrphaned;
}

TimePoint ExpectedEnd(const wire::StepSpec& step, TimePoint now) {
  if (step.long_running) return TimePoint::max();
  const Millis estimate(step.estimate_ms);
  return now + (estimate > Millis(0) ? estimate : kDefaultEstimate);
}

Scheduler::Entry* Scheduler::FindEntry(JobId id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

const Job* Scheduler::Find(JobId id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second->job;
}

Scheduler::Entry& Scheduler::Insert(const wire::JobSpec& spec, TimePoint now,
                                    int64_t wall_ms) {
  const auto id = static_cast<JobId>(spec.id);
  const int64_t age = std::max<int64_t>(0, wall_ms - spec.accepted_unix_ms);
  auto entry = std::make_unique<Entry>(spec);
  entry->accepted = now - Millis(age);
  const Job& job = entry->job;
  entry->units.resize(static_cast<size_t>(job.occurrences()) *
                      static_cast<size_t>(job.steps()));
  if (job.timed()) {
    for (int32_t k = 0; k < job.occurrences(); ++k) {
      due_.emplace(job.spec().first_due_ms + k * job.spec().interval_ms,
                   StepId{id, k, 0});
    }
  } else {
    entry->due = 1;
  }
  return *jobs_.insert_or_assign(id, std::move(entry)).first->second;
}

void Scheduler::Add(const wire::JobSpec& spec, TimePoint now, int64_t wall_ms) {
  Entry& entry = Insert(spec, now, wall_ms);
  RefreshAll(entry);
}

void Scheduler::Load(const wire::JobSpec& spec,
                     const wire::ProgressRecord& progress, TimePoint now,
                     int64_t wall_ms) {
  Entry& entry = Insert(spec, now, wall_ms);
  entry.job.Restore(progress);
  entry.uncertain = !resolved_ && !entry.job.final();
  RefreshAll(entry);
}

void Scheduler::Resolve(const std::unordered_set<JobId>& uncertain,
                        TimePoint now, Orders& orders) {
  resolved_ = true;
  for (auto& [id, entry] : jobs_) {
    if (!entry->uncertain || uncertain.count(id) > 0) continue;
    entry->uncertain = false;
    for (int32_t k = 0; k < entry->job.occurrences(); ++k) {
      for (int32_t s = 0; s < entry->job.steps(); ++s) {
        const StepCounts& run = entry->job.step_counts(k, s);
        // A gang with a missing member would wait for it forever.
        if (entry->job.step(s).gang && run.active > 0 && run.waiting > 0) {
          AbortGang(*entry, {id, k, s}, now, orders);
        }
        Refresh(*entry, k, s);
      }
    }
  }
}

bool Scheduler::CanForget(JobId id) const {
  const Job* job = Find(id);
  return job != nullptr && job->final() && job->active() == 0;
}

void Scheduler::Forget(JobId id) { jobs_.erase(id); }

void Scheduler::RefreshAll(Entry& entry) {
  for (int32_t k = 0; k < entry.job.occurrences(); ++k) {
    for (int32_t s = 0; s < entry.job.steps(); ++s) Refresh(entry, k, s);
  }
}

void Scheduler::Dequeue(Unit& unit) {
  if (!unit.queued) return;
  queue_.erase(unit.key);
  unit.queued = false;
}

void Scheduler::Refresh(Entry& entry, int32_t occurrence, int32_t step) {
  Unit& unit = entry.unit(occurrence, step);
  Job& job = entry.job;
  const StepCounts& run = job.step_counts(occurrence, step);
  const bool gang_whole = !job.step(step).gang || run.active == 0;
  const bool wanted = !entry.uncertain && !job.final() &&
                      occurrence < entry.due && run.waiting > 0 && gang_whole &&
                      job.StepReady(occurrence, step);
  if (run.active == 0) unit.aborting = false;
  if (!wanted) return Dequeue(unit);
  if (unit.queued) return;
  unit.key = KeyOf(entry, {job.id(), occurrence, step}, Outlook::kInTime);
  unit.queued = true;
  unit.plan_until = {};
  unit.next_ask_check = {};
  queue_.insert(unit.key);
}

bool Scheduler::Cancel(JobId id, TimePoint now, Orders& orders) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr || entry->job.final()) return false;
  Finish(*entry, JobState::kCancelled, now);
  StopAll(*entry, StopReason::kCancelled, now, orders);
  return true;
}

void Scheduler::Finish(Entry& entry, JobState state, TimePoint now) {
  entry.job.SetState(state);
  entry.ended = now;
  MarkChanged(entry);
  for (Unit& unit : entry.units) Dequeue(unit);
}

void Scheduler::StopAll(Entry& entry, StopReason reason, TimePoint now,
                        Orders& orders) {
  const Job& job = entry.job;
  for (int32_t k = 0; k < job.occurrences(); ++k) {
    for (int32_t s = 0; s < job.steps(); ++s) {
      if (job.step_counts(k, s).active == 0) continue;
      for (int32_t i = 0; i < job.step(s).tasks; ++i) {
        StopTask(entry, {job.id(), k, s, i}, reason, now, orders);
      }
    }
  }
}

void Scheduler::StopTask(Entry& entry, const TaskId& id, StopReason reason,
                         TimePoint now, Orders& orders) {
  Task& task = entry.job.task(id);
  if (!task.active() || task.phase == TaskPhase::kStopping) return;
  entry.job.SetPhase(id, TaskPhase::kStopping);
  stops_[task.upstream][{id, task.attempt}] = {
      .reason = reason, .ordered = true, .due = now + kStopRetryInterval};
  orders.stops.push_back({.upstream = task.upstream,
                          .task = id,
                          .attempt = task.attempt,
                          .reason = reason});
}

void Scheduler::AbortGang(Entry& entry, const StepId& id, TimePoint now,
                          Orders& orders) {
  Unit& unit = entry.unit(id.occurrence, id.step);
  if (!unit.aborting) unit.abort_since = now;
  unit.aborting = true;
  for (int32_t i = 0; i < entry.job.step(id.step).tasks; ++i) {
    StopTask(entry, {id.job, id.occurrence, id.step, i},
             StopReason::kGangBroken, now, orders);
  }
}

void Scheduler::ReturnToWaiting(Entry& entry, const TaskId& id, TimePoint now) {
  Task& task = entry.job.task(id);
  if (!task.active()) return;
  task.upstream = kNoUpstream;
  entry.job.SetPhase(id, TaskPhase::kWaiting);
  Unit& unit = entry.unit(id.occurrence, id.step);
  if (entry.job.step(id.step).gang && !unit.aborting) {
    unit.aborting = true;
    unit.abort_since = now;
  }
  Refresh(entry, id.occurrence, id.step);
}

void Scheduler::OnStartReply(const StartOrder& order,
                             ports::CallVerdict verdict, TimePoint now,
                             Orders& orders) {
  using ports::CallVerdict;
  if (verdict == CallVerdict::kUnknown) return;
  Entry* entry = FindEntry(order.task.job);
  const bool ours = entry != nullptr &&
                    entry->job.task(order.task).attempt == order.attempt &&
                    entry->job.task(order.task).upstream == order.upstream;
  if (verdict == CallVerdict::kDone) {
    pool_.NoteBegan(order.upstream, order.task, order.attempt, now);
    if (!ours) return;
    Task& task = entry->job.task(order.task);
    if (task.phase != TaskPhase::kStarting) return;
    entry->job.SetPhase(order.task, TaskPhase::kRunning);
    entry->job.NoteStarted();
    const Unit& unit = entry->unit(order.task.occurrence, order.task.step);
    if (unit.aborting) {
      StopTask(*entry, order.task, StopReason::kGangBroken, now, orders);
    }
    return;
  }
  pool_.Release(order.upstream, order.task, order.attempt);
  // If the run exists in spite of the reply, it has received no stop.
  stops_[order.upstream].erase({order.task, order.attempt});
  if (verdict == CallVerdict::kUnhealthy) {
    pool_.NoteFailure(order.upstream, now);
  } else {
    pool_.at(order.upstream).health.in_flight_probes = 0;
  }
  if (!ours || !entry->job.task(order.task).active()) return;
  Unit& unit = entry->unit(order.task.occurrence, order.task.step);
  if (verdict == CallVerdict::kBadTicket) {
    unit.advice.upstreams[order.upstream].valid_until = {};
  }
  ReturnToWaiting(*entry, order.task, now);
  if (entry->job.step(order.task.step).gang &&
      entry->job.step_counts(order.task.occurrence, order.task.step).active >
          0) {
    AbortGang(*entry, order.task.step_id(), now, orders);
  }
}

void Scheduler::TaskDone(Entry& entry, const TaskId& id, TimePoint now) {
  Job& job = entry.job;
  const wire::StepSpec& step = job.step(id.step);
  if (step.gang) {
    // The end of one member stands for all; the resources of each are released
    // by its own end.
    for (int32_t i = 0; i < step.tasks; ++i) {
      const TaskId member{id.job, id.occurrence, id.step, i};
      job.task(member).checkpoint.clear();
      job.SetPhase(member, TaskPhase::kDone);
    }
  } else {
    job.task(id).checkpoint.clear();
    job.SetPhase(id, TaskPhase::kDone);
  }
  MarkChanged(entry);
  Refresh(entry, id.occurrence, id.step);
  if (job.AllDone()) return Finish(entry, JobState::kComplete, now);
  if (!job.StepDone(id.occurrence, id.step)) return;
  for (int32_t s = id.step + 1; s < job.steps(); ++s) {
    Refresh(entry, id.occurrence, s);
  }
}

void Scheduler::TaskFailed(Entry& entry, UpstreamIndex upstream,
                           const TaskId& id, int64_t attempt, TimePoint now,
                           Orders& orders) {
  Job& job = entry.job;
  if (!job.CountFailure(id, attempt)) return;
  MarkChanged(entry);
  job.task(id).failed_at = upstream;
  entry.unit(id.occurrence, id.step).exclusion.until = {};
  pool_.NoteFailure(upstream, now);
  if (job.step(id.step).long_running) return;
  if (job.Failures(id) < job.queue().max_attempts) return;
  Finish(entry, JobState::kFailed, now);
  StopAll(entry, StopReason::kJobFailed, now, orders);
}

void Scheduler::OnEnd(UpstreamIndex upstream, const ports::EndedTask& end,
                      TimePoint now, Orders& orders) {
  using ports::EndKind;
  pool_.Release(upstream, end.task, end.attempt);
  stops_[upstream].erase({end.task, end.attempt});
  UpstreamHealth& health = pool_.at(upstream).health;
  if (end.kind != EndKind::kFailed) health.in_flight_probes = 0;
  Entry* entry = FindEntry(end.task.job);
  if (entry == nullptr || !entry->job.Has(end.task)) return;
  Job& job = entry->job;
  Task& task = job.task(end.task);
  // The end of a run that was abandoned earlier says nothing about the current
  // one.
  const bool current =
      task.active() && task.attempt == end.attempt && task.upstream == upstream;
  const bool unreported =
      entry->uncertain && !task.active() && task.phase != TaskPhase::kDone;
  if (end.kind == EndKind::kDone) pool_.NoteSuccess(upstream);
  if (!current && !unreported) {
    // Only a failure still counts: a new leader may receive it after it has
    // adopted a later run of the task.
    if (end.kind == EndKind::kFailed && !job.final()) {
      TaskFailed(*entry, upstream, end.task, end.attempt, now, orders);
    }
    return;
  }
  if (end.kind == EndKind::kDone && !job.step(end.task.step).long_running) {
    if (!job.final()) {
      job.NoteStarted();
      TaskDone(*entry, end.task, now);
    } else {
      job.SetPhase(end.task, TaskPhase::kDone);
    }
    return;
  }
  if (!end.checkpoint.empty()) {
    task.checkpoint = end.checkpoint;
    MarkChanged(*entry);
  }
  if (current) ReturnToWaiting(*entry, end.task, now);
  if (job.final()) return;
  job.NoteStarted();
  if (end.kind == EndKind::kFailed) {
    TaskFailed(*entry, upstream, end.task, end.attempt, now, orders);
  } else {
    MarkChanged(*entry);
  }
}

void Scheduler::Tick(TimePoint now, int64_t wall_ms) {
  while (!due_.empty() && due_.begin()->first <= wall_ms) {
    const StepId id = due_.begin()->second;
    due_.erase(due_.begin());
    Entry* entry = FindEntry(id.job);
    if (entry == nullptr) continue;
    entry->due = std::max(entry->due, id.occurrence + 1);
    if (id.occurrence == 0) entry->accepted = now;
    for (int32_t s = 0; s < entry->job.steps(); ++s) {
      Refresh(*entry, id.occurrence, s);
    }
  }
  DemoteMissed(now);
}

Scheduler::UnitKey Scheduler::KeyOf(const Entry& entry, const StepId& id,
                                    Outlook outlook) {
  const Job& job = entry.job;
  const int64_t objectives =
      outlook == Outlook::kInTime ? 1 : kWorthlessMultiple;
  return {.priority = job.queue().priority,
          .outlook = outlook,
          .rank = ToMs(entry.accepted + objectives * job.Objective() -
                       job.CriticalPathFrom(id.step)),
          .id = id};
}

void Scheduler::DemoteMissed(TimePoint now) {
  std::vector<UnitKey> missed;
  for (const UnitKey& key : queue_) {
    if (key.rank > ToMs(now) || key.outlook == Outlook::kWorthless) continue;
    const Job& job = jobs_.at(key.id.job)->job;
    if (!job.step(key.id.step).long_running && !job.timed())
      missed.push_back(key);
  }
  for (const UnitKey& key : missed) {
    const Entry& entry = *jobs_.at(key.id.job);
    // Under overload, starting the steps nearest to their objective makes all
    // of them slightly late. A step that can no longer be in time therefore
    // yields to those that still can, and moves up again before it becomes
    // worthless. At 1.3 times the load that 70 upstreams can take, 54 % instead
    // of 19 % of renders begin in time. Urgent jobs are small: a backlog of
    // them that built up without a leader is worked off within a second, and
    // the oldest go first so that none is served too late to have any value.
    const bool urgent = key.priority == 0;
    UnitKey next = KeyOf(entry, key.id, Outlook::kLate);
    if (key.outlook == Outlook::kLate || (urgent && next.rank <= ToMs(now))) {
      next.outlook = Outlook::kWorthless;
    } else if (urgent) {
      continue;
    }
    queue_.erase(key);
    jobs_.at(key.id.job)->unit(key.id.occurrence, key.id.step).key = next;
    queue_.insert(next);
  }
}

std::string Scheduler::DescribeLoad() const {
  int64_t capacity = 0;
  int64_t free = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!pool_.at(upstream).listed) continue;
    capacity += pool_.at(upstream).capacity[Dimension::kCores];
    free += std::max(0, pool_.at(upstream).free[Dimension::kCores]);
  }
  std::map<int32_t, int32_t> waiting;
  for (const UnitKey& key : queue_) ++waiting[key.priority];
  constexpr int64_t kPercent = 100;
  const int64_t used =
      capacity == 0 ? 0 : kPercent - kPercent * free / capacity;
  std::string out =
      "cores in use " + std::to_string(used) + " %, free for waiting gangs " +
      std::to_string(
          capacity == 0 ? 0 : kPercent * gang_reserved_millicores_ / capacity) +
      " %, steps waiting by priority";
  for (const auto& [priority, steps] : waiting) {
    out += " " + std::to_string(priority) + ":" + std::to_string(steps);
  }
  return out;
}

std::vector<JobId> Scheduler::TakeChanged() {
  std::vector<JobId> out(changed_.begin(), changed_.end());
  changed_.clear();
  return out;
}

int64_t Scheduler::Pending(const std::string& queue) const {
  int64_t count = 0;
  for (const auto& [id, entry] : jobs_) {
    const Job& job = entry->job;
    if (!job.started() && !job.final() && !job.timed() &&
        job.queue().name == queue) {
      ++count;
    }
  }
  return count;
}

}  // namespace mimosarail::scheduling
