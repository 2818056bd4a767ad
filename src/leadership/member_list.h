#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs_types.h"

namespace mimosarail::leadership {

/// The entries that send heartbeats to a leader, as numbered changes. Not
/// thread-safe.
///
/// Each heartbeat answer carries only the changes that are new to its receiver.
/// With the whole list in each answer, the leader of 97 entries sent 2.9 MB a
/// second, more than a link of 20 Mbit/s carries, and the rate grew with the
/// square of the number of entries. An entry that knows the others receives
/// almost nothing.
class MemberChanges {
 public:
  /// Adds a member. Adding a known, unchanged member is not a change.
  void Join(const wire::Member& member);
  /// Marks a member as removed; does nothing if the name is unknown.
  void Leave(const std::string& name);
  void Clear();

  /// The oldest changes after the one numbered `known`, at most
  /// kMaxChangesPerReply; `known` becomes the number of the last one returned.
  std::vector<wire::Member> After(int64_t& known) const;

  /// A change takes some 50 bytes: while 300 entries learn of each other, at
  /// five heartbeats a second each, their leader sends 0.6 MB a second, a
  /// quarter of a link of 20 Mbit/s, for 8 s.
  static constexpr size_t kMaxChangesPerReply = 8;

 private:
  void AddChange(const wire::Member& member);

  int64_t last_number_ = 0;
  std::map<int64_t, wire::Member> changes_;
  /// Number of the newest change of each name.
  std::map<std::string, int64_t> numbers_;
};

/// The other entries known to an entry from its leaders' heartbeat answers. Not
/// thread-safe.
class KnownMembers {
 public:
  /// Starts the term of a new leader, which sends all changes from its first
  /// one on. Members reported by earlier leaders stay until
  /// RemoveFromEarlierTerms().
  void BeginTerm();
  /// Applies changes received from the leader, up to the one numbered `number`.
  void Apply(const std::vector<wire::Member>& changes, int64_t number);
  /// Removes members that only earlier leaders reported. Precondition: the
  /// leader knows all entries that send it heartbeats, and has reported them.
  void RemoveFromEarlierTerms();
  /// Replaces all members. Called when this entry resigns leadership: it knows
  /// the other entries from their heartbeats.
  void Assign(const std::vector<wire::Member>& members);

  /// Number of the newest change received from the current leader.
  int64_t last_number() const { return last_number_; }
  const std::vector<wire::Member>& all() const { return all_; }

 private:
  void Refresh();

  struct Known {
    wire::Member member;
    bool reported_in_term = false;
  };
  int64_t last_number_ = 0;
  std::map<std::string, Known> by_name_;
  std::vector<wire::Member> all_;
};

}  // namespace mimosarail::leadership
