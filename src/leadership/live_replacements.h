#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "jobs_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// Consecutive replacements of live leaders, for the next leader's record. If
/// `record` is of a term that has lasted for kReplacementMemory, the earlier
/// ones no longer count. Thread-safe.
int32_t LiveReplacementsBefore(const std::optional<wire::AnnounceCall>& record,
                               Millis term_duration);

/// Number of doublings of the time before the next replacement. The first two
/// replacements cost nothing, since a machine that has become slow may be
/// replaced by another one in the same failure domain. After that, the cause is
/// more likely a load that no entry can carry. Thread-safe.
int32_t DoublingsAfterReplacements(
    const std::optional<wire::AnnounceCall>& record);

/// A term of this length shows that its leader could carry the load.
inline constexpr Millis kReplacementMemory{60000};

/// As leader: finds out whether the predecessor, which no longer renewed its
/// record, was alive when it was replaced. Not thread-safe.
class LiveReplacements {
 public:
  /// Begins a term. `before` is the count stated by the claim; `predecessor`
  /// is the name of the replaced leader, empty if it is already counted or has
  /// ended by itself.
  void BeginTerm(std::string predecessor, int32_t before, TimePoint now);
  /// An entry has sent a heartbeat. Returns whether it is the predecessor and
  /// is now counted as replaced while alive.
  bool OnHeartbeat(const std::string& name, TimePoint now);
  /// Consecutive replacements of live leaders up to this term; 0 once the term
  /// has lasted for kReplacementMemory.
  int32_t count(TimePoint now) const {
    return now - began_ >= kReplacementMemory ? 0 : count_;
  }

  /// A predecessor that sends a heartbeat within this time was alive. A process
  /// that was paused or whose machine was restarted is usually back later.
  static constexpr Millis kNoticePeriod{3000};

 private:
  std::string predecessor_;
  TimePoint began_{};
  int32_t count_ = 0;
};

}  // namespace mimosarail::leadership
