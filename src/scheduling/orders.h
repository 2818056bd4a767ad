#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/jobs/job.h"
#include "src/libs/base/enum_table.h"
#include "src/placement/amount.h"
#include "src/scheduling/upstream_health.h"

namespace mimosarail::scheduling {

using placement::Amount;

/// A task to start.
struct StartOrder {
  UpstreamIndex upstream = kNoUpstream;
  TaskId task;
  int64_t attempt = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  /// Estimated speed of the upstream, by which it was chosen; unset unless
  /// speeds are in use.
  std::optional<double> speed_factor{};
};

enum class StopReason {
  kCancelled,
  kJobFailed,
  kJobComplete,
  kGangBroken,
  kStalled,
  kMoved,
  kEvicted,
  kUnknownJob,  ///< The job is unknown, or it has no such task.
  kOrphaned,    ///< The job continues, but not with this run.
};

inline constexpr EnumTable kStopReasonNames{std::array{
    EnumName{StopReason::kCancelled, "job cancelled"},
    EnumName{StopReason::kJobFailed, "job failed"},
    EnumName{StopReason::kJobComplete, "job complete"},
    EnumName{StopReason::kGangBroken, "gang is not whole"},
    EnumName{StopReason::kStalled, "task stands still"},
    EnumName{StopReason::kUnknownJob, "no such job"},
    EnumName{StopReason::kMoved, "goes on elsewhere"},
    EnumName{StopReason::kEvicted, "its upstream is to end"},
    EnumName{StopReason::kOrphaned, "not a run of ours"},
}};

/// Returns the reason for stopping a run that is not the current run of its
/// task, given the state of the job. Thread-safe.
StopReason ReasonToStop(JobState state);

/// A run to stop.
struct StopOrder {
  UpstreamIndex upstream = kNoUpstream;
  TaskId task;
  int64_t attempt = 0;
  StopReason reason = StopReason::kOrphaned;
  /// The run is orphaned: an upstream lists it although no job continues with
  /// it, and no stop was ordered before. Set at most once per run.
  bool orphaned = false;
  /// Time since the job became final; unset if that was under an earlier
  /// leader.
  std::optional<Millis> since_job_end{};
};

enum class AdvicePurpose {
  kStart,  ///< To start tasks on free capacity.
  kLearn,  ///< To find out on which upstreams a gang that lacks capacity may
           ///< wait for it.
  kRenew,  ///< To replace tickets that would expire before the capacity that a
           ///< gang waits for becomes free.
};

inline constexpr EnumTable kAdvicePurposeNames{std::array{
    EnumName{AdvicePurpose::kStart, "start"},
    EnumName{AdvicePurpose::kLearn, "learn"},
    EnumName{AdvicePurpose::kRenew, "renew"},
}};

/// A call to the adviser of a queue: which of these upstreams may run the step?
struct AdviceOrder {
  AdvicePurpose purpose = AdvicePurpose::kStart;
  StepId step;
  std::vector<std::string> upstreams;
  TimePoint asked_at{};
  int32_t priority = 0;
  /// Expected duration of the call.
  Millis expected{0};
  /// Capacity that the step is likely to take on each of the upstreams.
  Amount claim;
};

/// Why all runs on an upstream have ended.
enum class UpstreamLoss {
  kLeasesExpired,  ///< Unresponsive, and its leases have expired.
  kCrashed,        ///< A later incarnation answers in its place.
  kLeft,           ///< As kCrashed, but it was listed as draining.
  kMaintenance,    ///< Its host was taken out of service for maintenance.
  kUnreachable,    ///< As kLeasesExpired, and it is not listed any more.
};

inline constexpr EnumTable kUpstreamLossNames{std::array{
    EnumName{UpstreamLoss::kLeasesExpired, "leases over"},
    EnumName{UpstreamLoss::kCrashed, "crashed"},
    EnumName{UpstreamLoss::kLeft, "left"},
    EnumName{UpstreamLoss::kMaintenance, "upkeep"},
    EnumName{UpstreamLoss::kUnreachable, "unreachable"},
}};

/// A run that was lost with its upstream.
struct LostRun {
  UpstreamIndex upstream = kNoUpstream;
  TaskId task;
  int64_t attempt = 0;
  UpstreamLoss reason = UpstreamLoss::kLeasesExpired;
  /// Time since its start was confirmed or a report first listed it; unset if
  /// neither happened.
  std::optional<Millis> since_start{};
  /// Time since a report last listed it; unset if none did.
  std::optional<Millis> since_last_listed{};
};

/// A task that failed permanently because upstreams crashed while running it.
struct PermanentlyFailedTask {
  TaskId task;
  /// The crashes that show it.
  CrashEvidence::List crashes;
};

/// Why the evidence that a task crashes upstreams has changed.
enum class EvidenceChange {
  kAdded,      ///< A run was lost with its upstream.
  kConfirmed,  ///< The upstream is now known or assumed to have crashed.
  kWithdrawn,  ///< The upstream has not crashed.
  kOutlasted,  ///< A later run lasted longer than the lost one.
};

inline constexpr EnumTable kEvidenceChangeNames{std::array{
    EnumName{EvidenceChange::kAdded, "added"},
    EnumName{EvidenceChange::kConfirmed, "confirmed"},
    EnumName{EvidenceChange::kWithdrawn, "withdrawn"},
    EnumName{EvidenceChange::kOutlasted, "outlasted"},
}};

/// A change of the evidence that a task crashes upstreams.
struct EvidenceEvent {
  TaskId task;
  EvidenceChange change = EvidenceChange::kAdded;
  SuspectedCrash crash;
};

/// A change of an upstream's health.
struct HealthEvent {
  UpstreamIndex upstream = kNoUpstream;
  HealthChange change = HealthChange::kSuspect;
  /// The task whose end, stall or rejected start caused it.
  TaskId task;
  /// See UpstreamHealth::failures().
  int failures = 0;
  /// Time until the next start is permitted; 0 unless in backoff.
  Millis backoff{0};
};

/// A task that has to wait before its next start, because it fails again and
/// again.
struct DelayedRestart {
  TaskId task;
  /// See Task::failure_streak.
  int failures = 0;
  Millis delay{0};
};

/// Bytes of start requests that may be ordered now. Unlimited by default.
struct StartBudget {
  bool limited = false;
  /// What is left; negative after a gang larger than this.
  int64_t bytes = 0;
  /// Upper bound of `bytes`. A start, or a gang, that needs more than this is
  /// ordered once this much is left, and leads to a debt.
  int64_t burst_bytes = 0;

