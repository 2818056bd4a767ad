// The part of Scheduler that evaluates reports of running tasks: with which
// runs a job continues, which are orphaned, which are stalled, and when they
// are expected to end.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// After a member of a gang ends without success, the other members should end
/// by themselves. Those that still run after this time are stopped.
constexpr Millis kBrokenGangGrace{300};
/// A task without progress for this long may be stalled. One percent of a 10 s
/// task takes 0.7 s even if it runs seven times slower than estimated.
constexpr Millis kMinStallTime{1500};
/// A long task, whose percentage changes rarely, is stalled only after its
/// estimated run time divided by this number.
constexpr int64_t kStallEstimateDivisor = 4;
/// The end of a run is predicted from at least this many percent of progress.
/// With less, the caller's estimate is more accurate.
constexpr int32_t kMinProgressPercent = 5;
constexpr int32_t kDonePercent = 100;
/// Expected ends of a gang that differ by less than this are treated as equal.
constexpr Millis kEndTolerance{50};

/// Whether this is the current run of its task, which the job continues with.
bool IsCurrentRun(const Job& job, UpstreamIndex upstream,
                  const ports::RunningTask& running) {
  const Task& task = job.task(running.task);
  return !job.final() && task.active() && task.phase != TaskPhase::kStopping &&
         task.attempt == running.attempt && task.upstream == upstream;
}

/// Whether the run is expected to end without a stop. This holds for the
/// members of a completed gang: they end together, and the first end that is
/// reported completes all of them. Runs of a cancelled job are always stopped.
bool EndsWithoutStop(const Job& job, const ports::RunningTask& running) {
  const Task& task = job.task(running.task);
  return job.state() != JobState::kCancelled &&
         job.step(running.task.step).gang && task.phase == TaskPhase::kDone &&
         task.attempt == running.attempt;
}

}  // namespace

void Scheduler::AdoptRun(JobRecord& record, UpstreamIndex upstream,
                         const ports::RunningTask& running, TimePoint now) {
  Job& job = record.job;
  Task& task = job.MutableTask(running.task);
  task.attempt = running.attempt;
  task.upstream = upstream;
  task.progressed_at = now;
  task.rate_base_time = {};
  task.expected_end = now + Millis(job.step(running.task.step).estimate_ms);
  task.percent = running.percent;
  job.SetPhase(running.task, TaskPhase::kRunning);
  job.NoteStarted();
}

void Scheduler::OnRunning(UpstreamIndex upstream,
                          const std::vector<ports::RunningTask>& running,
                          TimePoint now, Orders& orders) {
  NoteAnswer(upstream, now, orders);
  for (const ports::RunningTask& run : running) {
    JobRecord* record = FindJobRecord(run.task.job);
    if (record != nullptr && !record->job.Has(run.task)) record = nullptr;
    if (record != nullptr) AccountForRun(*record, upstream, run, now);
    if (record != nullptr && IsCurrentRun(record->job, upstream, run)) {
      RemoveOutlastedEvidence(*record, upstream, run, orders);
      UpdateCurrentRun(*record, upstream, run, now, orders);
    } else {
      StopUnwanted(record, upstream, run, now, orders);
    }
  }
}

void Scheduler::AccountForRun(JobRecord& record, UpstreamIndex upstream,
                              const ports::RunningTask& running,
                              TimePoint now) {
  // Every run takes resources, no matter which leader started it and whether
  // its job continues with it.
  const wire::StepSpec& step = record.job.step(running.task.step);
  pool_.Reserve(
      upstream, running.task, running.attempt,
      {.amount = TaskResources(step),
       .charge = ChargeOf(record, running.task.step),
       .expected_end = ExpectedEndOn(upstream, record, running.task.step, now),
       .reserved_at = now});
  pool_.NoteListed(upstream, running.task, running.attempt, now);
  const Task& task = record.job.task(running.task);
  const EarlierRun earlier{.upstream = upstream, .attempt = running.attempt};
  if (task.phase != TaskPhase::kWaiting) {
    // The start under way may be refused while this run is being stopped.
    const bool current =
        task.attempt == running.attempt && task.upstream == upstream;
    if (task.active() && !current) earlier_runs_.Note(running.task, earlier);
    return;
  }
  // The task's newest run was taken for lost and was not. A stop takes a while,
  // in which the task would start again and run twice at once. A gang runs
  // again as a whole.
  const bool found_again =
      running.attempt >= task.attempt && !record.job.final() && !step.gang;
  if (!record.may_have_unreported_runs && !found_again) {
    return earlier_runs_.Note(running.task, earlier);
  }
  AdoptRun(record, upstream, running, now);
  UpdateQueued(record, running.task.occurrence, running.task.step);
}

void Scheduler::StopUnwanted(const JobRecord* record, UpstreamIndex upstream,
                             const ports::RunningTask& running, TimePoint now,
                             Orders& orders) {
  const StopTracker::Ending ending{
      .reason = record == nullptr ? StopReason::kUnknownJob
                                  : ReasonToStop(record->job.state()),
      .without_stop =
          record != nullptr && EndsWithoutStop(record->job, running)};
  std::optional<StopOrder> stop =
      stops_.NoteListed(upstream, running, ending, now);
  if (!stop) return;
  if (record != nullptr && record->ended_at) {
    stop->since_job_end =
        std::chrono::duration_cast<Millis>(now - *record->ended_at);
  }
  orders.stops.push_back(*stop);
}

