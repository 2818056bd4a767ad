#include "src/scheduling/quarantine.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace mimosarail::scheduling {
namespace {

constexpr Millis kEarlyWindow = CrashEvidence::kEarlyWindow;
/// Duration of a quarantine. A suspect task starts only kEarlyWindow after the
/// newest start on the upstream. The quarantine is slightly longer, so that it
/// still holds when the task starts.
constexpr Millis kQuarantineDuration{400};
/// A suspect task prefers upstreams that have been known for this long. One
/// that has just come back is more likely to crash again for reasons of its
/// own.
constexpr Millis kEstablishedAge{10000};

void BeginQuarantine(UpstreamPool& pool, UpstreamIndex upstream, JobId job,
                     TimePoint now) {
  pool.at(upstream).quarantine = {.job = job,
                                  .until = now + kQuarantineDuration};
}

}  // namespace

Candidate* PickForQuarantine(UpstreamPool& pool, JobId job,
                             std::vector<Candidate>& from, TimePoint now) {
  Candidate* best = nullptr;
  // Prefers upstreams without recent starts, then those known for long, then
  // the one where a crash affects the fewest runs.
  std::tuple<bool, bool, size_t> best_rank;
  for (Candidate& candidate : from) {
    if (candidate.fitting_tasks <= 0) continue;
    const Upstream& it = pool.at(candidate.upstream);
    const std::tuple rank(
        !pool.HasNoRecentStarts(candidate.upstream, job, kEarlyWindow, now),
        now - it.known_since < kEstablishedAge, it.reservations.size());
    if (best != nullptr && best_rank <= rank) continue;
    best = &candidate;
    best_rank = rank;
  }
  if (best == nullptr) return nullptr;
  BeginQuarantine(pool, best->upstream, job, now);
  const bool no_recent_starts = !std::get<0>(best_rank);
  return no_recent_starts ? best : nullptr;
}

bool SelectForQuarantine(UpstreamPool& pool, JobId job, int32_t tasks,
                         std::vector<Candidate>& found, TimePoint now) {
  const auto no_recent_starts = [&](const Candidate& candidate) {
    return pool.HasNoRecentStarts(candidate.upstream, job, kEarlyWindow, now);
  };
  std::stable_sort(found.begin(), found.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return no_recent_starts(a) && !no_recent_starts(b);
                   });
  int64_t capacity = 0;
  bool none_has_recent_starts = true;
  auto end = found.begin();
  for (; end != found.end() && capacity < tasks; ++end) {
    capacity += end->fitting_tasks;
    none_has_recent_starts = none_has_recent_starts && no_recent_starts(*end);
  }
  found.erase(end, found.end());
  for (const Candidate& candidate : found) {
    BeginQuarantine(pool, candidate.upstream, job, now);
  }
  return none_has_recent_starts;
}

}  // namespace mimosarail::scheduling
