#define BOOST_TEST_MODULE thread_delays
#include "src/libs/base/thread_delays.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace mimosarail {
namespace {

/// Queues posted work until the test runs it, and shares a clock with others.
class QueueingExecutor final : public Executor {
 public:
  explicit QueueingExecutor(TimePoint& now) : now_(now) {}
  TimePoint Now() const override { return now_; }
  int64_t UnixMillis() const override { return 0; }
  void Post(std::function<void()> work) override {
    posted_.push_back(std::move(work));
  }
  void RunAfter(Millis /*delay*/, std::function<void()> work) override {
    delayed_.push_back(std::move(work));
  }
  void RunPosted() { RunAll(posted_); }
  void RunDelayed() { RunAll(delayed_); }

 private:
  static void RunAll(std::deque<std::function<void()>>& queue) {
    for (auto& work : std::exchange(queue, {})) work();
  }
  TimePoint& now_;
  std::deque<std::function<void()>> posted_;
  std::deque<std::function<void()>> delayed_;
};

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
