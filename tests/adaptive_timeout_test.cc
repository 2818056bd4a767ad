#define BOOST_TEST_MODULE adaptive_timeout
#include "src/fleet/adaptive_timeout.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::fleet {

/// Answers that are usually quick make an order overdue soon; an upstream that
/// turns slow is given more time with each miss until it is heard again.
BOOST_AUTO_TEST_CASE(TimeoutAdaptsToReplyTimes) {
  AdaptiveTimeout time(Millis(100), Millis(700));
  BOOST_TEST(time.limit().count() == 700);
  for (int i = 0; i < 20; ++i) time.AddSample(Millis(3));
  BOOST_TEST(time.limit().count() == 100);
  time.AddTimeout();
  BOOST_TEST(time.limit().count() == 200);
  for (int i = 0; i < 50; ++i) time.AddTimeout();
  BOOST_TEST(time.limit().count() == 700);
  for (int i = 0; i < 100; ++i) time.AddSample(Millis(250));
  BOOST_TEST(time.limit().count() >= 250);
  BOOST_TEST(time.limit().count() < 700);
}

}  // namespace mimosarail::fleet
