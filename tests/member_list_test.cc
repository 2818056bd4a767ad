#define BOOST_TEST_MODULE member_list
#include "src/leadership/member_list.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::leadership {
namespace {

wire::Member Named(int number) {
  wire::Member member;
  member.name = "entry-" + std::to_string(number);
  member.address = member.name + ":1";
  return member;
}

/// As many answers as it takes until nothing is new; how many that were.
int Tell(const MemberChanges& from, KnownMembers& to) {
  for (int answers = 1;; ++answers) {
    int64_t number = to.number();
    const std::vector<wire::Member> changes = from.After(number);
    BOOST_TEST(changes.size() <= MemberChanges::kMaxChangesPerReply);
    to.Apply(changes, number);
    if (changes.empty()) return answers;
  }
}

}  // namespace

/// A follower learns of all others over some answers, and then of what changes
/// alone.
BOOST_AUTO_TEST_CASE(AFollowerIsToldOfEachChangeOnce) {
  MemberChanges changes;
  KnownMembers known;
  constexpr int kMembers = 100;
  for (int i = 0; i < kMembers; ++i) changes.Join(Named(i));
  Tell(changes, known);
  BOOST_TEST(known.all().size() == static_cast<size_t>(kMembers));
  BOOST_TEST(Tell(changes, known) == 1);
  changes.Join(Named(7));
  BOOST_TEST(Tell(changes, known) == 1);
  changes.Leave("entry-3");
  changes.Leave("entry-3");
  changes.Join(Named(kMembers));
  BOOST_TEST(Tell(changes, known) == 2);
  BOOST_TEST(known.all().size() == static_cast<size_t>(kMembers));
}

/// An entry that comes back, perhaps at another address, is known again.
BOOST_AUTO_TEST_CASE(ReturningMemberIsListedAgain) {
  MemberChanges changes;
  KnownMembers known;
  changes.Join(Named(1));
  Tell(changes, known);
  changes.Leave("entry-1");
  Tell(changes, known);
  BOOST_TEST(known.all().empty());
  wire::Member back = Named(1);
  back.address = "elsewhere:1";
  changes.Join(back);
  Tell(changes, known);
  BOOST_REQUIRE_EQUAL(known.all().size(), 1U);
  BOOST_TEST(known.all()[0].address == "elsewhere:1");
}

/// The next leader numbers its changes from the beginning. Until it has heard
/// of everybody, those of the one before are still worth asking.
BOOST_AUTO_TEST_CASE(NewLeaderRestartsMemberNumbering) {
  MemberChanges first;
  KnownMembers known;
  for (int i = 0; i < 5; ++i) first.Join(Named(i));
  Tell(first, known);
  known.BeginTerm();
  MemberChanges second;
  second.Join(Named(1));
  Tell(second, known);
  BOOST_TEST(known.all().size() == 5U);
  known.RemoveFromEarlierTerms();
  BOOST_REQUIRE_EQUAL(known.all().size(), 1U);
  BOOST_TEST(known.all()[0].name == "entry-1");
}

}  // namespace mimosarail::leadership
