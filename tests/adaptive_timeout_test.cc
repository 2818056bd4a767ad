#define BOOST_TEST_MODULE adaptive_timeout
#include "src/fleet/adaptive_timeout.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::fleet {

/// Guards against a timeout that does not adapt: too long for an upstream that
/// usually replies fast, or too short for one that has become slow. The limit
/// doubles with each timeout until a reply arrives.
BOOST_AUTO_TEST_CASE(TimeoutAdaptsToReplyTimes) {
  AdaptiveTimeout timeout(Millis(100), Millis(700));
  BOOST_TEST(timeout.timeout().count() == 700);
  for (int i = 0; i < 20; ++i) timeout.AddSample(Millis(3));
  BOOST_TEST(timeout.timeout().count() == 100);
  timeout.AddTimeout();
  BOOST_TEST(timeout.timeout().count() == 200);
  for (int i = 0; i < 50; ++i) timeout.AddTimeout();
  BOOST_TEST(timeout.timeout().count() == 700);
  for (int i = 0; i < 100; ++i) timeout.AddSample(Millis(250));
  BOOST_TEST(timeout.timeout().count() >= 250);
  BOOST_TEST(timeout.timeout().count() < 700);
}

}  // namespace mimosarail::fleet
