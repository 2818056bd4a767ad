#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// What other followers said of late: whether they wait for the leader's
/// answers. Not thread-safe.
class LeaderTimeoutVotes {
 public:
  void Note(const std::string& follower, TimePoint now, bool waits) {
    votes_[follower] = {now, waits};
  }
  /// Precondition: another leader, so that all said before is of no use.
  void Clear() { votes_.clear(); }
  /// Whether more than half of those heard lately wait, and enough were heard.
  bool HasMajority(TimePoint now) const;

  /// What was said counts for this long: the others are asked every 250 ms.
  static constexpr Millis kAge{700};
  /// Fewer say nothing: the one that asks may be slow itself.
  static constexpr size_t kFewest = 2;

 private:
  struct Vote {
    TimePoint told;
    bool waits = false;
  };
  std::map<std::string, Vote> votes_;
};

}  // namespace mimosarail::leadership
