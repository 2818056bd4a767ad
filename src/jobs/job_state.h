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

/// Whether a number from a message or a record is a job state. Thread-safe.
constexpr bool IsJobState(int32_t number) {
  return number >= static_cast<int32_t>(JobState::kQueued) &&
         number <= static_cast<int32_t>(JobState::kCancelled);
}

/// Whether a job in this state has ended. Thread-safe.
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
/// 200 such tasks on one upstream fits into the 32 bits of an amount.
inline constexpr int32_t kMaxTaskSize = 10000000;
/// Longest estimate, target or interval in a job: 30 days. The sum over a chain
/// of a thousand steps fits into the nanoseconds of the clock.
inline constexpr int64_t kMaxSpecDurationMs = int64_t{30} * 24 * 3600 * 1000;
/// Latest Unix time that a job may specify: the end of the year 9999.
inline constexpr int64_t kMaxUnixMs = 253402300799999;
/// Largest number of a task's failures that a record only counts.
inline constexpr int32_t kMaxUnlistedFailures = 1000000000;
/// Largest factor by which a queue may multiply the duration of a job's chain.
inline constexpr double kMaxSlackFactor = 1000;
/// Largest base time, and largest time for each upstream, that a queue may
/// specify for an advice call.
inline constexpr double kMaxAdviceCallMs = 60000;

/// Adds findings for an invalid job. Thread-safe.
void CheckJob(const wire::JobSpec& spec, Findings& findings);
/// Adds findings for an invalid stored job: those of CheckJob(), and those for
/// the policy of its queue, which is stored with the job. Thread-safe.
void CheckStoredJob(const wire::JobSpec& spec, Findings& findings);
/// Adds findings for a progress record that is invalid for any job.
/// Thread-safe.
void CheckProgress(const wire::ProgressRecord& record, Findings& findings);
/// Adds findings for a progress record whose tasks are not those of the job.
/// Thread-safe.
/// Precondition: CheckStoredJob() found nothing.
void CheckProgressMatchesJob(const wire::JobSpec& spec,
                             const wire::ProgressRecord& record,
                             Findings& findings);

}  // namespace mimosarail
