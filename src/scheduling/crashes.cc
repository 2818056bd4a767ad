// The part of Scheduler that tells which tasks crash their upstreams. A crash
// is found when another life answers in an upstream's place, or when it stays
// away; what ran there may be its cause or its victim. What had only just begun
// is suspected, and starts anew where nothing else is new, so that a second
// crash has one cause.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// A task that crashes its upstream mostly does so as it starts. What has gone
/// on for this long is no longer suspected.
constexpr Millis kFirstMoments{300};
/// Lasts a little beyond the wait for what began there last, so that a later
/// pass of placing finds the upstream still kept.
constexpr Millis kQuarantine{400};
/// A run of this length shows that its task does not crash upstreams.
constexpr Millis kHarmless{30000};
/// Upstreams that have been there for so long go first for a suspect: one that
/// has just come back is more likely to go again for reasons of its own.
constexpr Millis kEstablished{10000};
/// Crashes in a run's first moments after which the task is given up, where
/// nothing else on the upstream was new in the last of them, and where others
/// were.
constexpr size_t kAloneLimit = 2;
constexpr size_t kEarlyLimit = 3;
/// The same of all crashes under it. Callers bear three upstreams and two more
/// starts; one is kept for a crash that no leader has seen.
constexpr size_t kTotalLimit = 4;

std::optional<Millis> Since(const std::optional<TimePoint>& at, TimePoint now) {
  if (!at) return std::nullopt;
  return std::chrono::duration_cast<Millis>(now - *at);
}

/// Whether the run is known to have begun, and not to have gone on for longer
/// than its first moments when its upstream fell silent.
bool InFirstMoments(const Reservation& run, TimePoint silent_since) {
  if (!run.began) return false;
  if (run.listed && *run.listed - *run.began >= kFirstMoments) return false;
  return silent_since - *run.began < kFirstMoments;
}

}  // namespace

void Scheduler::OnUpstreamEmpty(UpstreamIndex upstream, UpstreamLoss why,
                                TimePoint now, Orders& orders) {
  SuspectRuns runs = std::exchange(pool_.at(upstream).suspect_runs, {});
  runs.merge(RunsOf(upstream, now));
  LoseRuns(upstream, why, now, orders);
  // Whether it has crashed is told later: cut off, it runs on and answers
  // again.
  if (why == UpstreamLoss::kCrashed) CountCrash(runs, now, orders);
  if (why == UpstreamLoss::kLeasesExpired) {
    pool_.at(upstream).suspect_runs = std::move(runs);
  }
}

void Scheduler::LoseRuns(UpstreamIndex upstream, UpstreamLoss why,
                         TimePoint now, Orders& orders) {
  stops_.erase(upstream);
  const Reservations lost = pool_.at(upstream).held;
  for (const auto& [run, room] : lost) {
    const auto& [id, attempt] = run;
    pool_.Release(upstream, id, attempt);
    orders.lost.push_back({.upstream = upstream,
                           .task = id,
                           .attempt = attempt,
                           .why = why,
                           .began_ago = Since(room.began, now),
                           .listed_ago = Since(room.listed, now)});
    Entry* entry = FindEntry(id.job);
    if (entry == nullptr || !entry->job.Has(id)) continue;
    const Task& task = entry->job.task(id);
    if (!task.active() || task.attempt != attempt) continue;
    if (task.upstream != upstream) continue;
    BackToWaiting(*entry, id, now);
    if (entry->job.final() || !entry->job.step(id.step).gang) continue;
    if (entry->job.step_counts(id.occurrence, id.step).active > 0) {
      AbortGang(*entry, id.step_id(), now, orders);
    }
  }
}

SuspectRuns Scheduler::RunsOf(UpstreamIndex upstream, TimePoint now) const {
  const Upstream& it = pool_.at(upstream);
  SuspectRuns out;
  for (const auto& [run, room] : it.held) {
    out.emplace(run, InFirstMoments(room, it.silent_since.value_or(now)));
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
    Entry* entry = FindEntry(id.job);
    if (entry == nullptr || !entry->job.Has(id) || entry->job.final()) continue;
    const Task& task = entry->job.task(id);
    if (task.phase == TaskPhase::kDone) continue;
    if (!entry->job.CountCrash(id, attempt, early)) continue;
    Changed(*entry);
    const bool alone = early && suspects.size() == 1;
    const size_t limit = alone ? kAloneLimit : kEarlyLimit;
    if (task.crashes.early.size() < limit &&
        task.crashes.total() < kTotalLimit) {
      continue;
    }
    GiveUp(*entry, id, now, orders);
  }
}

