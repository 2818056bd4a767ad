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
/// has lasted this long is no longer suspected.
constexpr Millis kEarlyWindow{300};
/// Duration of a quarantine. Slightly longer than kEarlyWindow, which a suspect
/// task waits after the newest start on the upstream, so that the upstream is
/// still quarantined when the task is placed.
constexpr Millis kQuarantineDuration{400};
/// A run of this length shows that its task does not crash upstreams.
constexpr Millis kHarmlessRunTime{30000};
/// A suspect prefers upstreams that have been known for this long: one that has
/// just come back is more likely to fail again for reasons of its own.
constexpr Millis kEstablishedAge{10000};
/// Number of early crashes after which a task fails permanently:
/// kSoleSuspectLimit applies if the task's run was in its early window at the
/// last crash and no run of another job was, kEarlyLimit otherwise.
constexpr size_t kSoleSuspectLimit = 2;
constexpr size_t kEarlyLimit = 3;
/// Number of crashes, early or not, after which a task fails permanently. A
/// caller tolerates three lost upstreams and two more starts; the limit of four
/// leaves one of these for a crash that no leader recorded.
constexpr size_t kTotalLimit = 4;

std::optional<Millis> Since(const std::optional<TimePoint>& at, TimePoint now) {
  if (!at) return std::nullopt;
  return std::chrono::duration_cast<Millis>(now - *at);
}

/// Whether the run is known to have begun, and was still in its early window
/// when its upstream became unresponsive.
bool InEarlyWindow(const Reservation& run, TimePoint unresponsive_since) {
  if (!run.began) return false;
  if (run.listed && *run.listed - *run.began >= kEarlyWindow) return false;
  return unresponsive_since - *run.began < kEarlyWindow;
}

}  // namespace

void Scheduler::OnUpstreamEmpty(UpstreamIndex upstream, UpstreamLoss why,
                                TimePoint now, Orders& orders) {
  SuspectRuns runs = std::exchange(pool_.at(upstream).suspect_runs, {});
  runs.merge(RunsOf(upstream, now));
  ReleaseLostRuns(upstream, why, now, orders);
  // Whether the upstream has crashed is known only later: if it was
  // partitioned, it keeps running and answers again.
  if (why == UpstreamLoss::kCrashed) CountCrash(runs, now, orders);
  if (why == UpstreamLoss::kLeasesExpired) {
    pool_.at(upstream).suspect_runs = std::move(runs);
  }
}

void Scheduler::ReleaseLostRuns(UpstreamIndex upstream, UpstreamLoss why,
                                TimePoint now, Orders& orders) {
  stops_.erase(upstream);
  const Reservations lost = pool_.at(upstream).reservations;
  for (const auto& [run, reservation] : lost) {
    const auto& [id, attempt] = run;
    pool_.Release(upstream, id, attempt);
    orders.lost.push_back({.upstream = upstream,
                           .task = id,
                           .attempt = attempt,
                           .reason = why,
                           .began_ago = Since(reservation.began, now),
                           .listed_ago = Since(reservation.listed, now)});
    JobRecord* record = FindJobRecord(id.job);
    if (record == nullptr || !record->job.Has(id)) continue;
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

SuspectRuns Scheduler::RunsOf(UpstreamIndex upstream, TimePoint now) const {
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
  Finish(record, JobState::kFailed, now);
  StopAll(record, StopReason::kJobFailed, now, orders);
}

void Scheduler::ClearSuspicion(JobRecord& record, UpstreamIndex upstream,
                               const ports::RunningTask& running) {
  CrashCounts& crashes = record.job.task(running.task).crashes;
  if (crashes.total() == 0) return;
  const Reservations& reservations = pool_.at(upstream).reservations;
  const auto run = reservations.find({running.task, running.attempt});
  if (run == reservations.end() || !run->second.began) return;
  const auto worked = *run->second.listed - *run->second.began;
  if (worked >= kHarmlessRunTime) {
    crashes = {};
  } else if (worked >= kEarlyWindow && crashes.suspect()) {
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
  // Prefer upstreams without recent starts, then established ones, then the one
  // where a crash affects the fewest runs.
  std::tuple<bool, bool, size_t> best_rank;
  for (Candidate& candidate : from) {
    if (candidate.fit <= 0) continue;
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
    capacity += end->fit;
    none_has_recent_starts = none_has_recent_starts && no_recent_starts(*end);
  }
  found.erase(end, found.end());
  for (const Candidate& candidate : found) {
    BeginQuarantine(candidate.upstream, record.job.id(), now);
  }
  return none_has_recent_starts;
}

}  // namespace mimosarail::scheduling