  /// How much has to be left for starts of `needed` bytes.
  int64_t Required(int64_t needed) const {
    return std::min(needed, burst_bytes);
  }
  /// Whether starts of `needed` bytes may be ordered now.
  bool Permits(int64_t needed) const {
    return !limited || bytes >= Required(needed);
  }
};

/// Bytes of a start request in addition to the payload, the checkpoint and the
/// ticket: the HTTP headers, the other fields of the body, and the headers of
/// its packets.
inline constexpr int64_t kStartOverheadBytes = 400;

/// Returns the size of a start request on the wire. Thread-safe.
int64_t StartBytes(const StartOrder& order);

/// Actions that the scheduler decided on and its owner has to carry out.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<AdviceOrder> advice;
  /// Set if a pass ended because the budget for starts was used up: the bytes
  /// that have to be available before the next start.
  std::optional<int64_t> awaited_start_bytes{};
  /// Only to be logged; these require no action.
  std::vector<LostRun> lost;
  std::vector<PermanentlyFailedTask> permanently_failed;
  /// Tasks whose jobs have failed with them, after too many failed attempts.
  std::vector<TaskId> attempts_exhausted;
  std::vector<EvidenceEvent> evidence;
  std::vector<HealthEvent> health;
  std::vector<DelayedRestart> delayed_restarts;
};

/// Number of advice calls that may be made now.
///
/// Calls for urgent work (priority 0) use `urgent_only` first and then `any`;
/// other calls use `any` only.
struct AdviceBudget {
  int32_t any = 0;
  int32_t urgent_only = 0;
};

}  // namespace mimosarail::scheduling
