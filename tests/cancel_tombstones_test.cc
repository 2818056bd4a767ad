#define BOOST_TEST_MODULE cancel_tombstones
#include "src/coordinator/cancel_tombstones.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "src/coordinator/job_table.h"

namespace mimosarail::coordinator {
namespace {

constexpr size_t kRoomBytes = 1 << 20;
const std::optional<std::string> kAnyAccount;

struct TombstonesUnderTest {
  explicit TombstonesUnderTest(size_t accounts = 0, size_t bytes = kRoomBytes) {
    tombstones.SetLimits(bytes, accounts);
  }
  /// Adds tombstones until the room is full; returns their number.
  JobId Fill(const std::optional<std::string>& account) {
    JobId id = 0;
    for (; tombstones.HasRoom(account); ++id) tombstones.Add(id, account, now);
    return id;
  }
  bool Has(JobId id, const std::string& account) const {
    return tombstones.AgeOf(id, account, now).has_value();
  }

  CancelTombstones tombstones{{.term = 7}};
  TimePoint now{Millis(1000000)};
};

}  // namespace

/// Guards against an account that keeps the jobs of another from being accepted
/// by cancelling their ids.
BOOST_AUTO_TEST_CASE(TombstoneMeetsOnlyItsAccount) {
  TombstonesUnderTest test(2);
  test.tombstones.Add(1, "red", test.now);
  BOOST_TEST(test.Has(1, "red"));
  BOOST_TEST(!test.Has(1, "blue"));
  // A job without an owner may be cancelled by every account.
  BOOST_TEST(test.Has(1, ""));
  test.tombstones.Add(2, kAnyAccount, test.now);
  BOOST_TEST(test.Has(2, "red"));
  BOOST_TEST(test.Has(2, ""));
}

/// Guards against an account whose cancellations are refused because another
/// one has cancelled many jobs.
BOOST_AUTO_TEST_CASE(AccountsHaveRoomsOfTheirOwn) {
  TombstonesUnderTest test(2);
  BOOST_TEST(test.Fill("red") > 1000U);
  BOOST_TEST(!test.tombstones.HasRoom("red"));
  for (const auto& other : {std::optional<std::string>("blue"),
                            std::optional<std::string>(""), kAnyAccount}) {
    BOOST_TEST(test.tombstones.HasRoom(other));
    test.Fill(other);
  }
  BOOST_TEST(test.tombstones.bytes() <= kRoomBytes);
}

/// Guards against an acknowledged cancellation that is forgotten for others
/// before its time, and against one that is never forgotten.
BOOST_AUTO_TEST_CASE(TombstonesAreDroppedOnlyAfterTheirRetention) {
  TombstonesUnderTest test;
  const JobId count = test.Fill(kAnyAccount);
  test.now += kTombstoneRetention;
  BOOST_TEST(test.tombstones.DropExpired(test.now).empty());
  BOOST_TEST(test.Has(0, ""));
  BOOST_TEST(test.Has(count - 1, ""));
  test.now += Millis(1);
  BOOST_TEST(!test.tombstones.DropExpired(test.now).empty());
  BOOST_TEST(test.tombstones.size() == 0U);
  BOOST_TEST(test.tombstones.bytes() == 0U);
  BOOST_TEST(!test.Has(0, ""));
  BOOST_TEST(test.tombstones.HasRoom(kAnyAccount));
}

/// Guards against a job that was cancelled twice and is forgotten with the
/// first cancellation.
BOOST_AUTO_TEST_CASE(LaterCancellationCounts) {
  TombstonesUnderTest test;
  test.tombstones.Add(1, kAnyAccount, test.now);
  test.now += Millis(30000);
  test.tombstones.Add(1, kAnyAccount, test.now);
  test.now += Millis(30001);
  BOOST_TEST(test.tombstones.DropExpired(test.now).size() == 1U);
  BOOST_TEST(test.Has(1, ""));
  BOOST_TEST(test.tombstones.size() == 1U);
}

/// Guards against a refused caller that returns before there is room.
BOOST_AUTO_TEST_CASE(TimeToRoomIsThatOfTheOldest) {
  TombstonesUnderTest test;
  test.tombstones.Add(1, kAnyAccount, test.now);
  test.now += Millis(20000);
  test.Fill(kAnyAccount);
  BOOST_TEST(test.tombstones.TimeToRoom(kAnyAccount, test.now).count() ==
             40000);
  test.now += Millis(40001);
  test.tombstones.DropExpired(test.now);
  BOOST_TEST(test.tombstones.HasRoom(kAnyAccount));
}

/// Guards against a successor that doesn't know what was cancelled, and against
/// thousands of records that delay its start.
BOOST_AUTO_TEST_CASE(RecordsHoldManyTombstonesAndCanBeLoaded) {
  constexpr JobId kIds = 5000;
  TombstonesUnderTest test(2);
  std::map<std::string, std::string> stored;
  for (JobId id = 0; id < kIds; ++id) {
    const bool red = id % 2 == 0;
    const auto record = test.tombstones.Add(
        id, red ? std::optional<std::string>("red") : kAnyAccount, test.now);
    stored[record.key] = record.value;
    test.now += Millis(1);
  }
  BOOST_TEST(stored.size() <= 26U);
  CancelTombstones next({.term = 8});
  next.SetLimits(kRoomBytes, 2);
  for (const auto& [key, value] : stored) {
    BOOST_TEST(next.Load({.key = key, .value = value}, test.now));
  }
  BOOST_TEST(next.size() == kIds);
  for (JobId id = 0; id < kIds; ++id) {
    BOOST_REQUIRE(next.AgeOf(id, "red", test.now).has_value());
    BOOST_REQUIRE(next.AgeOf(id, "blue", test.now).has_value() ==
                  (id % 2 == 1));
  }
  // A new record doesn't replace a loaded one.
  BOOST_TEST(stored.count(next.Add(kIds, kAnyAccount, test.now).key) == 0U);
}

/// Guards against a record that the store refuses, which would block all
/// others.
BOOST_AUTO_TEST_CASE(RecordsStayStorable) {
  constexpr size_t kNameBytes = 60 << 10;
  TombstonesUnderTest test(0, size_t{64} << 20);
  for (JobId id = 0; id < 5000; ++id) {
    const std::string name = std::to_string(id % 26) +
                             std::string(id % 50 == 0 ? kNameBytes : 1, 'a');
    BOOST_REQUIRE(test.tombstones.HasRoom(name));
    const auto record = test.tombstones.Add(id, name, test.now);
    BOOST_REQUIRE(IsStorable(record.key, record.value));
  }
  BOOST_TEST(!test.tombstones.HasRoom(std::string(2 * kNameBytes, 'a')));
}

/// Guards against a malformed record that is taken for an empty one.
BOOST_AUTO_TEST_CASE(MalformedRecordIsReported) {
  TombstonesUnderTest test;
  BOOST_TEST(!test.tombstones.Load({.key = "c1.0", .value = "x"}, test.now));
  BOOST_TEST(test.tombstones.size() == 0U);
}

}  // namespace mimosarail::coordinator
