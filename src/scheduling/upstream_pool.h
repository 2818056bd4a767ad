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

/// Reliability of an upstream, judged only by the results of its tasks: an
/// upstream may report that it is healthy and still fail every task that it
/// starts.
struct UpstreamHealth {
  /// Failed or stalled tasks since the last success.
  int32_t consecutive_failures = 0;
  /// Nothing new starts before this time.
  TimePoint backoff_until{};
  Millis last_backoff{0};
  /// Starts ordered since the last result, on a healthy upstream too. An
  /// upstream whose last result was a failure gets one at a time.
  int32_t starts_since_result = 0;
};

/// Resources reserved by one run.
struct Reservation {
  Amount amount;
  /// When the run is expected to end; an estimate that is used only to predict
  /// free capacity. TimePoint::max() for a long-running task.
  TimePoint expected_end{};
  /// When the start was ordered, or when the run was first reported.
  TimePoint since{};
  /// When the start was confirmed, or a report first listed the run.
  std::optional<TimePoint> began{};
  /// When a report last listed the run.
  std::optional<TimePoint> listed{};
};

/// The reservations on an upstream, by task and attempt.
using Reservations = std::map<std::pair<TaskId, int64_t>, Reservation>;

/// The runs on an unresponsive upstream. The value is true if the run is known
/// to have begun less than kEarlyWindow (crashes.cc) before the upstream became
/// unresponsive.
using SuspectRuns = std::map<std::pair<TaskId, int64_t>, bool>;

/// While it lasts, only tasks of this job start on the upstream, because one of
/// them is suspected of crashing it.
struct Quarantine {
  JobId job = 0;
  TimePoint until{};
};

struct Upstream {
  ports::UpstreamEntry entry;
  Amount capacity;
  Amount free;
  /// The upstream answered the last lease renewal that carried this leader's
  /// fence, and has reported its tasks.
  bool reachable = false;
  bool listed = true;
  /// The newest list entry is malformed. Nothing new starts there until a valid
  /// entry arrives; existing runs are kept, listed and stopped as before.
  bool entry_malformed = false;
  /// The store holds a record that no new work starts on this upstream. A later
  /// leader can then tell which runs may exist there at most.
  bool closed = false;
  /// Takes no new work, because its host is due for maintenance.
  bool cordoned = false;
  UpstreamHealth health;
  /// A reservation is released only when the upstream has listed the end of the
  /// run, or its leases have certainly expired.
  Reservations reservations;
  /// What it ran when it became unresponsive or its leases expired, until it is
  /// known whether it has crashed.
  SuspectRuns suspect_runs;
  std::optional<Quarantine> quarantine{};
  /// When the upstream was first seen.
  TimePoint known_since{};
  /// Time since which the upstream has been unresponsive. Unset while it
  /// responds, or if it has never responded.
  std::optional<TimePoint> unresponsive_since{};

  /// Whether its list entry and its answers permit new work there.
  bool TakesWork() const {
    return reachable && listed && !entry_malformed && !closed && !cordoned &&
           !entry.draining;
  }
};

/// The upstreams with their free capacity and their reliability. Makes no
/// decisions about jobs. Not thread-safe.
class UpstreamPool {
 public:
  /// Adds the upstream, or updates it from its newest list entry.
  UpstreamIndex Update(const ports::UpstreamEntry& entry, TimePoint now = {});
  /// Sets whether the upstream responds, and since when it does not.
  void SetReachable(UpstreamIndex index, bool reachable, TimePoint now);
  /// Removes the upstream with all its reservations. Its index is not reused.
  void Remove(UpstreamIndex index);
  UpstreamIndex Find(const std::string& id) const;

  Upstream& at(UpstreamIndex index) { return upstreams_[index]; }
  const Upstream& at(UpstreamIndex index) const { return upstreams_[index]; }
  /// All indexes in use.
  const std::vector<UpstreamIndex>& all() const { return live_; }

  /// Reserves resources, even beyond the capacity, because the run exists in
  /// any case.
  void Reserve(UpstreamIndex index, const TaskId& task, int64_t attempt,
               const Reservation& reservation);
  /// Called when the upstream has confirmed the start of a run.
  void NoteBegan(UpstreamIndex index, const TaskId& task, int64_t attempt,
                 TimePoint now);
  /// Called when a report lists the run.
  void NoteListed(UpstreamIndex index, const TaskId& task, int64_t attempt,
                  TimePoint now);
  /// Updates when a run is expected to end; does nothing without a reservation.
  void SetExpectedEnd(UpstreamIndex index, const TaskId& task, int64_t attempt,
                      TimePoint expected_end);
  /// Capacity that is free at `when` if runs end as expected and none start.
  Amount FreeAt(UpstreamIndex index, TimePoint when) const;
  /// Releases the reservation of one run; returns false if there was none.
  bool Release(UpstreamIndex index, const TaskId& task, int64_t attempt);
  /// Number of tasks of a step with a reservation on the upstream.
  int32_t ReservedTasks(UpstreamIndex index, const StepId& step) const;

  /// Whether the upstream is quarantined for a suspect task of another job.
  bool InQuarantineOfAnother(UpstreamIndex index, JobId job,
                             TimePoint now) const;
  /// Whether all runs of other jobs there began at least `span` ago.
  bool HasNoRecentStarts(UpstreamIndex index, JobId job, Millis span,
                         TimePoint now) const;

  void NoteSuccess(UpstreamIndex index);
  /// A `weight` of 2 puts the upstream into backoff at once.
  void NoteFailure(UpstreamIndex index, TimePoint now, int32_t weight = 1);
  void NoteStart(UpstreamIndex index);

  /// Whether new work may start there now.
  bool Usable(UpstreamIndex index, TimePoint now) const;
  /// Number of new tasks that the upstream's reliability permits at this
  /// moment.
  int32_t ProbesLeft(UpstreamIndex index) const;

  /// First backoff of a failing upstream; it doubles with each further one.
  /// Machine faults last seconds. A longer first backoff would cost more
  /// capacity than the few tasks lost in probe starts.
  static constexpr Millis kInitialBackoff{1000};
  static constexpr Millis kMaxBackoff{8000};
  /// Consecutive failures that put an upstream into backoff. A single failure
  /// is often the task's own fault (1 to 5 % of tasks fail on any upstream).
  static constexpr int32_t kBackoffAfterFailures = 2;

 private:
  std::vector<Upstream> upstreams_;
  std::vector<UpstreamIndex> live_;
  std::unordered_map<std::string, UpstreamIndex> index_;
};

/// The resources that a task of this step takes on an upstream.
Amount TaskResources(const wire::StepSpec& step);

}  // namespace mimosarail::scheduling
