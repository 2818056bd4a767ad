#pragma once

#include <array>
#include <cstdint>

#include "src/libs/base/enum_table.h"

namespace mimosarail::coordinator {

/// What became of a call about a job. The numbers are on the wire.
enum class JobVerdict : int32_t {
  kDone = 0,
  /// Refused; nothing of the job is stored and nothing will run.
  kRefused = 1,
  /// May be stored, or not; the same call again finds out.
  kUnknown = 2,
  /// No such job.
  kNoSuchJob = 3,
  /// The entry asked does not lead, or has not loaded the jobs yet.
  kNotLeading = 4,
  /// Refused since the leader cannot reach the store; nothing was done.
  kStoreUnavailable = 5,
  /// The job is stored in a form that this version does not read: it is neither
  /// run nor refused here, and the same call again finds out no more.
  kUnreadable = 6,
};

inline constexpr EnumTable kJobVerdictNames{std::array{
    EnumName{JobVerdict::kDone, "done"},
    EnumName{JobVerdict::kRefused, "refused"},
    EnumName{JobVerdict::kUnknown, "unknown"},
    EnumName{JobVerdict::kNoSuchJob, "no such job"},
    EnumName{JobVerdict::kNotLeading, "not leading"},
    EnumName{JobVerdict::kStoreUnavailable, "store away"},
    EnumName{JobVerdict::kUnreadable, "record not readable"},
}};

/// The verdict of a reply; one that this version does not know says nothing.
constexpr JobVerdict ToJobVerdict(int32_t number) {
  const auto verdict = static_cast<JobVerdict>(number);
  return kJobVerdictNames.Has(verdict) ? verdict : JobVerdict::kUnknown;
}

}  // namespace mimosarail::coordinator
