#define BOOST_TEST_MODULE http_api
#include "src/callers/http_api.h"

#include <httplib.h>

#include <boost/test/unit_test.hpp>
#include <mutex>
#include <vector>

#include "tests/sim/cell.h"

namespace mimosarail::callers {
namespace {

constexpr Millis kControlTimeout{100};
constexpr const char* kBody =
    R"({"team":"field","work":"part-check","key":"part-1","run_ms":20})";

/// The control thread of a process that stands still: what is posted waits
/// until it is let go on.
class StalledExecutor final : public Executor {
 public:
  explicit StalledExecutor(Executor& live) : live_(live) {}

  TimePoint Now() const override { return live_.Now(); }
  int64_t UnixMillis() const override { return live_.UnixMillis(); }
  void Post(std::function<void()> work) override {
    std::lock_guard lock(mutex_);
    held_.push_back(std::move(work));
  }
  void RunAfter(Millis, std::function<void()> work) override {
    Post(std::move(work));
  }

  void GoOn() {
    std::vector<std::function<void()>> held;
    {
      std::lock_guard lock(mutex_);
      held.swap(held_);
    }
    for (const auto& work : held) work();
  }

 private:
  Executor& live_;
  std::mutex mutex_;
  std::vector<std::function<void()>> held_;
};

}  // namespace

/// A caller is told 503 and to come back, since the control thread of the
/// instance stood still; it submits elsewhere, and the request runs twice. The
/// submission still lay in the queue and was carried out after the answer, by
/// then from a frame of the handler that had returned.
BOOST_AUTO_TEST_CASE(TimedOutSubmissionIsNotExecuted) {
  sim::Cell cell({});
  BOOST_REQUIRE(cell.WaitUntilReady());
  sim::Node& node = cell.node(0);
  StalledExecutor stalled(*node.executor);
  HttpApi api(*node.instance, stalled, *node.metrics,
              {.address = "127.0.0.1:0", .control_timeout = kControlTimeout});
  const auto port = api.Start();
  BOOST_REQUIRE(port.ok());
  httplib::Client caller("127.0.0.1", port.value());
  const auto reply = caller.Post("/v1/requests", kBody, "application/json");
  BOOST_REQUIRE(reply);
  BOOST_TEST(reply->status == 503);
  BOOST_TEST(reply->body.find("\"not run\"") != std::string::npos);
  stalled.GoOn();
  cell.Run(Millis(5000));
  const auto told = cell.Ask(0, "part-1", Millis(0));
  cell.Run(Millis(1000));
  BOOST_TEST(!told->found);
  BOOST_TEST(node.instance->requests().unfinished() == 0U);
}

}  // namespace mimosarail::callers
