// The part of Scheduler that reads what upstreams list as running: what is
// ours, what nobody asked for, what stands still, and when it will end.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// A stop without an answer is sent again with the first report after this, so
/// that an upstream that tells of many ends is not called with each.
constexpr Millis kRetryStop{100};
/// The members of a broken gang end by themselves; what still runs after this
/// is told to stop.
constexpr Millis kBrokenGangGrace{300};
/// A task whose progress did not move for this long stands still: one percent
/// of a task of 10 s that runs seven times slower takes 0.7 s.
constexpr Millis kStallAtLeast{1500};
/// Or this part of its estimate, for long tasks whose percent moves rarely.
constexpr int64_t kStallEstimateDivisor = 4;
/// An end is foreseen from progress of at least this many percent; less is too
/// rough against what the estimate says.
constexpr int32_t kTellingPercent = 5;
constexpr int32_t kWholePercent = 100;
/// Expected ends of a gang that differ by less are taken for the same.
constexpr Millis kSameEnd{50};

/// Whether this is the run that the job is to go on with.
bool Wanted(const Job& job, UpstreamIndex upstream,
            const ports::RunningTask& running) {
  const Task& task = job.task(running.task);
  return !job.final() && task.active() && task.phase != TaskPhase::kStopping &&
         task.attempt == running.attempt && task.upstream == upstream;
}

/// Whether the run of a task that is done ends without a stop: the members of
/// a gang end together, and the end of one stands for all. What a caller has
/// cancelled is not waited for.
bool EndsByItself(const Job& job, const ports::RunningTask& running) {
  const Task& task = job.task(running.task);
  return job.state() != JobState::kCancelled &&
         job.step(running.task.step).gang && task.phase == TaskPhase::kDone &&
         task.attempt == running.attempt;
}

}  // namespace

void Scheduler::Adopt(Entry& entry, UpstreamIndex upstream,
                      const ports::RunningTask& running, TimePoint now) {
  Job& job = entry.job;
  Task& task = job.task(running.task);
  task.attempt = running.attempt;
  task.upstream = upstream;
  task.progressed_at = now;
  task.rate_since = {};
  task.expected_end = now + Millis(job.step(running.task.step).estimate_ms);
  task.percent = running.percent;
  job.SetPhase(running.task, TaskPhase::kRunning);
  job.NoteStarted();
}

void Scheduler::OnRunning(UpstreamIndex upstream,
                          const std::vector<ports::RunningTask>& running,
                          TimePoint now, Orders& orders) {
  // It answers, so that it has not crashed with what it was given.
  pool_.at(upstream).suspect_runs.clear();
  for (const ports::RunningTask& run : running) {
    Entry* entry = FindEntry(run.task.job);
    if (entry != nullptr && !entry->job.Has(run.task)) entry = nullptr;
    if (entry != nullptr) TakeIn(*entry, upstream, run, now);
    if (entry != nullptr && Wanted(entry->job, upstream, run)) {
      ClearSuspicion(*entry, upstream, run);
      CheckStall(*entry, upstream, run, now, orders);
    } else {
      StopUnwanted(entry, upstream, run, now, orders);
    }
  }
}

void Scheduler::TakeIn(Entry& entry, UpstreamIndex upstream,
                       const ports::RunningTask& running, TimePoint now) {
  // What runs takes room, whoever started it.
  const wire::StepSpec& step = entry.job.step(running.task.step);
  pool_.Reserve(
      upstream, running.task, running.attempt,
      {.amount = TaskRoom(step), .ends = ExpectedEnd(step, now), .since = now});
  pool_.NoteListed(upstream, running.task, running.attempt, now);
  const Task& task = entry.job.task(running.task);
  if (entry.uncertain && task.phase == TaskPhase::kWaiting) {
    Adopt(entry, upstream, running, now);
  }
}

void Scheduler::StopUnwanted(const Entry* entry, UpstreamIndex upstream,
                             const ports::RunningTask& running, TimePoint now,
                             Orders& orders) {
  // Only a stop that was ordered may be waited for. A run that a new leader
  // takes over after its job was cancelled, or that an upstream starts seconds
  // after the order, was never told to stop, or before it was there: taken for
  // stopping, it ran on for two more reports, 2 s and more.
  const auto [at, found] =
      stops_[upstream].try_emplace({running.task, running.attempt});
  StopNote& note = at->second;
  if (found) {
    note.reason = entry == nullptr ? StopReason::kUnknownJob
                                   : ReasonToStop(entry->job.state());
  }
  if (found && entry != nullptr && EndsByItself(entry->job, running)) {
    note.due = now + kStopRetryInterval;
  }
  if (now < note.due) return;
  StopOrder stop{.upstream = upstream,
                 .task = running.task,
                 .attempt = running.attempt,
                 .reason = note.reason,
                 .unasked = !note.ordered};
  if (entry != nullptr && entry->ended) {
    stop.since_end = std::chrono::duration_cast<Millis>(now - *entry->ended);
  }
  note.ordered = true;
  note.due = now + kStopRetryInterval;
  orders.stops.push_back(stop);
}

