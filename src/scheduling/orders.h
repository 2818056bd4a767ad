#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/jobs/job.h"
#include "src/libs/base/enum_table.h"
#include "src/placement/amount.h"

namespace mimosarail::scheduling {

using placement::Amount;

struct StartOrder {
  UpstreamIndex upstream = kNoUpstream;
  TaskId task;
  int64_t attempt = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
};

enum class StopReason {
  kCancelled,
  kJobFailed,
  kJobComplete,
  kGangBroken,
  kStalled,
  kMoved,
  kEvicted,
  kUnknownJob,  ///< Unknown job, or its tasks are no longer kept.
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

/// Returns why a run is stopped that a job in this state does not continue.
/// Thread-safe.
StopReason ReasonToStop(JobState state);

struct StopOrder {
  UpstreamIndex upstream = kNoUpstream;
  TaskId task;
  int64_t attempt = 0;
  StopReason reason = StopReason::kOrphaned;
  /// This is the first stop ordered for the run, and it is ordered because the
  /// upstream lists a run that the scheduler does not want. Set at most once
  /// per run.
  bool orphaned = false;
  /// How long the job has been final, if its end was seen by this leader.
  std::optional<Millis> since_end{};
};

enum class AdvicePurpose {
  kStart,  ///< Capacity is free; tasks start where allowed.
  kLearn,  ///< No capacity is free; a gang requests advice on the upstreams
           ///< where it may wait.
  kRenew,  ///< Capacity that a gang waits for becomes free soon; it needs
           ///< tickets that are valid at that time.
};

inline constexpr EnumTable kAdvicePurposeNames{std::array{
    EnumName{AdvicePurpose::kStart, "start"},
    EnumName{AdvicePurpose::kLearn, "learn"},
    EnumName{AdvicePurpose::kRenew, "renew"},
}};

/// A call for advice that the caller should make.
struct AdviceOrder {
  AdvicePurpose purpose = AdvicePurpose::kStart;
  StepId step;
  std::vector<std::string> upstreams;
  int32_t priority = 0;
  Millis expected{0};
  /// Capacity that the step is likely to take on each of the upstreams.
  Amount claim;
};

/// Why nothing runs on an upstream any more.
enum class UpstreamLoss {
  kLeasesExpired,  ///< Unresponsive, and its leases have expired.
  kCrashed,        ///< Replaced, or unresponsive and not listed.
  kLeft,  ///< As kCrashed, but after it had announced that it would leave.
  kMaintenance,  ///< Its host was taken for maintenance.
};

inline constexpr EnumTable kUpstreamLossNames{std::array{
    EnumName{UpstreamLoss::kLeasesExpired, "leases over"},
    EnumName{UpstreamLoss::kCrashed, "crashed"},
    EnumName{UpstreamLoss::kLeft, "left"},
    EnumName{UpstreamLoss::kMaintenance, "upkeep"},
}};

/// A run that was lost with its upstream.
struct LostRun {
  UpstreamIndex upstream = kNoUpstream;
  TaskId task;
  int64_t attempt = 0;
  UpstreamLoss reason = UpstreamLoss::kLeasesExpired;
  /// Time since its start was confirmed or a report first listed it; unset if
  /// neither happened.
  std::optional<Millis> began_ago{};
  /// Time since a report last listed it; unset if none did.
  std::optional<Millis> listed_ago{};
};

/// A task that failed permanently because upstreams crash when they run it.
struct PermanentlyFailedTask {
  TaskId task;
  CrashCounts crashes;
};

/// Actions that the scheduler requests; the caller carries them out.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<AdviceOrder> advice;
  /// These require no action and are reported for logging only.
  std::vector<LostRun> lost;
  std::vector<PermanentlyFailedTask> permanently_failed;
};

/// How many calls for advice may be made now. Calls for urgent work may also
/// use the ones reserved for it.
struct AdviceBudget {
  int32_t any = 0;
  int32_t urgent_only = 0;
};

}  // namespace mimosarail::scheduling
