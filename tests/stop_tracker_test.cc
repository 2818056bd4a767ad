#define BOOST_TEST_MODULE stop_tracker
#include "src/scheduling/stop_tracker.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::scheduling {
namespace {

constexpr TimePoint kNow{Millis(5000)};
constexpr UpstreamIndex kUpstream = 3;
constexpr int64_t kAttempt = 7;
const TaskId kTask{1, 0, 0, 0};
constexpr StopTracker::Ending kOrphan{.reason = StopReason::kUnknownJob};

ports::RunningTask Listed() { return {.task = kTask, .attempt = kAttempt}; }

}  // namespace

/// Guards against an orphaned run that is not stopped, or that is stopped after
/// each report.
BOOST_AUTO_TEST_CASE(OrphanedRunIsStoppedAtIntervals) {
  StopTracker stops;
  const auto first = stops.NoteListed(kUpstream, Listed(), kOrphan, kNow);
  BOOST_REQUIRE(first);
  BOOST_TEST(first->upstream == kUpstream);
  BOOST_TEST((first->task == kTask));
  BOOST_TEST(first->attempt == kAttempt);
  BOOST_TEST((first->reason == StopReason::kUnknownJob));
  BOOST_TEST(first->orphaned);
  const TimePoint again = kNow + StopTracker::kRetryInterval;
  BOOST_TEST(
      !stops.NoteListed(kUpstream, Listed(), kOrphan, again - Millis(1)));
  const auto second = stops.NoteListed(kUpstream, Listed(), kOrphan, again);
  BOOST_REQUIRE(second);
  BOOST_TEST(!second->orphaned);
}

/// Guards against the reason of a stop that changes with the state of the job.
BOOST_AUTO_TEST_CASE(RepeatedStopKeepsItsReason) {
  StopTracker stops;
  stops.NoteOrdered(kUpstream, kTask, kAttempt, StopReason::kMoved, kNow);
  const auto again = stops.NoteListed(kUpstream, Listed(), kOrphan,
                                      kNow + StopTracker::kRetryInterval);
  BOOST_REQUIRE(again);
  BOOST_TEST((again->reason == StopReason::kMoved));
  BOOST_TEST(!again->orphaned);
}

/// Guards against a lost stop that is repeated late, or at once.
BOOST_AUTO_TEST_CASE(FailedStopIsOrderedAgainSoon) {
  StopTracker stops;
  stops.NoteOrdered(kUpstream, kTask, kAttempt, StopReason::kCancelled, kNow);
  stops.NoteFailed(kUpstream, kTask, kAttempt, kNow);
  const TimePoint again = kNow + StopTracker::kFailedStopRetryInterval;
  BOOST_TEST(
      !stops.NoteListed(kUpstream, Listed(), kOrphan, again - Millis(1)));
  BOOST_TEST(stops.NoteListed(kUpstream, Listed(), kOrphan, again).has_value());
}

/// Guards against the stop of a run that is about to end by itself.
BOOST_AUTO_TEST_CASE(RunThatEndsByItselfIsStoppedOnlyIfItDoesNot) {
  StopTracker stops;
  const StopTracker::Ending ending{.reason = StopReason::kJobComplete,
                                   .without_stop = true};
  BOOST_TEST(!stops.NoteListed(kUpstream, Listed(), ending, kNow));
  BOOST_TEST(stops
                 .NoteListed(kUpstream, Listed(), ending,
                             kNow + StopTracker::kRetryInterval)
                 .has_value());
}

/// Guards against the stop of an earlier run that delays that of a later one.
BOOST_AUTO_TEST_CASE(EndedRunIsForgotten) {
  StopTracker stops;
  stops.NoteOrdered(kUpstream, kTask, kAttempt, StopReason::kMoved, kNow);
  stops.Remove(kUpstream, kTask, kAttempt);
  BOOST_TEST(stops.NoteListed(kUpstream, Listed(), kOrphan, kNow).has_value());
  stops.RemoveAll(kUpstream);
  stops.NoteFailed(kUpstream, kTask, kAttempt, kNow);
  BOOST_TEST(stops.NoteListed(kUpstream, Listed(), kOrphan, kNow).has_value());
}

}  // namespace mimosarail::scheduling
