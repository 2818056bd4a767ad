#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs_types.h"

namespace mimosarail::leadership {

/// The entries that greet a leader, as numbered changes. Not thread-safe.
///
/// The load that this answers: with the whole list in each answer, the leader
/// of 97 entries sent 2.9 MB a second, more than a link of 20 Mbit/s carries,
/// and that grew with the square of the entries. Told only what is new to it,
/// an entry gets next to nothing once it knows the others.
class MemberChanges {
 public:
  /// A member has joined; one that is there already is no change.
  void Join(const wire::Member& member);
  /// Nothing if it is not there.
  void Leave(const std::string& name);
  void Clear();

  /// The oldest changes after the one with the number `known`,
  /// kMaxChangesPerReply of them; `known` becomes the number of the last one.
  std::vector<wire::Member> After(int64_t& known) const;

  /// A change takes some 50 bytes: while 300 entries learn of each other, at
  /// five greetings a second each, their leader sends 0.6 MB a second, a
  /// quarter of a link of 20 Mbit/s, for 8 s.
  static constexpr size_t kMaxChangesPerReply = 8;

 private:
  void Note(const wire::Member& member);

  int64_t last_ = 0;
  std::map<int64_t, wire::Member> changes_;
  /// Number of the newest change of each name.
  std::map<std::string, int64_t> numbers_;
};

/// What an entry knows of the others, from its leaders' answers. Not
/// thread-safe.
class KnownMembers {
 public:
  /// Another leader: it tells everything from its first change on. What
  /// earlier ones have told stays until it has.
  void BeginTerm();
  /// Changes that the leader has told, up to the one with this number.
  void Take(const std::vector<wire::Member>& changes, int64_t number);
  /// Drops whom only earlier leaders told of. Precondition: the leader has
  /// heard of all that greet it, and told them.
  void DropEarlier();
  /// Replaces everything; as a leader knows the others itself.
  void Assign(const std::vector<wire::Member>& members);

  /// Number of the newest change that this leader has told.
  int64_t number() const { return number_; }
  const std::vector<wire::Member>& all() const { return all_; }

 private:
  void Refresh();

  struct Known {
    wire::Member member;
    bool told_in_term = false;
  };
  int64_t number_ = 0;
  std::map<std::string, Known> by_name_;
  std::vector<wire::Member> all_;
};

}  // namespace mimosarail::leadership
