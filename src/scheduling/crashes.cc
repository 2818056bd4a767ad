// The part of Scheduler that determines which tasks crash their upstreams. An
// upstream that stops responding may have crashed, or may only be unreachable,
// which shows later: it answers again, a later incarnation answers in its
// place, or it stays away. Only a crash counts against the tasks that ran
// there. Runs that had only just begun are suspected, and restart where nothing
// else is new, so that a further crash has a single possible cause.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

constexpr Millis kEarlyWindow = CrashEvidence::kEarlyWindow;

std::optional<Millis> TimeSince(const std::optional<TimePoint>& when,
                                TimePoint now) {
  if (!when) return std::nullopt;
  return std::chrono::duration_cast<Millis>(now - *when);
}

bool IsEarly(const SuspectRun& run) { return run.silent_after < kEarlyWindow; }

/// Whether the job has a run that was not seen beyond its first moments.
bool HasNewRun(const SuspectRuns& runs, JobId job) {
  return std::any_of(runs.begin(), runs.end(), [job](const auto& run) {
    return run.first.first.job == job &&
           run.second.last_seen.value_or(Millis(0)) < kEarlyWindow;
  });
}

/// The jobs with a run that had only just started, confirmed or not.
std::set<JobId> NewJobs(const SuspectRuns& runs) {
  std::set<JobId> out;
  for (const auto& [run, suspect] : runs) {
    if (IsEarly(suspect)) out.insert(run.first.job);
  }
  return out;
}

SuspectRun ToSuspectRun(const Reservation& run, TimePoint unresponsive_since) {
  SuspectRun out{.silent_after = std::chrono::duration_cast<Millis>(
                     unresponsive_since - run.reserved_at)};
  if (!run.confirmed) return out;
  const TimePoint last_seen = run.last_listed_at.value_or(*run.started_at);
  out.last_seen =
      std::chrono::duration_cast<Millis>(last_seen - *run.started_at);
  return out;
}

void AppendEvents(EvidenceChange change, const TaskId& task,
                  const CrashEvidence::List& crashes, Orders& orders) {
  for (const SuspectedCrash& crash : crashes) {
    orders.evidence.push_back({.task = task, .change = change, .crash = crash});
  }
}

}  // namespace

void Scheduler::OnAllRunsEnded(UpstreamIndex upstream, UpstreamLoss why,
                               TimePoint now, Orders& orders) {
  if (why == UpstreamLoss::kLeasesExpired) {
    return OnLeasesExpired(upstream, {}, now, orders);
  }
  const SuspectRuns runs = TakeSuspectRuns(upstream, {}, now);
  ReleaseLostRuns(upstream, why, {}, now, orders);
  const ports::UpstreamEntry& entry = pool_.at(upstream).entry;
  switch (why) {
    case UpstreamLoss::kCrashed:
      AddEvidence(upstream, runs, UpstreamFate::kReplaced, now, orders);
      return ConfirmCrash(entry.id, UpstreamFate::kReplaced, now, orders);
    case UpstreamLoss::kLeft:
    case UpstreamLoss::kMaintenance:
      return WithdrawEvidence(entry.id, now, orders);
    case UpstreamLoss::kLeasesExpired:
    case UpstreamLoss::kUnreachable:
      return;
  }
}

void Scheduler::OnLeasesExpired(UpstreamIndex upstream, const RunSet& remaining,
                                TimePoint now, Orders& orders) {
  const SuspectRuns runs = TakeSuspectRuns(upstream, remaining, now);
  ReleaseLostRuns(upstream, UpstreamLoss::kLeasesExpired, remaining, now,
                  orders);
  if (pool_.at(upstream).entry.draining) return;
  AddEvidence(upstream, runs, UpstreamFate::kUnknown, now, orders);
}

void Scheduler::OnRestarted(UpstreamIndex upstream, int64_t incarnation,
                            const RunSet& remaining, TimePoint now,
                            Orders& orders) {
  const Upstream& it = pool_.at(upstream);
  const bool entry_is_old = it.entry.incarnation < incarnation;
  const bool drained =
      it.predecessor_drained || (entry_is_old && it.entry.draining);
  const UpstreamLoss why =
      drained ? UpstreamLoss::kLeft : UpstreamLoss::kCrashed;
  const SuspectRuns runs = TakeSuspectRuns(upstream, remaining, now);
  ReleaseLostRuns(upstream, why, remaining, now, orders);
  if (drained) {
    WithdrawEvidence(it.entry.id, now, orders);
  } else {
    AddEvidence(upstream, runs, UpstreamFate::kReplaced, now, orders);
    ConfirmCrash(it.entry.id, UpstreamFate::kReplaced, now, orders);
  }
  pool_.NoteRestarted(upstream, incarnation, now);
  DropAdvice(upstream);
}

void Scheduler::DropAdvice(UpstreamIndex upstream) {
  for (auto& [id, record] : jobs_) {
    if (record->job.final()) continue;
    for (auto& [index, step_state] : record->step_states) {
      step_state.advice.upstreams.erase(upstream);
    }
  }
}

