#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/jobs/job.h"
#include "src/placement/amount.h"
#include "src/ports/upstream_list_port.h"

namespace mimosarail::scheduling {

using placement::Amount;
using placement::Dimension;

/// How far an upstream is trusted, from its own results alone: it may answer
/// that it is well and fail all that it starts.
struct UpstreamHealth {
  /// Failed or stalled tasks since the last success.
  int32_t consecutive_failures = 0;
  /// Nothing new before this.
  TimePoint backoff_until{};
  Millis last_backoff{0};
  /// Starts since the last result; a suspect gets one at a time.
  int32_t in_flight_probes = 0;
};

/// One run, by the room that it takes.
struct Reservation {
  Amount amount;
  /// When the run is expected to end; an estimate that only serves to foresee
  /// room. The maximum for a run that lasts.
  TimePoint ends{};
  /// When the start was ordered, or first heard of.
  TimePoint since{};
  /// When its start was answered, or a report first listed it.
  std::optional<TimePoint> began{};
  /// When a report listed it last.
  std::optional<TimePoint> listed{};
};

/// What takes room at an upstream, by task and attempt.
using Reservations = std::map<std::pair<TaskId, int64_t>, Reservation>;

/// Runs of an upstream that fell silent, and whether they had only just begun.
using SuspectRuns = std::map<std::pair<TaskId, int64_t>, bool>;

/// Only this job's tasks start at an upstream meanwhile, since one of them is
/// suspected to crash it.
struct Quarantine {
  JobId job = 0;
  TimePoint until{};
};

struct Upstream {
  ports::UpstreamEntry entry;
  Amount capacity;
  Amount free;
  /// Answered its last renewal under our fence, and its tasks are known.
  bool reachable = false;
  bool listed = true;
  /// Its newest entry can't be used: nothing new goes there until a later one
  /// can be, and what runs there is held, listed and stopped as before.
  bool entry_malformed = false;
  /// The store says that nothing new starts there, so that a later leader knows
  /// what it may run at most.
  bool closed = false;
  /// Kept free of new work, since its host is to have its upkeep.
  bool cordoned = false;
  UpstreamHealth health;
  /// Freed only when the upstream has listed the end, or its leases have surely
  /// run out.
  Reservations held;
  /// What it ran when it fell silent or its leases ran out, until it is known
  /// whether it has crashed.
  SuspectRuns suspect_runs;
  std::optional<Quarantine> quarantine{};
  /// When it was first heard of.
  TimePoint known_since{};
  /// Since when it does not answer, if it has answered before.
  std::optional<TimePoint> silent_since{};

  /// Whether new work may go there as far as its entry and its answers say.
  bool TakesWork() const {
    return reachable && listed && !entry_malformed && !closed && !cordoned &&
           !entry.draining;
  }
};

/// The upstreams, what is free on them and how far they are trusted. Decides
/// nothing about jobs. Not thread-safe.
class UpstreamPool {
 public:
  /// Adds the upstream or takes over what its entry says now.
  UpstreamIndex Update(const ports::UpstreamEntry& entry, TimePoint now = {});
  /// Whether it answers, and since when not.
  void SetReachable(UpstreamIndex index, bool reachable, TimePoint now);
  /// Forgets the upstream and all that it held. Its index is not used again.
  void Remove(UpstreamIndex index);
  UpstreamIndex Find(const std::string& id) const;

  Upstream& at(UpstreamIndex index) { return upstreams_[index]; }
  const Upstream& at(UpstreamIndex index) const { return upstreams_[index]; }
  /// Every index that is in use.
  const std::vector<UpstreamIndex>& all() const { return live_; }

  /// Takes room, even past the capacity: what runs there runs.
  void Reserve(UpstreamIndex index, const TaskId& task, int64_t attempt,
               const Reservation& room);
  /// The upstream has confirmed the start of a run.
  void NoteBegan(UpstreamIndex index, const TaskId& task, int64_t attempt,
                 TimePoint now);
  /// A report lists the run.
  void NoteListed(UpstreamIndex index, const TaskId& task, int64_t attempt,
                  TimePoint now);
  /// Corrects when a run is expected to end; nothing if it holds no room.
  void Foresee(UpstreamIndex index, const TaskId& task, int64_t attempt,
               TimePoint ends);
  /// Room that is free at `when` if runs end as expected and none start.
  Amount FreeBy(UpstreamIndex index, TimePoint when) const;
  /// Gives the room of one run back; false if none was held.
  bool Release(UpstreamIndex index, const TaskId& task, int64_t attempt);
  /// How many tasks of a step hold room there.
  int32_t HeldOf(UpstreamIndex index, const StepId& step) const;

  /// Whether the upstream is kept for a suspected task of another job.
  bool InQuarantineOfAnother(UpstreamIndex index, JobId job,
                             TimePoint now) const;
  /// Whether all that other jobs run there began at least `span` ago.
  bool HasNoRecentStarts(UpstreamIndex index, JobId job, Millis span,
                         TimePoint now) const;

  void NoteSuccess(UpstreamIndex index);
  /// `weight` 2 sends the upstream to rest at once.
  void NoteFailure(UpstreamIndex index, TimePoint now, int32_t weight = 1);
  void NoteStart(UpstreamIndex index);

  /// Whether it may be given something new.
  bool Usable(UpstreamIndex index, TimePoint now) const;
  /// Most new tasks that its record allows at this moment.
  int32_t ProbesLeft(UpstreamIndex index) const;

  /// A failing upstream rests this long, then twice as long each time. Faults
  /// of a machine last seconds; a longer first rest would cost more room than
  /// the few tasks that a trial loses.
  static constexpr Millis kInitialBackoff{1000};
  static constexpr Millis kMaxBackoff{8000};
  /// Failures in a row after which it rests. One alone is often the task's
  /// own fault (1 to 5 % of tasks fail anywhere).
  static constexpr int32_t kBackoffAfterFailures = 2;

 private:
  std::vector<Upstream> upstreams_;
  std::vector<UpstreamIndex> live_;
  std::unordered_map<std::string, UpstreamIndex> index_;
};

/// Room that a task of this step takes on an upstream.
Amount TaskRoom(const wire::StepSpec& step);

}  // namespace mimosarail::scheduling
