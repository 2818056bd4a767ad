#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace mimosarail {

/// Id of a job, chosen by the caller. Its text form is 16 hex digits.
using JobId = uint64_t;

/// Reads exactly 16 lower-case hex digits. Thread-safe.
std::optional<JobId> ParseJobId(std::string_view text);
/// Thread-safe.
std::string JobIdText(JobId id);

/// One step of one occurrence of a job.
struct StepId {
  JobId job = 0;
  int32_t occurrence = 0;
  int32_t step = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on =default
  friend auto operator<=>(const StepId&, const StepId&) = default;
};

/// One task of a job.
struct TaskId {
  JobId job = 0;
  int32_t occurrence = 0;
  int32_t step = 0;
  int32_t index = 0;
  StepId step_id() const { return {job, occurrence, step}; }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on =default
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// "JOB.OCCURRENCE.STEP". Thread-safe.
std::string StepIdText(const StepId& id);
/// "JOB.OCCURRENCE.STEP.INDEX". Thread-safe.
std::string TaskIdText(const TaskId& id);
/// Reads what TaskIdText() writes. Thread-safe.
std::optional<TaskId> ParseTaskId(std::string_view text);

}  // namespace mimosarail

template <>
struct std::hash<mimosarail::StepId> {
  size_t operator()(const mimosarail::StepId& id) const noexcept {
    /// Multiplier of a Fibonacci hash.
    constexpr uint64_t kGoldenRatio64 = 0x9e3779b97f4a7c15;
    return (id.job * kGoldenRatio64) ^
           (static_cast<uint64_t>(id.occurrence) << 20U) ^
           static_cast<uint64_t>(id.step);
  }
};
