#define BOOST_TEST_MODULE thread_delays
#include "src/libs/base/thread_delays.h"

#include <boost/test/unit_test.hpp>

#include "tests/queueing_executor.h"

namespace mimosarail {
namespace {

struct Fixture {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  QueueingExecutor control{now};
  QueueingExecutor network{now};
  ThreadDelays delays{control, network};

  /// Lets one measurement wait this long in each queue.
  void Measure(Millis in_network, Millis in_control) {
    now += in_network;
    network.RunPosted();
    now += in_control;
    control.RunPosted();
  }
};

}  // namespace

/// Guards against logs that blame the wrong thread for late answers.
BOOST_FIXTURE_TEST_CASE(DelaysOfBothQueuesAreMeasuredApart, Fixture) {
  delays.Start();
  Measure(Millis(30), Millis(200));
  control.RunDelayed();
  Measure(Millis(40), Millis(0));
  const QueueDelays max = delays.TakeMax();
  BOOST_TEST((max.network == Millis(40)));
  BOOST_TEST((max.control == Millis(200)));
  control.RunDelayed();
  Measure(Millis(5), Millis(6));
  BOOST_TEST((delays.TakeMax().control == Millis(6)));
}

/// Guards against a thread that is stuck, and therefore never measured as late.
BOOST_FIXTURE_TEST_CASE(MeasurementUnderWayCounts, Fixture) {
  delays.Start();
  now += Millis(700);
  BOOST_TEST((delays.TakeMax().network == Millis(700)));
}

}  // namespace mimosarail
