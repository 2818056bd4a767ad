// The part of Scheduler that decides what the end of a run means for its task.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {

void Scheduler::TaskDone(JobRecord& record, const TaskId& id, TimePoint now) {
  Job& job = record.job;
  const wire::StepSpec& step = job.step(id.step);
  if (step.gang) {
    // The first end that is reported completes all members. The resources of
    // each member are released when its own end is reported.
    for (int32_t i = 0; i < step.tasks; ++i) {
      const TaskId member{id.job, id.occurrence, id.step, i};
      job.SetPhase(member, TaskPhase::kDone);
      job.MutableTask(member).checkpoint.clear();
    }
  } else {
    job.SetPhase(id, TaskPhase::kDone);
  }
  job.ReleaseTask(id);
  MarkChanged(record);
  UpdateQueued(record, id.occurrence, id.step);
  if (job.AllDone()) return FinishJob(record, JobState::kComplete, now);
  if (!job.StepDone(id.occurrence, id.step)) return;
  ReleaseStep(record, id.occurrence, id.step);
  while (record.done_occurrences < record.due_occurrences &&
         job.OccurrenceDone(record.done_occurrences)) {
    ++record.done_occurrences;
  }
  for (int32_t s = id.step + 1; s < job.steps(); ++s) {
    UpdateQueued(record, id.occurrence, s);
  }
}

void Scheduler::TaskFailed(JobRecord& record, const FailedRun& run,
                           TimePoint now, Orders& orders) {
  Job& job = record.job;
  const TaskId& id = run.task;
  if (!job.CountFailure(id, run.attempt)) return;
  MarkChanged(record);
  job.MutableTask(id).failed_upstream = run.upstream;
  record.step_state(id.occurrence, id.step).exclusion.valid_until = {};
  BlameForFailure(record, run, now, orders);
  if (job.step(id.step).long_running) return;
  if (job.Failures(id) < job.queue().max_attempts) return;
  orders.attempts_exhausted.push_back(id);
  FinishJob(record, JobState::kFailed, now);
  StopAll(record, StopReason::kJobFailed, now, orders);
}

void Scheduler::ResetFailureStreaks(JobRecord& record, const TaskId& id) {
  const auto step =
      record.step_states.find(record.StepStateIndex(id.occurrence, id.step));
  if (step != record.step_states.end()) step->second.failure_streak.Reset();
  const TaskId keeper = record.job.FailureKeeper(id);
  if (record.job.task(keeper).failure_streak.length() == 0) return;
  record.job.MutableTask(keeper).failure_streak.Reset();
}

void Scheduler::OnEnd(UpstreamIndex upstream, const ports::EndedTask& end,
                      TimePoint now, Orders& orders) {
  using ports::EndKind;
  const JobRecord* known = FindJobRecord(end.task.job);
  if (known != nullptr && known->job.Has(end.task)) {
    ObserveEnd(*known, upstream, end, now);
  }
  const FailedRun failed_run{
      .upstream = upstream,
      .task = end.task,
      .attempt = end.attempt,
      .lasted = pool_.RunTime(upstream, end.task, end.attempt, now)};
  pool_.Release(upstream, end.task, end.attempt);
  earlier_runs_.Forget(end.task, end.attempt);
  stops_.Remove(upstream, end.task, end.attempt);
  if (end.kind != EndKind::kFailed) {
    pool_.at(upstream).health.NoteProbeWithoutResult();
  }
  JobRecord* record = FindJobRecord(end.task.job);
  if (record == nullptr || !record->job.Has(end.task)) return;
  Job& job = record->job;
  const Task& task = job.task(end.task);
  // The end of an earlier run of the task says nothing about its current one.
  const bool current =
      task.active() && task.attempt == end.attempt && task.upstream == upstream;
  const bool ended_before_adoption = record->may_have_unreported_runs &&
                                     !task.active() &&
                                     task.phase != TaskPhase::kDone;
  if (end.kind == EndKind::kDone) {
    NoteUpstreamSuccess(upstream, end.task, orders);
    ResetFailureStreaks(*record, end.task);
  }
  if (task.phase == TaskPhase::kDone) job.ReleaseTask(end.task);
  if (!current && !ended_before_adoption) {
    // Of an earlier run only a failure counts. A new leader may learn of it
    // after it has adopted a later run of the task.
    if (end.kind == EndKind::kFailed && !job.final()) {
      TaskFailed(*record, failed_run, now, orders);
    }
    return;
  }
  if (end.kind == EndKind::kDone && !job.step(end.task.step).long_running) {
    if (!job.final()) {
      job.NoteStarted();
      TaskDone(*record, end.task, now);
    } else {
      job.SetPhase(end.task, TaskPhase::kDone);
      job.ReleaseTask(end.task);
    }
    return;
  }
  if (!end.checkpoint.empty()) {
    job.MutableTask(end.task).checkpoint = end.checkpoint;
    MarkChanged(*record);
  }
  if (current) ReturnToWaiting(*record, end.task, now);
  if (job.final()) return;
  job.NoteStarted();
  if (end.kind == EndKind::kFailed) {
    TaskFailed(*record, failed_run, now, orders);
  } else {
    MarkChanged(*record);
  }
}

}  // namespace mimosarail::scheduling