void Scheduler::OnStopFailed(UpstreamIndex upstream, const TaskId& task,
                             int64_t attempt, TimePoint now) {
  const auto there = stops_.find(upstream);
  if (there == stops_.end()) return;
  const auto note = there->second.find({task, attempt});
  if (note != there->second.end()) note->second.due = now + kRetryStop;
}

void Scheduler::CheckStall(Entry& entry, UpstreamIndex upstream,
                           const ports::RunningTask& running, TimePoint now,
                           Orders& orders) {
  Job& job = entry.job;
  Task& task = job.task(running.task);
  if (task.phase == TaskPhase::kStarting) {
    job.SetPhase(running.task, TaskPhase::kRunning);
    job.NoteStarted();
  }
  if (!running.checkpoint.empty()) task.checkpoint = running.checkpoint;
  const Unit& unit = entry.unit(running.task.occurrence, running.task.step);
  if (unit.aborting && now - unit.abort_since > kBrokenGangGrace) {
    return StopTask(entry, running.task, StopReason::kGangBroken, now, orders);
  }
  const wire::StepSpec& step = job.step(running.task.step);
  if (running.percent != task.percent) {
    ForeseeEnd(entry, upstream, running, now);
    task.percent = running.percent;
    task.progressed_at = now;
    return;
  }
  if (step.lasting || step.filler) return;
  // The members of a gang end together: one that is through its own part
  // stands at the whole until the slowest is. Taken for stuck, it broke gangs
  // that were seconds from their end, over and over.
  if (step.gang && running.percent >= kWholePercent) return;
  const Millis limit =
      std::max(kStallAtLeast, Millis(step.estimate_ms / kStallEstimateDivisor));
  if (now - task.progressed_at < limit) return;
  pool_.NoteFailure(upstream, now, UpstreamPool::kBackoffAfterFailures);
  if (step.gang) {
    return AbortGang(entry, running.task.step_id(), now, orders);
  }
  StopTask(entry, running.task, StopReason::kStalled, now, orders);
}

void Scheduler::ForeseeEnd(Entry& entry, UpstreamIndex upstream,
                           const ports::RunningTask& running, TimePoint now) {
  Task& task = entry.job.task(running.task);
  if (task.rate_since == TimePoint{}) {
    task.rate_since = now;
    task.rate_base_percent = running.percent;
    return;
  }
  const int32_t moved = running.percent - task.rate_base_percent;
  if (moved < kTellingPercent) return;
  const auto took = std::chrono::duration_cast<Millis>(now - task.rate_since);
  const Millis left = took * (kWholePercent - running.percent) / moved;
  task.expected_end = now + left;
  if (!entry.job.step(running.task.step).gang) {
    return pool_.Foresee(upstream, running.task, running.attempt,
                         task.expected_end);
  }
  ForeseeGang(entry, running.task.step_id());
}

void Scheduler::ForeseeGang(Entry& entry, const StepId& id) {
  // The members end together, with the slowest: until then the others hold
  // their room, though they stand at 100 %.
  const int32_t tasks = entry.job.step(id.step).tasks;
  TimePoint end{};
  for (int32_t i = 0; i < tasks; ++i) {
    const Task& member = entry.job.task({id.job, id.occurrence, id.step, i});
    end = std::max(end, member.expected_end);
  }
  Unit& unit = entry.unit(id.occurrence, id.step);
  if (end <= unit.foreseen + kSameEnd && end + kSameEnd >= unit.foreseen) {
    return;
  }
  unit.foreseen = end;
  for (int32_t i = 0; i < tasks; ++i) {
    const TaskId member_id{id.job, id.occurrence, id.step, i};
    const Task& member = entry.job.task(member_id);
    if (!member.active()) continue;
    pool_.Foresee(member.upstream, member_id, member.attempt, end);
  }
}

}  // namespace mimosarail::scheduling
