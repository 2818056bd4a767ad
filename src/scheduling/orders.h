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
  kUnknownJob,  ///< No such job is open, or its tasks are forgotten.
  kOrphaned,    ///< The job goes on, but not with this run.
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

/// Why a run that a job in this state is not to go on with is stopped. Safe
/// from any thread.
StopReason ReasonToStop(JobState state);

struct StopOrder {
  UpstreamIndex upstream = kNoUpstream;
  TaskId task;
  int64_t attempt = 0;
  StopReason reason = StopReason::kOrphaned;
  /// Found in the upstream's list without an earlier stop of it; once a run.
  bool unasked = false;
  /// How long the job has been final, where its end was seen here.
  std::optional<Millis> since_end{};
};

enum class AdvicePurpose {
  kStart,  ///< There is room; what is allowed of it starts.
  kLearn,  ///< A gang finds out where it may wait for room.
  kRenew,  ///< The room that a gang waited for comes free.
};

inline constexpr EnumTable kAdvicePurposeNames{std::array{
    EnumName{AdvicePurpose::kStart, "start"},
    EnumName{AdvicePurpose::kLearn, "learn"},
    EnumName{AdvicePurpose::kRenew, "renew"},
}};

/// One call for advice that somebody should make.
struct AdviceOrder {
  AdvicePurpose purpose = AdvicePurpose::kStart;
  StepId step;
  std::vector<std::string> upstreams;
  int32_t priority = 0;
  Millis expected{0};
  /// Room that the step is likely to take on each of them.
  Amount claim;
};

/// Why nothing runs at an upstream any more.
enum class UpstreamLoss {
  kLeasesExpired,  ///< It does not answer, and its leases have run out.
  kCrashed,        ///< Another life answers, or it is silent and not listed.
  kLeft,           ///< The same, after it had said that it would leave.
  kMaintenance,    ///< Its host was taken for its upkeep.
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
  UpstreamLoss why = UpstreamLoss::kLeasesExpired;
  /// How long ago its start was answered, or a report first listed it; unset if
  /// neither ever came.
  std::optional<Millis> began_ago{};
  /// How long ago a report listed it last; unset if none did.
  std::optional<Millis> listed_ago{};
};

/// A task that was given up, since its upstreams crash with it.
struct GivenUpTask {
  TaskId task;
  CrashCounts crashes;
};

/// What the scheduler wants done; the caller carries it out.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<AdviceOrder> advice;
  /// Nothing to do about these: told so that they can be logged.
  std::vector<LostRun> lost;
  std::vector<GivenUpTask> given_up;
};

/// How many calls for advice may go out now. Those for urgent work may also use
/// the ones that are kept for it.
struct AdviceBudget {
  int32_t any = 0;
  int32_t urgent_only = 0;
};

}  // namespace mimosarail::scheduling
