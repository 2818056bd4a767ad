// The part of Scheduler that determines which tasks crash their upstreams. A
// crash is detected when a new incarnation answers at an upstream's address, or
// when the upstream stays unresponsive and is no longer listed. Each run there
// may be the cause or a victim. Runs that had only just begun are suspected,
// and restart where nothing else is new, so that a second crash has a single
// possible cause.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// A task that crashes its upstream usually does so as it starts. A run that
/// lasts this long is not suspected if the upstream crashes later.
constexpr Millis kEarlyWindow{300};
/// Duration of a quarantine. A suspect task starts only kEarlyWindow after the
/// newest start on the upstream. The quarantine is slightly longer, so that it
/// still holds when the task starts.
constexpr Millis kQuarantineDuration{400};
/// A run of this length shows that its task does not crash upstreams.
constexpr Millis kHarmlessRunTime{30000};
/// A suspect task prefers upstreams that have been known for this long. One
/// that has just come back is more likely to crash again for reasons of its
/// own.
constexpr Millis kEstablishedAge{10000};
/// Number of early crashes after which a task fails permanently. An early crash
/// is one in the early window of a run. kSoleSuspectLimit applies if the last
/// crash was in the early window of the task's run and of no run of another
/// job; otherwise kEarlyLimit applies.
constexpr size_t kSoleSuspectLimit = 2;
constexpr size_t kEarlyLimit = 3;
/// Number of crashes, early or not, after which a task fails permanently. Three
/// upstreams lost to a task and two more starts of it are acceptable, five in
/// all. The limit of four leaves one for a crash that no leader recorded.
constexpr size_t kTotalLimit = 4;

std::optional<Millis> TimeSince(const std::optional<TimePoint>& when,
                                TimePoint now) {
  if (!when) return std::nullopt;
  return std::chrono::duration_cast<Millis>(now - *when);
}

/// Whether the run is known to have started, and was still in its early window
/// when its upstream became unresponsive.
bool InEarlyWindow(const Reservation& run, TimePoint unresponsive_since) {
  if (!run.started_at) return false;
  if (run.last_listed_at &&
      *run.last_listed_at - *run.started_at >= kEarlyWindow) {
    return false;
  }
  return unresponsive_since - *run.started_at < kEarlyWindow;
}

}  // namespace

