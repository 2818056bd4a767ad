#define BOOST_TEST_MODULE pause_detector
#include "src/libs/base/pause_detector.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail {
namespace {

constexpr Millis kPause{4000};

struct DetectorUnderTest {
  TimePoint now{std::chrono::hours(1)};
  PauseDetector detector{now};

  void RunFor(Millis span) {
    for (Millis passed{0}; passed < span;
         passed += PauseDetector::kTickPeriod) {
      now += PauseDetector::kTickPeriod;
      detector.Tick(now);
    }
  }
};

}  // namespace

/// Guards against a pause that is overlooked because a request is handled
/// before the first tick after it, or after that tick.
BOOST_AUTO_TEST_CASE(PauseIsSeenBeforeAndAfterTheFirstTick) {
  DetectorUnderTest test;
  test.RunFor(Millis(5000));
  test.now += kPause;
  BOOST_TEST((test.detector.RecentPause(test.now) == kPause));
  test.detector.Tick(test.now);
  BOOST_TEST((test.detector.RecentPause(test.now) == kPause));
}

/// Guards against requests that are taken for outdated long after a pause, or
/// without one.
BOOST_AUTO_TEST_CASE(PauseIsForgotten) {
  DetectorUnderTest test;
  test.RunFor(Millis(5000));
  BOOST_TEST((test.detector.RecentPause(test.now) == Millis(0)));
  test.now += kPause;
  test.detector.Tick(test.now);
  test.RunFor(PauseDetector::kCatchUpTime + PauseDetector::kTickPeriod);
  BOOST_TEST((test.detector.RecentPause(test.now) == Millis(0)));
}

}  // namespace mimosarail
