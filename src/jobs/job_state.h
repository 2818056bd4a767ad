#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "jobs_types.h"
#include "src/libs/base/enum_table.h"
#include "src/libs/base/findings.h"

namespace mimosarail {

enum class JobState { kQueued, kRunning, kComplete, kFailed, kCancelled };

inline constexpr EnumTable kJobStateNames{std::array{
    EnumName{JobState::kQueued, "queued"},
    EnumName{JobState::kRunning, "running"},
    EnumName{JobState::kComplete, "complete"},
    EnumName{JobState::kFailed, "failed"},
    EnumName{JobState::kCancelled, "cancelled"},
}};

/// Whether a number from a message or a record is a valid state.
constexpr bool IsJobState(int32_t number) {
  return number >= static_cast<int32_t>(JobState::kQueued) &&
         number <= static_cast<int32_t>(JobState::kCancelled);
}

constexpr bool IsFinal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

/// Limits of a job. A job that exceeds one is refused, with an error that names
/// the field.
inline constexpr int32_t kMaxStepTasks = 10000;
inline constexpr int32_t kMaxJobTasks = 100000;
inline constexpr size_t kMaxPayloadBytes = 4000;
inline constexpr size_t kMaxJobSteps = 1000;
/// Largest size of a task in each dimension: 10,000 cores, 9.5 TB. The sum of
/// 200 such tasks at one upstream fits into the 32 bits of an amount.
inline constexpr int32_t kMaxTaskSize = 10000000;
/// Longest estimate, target or interval, in ms: 30 days. The sum over a chain
/// of a thousand steps fits into the nanoseconds of the clock.
inline constexpr int64_t kMaxJobSpanMs = int64_t{30} * 24 * 3600 * 1000;
/// Latest point in time that a job may specify, in ms since 1970: the end of
/// the year 9999.
inline constexpr int64_t kMaxUnixMs = 253402300799999;
/// Largest factor by which a queue may multiply the duration of a job's chain.
inline constexpr double kMaxJobSlack = 1000;
/// Longest advice call that a queue may configure, in ms.
inline constexpr double kMaxJobAdviceMs = 60000;

/// Adds findings for an invalid job. Thread-safe.
void CheckJob(const wire::JobSpec& spec, Findings& findings);
/// Adds findings for an invalid stored job, whose record includes the policy of
/// its queue: those of CheckJob() and those of the policy. Thread-safe.
void CheckStoredJob(const wire::JobSpec& spec, Findings& findings);
/// Adds findings for a progress record that is invalid for any job.
/// Thread-safe.
void CheckProgress(const wire::ProgressRecord& record, Findings& findings);
/// Adds findings for progress of tasks that the job does not have. Thread-safe.
/// Precondition: CheckStoredJob() found nothing.
void CheckProgressOf(const wire::JobSpec& spec,
                     const wire::ProgressRecord& record, Findings& findings);

}  // namespace mimosarail