SuspectRuns Scheduler::TakeSuspectRuns(UpstreamIndex upstream,
                                       const RunSet& remaining, TimePoint now) {
  SuspectRuns runs = std::exchange(pool_.at(upstream).suspect_runs, {});
  runs.merge(SuspectRunsOn(upstream, now));
  std::erase_if(
      runs, [&](const auto& run) { return remaining.count(run.first) > 0; });
  return runs;
}

void Scheduler::ReleaseLostRuns(UpstreamIndex upstream, UpstreamLoss why,
                                const RunSet& remaining, TimePoint now,
                                Orders& orders) {
  stops_.RemoveAll(upstream);
  const Reservations lost = pool_.at(upstream).reservations;
  for (const auto& [run, reservation] : lost) {
    if (remaining.count(run) > 0) continue;
    const auto& [id, attempt] = run;
    pool_.Release(upstream, id, attempt);
    earlier_runs_.Forget(id, attempt);
    orders.lost.push_back(
        {.upstream = upstream,
         .task = id,
         .attempt = attempt,
         .reason = why,
         .since_start = TimeSince(reservation.started_at, now),
         .since_last_listed = TimeSince(reservation.last_listed_at, now)});
    JobRecord* record = FindJobRecord(id.job);
    if (record == nullptr || !record->job.Has(id)) continue;
    record->job.ReleaseTask(id);
    const Task& task = record->job.task(id);
    if (!task.active() || task.attempt != attempt) continue;
    if (task.upstream != upstream) continue;
    ReturnToWaiting(*record, id, now);
    if (record->job.final() || !record->job.step(id.step).gang) continue;
    if (record->job.step_counts(id.occurrence, id.step).active > 0) {
      BreakGang(*record, id.step_id(), now, orders);
    }
  }
}

SuspectRuns Scheduler::SuspectRunsOn(UpstreamIndex upstream,
                                     TimePoint now) const {
  const Upstream& it = pool_.at(upstream);
  const TimePoint unresponsive_since = it.unresponsive_since.value_or(now);
  SuspectRuns out;
  for (const auto& [run, reservation] : it.reservations) {
    out.emplace(run, ToSuspectRun(reservation, unresponsive_since));
  }
  return out;
}

void Scheduler::AddEvidence(UpstreamIndex upstream, const SuspectRuns& runs,
                            UpstreamFate fate, TimePoint now, Orders& orders) {
  const Upstream& it = pool_.at(upstream);
  const bool sole_suspect = fate == UpstreamFate::kReplaced &&
                            !it.unresponsive_with_others &&
                            NewJobs(runs).size() == 1;
  const bool explained =
      it.quarantine.has_value() && HasNewRun(runs, it.quarantine->job);
  for (const auto& [run, suspect] : runs) {
    const auto& [id, attempt] = run;
    // A run that is not known to have started is not shown to be the cause.
    if (!suspect.last_seen) continue;
    // A suspect that had only just started is the likelier cause than a run
    // that had lasted.
    const bool lasted = *suspect.last_seen >= kEarlyWindow;
    if (explained && lasted && id.job != it.quarantine->job) continue;
    JobRecord* record = FindJobRecord(id.job);
    if (record == nullptr || !record->job.Has(id) || record->job.final()) {
      continue;
    }
    if (record->job.task(id).phase == TaskPhase::kDone) continue;
    const SuspectedCrash crash{.attempt = attempt,
                               .upstream = it.entry.id,
                               .incarnation = it.entry.incarnation,
                               .last_seen = *suspect.last_seen,
                               .silent_after = suspect.silent_after,
                               .sole_suspect = sole_suspect && IsEarly(suspect),
                               .fate = fate};
    if (!record->job.MutableTask(id).crashes.Add(crash)) continue;
    MarkChanged(*record);
    AppendEvents(EvidenceChange::kAdded, id, {crash}, orders);
    if (fate == UpstreamFate::kUnknown) {
      const TimePoint since = it.unresponsive_since.value_or(now);
      silent_upstreams_.Add(it.entry.id, id, since);
    }
    FailIfCrashing(*record, id, now, orders);
  }
}

void Scheduler::UpdateEvidence(const std::string& upstream,
                               const FateUpdate& update, TimePoint now,
                               Orders& orders) {
  for (const TaskId& id : silent_upstreams_.TasksOf(upstream)) {
    JobRecord* record = FindJobRecord(id.job);
    if (record == nullptr || !record->job.Has(id) || record->job.final()) {
      continue;
    }
    if (record->job.task(id).crashes.empty()) continue;
    update(record->job.MutableTask(id).crashes, id);
    MarkChanged(*record);
    FailIfCrashing(*record, id, now, orders);
  }
}

void Scheduler::ConfirmCrash(const std::string& upstream, UpstreamFate fate,
                             TimePoint now, Orders& orders) {
  UpdateEvidence(
      upstream,
      [&](CrashEvidence& crashes, const TaskId& id) {
        AppendEvents(EvidenceChange::kConfirmed, id,
                     crashes.SetFate(upstream, fate), orders);
      },
      now, orders);
  if (fate == UpstreamFate::kReplaced) silent_upstreams_.Remove(upstream);
}

