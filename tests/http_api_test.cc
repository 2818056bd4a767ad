#define BOOST_TEST_MODULE http_api
#include "src/callers/http_api.h"

#include <httplib.h>

#include <boost/test/unit_test.hpp>
#include <mutex>
#include <vector>

#include "tests/sim/cluster.h"

namespace mimosarail::callers {
namespace {

constexpr Millis kControlTimeout{100};
constexpr const char* kBody =
    R"({"team":"field","work":"part-check","key":"part-1","run_ms":20})";

/// The control thread of a paused process: posted work waits until Resume().
class StalledExecutor final : public Executor {
 public:
  explicit StalledExecutor(Executor& live) : live_(live) {}

  TimePoint Now() const override { return live_.Now(); }
  int64_t UnixMillis() const override { return live_.UnixMillis(); }
  void Post(std::function<void()> work) override {
    std::lock_guard lock(mutex_);
    deferred_.push_back(std::move(work));
  }
  void RunAfter(Millis, std::function<void()> work) override {
    Post(std::move(work));
  }

  void Resume() {
    std::vector<std::function<void()>> deferred;
    {
      std::lock_guard lock(mutex_);
      deferred.swap(deferred_);
    }
    for (const auto& work : deferred) work();
  }

 private:
  Executor& live_;
  std::mutex mutex_;
  std::vector<std::function<void()>> deferred_;
};

}  // namespace

/// Guards against executing a submission whose caller has got 503 and a time to
/// retry. While the control thread is paused, the submission waits in its
/// queue. If it were executed after the reply, a caller that has submitted
/// elsewhere would have the request run twice, and the work would use the stack
/// frame of a handler that has returned.
BOOST_AUTO_TEST_CASE(TimedOutSubmissionIsNotExecuted) {
  sim::Cluster cluster({});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  sim::EntryProcess& process = cluster.entry_process(0);
  StalledExecutor stalled(*process.executor);
  HttpApi api(*process.instance, stalled, *process.metrics,
              {.address = "127.0.0.1:0", .control_timeout = kControlTimeout});
  const auto port = api.Start();
  BOOST_REQUIRE(port.ok());
  httplib::Client caller("127.0.0.1", port.value());
  const auto reply = caller.Post("/v1/requests", kBody, "application/json");
  BOOST_REQUIRE(reply);
  BOOST_TEST(reply->status == 503);
  BOOST_TEST(reply->body.find("\"not run\"") != std::string::npos);
  stalled.Resume();
  cluster.Run(Millis(5000));
  const auto lookup = cluster.Lookup(0, "part-1", Millis(0));
  cluster.Run(Millis(1000));
  BOOST_TEST(!lookup->found);
  BOOST_TEST(process.instance->requests().unfinished() == 0U);
}

}  // namespace mimosarail::callers
