#pragma once

#include "src/libs/base/executor.h"

namespace mimosarail {

/// Failures in a row, of the runs of a task or of the runs on an upstream. Not
/// thread-safe.
class FailureStreak {
 public:
  /// A run has failed after this time. A `weight` above 1 counts it several
  /// times.
  void NoteFailure(Millis lasted, int weight = 1);
  /// Whether a run that began after the last failure, and has lasted this long
  /// without failing, shows that the failures are over.
  bool IsOverAfter(Millis lasted) const;
  void Reset() { *this = {}; }

  int length() const { return length_; }

  /// A run has to last this many times as long as the longest one that failed,
  /// within these bounds.
  static constexpr int kProofFactor = 2;
  static constexpr Millis kMinProofTime{5000};
  static constexpr Millis kMaxProofTime{60000};

 private:
  int length_ = 0;
  Millis longest_run_{0};
};

}  // namespace mimosarail