void Scheduler::GiveUp(Entry& entry, const TaskId& id, TimePoint now,
                       Orders& orders) {
  orders.given_up.push_back(
      {.task = id, .crashes = entry.job.task(id).crashes});
  Finish(entry, JobState::kFailed, now);
  StopAll(entry, StopReason::kJobFailed, now, orders);
}

void Scheduler::ClearSuspicion(Entry& entry, UpstreamIndex upstream,
                               const ports::RunningTask& running) {
  CrashCounts& crashes = entry.job.task(running.task).crashes;
  if (crashes.total() == 0) return;
  const Reservations& held = pool_.at(upstream).held;
  const auto run = held.find({running.task, running.attempt});
  if (run == held.end() || !run->second.began) return;
  const auto worked = *run->second.listed - *run->second.began;
  if (worked >= kHarmless) {
    crashes = {};
  } else if (worked >= kFirstMoments && crashes.suspect()) {
    // It does not crash upstreams as it starts. Later it still may.
    crashes.other.insert(crashes.other.end(), crashes.early.begin(),
                         crashes.early.end());
    crashes.early.clear();
  } else {
    return;
  }
  Changed(entry);
}

bool Scheduler::HasCrashSuspect(const Entry& entry, const StepId& id) const {
  for (int32_t i = 0; i < entry.job.step(id.step).tasks; ++i) {
    const TaskId task{id.job, id.occurrence, id.step, i};
    if (entry.job.task(task).crashes.suspect()) return true;
  }
  return false;
}

void Scheduler::BeginQuarantine(UpstreamIndex upstream, JobId job,
                                TimePoint now) {
  pool_.at(upstream).quarantine = {.job = job, .until = now + kQuarantine};
}

Scheduler::Candidate* Scheduler::PickForQuarantine(const Entry& entry,
                                                   std::vector<Candidate>& from,
                                                   TimePoint now) {
  Candidate* best = nullptr;
  // Quiet ones first, of these established ones, of these the one on which a
  // crash takes least with it.
  std::tuple<bool, bool, size_t> best_rank;
  for (Candidate& candidate : from) {
    if (candidate.fit <= 0) continue;
    const Upstream& it = pool_.at(candidate.upstream);
    const std::tuple rank(
        !pool_.HasNoRecentStarts(candidate.upstream, entry.job.id(),
                                 kFirstMoments, now),
        now - it.known_since < kEstablished, it.held.size());
    if (best != nullptr && best_rank <= rank) continue;
    best = &candidate;
    best_rank = rank;
  }
  if (best == nullptr) return nullptr;
  BeginQuarantine(best->upstream, entry.job.id(), now);
  const bool quiet = !std::get<0>(best_rank);
  return quiet ? best : nullptr;
}

bool Scheduler::KeepForQuarantine(const Entry& entry,
                                  const wire::StepSpec& step,
                                  std::vector<Candidate>& found,
                                  TimePoint now) {
  const auto quiet = [&](const Candidate& candidate) {
    return pool_.HasNoRecentStarts(candidate.upstream, entry.job.id(),
                                   kFirstMoments, now);
  };
  std::stable_sort(found.begin(), found.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return quiet(a) && !quiet(b);
                   });
  int64_t room = 0;
  bool all_quiet = true;
  auto end = found.begin();
  for (; end != found.end() && room < step.tasks; ++end) {
    room += end->fit;
    all_quiet = all_quiet && quiet(*end);
  }
  found.erase(end, found.end());
  for (const Candidate& candidate : found) {
    BeginQuarantine(candidate.upstream, entry.job.id(), now);
  }
  return all_quiet;
}

}  // namespace mimosarail::scheduling
