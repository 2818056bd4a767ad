#define BOOST_TEST_MODULE callback_threads
#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>

#include "platform/host_client.h"
#include "platform/job_http_server.h"
#include "platform/store_client.h"
#include "platform/upstream_client.h"
#include "src/leadership/rpc_entry_client.h"
#include "src/libs/rpc/client.h"
#include "tests/captured_log.h"
#include "tests/scenarios/process.h"

namespace mimosarail {
namespace {

using asio::ip::tcp;

constexpr Millis kTimeout{1000};
constexpr const char* kInvalidAddress = "not an address";

thread_local bool on_control_thread = false;

/// Runs and destroys posted work on a thread of its own before Post() returns.
/// What the calling thread still owns then, it releases last.
class PromptControlThread final : public Executor {
 public:
  TimePoint Now() const override { return Clock::now(); }
  int64_t UnixMillis() const override { return 0; }
  void Post(std::function<void()> work) override {
    std::thread([this, &work] {
      on_control_thread = true;
      std::exchange(work, nullptr)();
      if (after_work) after_work();
    }).join();
  }
  void RunAfter(Millis, std::function<void()>) override {}

  /// Runs on the control thread after each posted work, unless it is empty.
  std::function<void()> after_work;
};

/// State owned by a callback; records the thread that releases it.
class OwnedState {
 public:
  std::shared_ptr<void> MakeOwner() {
    return {nullptr, [this](void*) {
              ++released_;
              released_on_control_thread_ = on_control_thread;
            }};
  }
  /// Returns a callback that owns the state.
  auto MakeCallback() {
    return [owner = MakeOwner()](const auto&) {};
  }

  bool released_once_on_control_thread() const {
    return released_ == 1 && released_on_control_thread_;
  }

 private:
  int released_ = 0;
  bool released_on_control_thread_ = false;
};

/// Answers each query immediately.
class PromptJobService final : public jobentry::JobService {
 public:
  jobentry::AccessView Access() const override {
    ports::CellConfig config;
    config.queues.push_back({.host = "h", .prefix = "/q/"});
    return {.table = std::make_shared<const jobentry::AccessTable>(config)};
  }
  void Submit(const wire::JobSpec&, const jobentry::Submitter&,
              jobentry::JobDone) override {}
  void QueryState(JobId, const jobentry::CallerAccount&, Millis,
                  jobentry::JobDone done) override {
    answered = true;
    done({.verdict = coordinator::JobVerdict::kConfirmed});
  }
  void Cancel(JobId, const jobentry::CallerAccount&, Millis,
              jobentry::JobDone) override {}
  void CountPending(const std::string&, Millis, jobentry::JobDone) override {}
  bool Ready() override { return true; }

  bool answered = false;
};

}  // namespace

/// Guards against state of the control thread that the network thread changes
/// when it destroys the callback of a call to another entry.
BOOST_AUTO_TEST_CASE(CallbacksOfEntryCallsAreDestroyedOnTheControlThread) {
  asio::io_context io;
  PromptControlThread control;
  rpc::Client client(io);
  rpc::Client urgent(io);
  leadership::RpcEntryClient entries(client, urgent, control);
  OwnedState state;
  entries.SubmitJob(kInvalidAddress, {}, kTimeout, state.MakeCallback());
  BOOST_TEST(state.released_once_on_control_thread());
}

/// Guards against the same for calls to the platform.
BOOST_AUTO_TEST_CASE(CallbacksOfPlatformCallsAreDestroyedOnTheControlThread) {
  asio::io_context io;
  PromptControlThread control;
  http::Client http(io, {});
  platform::StoreClient store(http, control, kInvalidAddress);
  platform::HostClient hosts(http, control, kInvalidAddress);
  platform::UpstreamClient upstreams(http, control, kInvalidAddress);
  OwnedState append;
  OwnedState list;
  OwnedState start;
  OwnedState advice;
  store.Append({}, kTimeout, append.MakeCallback());
  hosts.ListHosts("", kTimeout, list.MakeCallback());
  upstreams.Start({.address = kInvalidAddress}, {}, kTimeout,
                  start.MakeCallback());
  upstreams.RequestAdvice({}, {}, kTimeout, advice.MakeCallback());
  io.run();
  BOOST_TEST(append.released_once_on_control_thread());
  BOOST_TEST(list.released_once_on_control_thread());
  BOOST_TEST(start.released_once_on_control_thread());
  BOOST_TEST(advice.released_once_on_control_thread());
}

/// Guards against a list of open requests that the network thread changes, and
/// that still contains a request after its answer.
BOOST_AUTO_TEST_CASE(AnsweredRequestIsNoLongerOpen) {
  asio::io_context io;
  PromptControlThread control;
  PromptJobService service;
  const uint16_t port = static_cast<uint16_t>(scenarios::FreePort());
  platform::JobHttpServer server(
      io, control, service,
      {.address = "127.0.0.1:" + std::to_string(port),
       .ready_address = "127.0.0.1:0"});
  BOOST_REQUIRE(server.Start().ok());
  CapturedLog log;
  control.after_work = [&server] { server.LogOpenRequests(); };
  asio::io_context caller_io;
  tcp::socket caller(caller_io);
  caller.connect({asio::ip::address_v4::loopback(), port});
  asio::write(caller,
              asio::buffer(std::string(
                  "GET /q/00000000000000a1 HTTP/1.1\r\nHost: h\r\n\r\n")));
  while (!service.answered) io.run_one();
  const std::string lines = log.Take();
  BOOST_TEST(lines.find("request left unanswered") == std::string::npos);
}

}  // namespace mimosarail
