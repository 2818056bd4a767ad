#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/jobs/job.h"
#include "src/libs/base/enum_table.h"
#include "src/placement/amount.h"
#include "src/ports/upstream_list_port.h"
#include "src/scheduling/account_ledger.h"
#include "src/scheduling/upstream_health.h"
#include "src/scheduling/upstream_speeds.h"

namespace mimosarail::scheduling {

/// Whether an upstream may get starts now and, if not, why.
enum class UpstreamState {
  kOpen,
  kProbed,   ///< It is suspect, and its last probe start is too recent.
  kBackoff,  ///< It has failed repeatedly; see UpstreamHealth.
  kClosed,   ///< It accepts no work, whatever its health.
};

inline constexpr EnumTable kUpstreamStateNames{std::array{
    EnumName{UpstreamState::kOpen, "open"},
    EnumName{UpstreamState::kProbed, "probed"},
    EnumName{UpstreamState::kBackoff, "backoff"},
    EnumName{UpstreamState::kClosed, "closed"},
}};

/// Resources reserved by one run.
struct Reservation {
  Amount amount;
  RunCharge charge{};
  /// When the run is expected to end; an estimate that is used only to predict
  /// free capacity. TimePoint::max() for a long-running task.
  TimePoint expected_end{};
  /// When the start was ordered, or when the run was first reported.
  TimePoint reserved_at{};
  /// When the start was confirmed, or a report first listed the run.
  std::optional<TimePoint> started_at{};
  /// The start was confirmed to this leader, so that `started_at` is accurate.
  bool confirmed = false;
  /// The run continues from a checkpoint.
  bool resumed = false;
  /// When a report last listed the run.
  std::optional<TimePoint> last_listed_at{};
};

/// The reservations on an upstream, by task and attempt.
using Reservations = std::map<std::pair<TaskId, int64_t>, Reservation>;

/// Runs, by task and attempt.
using RunSet = std::set<std::pair<TaskId, int64_t>>;

/// A run on an upstream that may have crashed.
struct SuspectRun {
  /// How long the run had lasted when the upstream last confirmed it. Unset if
  /// its start was never confirmed to the leader that ordered it.
  std::optional<Millis> last_seen{};
  /// Time from the order to start until the upstream became unresponsive.
  Millis silent_after{0};

  bool operator==(const SuspectRun&) const = default;
};

/// The runs on an unresponsive upstream, by task and attempt.
using SuspectRuns = std::map<std::pair<TaskId, int64_t>, SuspectRun>;

/// A time during which only tasks of one job start on an upstream, because one
/// of them is suspected of crashing upstreams.
struct Quarantine {
  JobId job = 0;
  TimePoint until{};
};

/// Scheduling state of one upstream.
struct Upstream {
  ports::UpstreamEntry entry;
  Amount capacity;
  Amount free;
  /// What long-running tasks have reserved: it does not become free by itself.
  Amount held_long;
  /// The upstream answered the last lease renewal that carried this leader's
  /// fence, and has reported its tasks.
  bool reachable = false;
  /// The upstream is in the newest upstream list.
  bool listed = true;
  /// The newest list entry is malformed. No task starts there until a valid
  /// entry arrives. Existing runs continue and can be stopped.
  bool entry_malformed = false;
  /// The newest list entry is that of a previous incarnation, whose capacity
  /// and labels may have been others. No task starts there until the entry of
  /// this incarnation arrives.
  bool entry_outdated = false;
  /// No task starts there. A record in the store says so and lists the jobs
  /// that may have runs there, so that a later leader need not wait for a
  /// report before it starts tasks of other jobs.
  bool closed = false;
  /// No task starts there, because its host is due for maintenance.
  bool cordoned = false;
  UpstreamHealth health;
  /// A reservation is released only when the upstream has listed the end of the
  /// run, or its leases have certainly expired.
  Reservations reservations;
  /// Runs that existed when the upstream became unresponsive under an earlier
  /// leader. Kept until it answers, has crashed, or its leases have expired.
  SuspectRuns suspect_runs;
  std::optional<Quarantine> quarantine{};
  /// The list entry of the previous incarnation said that it drains. Unset once
  /// the runs of that incarnation have been released.
  bool predecessor_drained = false;
  /// When this incarnation was first seen.
  TimePoint known_since{};
  /// Time since which the upstream has been unresponsive. Unset while it
  /// responds, or if it has never responded.
  std::optional<TimePoint> unresponsive_since{};
  /// Another upstream became unresponsive at about the same time, or an earlier
  /// leader noticed, which does not say.
  bool unresponsive_with_others = false;

