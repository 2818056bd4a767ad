#pragma once

#include <array>
#include <cstdint>

#include "src/libs/base/enum_table.h"

namespace mimosarail::coordinator {

/// Outcome of a call about a job. The numbers are part of the wire format.
enum class JobVerdict : int32_t {
  /// What was asked for is stored, or the reply holds the data asked for.
  kConfirmed = 0,
  /// Refused; nothing of the job is stored and nothing will run.
  kRefused = 1,
  /// The outcome is unknown; repeating the same call resolves it.
  kOutcomeUnknown = 2,
  /// No such job.
  kNoSuchJob = 3,
  /// The called entry is not the leader, or has not loaded the jobs yet.
  kNotLeading = 4,
  /// Refused because the leader cannot reach the store; nothing was changed.
  kStoreUnavailable = 5,
  /// The job is stored in a form that this version cannot read. It is neither
  /// run nor refused here, and repeating the call does not change that.
  kUnreadable = 6,
  /// Refused: the id is that of a job of another account.
  kIdInUse = 7,
  /// Refused: the job can never fit the limit of its account.
  kOverLimit = 8,
  /// Refused for good: the job never fits the memory of a leader, or its record
  /// the store.
  kTooLarge = 9,
  /// The leader is behind with its work and has not handled the call, which has
  /// changed nothing.
  kOverloaded = 10,
};

inline constexpr EnumTable kJobVerdictNames{std::array{
    EnumName{JobVerdict::kConfirmed, "done"},
    EnumName{JobVerdict::kRefused, "refused"},
    EnumName{JobVerdict::kOutcomeUnknown, "unknown"},
    EnumName{JobVerdict::kNoSuchJob, "no such job"},
    EnumName{JobVerdict::kNotLeading, "not leading"},
    EnumName{JobVerdict::kStoreUnavailable, "store away"},
    EnumName{JobVerdict::kUnreadable, "record not readable"},
    EnumName{JobVerdict::kIdInUse, "id in use"},
    EnumName{JobVerdict::kOverLimit, "over the account's limit"},
    EnumName{JobVerdict::kTooLarge, "too large"},
    EnumName{JobVerdict::kOverloaded, "leader overloaded"},
}};

/// Returns the verdict of a reply. Numbers that this version does not know map
/// to kOutcomeUnknown.
constexpr JobVerdict ToJobVerdict(int32_t number) {
  const auto verdict = static_cast<JobVerdict>(number);
  return kJobVerdictNames.Has(verdict) ? verdict : JobVerdict::kOutcomeUnknown;
}

}  // namespace mimosarail::coordinator