void Scheduler::OnAllRunsEnded(UpstreamIndex upstream, UpstreamLoss why,
                               TimePoint now, Orders& orders) {
  SuspectRuns runs = std::exchange(pool_.at(upstream).suspect_runs, {});
  runs.merge(SuspectRunsOn(upstream, now));
  ReleaseLostRuns(upstream, why, {}, now, orders);
  // Whether the upstream has crashed is known only later: if it was
  // partitioned, it keeps running and answers again.
  if (why == UpstreamLoss::kCrashed) CountCrash(runs, now, orders);
  if (why == UpstreamLoss::kLeasesExpired) {
    pool_.at(upstream).suspect_runs = std::move(runs);
  }
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
  SuspectRuns runs = std::exchange(pool_.at(upstream).suspect_runs, {});
  runs.merge(SuspectRunsOn(upstream, now));
  std::erase_if(
      runs, [&](const auto& run) { return remaining.count(run.first) > 0; });
  ReleaseLostRuns(upstream, why, remaining, now, orders);
  if (why == UpstreamLoss::kCrashed) CountCrash(runs, now, orders);
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

void Scheduler::ReleaseLostRuns(UpstreamIndex upstream, UpstreamLoss why,
                                const RunSet& remaining, TimePoint now,
                                Orders& orders) {
  stops_.erase(upstream);
  const Reservations lost = pool_.at(upstream).reservations;
  for (const auto& [run, reservation] : lost) {
    if (remaining.count(run) > 0) continue;
    const auto& [id, attempt] = run;
    pool_.Release(upstream, id, attempt);
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
  SuspectRuns out;
  for (const auto& [run, reservation] : it.reservations) {
    out.emplace(
        run, InEarlyWindow(reservation, it.unresponsive_since.value_or(now)));
  }
  return out;
}

void Scheduler::CountCrash(const SuspectRuns& runs, TimePoint now,
                           Orders& orders) {
  std::set<JobId> suspects;
  for (const auto& [run, early] : runs) {
    if (early) suspects.insert(run.first.job);
  }
  for (const auto& [run, early] : runs) {
    const auto& [id, attempt] = run;
    JobRecord* record = FindJobRecord(id.job);
    if (record == nullptr || !record->job.Has(id) || record->job.final()) {
      continue;
    }
    const Task& task = record->job.task(id);
    if (task.phase == TaskPhase::kDone) continue;
    if (!record->job.CountCrash(id, attempt, early)) continue;
    MarkChanged(*record);
    const bool sole_suspect = early && suspects.size() == 1;
    const size_t limit = sole_suspect ? kSoleSuspectLimit : kEarlyLimit;
    if (task.crashes.early.size() < limit &&
        task.crashes.total() < kTotalLimit) {
      continue;
    }
    FailPermanently(*record, id, now, orders);
  }
}

void Scheduler::FailPermanently(JobRecord& record, const TaskId& id,
                                TimePoint now, Orders& orders) {
  orders.permanently_failed.push_back(
      {.task = id, .crashes = record.job.task(id).crashes});
  FinishJob(record, JobState::kFailed, now);
  StopAll(record, StopReason::kJobFailed, now, orders);
}

void Scheduler::ClearSuspicion(JobRecord& record, UpstreamIndex upstream,
                               const ports::RunningTask& running) {
  if (record.job.task(running.task).crashes.total() == 0) return;
  CrashCounts& crashes = record.job.MutableTask(running.task).crashes;
  const Reservations& reservations = pool_.at(upstream).reservations;
  const auto run = reservations.find({running.task, running.attempt});
  if (run == reservations.end() || !run->second.started_at) return;
  const auto lasted = *run->second.last_listed_at - *run->second.started_at;
  if (lasted >= kHarmlessRunTime) {
    crashes = {};
  } else if (lasted >= kEarlyWindow && crashes.suspect()) {
    // The task does not crash upstreams as it starts, but may still do so
    // later.
    crashes.other.insert(crashes.other.end(), crashes.early.begin(),
                         crashes.early.end());
    crashes.early.clear();
  } else {
    return;
  }
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

void Scheduler::BeginQuarantine(UpstreamIndex upstream, JobId job,
                                TimePoint now) {
  pool_.at(upstream).quarantine = {.job = job,
                                   .until = now + kQuarantineDuration};
}

Scheduler::Candidate* Scheduler::PickForQuarantine(const JobRecord& record,
                                                   std::vector<Candidate>& from,
                                                   TimePoint now) {
  Candidate* best = nullptr;
  // Prefers upstreams without recent starts, then those known for long, then
  // the one where a crash affects the fewest runs.
  std::tuple<bool, bool, size_t> best_rank;
  for (Candidate& candidate : from) {
    if (candidate.fitting_tasks <= 0) continue;
    const Upstream& it = pool_.at(candidate.upstream);
    const std::tuple rank(
        !pool_.HasNoRecentStarts(candidate.upstream, record.job.id(),
                                 kEarlyWindow, now),
        now - it.known_since < kEstablishedAge, it.reservations.size());
    if (best != nullptr && best_rank <= rank) continue;
    best = &candidate;
    best_rank = rank;
  }
  if (best == nullptr) return nullptr;
  BeginQuarantine(best->upstream, record.job.id(), now);
  const bool no_recent_starts = !std::get<0>(best_rank);
  return no_recent_starts ? best : nullptr;
}

bool Scheduler::SelectForQuarantine(const JobRecord& record,
                                    const wire::StepSpec& step,
                                    std::vector<Candidate>& found,
                                    TimePoint now) {
  const auto no_recent_starts = [&](const Candidate& candidate) {
    return pool_.HasNoRecentStarts(candidate.upstream, record.job.id(),
                                   kEarlyWindow, now);
  };
  std::stable_sort(found.begin(), found.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return no_recent_starts(a) && !no_recent_starts(b);
                   });
  int64_t capacity = 0;
  bool none_has_recent_starts = true;
  auto end = found.begin();
  for (; end != found.end() && capacity < step.tasks; ++end) {
    capacity += end->fitting_tasks;
    none_has_recent_starts = none_has_recent_starts && no_recent_starts(*end);
  }
  found.erase(end, found.end());
  for (const Candidate& candidate : found) {
    BeginQuarantine(candidate.upstream, record.job.id(), now);
  }
  return none_has_recent_starts;
}

}  // namespace mimosarail::scheduling
