#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// As leader: the entries of which a majority confirms the leader lease while
/// the store does not answer. Not thread-safe.
///
/// A successor reads the stored quorum and takes lost tasks over only once at
/// least half of its members follow the successor. A majority then no longer
/// can confirm the leader, so a task does not run under both. This holds for
/// three reasons: a majority is required of each set that the store may hold,
/// and nobody but the store confirms the leader before it has stored one; a
/// heartbeat counts from the time of the leader's reply that it answers to, not
/// from its arrival; and only processes that followed the leader before the
/// store's last confirmation count, since a restarted entry does not know that
/// it has followed a successor.
class LeaderQuorum {
 public:
  /// Begins a term of the entry named `self`. Until OnStored(), the store may
  /// hold the quorum of an earlier leader, so nothing but the store confirms
  /// this one.
  void BeginTerm(const std::string& self);
  /// A process of the entry `name` followed the leader at `followed_at`.
  void OnHeartbeat(const std::string& name, int64_t incarnation,
                   TimePoint followed_at);
  /// Notes that a quorum of these members is being sent to the store. From now
  /// on the store may hold it, even if the reply is lost.
  void OnSent(const std::vector<std::string>& members);
  /// Notes that the quorum sent last is stored. Precondition: no other leader
  /// has written to the table since.
  void OnStored();
  /// Whether the store is known to hold exactly these members.
  bool IsStored(const std::vector<std::string>& members) const;
  /// Number of members of the newest quorum that was sent; 0 if there is none.
  size_t newest_size() const { return possible_.back().size(); }
  /// Whether this entry and at least one other, which confirm this one as the
  /// leader, are a majority of the quorum. An entry confirms the leader if its
  /// process has followed the leader at `since` or later, and already did at
  /// `known_by`.
  bool HasMajority(TimePoint since, TimePoint known_by) const;

 private:
  using Members = std::set<std::string>;
  struct Process {
    int64_t incarnation = 0;
    TimePoint first_followed_at{};
    TimePoint last_followed_at{};
  };

  std::string self_;
  /// The quorums that the store may hold; the newest is the last. The empty one
  /// stands for that of an earlier leader, and has no majority: a successor may
  /// read it until a quorum of this term is stored.
  std::vector<Members> possible_{Members()};
  std::map<std::string, Process> processes_;
};

}  // namespace mimosarail::leadership
