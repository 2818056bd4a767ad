#pragma once

#include <optional>
#include <set>
#include <string>

#include "jobs_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

struct PredecessorLeasesOptions {
  /// How long a leader lease lasts after its last confirmation.
  Millis leader_lease{2000};
  /// For how long an earlier leader may have itself confirmed without the
  /// store, if its quorum cannot be read.
  Millis max_store_outage{30000};
};

/// As leader: when the leases of all earlier leaders have ended. An earlier
/// leader that the store does not answer goes on for as long as a majority of
/// the stored quorum confirms it, up to a limit; see LeaderQuorum. Not
/// thread-safe.
class PredecessorLeases {
 public:
  explicit PredecessorLeases(PredecessorLeasesOptions options)
      : options_(options) {}

  /// Begins the term of a leader that has replaced the leader record.
  /// `quorum` is the stored quorum, absent if unreadable.
  void BeginTerm(std::optional<wire::QuorumRecord> quorum);
  /// Begins the first term of all.
  void BeginFirstTerm();
  /// The entry `name` follows this leader or is this leader.
  void OnFollower(const std::string& name, TimePoint now);
  /// The store accepts no more records of earlier leaders.
  void OnFenced(TimePoint now);

  /// Whether no earlier leader can be confirmed any more, by the store or by
  /// its quorum.
  bool superseded(TimePoint now) const;
  /// When the leases of all earlier leaders end; unset before OnFenced(). May
  /// become earlier.
  std::optional<TimePoint> lease_end() const;

 private:
  /// When no earlier leader could be confirmed any more, by what is known now.
  std::optional<TimePoint> SupersededAt() const;

  PredecessorLeasesOptions options_;
  Millis max_store_outage_{0};
  std::set<std::string> members_;
  std::set<std::string> following_;
  std::optional<TimePoint> fenced_at_;
  /// When at least half of the quorum was known to follow this leader.
  std::optional<TimePoint> quorum_lost_at_;
};

}  // namespace mimosarail::leadership
