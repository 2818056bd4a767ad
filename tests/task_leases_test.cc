#define BOOST_TEST_MODULE task_leases
#include "src/fleet/task_leases.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::fleet {
namespace {

constexpr TaskLeaseOptions kOptions{.lease = Millis(4000),
                                    .max_lease = Millis(10000),
                                    .max_call_delay = Millis(12000)};
const Millis kLease = MaxLeaseDuration(kOptions.lease);
const Millis kMaxLease = MaxLeaseDuration(kOptions.max_lease);
constexpr TimePoint kNow{Millis(1000000)};
/// Long enough ago that no call for a previous incarnation is under way.
constexpr TimePoint kLongAgo{};

}  // namespace

/// Guards against a second run at a restarted upstream: a stale call has given
/// the new incarnation its longest lease.
BOOST_AUTO_TEST_CASE(FirstReportAfterARestartCountsTheLongestLease) {
  TaskLeases leases(kOptions);
  leases.OnStartKnown(kLongAgo, kNow);
  leases.NoteFirstReport(kNow);
  leases.OnRestart(kNow + Millis(1000));
  leases.NoteFirstReport(kNow + Millis(1200));
  const auto end = leases.End(std::nullopt);
  BOOST_REQUIRE(end);
  BOOST_TEST((end->at == kNow + Millis(1200) + kMaxLease));
  BOOST_TEST((end->cause == LeaseEndCause::kStaleCall));
}

/// Guards against tasks that wait for longer than the lease without need.
BOOST_AUTO_TEST_CASE(IncarnationThatBeganLongAgoCountsTheUsualLease) {
  TaskLeases leases(kOptions);
  leases.OnStartKnown(kLongAgo, kNow);
  leases.NoteFirstReport(kNow);
  const auto end = leases.End(std::nullopt);
  BOOST_REQUIRE(end);
  BOOST_TEST((end->at == kNow + kLease));
  BOOST_TEST((end->cause == LeaseEndCause::kFirstReport));
}

/// Guards against a second run after a takeover: the predecessor's stale call
/// may be executed late, at an upstream that this leader never reached.
BOOST_AUTO_TEST_CASE(PredecessorsStaleCallsMayBeExecutedLate) {
  TaskLeases leases(kOptions);
  leases.OnStartKnown(kNow - Millis(1000), kNow);
  const TimePoint predecessor_end = kNow + Millis(500);
  const auto end = leases.End(predecessor_end);
  BOOST_REQUIRE(end);
  BOOST_TEST(
      (end->at == predecessor_end + kOptions.max_call_delay + kMaxLease));
  BOOST_TEST(!leases.End(std::nullopt));
}

/// Guards against loaded jobs that wait for upstreams which began long ago.
BOOST_AUTO_TEST_CASE(UnreachedIncarnationThatBeganLongAgoCountsThePredecessor) {
  TaskLeases leases(kOptions);
  leases.OnStartKnown(kLongAgo, kNow);
  const auto end = leases.End(kNow);
  BOOST_REQUIRE(end);
  BOOST_TEST((end->at == kNow + kLease));
  BOOST_TEST((end->cause == LeaseEndCause::kPredecessor));
}

/// Guards against runs that are never given up: their upstream restarts again
/// and again without a report.
BOOST_AUTO_TEST_CASE(RestartsWithoutAReportMoveNothing) {
  TaskLeases leases(kOptions);
  leases.OnStartKnown(kLongAgo, kNow);
  leases.NoteFirstReport(kNow);
  leases.OnRestart(kNow + Millis(1000));
  const auto first = leases.End(kLongAgo);
  leases.OnRestart(kNow + Millis(9000));
  const auto second = leases.End(kLongAgo);
  BOOST_REQUIRE(first);
  BOOST_REQUIRE(second);
  BOOST_TEST((first->at == second->at));
}

/// Guards against an end of the leases that depends on the wall clock although
/// this leader has seen the restart itself.
BOOST_AUTO_TEST_CASE(RestartThatIsSeenIsNotBoundedByTheStartTime) {
  TaskLeases leases(kOptions);
  leases.OnStartKnown(kLongAgo, kNow);
  leases.OnRestart(kNow);
  const auto end = leases.End(kLongAgo);
  BOOST_REQUIRE(end);
  BOOST_TEST((end->at == kNow + kOptions.max_call_delay + kMaxLease));
}

/// Guards against a second run while an incarnation that the leader does not
/// know executes the last call late.
BOOST_AUTO_TEST_CASE(UnknownIncarnationHoldsLeasesAfterTheLastCall) {
  TaskLeases leases(kOptions);
  leases.OnStartKnown(kLongAgo, kNow);
  leases.NoteFirstReport(kNow);
  leases.NoteCall(LeaseEndCause::kStart, kNow + Millis(100));
  leases.NoteCall(LeaseEndCause::kRenewal, kNow + Millis(300));
  const LeaseEnd end = leases.EndAtUnknownIncarnation();
  BOOST_TEST(
      (end.at == kNow + Millis(300) + kOptions.max_call_delay + kMaxLease));
  BOOST_TEST((end.cause == LeaseEndCause::kStaleCall));
}

/// Guards against a second run where the upstream does not report its start.
BOOST_AUTO_TEST_CASE(CallsExtendTheEnd) {
  TaskLeases leases(kOptions);
  leases.NoteFirstReport(kNow);
  leases.NoteCall(LeaseEndCause::kRenewal, kNow + Millis(100));
  leases.NoteCall(LeaseEndCause::kStart, kNow + Millis(50));
  const auto end = leases.End(std::nullopt);
  BOOST_REQUIRE(end);
  BOOST_TEST((end->at == kNow + Millis(100) + kLease));
  BOOST_TEST((end->cause == LeaseEndCause::kRenewal));
}

}  // namespace mimosarail::fleet
