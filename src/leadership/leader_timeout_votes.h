#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// Recent reports of other followers on whether the leader leaves their
/// heartbeats unanswered. Not thread-safe.
class LeaderTimeoutVotes {
 public:
  void Note(const std::string& follower, TimePoint now,
            bool leader_unresponsive) {
    votes_[follower] = {now, leader_unresponsive};
  }
  /// Drops all votes. Precondition: the leader has changed, so that earlier
  /// votes do not apply.
  void Clear() { votes_.clear(); }
  /// Whether more than half of the recent votes call the leader unresponsive,
  /// and there are at least kMinVotes of them.
  bool HasMajority(TimePoint now) const;
  /// Text "UNRESPONSIVE of RECENT" for a log line.
  std::string Describe(TimePoint now) const;

  /// How long a vote counts. Followers are asked every 250 ms.
  static constexpr Millis kVoteLifetime{700};
  /// Fewer votes prove nothing: the entry that asks may be slow itself.
  static constexpr size_t kMinVotes = 2;

 private:
  struct Vote {
    TimePoint received;
    bool leader_unresponsive = false;
  };
  struct Count {
    size_t recent = 0;
    size_t unresponsive = 0;
  };
  Count CountRecent(TimePoint now) const;

  std::map<std::string, Vote> votes_;
};

}  // namespace mimosarail::leadership