void Scheduler::OnStopFailed(UpstreamIndex upstream, const TaskId& task,
                             int64_t attempt, TimePoint now) {
  stops_.NoteFailed(upstream, task, attempt, now);
}

void Scheduler::UpdateCurrentRun(JobRecord& record, UpstreamIndex upstream,
                                 const ports::RunningTask& running,
                                 TimePoint now, Orders& orders) {
  Job& job = record.job;
  Task& task = job.MutableTask(running.task);
  if (task.phase == TaskPhase::kStarting) {
    job.SetPhase(running.task, TaskPhase::kRunning);
    job.NoteStarted();
  }
  if (!running.checkpoint.empty()) task.checkpoint = running.checkpoint;
  const StepState& step_state =
      record.step_state(running.task.occurrence, running.task.step);
  if (step_state.broken && now - step_state.broken_since > kBrokenGangGrace) {
    return StopTask(record, running.task, StopReason::kGangBroken, now, orders);
  }
  const wire::StepSpec& step = job.step(running.task.step);
  ObserveProgress(record, upstream, running, now);
  if (running.percent != task.percent) {
    UpdateExpectedEnd(record, upstream, running, now);
    task.percent = running.percent;
    task.progressed_at = now;
    NoteRunAtWork(record, upstream, running, now, orders);
    if (IsWorthMoving(record, upstream, running.task, now)) {
      StopTask(record, running.task, StopReason::kMoved, now, orders);
    }
    return;
  }
  if (step.long_running || step.filler) {
    return NoteRunAtWork(record, upstream, running, now, orders);
  }
  // The members of a gang end together: a member that has done its own part
  // stays at 100 % until the slowest one is done. If it were treated as
  // stalled, gangs would be broken seconds before their end, again and again.
  if (step.gang && running.percent >= kDonePercent) return;
  // Missing progress shows a stall only while the upstream answers: one that
  // was paused has made none either.
  if (!pool_.at(upstream).reachable) task.progressed_at = now;
  const Millis limit = StallLimit(record, upstream, running.task.step, now);
  if (now - task.progressed_at < limit) return;
  NoteUpstreamFailure(
      {.upstream = upstream,
       .task = running.task,
       .attempt = running.attempt,
       .lasted = pool_.RunTime(upstream, running.task, running.attempt, now)},
      now, UpstreamHealth::kBackoffAfterFailures, orders);
  if (step.gang) {
    return BreakGang(record, running.task.step_id(), now, orders);
  }
  StopTask(record, running.task, StopReason::kStalled, now, orders);
}

Millis Scheduler::StallLimit(const JobRecord& record, UpstreamIndex upstream,
                             int32_t step, TimePoint now) const {
  const wire::StepSpec& spec = record.job.step(step);
  const Millis by_estimate =
      std::max(kMinStallTime, Millis(spec.estimate_ms / kStallEstimateDivisor));
  if (!speeds_active_ || spec.long_running) return by_estimate;
  const auto expected = std::chrono::duration_cast<Millis>(
      ExpectedEndOn(upstream, record, step, now) - now);
  return std::max(by_estimate, expected / kStallEstimateDivisor);
}

void Scheduler::UpdateExpectedEnd(JobRecord& record, UpstreamIndex upstream,
                                  const ports::RunningTask& running,
                                  TimePoint now) {
  Task& task = record.job.MutableTask(running.task);
  if (task.rate_base_time == TimePoint{}) {
    task.rate_base_time = now;
    task.rate_base_percent = running.percent;
    return;
  }
  const int32_t progress = running.percent - task.rate_base_percent;
  if (progress < kMinProgressPercent) return;
  const auto elapsed =
      std::chrono::duration_cast<Millis>(now - task.rate_base_time);
  const Millis time_left =
      elapsed * (kDonePercent - running.percent) / progress;
  task.expected_end = now + time_left;
  if (!record.job.step(running.task.step).gang) {
    return pool_.SetExpectedEnd(upstream, running.task, running.attempt,
                                task.expected_end);
  }
  UpdateExpectedGangEnd(record, running.task.step_id());
}

void Scheduler::UpdateExpectedGangEnd(JobRecord& record, const StepId& id) {
  // All members end together with the slowest one. Until then the others occupy
  // their resources, even at 100 %.
  const int32_t tasks = record.job.step(id.step).tasks;
  TimePoint end{};
  for (int32_t i = 0; i < tasks; ++i) {
    const Task& member = record.job.task({id.job, id.occurrence, id.step, i});
    end = std::max(end, member.expected_end);
  }
  StepState& step_state = record.step_state(id.occurrence, id.step);
  if (end <= step_state.expected_end + kEndTolerance &&
      end + kEndTolerance >= step_state.expected_end) {
    return;
  }
  step_state.expected_end = end;
  for (int32_t i = 0; i < tasks; ++i) {
    const TaskId member_id{id.job, id.occurrence, id.step, i};
    const Task& member = record.job.task(member_id);
    if (!member.active()) continue;
    pool_.SetExpectedEnd(member.upstream, member_id, member.attempt, end);
  }
}

}  // namespace mimosarail::scheduling