void Scheduler::WithdrawEvidence(const std::string& upstream, TimePoint now,
                                 Orders& orders) {
  UpdateEvidence(
      upstream,
      [&](CrashEvidence& crashes, const TaskId& id) {
        AppendEvents(EvidenceChange::kWithdrawn, id, crashes.Withdraw(upstream),
                     orders);
      },
      now, orders);
  silent_upstreams_.Remove(upstream);
}

void Scheduler::NoteAnswer(UpstreamIndex upstream, TimePoint now,
                           Orders& orders) {
  Upstream& it = pool_.at(upstream);
  it.suspect_runs.clear();
  const std::string& name = it.entry.id;
  if (!silent_upstreams_.Contains(name)) return;
  UpdateEvidence(
      name,
      [&](CrashEvidence& crashes, const TaskId& id) {
        AppendEvents(EvidenceChange::kWithdrawn, id,
                     crashes.NoteAnswer(name, it.entry.incarnation), orders);
      },
      now, orders);
  silent_upstreams_.Remove(name);
}

void Scheduler::RegisterEvidence(const JobRecord& record, TimePoint now) {
  if (record.job.final()) return;
  for (const StepId& step : record.job.OpenSteps()) {
    for (int32_t i = 0; i < record.job.step(step.step).tasks; ++i) {
      const TaskId id{step.job, step.occurrence, step.step, i};
      for (const SuspectedCrash& crash : record.job.task(id).crashes.list()) {
        if (crash.fate == UpstreamFate::kReplaced) continue;
        silent_upstreams_.Add(crash.upstream, id, now);
      }
    }
  }
}

bool Scheduler::AwaitsFate(const std::string& upstream) const {
  return silent_upstreams_.AwaitsFate(upstream);
}

bool Scheduler::IsListed(const std::string& upstream) const {
  const UpstreamIndex index = pool_.Find(upstream);
  return index != kNoUpstream && pool_.at(index).listed;
}

bool Scheduler::HasEvidence(const TaskId& id) const {
  const Job* job = Find(id.job);
  return job != nullptr && !job->final() && job->Has(id) &&
         !job->task(id).crashes.empty();
}

void Scheduler::CheckMissingUpstreams(TimePoint now, Orders& orders) {
  silent_upstreams_.RemoveTasks(
      [this](const TaskId& id) { return !HasEvidence(id); });
  const std::vector<std::string> missing = silent_upstreams_.AssumeCrashes(
      [this](const std::string& upstream) { return IsListed(upstream); }, now);
  for (const std::string& upstream : missing) {
    ConfirmCrash(upstream, UpstreamFate::kMissing, now, orders);
  }
}

void Scheduler::FailIfCrashing(JobRecord& record, const TaskId& id,
                               TimePoint now, Orders& orders) {
  if (record.job.final()) return;
  const CrashEvidence& crashes = record.job.task(id).crashes;
  if (!crashes.ShowsCause(IsConfirmed)) return;
  CrashEvidence::List counted = crashes.list();
  std::erase_if(counted,
                [](const SuspectedCrash& it) { return !IsConfirmed(it); });
  orders.permanently_failed.push_back(
      {.task = id, .crashes = std::move(counted)});
  FinishJob(record, JobState::kFailed, now);
  StopAll(record, StopReason::kJobFailed, now, orders);
}

bool Scheduler::AwaitsEvidence(const Task& task) const {
  if (task.crashes.empty()) return false;
  return task.crashes.ShowsCause([this](const SuspectedCrash& crash) {
    return IsConfirmed(crash) || !IsListed(crash.upstream);
  });
}

void Scheduler::RemoveOutlastedEvidence(JobRecord& record,
                                        UpstreamIndex upstream,
                                        const ports::RunningTask& running,
                                        Orders& orders) {
  if (record.job.task(running.task).crashes.empty()) return;
  const Reservations& reservations = pool_.at(upstream).reservations;
  const auto run = reservations.find({running.task, running.attempt});
  if (run == reservations.end() || !run->second.started_at) return;
  const auto lasted = std::chrono::duration_cast<Millis>(
      *run->second.last_listed_at - *run->second.started_at);
  const CrashEvidence::List outlasted =
      record.job.MutableTask(running.task).crashes.RemoveOutlasted(lasted);
  if (outlasted.empty()) return;
  AppendEvents(EvidenceChange::kOutlasted, running.task, outlasted, orders);
  MarkChanged(record);
}

bool Scheduler::HasCrashSuspect(const JobRecord& record,
                                const StepId& id) const {
  for (int32_t i = 0; i < record.job.step(id.step).tasks; ++i) {
    const TaskId task{id.job, id.occurrence, id.step, i};
    if (record.job.task(task).crashes.suspect()) return true;
  }
  return false;
}

}  // namespace mimosarail::scheduling
