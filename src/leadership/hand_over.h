#pragma once

#include <map>
#include <string>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// The followers that resigning leaders have named as their successors, as this
/// entry has heard of them. Not thread-safe.
///
/// A fit follower that follows the leader and does not reach the store cannot
/// claim. If each unfit leader handed over to it again, leadership would pass
/// from one unfit entry to the next and no jobs would be loaded.
class NamedSuccessors {
 public:
  /// A leader has resigned in favour of the entry `name`.
  void Note(const std::string& name, TimePoint now) {
    current_ = name;
    named_at_[name] = now;
  }
  /// Precondition: a leader is known, so that the named entry is no longer
  /// waited for.
  void OnNewLeader() { current_.clear(); }

  /// The entry named by the last leader; empty if there is none or another
  /// leader is known.
  const std::string& current() const { return current_; }
  /// Whether the entry was named within kRetryAfter.
  bool NamedRecently(const std::string& name, TimePoint now) const;

  /// How long an entry is not named again. An entry that the store turns away
  /// can't claim, and an outage lasts up to 9 s.
  static constexpr Millis kRetryAfter{10000};

 private:
  std::string current_;
  std::map<std::string, TimePoint> named_at_;
};

}  // namespace mimosarail::leadership
