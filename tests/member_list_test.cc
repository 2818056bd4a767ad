#define BOOST_TEST_MODULE member_list
#include "src/leadership/member_list.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::leadership {
namespace {

wire::Member MemberWithNumber(int number) {
  wire::Member member;
  member.name = "entry-" + std::to_string(number);
  member.address = member.name + ":1";
  return member;
}

/// Sends answers until one contains no change; returns the number of answers.
int SendChanges(const MemberChanges& from, KnownMembers& to) {
  for (int answers = 1;; ++answers) {
    int64_t number = to.last_number();
    const std::vector<wire::Member> changes = from.After(number);
    BOOST_TEST(changes.size() <= MemberChanges::kMaxChangesPerReply);
    to.Apply(changes, number);
    if (changes.empty()) return answers;
  }
}

}  // namespace

/// Guards against answers that repeat known members: a follower receives all
/// others over several answers, and only changes after that.
BOOST_AUTO_TEST_CASE(FollowerReceivesEachMemberChangeOnce) {
  MemberChanges changes;
  KnownMembers known;
  constexpr int kMembers = 100;
  for (int i = 0; i < kMembers; ++i) changes.Join(MemberWithNumber(i));
  SendChanges(changes, known);
  BOOST_TEST(known.all().size() == static_cast<size_t>(kMembers));
  BOOST_TEST(SendChanges(changes, known) == 1);
  changes.Join(MemberWithNumber(7));
  BOOST_TEST(SendChanges(changes, known) == 1);
  changes.Leave("entry-3");
  changes.Leave("entry-3");
  changes.Join(MemberWithNumber(kMembers));
  BOOST_TEST(SendChanges(changes, known) == 2);
  BOOST_TEST(known.all().size() == static_cast<size_t>(kMembers));
}

/// Guards against an entry that stays unlisted or keeps its former address
/// after it has left and returned.
BOOST_AUTO_TEST_CASE(ReturningMemberIsListedAgain) {
  MemberChanges changes;
  KnownMembers known;
  changes.Join(MemberWithNumber(1));
  SendChanges(changes, known);
  changes.Leave("entry-1");
  SendChanges(changes, known);
  BOOST_TEST(known.all().empty());
  wire::Member back = MemberWithNumber(1);
  back.address = "elsewhere:1";
  changes.Join(back);
  SendChanges(changes, known);
  BOOST_REQUIRE_EQUAL(known.all().size(), 1U);
  BOOST_TEST(known.all()[0].address == "elsewhere:1");
}

/// A new leader numbers its changes from the beginning. Guards against lost
/// changes, and against dropping members of the former leader before the new
/// one knows all entries.
BOOST_AUTO_TEST_CASE(NewLeaderRestartsMemberNumbering) {
  MemberChanges first;
  KnownMembers known;
  for (int i = 0; i < 5; ++i) first.Join(MemberWithNumber(i));
  SendChanges(first, known);
  known.BeginTerm();
  MemberChanges second;
  second.Join(MemberWithNumber(1));
  SendChanges(second, known);
  BOOST_TEST(known.all().size() == 5U);
  known.RemoveFromEarlierTerms();
  BOOST_REQUIRE_EQUAL(known.all().size(), 1U);
  BOOST_TEST(known.all()[0].name == "entry-1");
}

}  // namespace mimosarail::leadership
