#include "src/scheduling/scheduler.h"

#include <algorithm>

#include "src/jobs/job_memory.h"
#include "src/libs/base/soft_assert.h"

namespace mimosarail::scheduling {
namespace {

/// Assumed run time of a task whose caller gave no estimate.
constexpr Millis kDefaultEstimate{1000};

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

JobRecord* Scheduler::FindJobRecord(JobId id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

const Job* Scheduler::Find(JobId id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second->job;
}

JobRecord& Scheduler::Insert(const wire::JobSpec& spec, TimePoint now,
                             int64_t wall_ms) {
  const auto id = static_cast<JobId>(spec.id);
  const int64_t age = std::max<int64_t>(0, wall_ms - spec.accepted_unix_ms);
  auto record = std::make_unique<JobRecord>(spec);
  record->account = pool_.accounts().IndexOf(spec.account);
  record->accepted_at = now - Millis(age);
  const Job& job = record->job;
  if (job.timed()) {
    due_times_.insert(NextDue(job, 0));
  } else {
    record->due_occurrences = 1;
  }
  record->memory_bytes = EstimatedJobBytes(spec);
  memory_bytes_ += record->memory_bytes;
  return *jobs_.insert_or_assign(id, std::move(record)).first->second;
}

void Scheduler::Add(const wire::JobSpec& spec, TimePoint now, int64_t wall_ms) {
  JobRecord& record = Insert(spec, now, wall_ms);
  UpdateAllQueued(record);
}

void Scheduler::Load(const wire::JobSpec& spec,
                     const wire::ProgressRecord& progress, TimePoint now,
                     int64_t wall_ms) {
  JobRecord& record = Insert(spec, now, wall_ms);
  record.job.Restore(progress);
  record.may_have_unreported_runs = !resolved_ && !record.job.final();
  // The stop of a cancelled or failed job may not have arrived everywhere.
  record.counts_as_unreported =
      !resolved_ && record.job.state() != JobState::kComplete;
  if (record.counts_as_unreported) unreported_jobs_.insert(record.job.id());
  RegisterEvidence(record, now);
  UpdateAllQueued(record);
}

void Scheduler::Resolve(const std::unordered_set<JobId>& uncertain,
                        TimePoint now, Orders& orders) {
  resolved_ = true;
  // Until now the shares were those of a scheduler without waiting steps.
  shares_valid_until_ = {};
  for (auto& [id, record] : jobs_) {
    if (uncertain.count(id) == 0) record->counts_as_unreported = false;
    if (!record->may_have_unreported_runs || uncertain.count(id) > 0) continue;
    record->may_have_unreported_runs = false;
    for (const StepId& step : record->job.OpenSteps()) {
      const StepCounts counts =
          record->job.step_counts(step.occurrence, step.step);
      // The running members of a gang would wait forever for a missing one.
      if (record->job.step(step.step).gang && counts.active > 0 &&
          counts.waiting > 0) {
        BreakGang(*record, step, now, orders);
      }
    }
    UpdateAllQueued(*record);
  }
  CountUnreportedRuns();
}

void Scheduler::CountUnreportedRuns() {
  AccountLedger& accounts = pool_.accounts();
  accounts.ClearUnreported();
  std::erase_if(unreported_jobs_, [this](JobId id) {
    const JobRecord* record = FindJobRecord(id);
    return record == nullptr || !record->counts_as_unreported;
  });
  for (const JobId id : unreported_jobs_) {
    const JobRecord* record = FindJobRecord(id);
    const Job& job = record->job;
    for (int32_t k = record->done_occurrences; k < record->due_occurrences;
         ++k) {
      for (int32_t s = 0; s < job.steps(); ++s) {
        // Also steps whose predecessors are not done: their ends may have been
        // reported to the earlier leader and not stored. It may have started
        // such a step.
        accounts.AddUnreported(record->account, TaskCharge(job.step(s)),
                               job.step_counts(k, s).waiting);
      }
    }
  }
}

DueTime Scheduler::NextDue(const Job& job, int32_t occurrence) {
  const wire::JobSpec& spec = job.spec();
  return {.unix_ms = spec.first_due_ms + occurrence * spec.interval_ms,
          .job = job.id()};
}

bool Scheduler::CanRemove(JobId id) const {
  const Job* job = Find(id);
  return job != nullptr && job->final() && job->active() == 0;
}

void Scheduler::Remove(JobId id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  const JobRecord& record = *found->second;
  memory_bytes_ -= record.memory_bytes;
  released_bytes_ += record.memory_bytes;
  due_times_.erase(NextDue(record.job, record.due_occurrences));
  jobs_.erase(found);
}

void Scheduler::UpdateMemory(JobId id) {
  JobRecord* record = FindJobRecord(id);
  if (record == nullptr) return;
  size_t bytes =
      record->job.MemoryBytes() + record->step_states.size() * kQueuedStepBytes;
  if (!record->job.final()) {
    bytes = std::max(bytes, EstimatedJobBytes(record->job.spec()));
  }
  if (bytes < record->memory_bytes) {
    released_bytes_ += record->memory_bytes - bytes;
  }
  memory_bytes_ += bytes - record->memory_bytes;
  record->memory_bytes = bytes;
}

void Scheduler::UpdateAllQueued(JobRecord& record) {
  for (int32_t k = record.done_occurrences; k < record.due_occurrences; ++k) {
    UpdateOccurrence(record, k);
  }
}

void Scheduler::UpdateOccurrence(JobRecord& record, int32_t occurrence) {
  for (int32_t s = 0; s < record.job.steps(); ++s) {
    UpdateQueued(record, occurrence, s);
  }
}

void Scheduler::Dequeue(JobRecord& record, StepState& step_state) {
  if (!step_state.queued) return;
  queue_.erase(step_state.key);
  step_state.queued = false;
  if (record.job.step(step_state.key.id.step).after.empty()) {
    --record.queued_first_steps;
  }
}

void Scheduler::ReleaseStep(JobRecord& record, int32_t occurrence,
                            int32_t step) {
  const auto found =
      record.step_states.find(record.StepStateIndex(occurrence, step));
  if (found == record.step_states.end()) return;
  const StepState& state = found->second;
  if (!state.queued && state.advice.calls_in_flight == 0) {
    record.step_states.erase(found);
  }
}

void Scheduler::UpdateQueued(JobRecord& record, int32_t occurrence,
                             int32_t step) {
  Job& job = record.job;
  const StepCounts counts = job.step_counts(occurrence, step);
  // A gang starts only after all its earlier runs have ended.
  const bool may_start_gang = !job.step(step).gang || counts.active == 0;
  const bool may_start = !record.may_have_unreported_runs && !job.final() &&
                         occurrence < record.due_occurrences &&
                         counts.waiting > 0 && may_start_gang &&
                         job.StepReady(occurrence, step);
  const auto known =
      record.step_states.find(record.StepStateIndex(occurrence, step));
  const bool is_new = known == record.step_states.end();
  if (!is_new && counts.active == 0) known->second.broken = false;
  if (!may_start) {
    if (!is_new) Dequeue(record, known->second);
    return;
  }
  StepState& step_state =
      is_new ? record.step_state(occurrence, step) : known->second;
  if (step_state.queued) return;
  if (job.step(step).after.empty()) ++record.queued_first_steps;
  step_state.key =
      KeyOf(record, {job.id(), occurrence, step}, Timeliness::kInTime);
  step_state.queued = true;
  step_state.waits_since.reset();
  step_state.plan_valid_until = {};
  step_state.next_advice_check = {};
  queue_.insert(step_state.key);
}

bool Scheduler::Cancel(JobId id, TimePoint now, Orders& orders) {
  JobRecord* record = FindJobRecord(id);
  if (record == nullptr || record->job.final()) return false;
  FinishJob(*record, JobState::kCancelled, now);
  StopAll(*record, StopReason::kCancelled, now, orders);
  return true;
}

void Scheduler::FinishJob(JobRecord& record, JobState state, TimePoint now) {
  record.job.SetState(state);
  record.ended_at = now;
  MarkChanged(record);
  for (auto& [index, step_state] : record.step_states) {
    Dequeue(record, step_state);
  }
  record.step_states.clear();
  due_times_.erase(NextDue(record.job, record.due_occurrences));
  UpdateMemory(record.job.id());
}

void Scheduler::StopAll(JobRecord& record, StopReason reason, TimePoint now,
                        Orders& orders) {
  const Job& job = record.job;
  for (const StepId& step : job.OpenSteps()) {
    if (job.step_counts(step.occurrence, step.step).active == 0) continue;
    for (int32_t i = 0; i < job.step(step.step).tasks; ++i) {
      StopTask(record, {job.id(), step.occurrence, step.step, i}, reason, now,
               orders);
    }
  }
}

void Scheduler::StopTask(JobRecord& record, const TaskId& id, StopReason reason,
                         TimePoint now, Orders& orders) {
  const Task& task = record.job.task(id);
  if (!task.active() || task.phase == TaskPhase::kStopping) return;
  record.job.SetPhase(id, TaskPhase::kStopping);
  stops_.NoteOrdered(task.upstream, id, task.attempt, reason, now);
  orders.stops.push_back({.upstream = task.upstream,
                          .task = id,
                          .attempt = task.attempt,
                          .reason = reason});
}

void Scheduler::BreakGang(JobRecord& record, const StepId& id, TimePoint now,
                          Orders& orders) {
  StopGang(record, id, StopReason::kGangBroken, now, orders);
}

void Scheduler::StopGang(JobRecord& record, const StepId& id, StopReason reason,
                         TimePoint now, Orders& orders) {
  record.step_state(id.occurrence, id.step).MarkBroken(now);
  for (int32_t i = 0; i < record.job.step(id.step).tasks; ++i) {
    StopTask(record, {id.job, id.occurrence, id.step, i}, reason, now, orders);
  }
}

void Scheduler::ReturnToWaiting(JobRecord& record, const TaskId& id,
                                TimePoint now) {
  if (!record.job.task(id).active()) return;
  record.job.MutableTask(id).upstream = kNoUpstream;
  record.job.SetPhase(id, TaskPhase::kWaiting);
  StepState& step_state = record.step_state(id.occurrence, id.step);
  if (record.job.step(id.step).gang) step_state.MarkBroken(now);
  UpdateQueued(record, id.occurrence, id.step);
}

void Scheduler::OnStartReply(const StartOrder& order,
                             ports::CallVerdict verdict, TimePoint now,
                             Orders& orders) {
  using ports::CallVerdict;
  if (verdict == CallVerdict::kUnknown) return;
  JobRecord* record = FindJobRecord(order.task.job);
  const bool current = record != nullptr &&
                       record->job.task(order.task).attempt == order.attempt &&
                       record->job.task(order.task).upstream == order.upstream;
  if (verdict == CallVerdict::kDone) {
    pool_.NoteStartConfirmed(order.upstream, order.task, order.attempt, now);
    if (!current) return;
    const Task& task = record->job.task(order.task);
    if (task.phase != TaskPhase::kStarting) return;
    record->job.SetPhase(order.task, TaskPhase::kRunning);
    record->job.NoteStarted();
    const StepState& step_state =
        record->step_state(order.task.occurrence, order.task.step);
    if (step_state.broken) {
      StopTask(*record, order.task, StopReason::kGangBroken, now, orders);
    }
    return;
  }
  pool_.Release(order.upstream, order.task, order.attempt);
  // If the run exists in spite of the reply, no stop has reached it.
  stops_.Remove(order.upstream, order.task, order.attempt);
  if (verdict == CallVerdict::kUnhealthy) {
    NoteUpstreamFailure({.upstream = order.upstream,
                         .task = order.task,
                         .attempt = order.attempt},
                        now, 1, orders);
  } else {
    pool_.at(order.upstream).health.NoteProbeWithoutResult();
  }
  if (!current || !record->job.task(order.task).active()) return;
  StepState& step_state =
      record->step_state(order.task.occurrence, order.task.step);
  if (verdict == CallVerdict::kBadTicket) {
    step_state.advice.upstreams[order.upstream].valid_until = {};
  }
  ReturnToWaiting(*record, order.task, now);
  if (record->job.step(order.task.step).gang &&
      record->job.step_counts(order.task.occurrence, order.task.step).active >
          0) {
    BreakGang(*record, order.task.step_id(), now, orders);
  }
}

void Scheduler::OpenDueOccurrences(JobRecord& record, int64_t wall_ms) {
  const wire::JobSpec& spec = record.job.spec();
  int32_t& next = record.due_occurrences;
  while (next < record.job.occurrences() &&
         record.queued_first_steps < kMaxQueuedOccurrences) {
    while (record.done_occurrences < next &&
           record.job.OccurrenceDone(record.done_occurrences)) {
      ++record.done_occurrences;
    }
    // Nothing of the job is queued yet; all that is opened would be at once.
    if (record.may_have_unreported_runs &&
        next - record.done_occurrences >= kMaxQueuedOccurrences) {
      break;
    }
    const int64_t due_ms = spec.first_due_ms + next * spec.interval_ms;
    if (due_ms > wall_ms) break;
    ++next;
    UpdateOccurrence(record, next - 1);
  }
  const bool further = !record.job.final() && next < record.job.occurrences();
  if (further) due_times_.insert(NextDue(record.job, next));
}

void Scheduler::OpenDueOccurrences(TimePoint now, int64_t wall_ms) {
  // A job that may not open all its due occurrences comes back with a time that
  // is reached, for the next call.
  std::vector<JobId> due;
  while (!due_times_.empty() && due_times_.begin()->unix_ms <= wall_ms) {
    due.push_back(due_times_.begin()->job);
    due_times_.erase(due_times_.begin());
  }
  for (const JobId id : due) {
    JobRecord* record = FindJobRecord(id);
    if (record == nullptr) continue;
    if (record->due_occurrences == 0) record->accepted_at = now;
    OpenDueOccurrences(*record, wall_ms);
  }
}

void Scheduler::Tick(TimePoint now, int64_t wall_ms) {
  OpenDueOccurrences(now, wall_ms);
  DemoteLateSteps(now);
  UpdateSpeeds(now);
  if (!unreported_jobs_.empty()) CountUnreportedRuns();
}

std::vector<AccountLoad> Scheduler::AccountLoads() const {
  const AccountLedger& accounts = pool_.accounts();
  std::vector<AccountLoad> out(accounts.size());
  for (AccountIndex i = 0; i < accounts.size(); ++i) {
    out[i].name = accounts.name(i);
    out[i].millicores = accounts.charged(i)[Dimension::kCores];
    out[i].limit_millicores = accounts.limit(i).millicores;
  }
  for (const QueueKey& key : queue_) {
    if (key.account != kNoAccount) ++out[key.account].waiting_steps;
  }
  const AmountSum capacity = UsableCapacity();
  for (AccountIndex i = 0; i < accounts.size(); ++i) {
    if (i < shares_due_.size()) out[i].share_due = shares_due_[i];
    out[i].share_taken = DominantShare(accounts.charged(i), capacity);
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.waiting_steps > b.waiting_steps;
  });
  return out;
}

std::vector<JobId> Scheduler::TakeChangedJobs() {
  std::vector<JobId> out(changed_.begin(), changed_.end());
  changed_.clear();
  return out;
}

int64_t Scheduler::PendingJobs(const std::string& queue) const {
  int64_t count = 0;
  for (const auto& [id, record] : jobs_) {
    const Job& job = record->job;
    if (!job.started() && !job.final() && !job.timed() &&
        job.queue().name == queue) {
      ++count;
    }
  }
  return count;
}

}  // namespace mimosarail::scheduling
