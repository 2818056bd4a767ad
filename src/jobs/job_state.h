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

constexpr bool IsFinal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

/// Bounds of a job; a larger one is refused with its place.
inline constexpr int32_t kMaxStepTasks = 10000;
inline constexpr int32_t kMaxJobTasks = 100000;
inline constexpr size_t kMaxPayloadBytes = 4000;

/// Adds what makes a job impossible as written. Safe from any thread.
void CheckJob(const wire::JobSpec& spec, Findings& findings);

}  // namespace mimosarail