  /// Whether tasks may start there, apart from its health.
  bool AcceptsWork() const {
    return reachable && listed && !entry_malformed && !entry_outdated &&
           !closed && !cordoned && !entry.draining;
  }
};

/// The upstreams with their free capacity and their reliability. Knows nothing
/// of jobs but the ids of their tasks. Not thread-safe.
class UpstreamPool {
 public:
  /// Adds the upstream, or updates it from its newest list entry.
  UpstreamIndex Update(const ports::UpstreamEntry& entry, TimePoint now = {});
  /// Sets whether the upstream responds; if not, it is unresponsive since
  /// `now`.
  void SetReachable(UpstreamIndex index, bool reachable, TimePoint now);
  /// The upstream has restarted: what was learned of its previous incarnation
  /// no longer holds. Reservations remain.
  void NoteRestarted(UpstreamIndex index, int64_t incarnation, TimePoint now);
  /// Removes the upstream with all its reservations. Its index is not reused.
  void Remove(UpstreamIndex index);
  /// Every reservation is charged to its account.
  AccountLedger& accounts() { return accounts_; }
  const AccountLedger& accounts() const { return accounts_; }
  /// What is known of an upstream is reset when it restarts or changes.
  UpstreamSpeeds& speeds() { return speeds_; }
  const UpstreamSpeeds& speeds() const { return speeds_; }

  /// Returns kNoUpstream if there is no upstream with this id.
  UpstreamIndex Find(const std::string& id) const;

  Upstream& at(UpstreamIndex index) { return upstreams_[index]; }
  const Upstream& at(UpstreamIndex index) const { return upstreams_[index]; }
  /// All indexes in use.
  const std::vector<UpstreamIndex>& all() const { return indexes_in_use_; }

  /// Reserves resources for a run; does nothing if it has a reservation. The
  /// free capacity may become negative, because a run that was reported exists
  /// in any case.
  void Reserve(UpstreamIndex index, const TaskId& task, int64_t attempt,
               const Reservation& reservation);
  /// The upstream has confirmed the start of a run.
  void NoteStartConfirmed(UpstreamIndex index, const TaskId& task,
                          int64_t attempt, TimePoint now);
  /// A report lists the run.
  void NoteListed(UpstreamIndex index, const TaskId& task, int64_t attempt,
                  TimePoint now);
  /// Updates when a run is expected to end; does nothing without a reservation.
  void SetExpectedEnd(UpstreamIndex index, const TaskId& task, int64_t attempt,
                      TimePoint expected_end);
  /// Returns the capacity that is free at `when` if runs end as expected and
  /// none start.
  Amount FreeAt(UpstreamIndex index, TimePoint when) const;
  /// Releases the reservation of one run; returns false if there was none.
  bool Release(UpstreamIndex index, const TaskId& task, int64_t attempt);
  /// Returns how many runs of a step have a reservation on the upstream.
  int32_t ReservedTasks(UpstreamIndex index, const StepId& step) const;

  /// Whether the upstream is quarantined for a suspect task of another job.
  bool QuarantinedForOtherJob(UpstreamIndex index, JobId job,
                              TimePoint now) const;
  /// Whether all runs of other jobs there were started, or first reported, at
  /// least `span` ago.
  bool HasNoRecentStarts(UpstreamIndex index, JobId job, Millis span,
                         TimePoint now) const;

  /// Returns for how long the run has been known to run; 0 without a
  /// reservation.
  Millis RunTime(UpstreamIndex index, const TaskId& task, int64_t attempt,
                 TimePoint now) const;

  UpstreamState State(UpstreamIndex index, TimePoint now) const;
  /// Whether tasks may start there now, MaxStarts() of them.
  bool Usable(UpstreamIndex index, TimePoint now) const {
    const UpstreamState state = State(index, now);
    return state == UpstreamState::kOpen || state == UpstreamState::kProbed;
  }
  /// See UpstreamHealth::MaxStarts().
  int32_t MaxStarts(UpstreamIndex index, TimePoint now) const {
    return upstreams_[index].health.MaxStarts(now);
  }

 private:
  std::vector<Upstream> upstreams_;
  std::vector<UpstreamIndex> indexes_in_use_;
  std::unordered_map<std::string, UpstreamIndex> index_by_id_;
  AccountLedger accounts_;
  UpstreamSpeeds speeds_;
};

/// The resources that a task of this step takes on an upstream.
Amount TaskResources(const wire::StepSpec& step);

/// Returns how many tasks of this size fit into the capacity.
int32_t FitCount(const Amount& free, const Amount& size);

/// What a task of this step counts towards the limit of its account. The cores
/// of a filler count, although it reserves none: it may use them.
Amount TaskCharge(const wire::StepSpec& step);

}  // namespace mimosarail::scheduling
