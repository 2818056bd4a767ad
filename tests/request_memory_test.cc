#define BOOST_TEST_MODULE request_memory
#include "src/libs/http/request_memory.h"

#include <malloc.h>

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <thread>

#include "platform/job_http_server.h"
#include "src/jobs/job_state.h"
#include "src/libs/http/parser.h"
#include "src/libs/rpc/asio_executor.h"
#include "tests/captured_log.h"
#include "tests/scenarios/process_cluster.h"

namespace mimosarail {
namespace platform {
namespace {

using asio::ip::tcp;

constexpr size_t kBodyBytes = 256 << 10;
constexpr Millis kPollInterval{5};
constexpr Millis kWaitLimit{20000};

/// Keeps each submission without an answer, like a leader that is silent.
class SilentJobService final : public jobentry::JobService {
 public:
  jobentry::AccessView Access() const override {
    ports::CellConfig config;
    config.queues.push_back({.host = "h", .prefix = "/q/"});
    return {.table = std::make_shared<const jobentry::AccessTable>(config)};
  }
  void Submit(const wire::JobSpec&, const jobentry::Submitter&,
              jobentry::JobDone done) override {
    waiting_.push_back(std::move(done));
    ++submissions;
  }
  void QueryState(JobId, const jobentry::CallerAccount&, Millis,
                  jobentry::JobDone) override {}
  void Cancel(JobId, const jobentry::CallerAccount&, Millis,
              jobentry::JobDone) override {}
  void CountPending(const std::string&, Millis, jobentry::JobDone) override {}
  bool Ready() override { return true; }

  void DropWaiting() { waiting_.clear(); }

  std::atomic<size_t> submissions = 0;

 private:
  std::deque<jobentry::JobDone> waiting_;
};

/// A server on a thread of its own, and callers that keep their connections.
class ServerFixture {
 public:
  explicit ServerFixture(size_t request_memory_bytes = 0)
      : server_(io_, executor_, service,
                {.address = "127.0.0.1:" + std::to_string(port_),
                 .ready_address = "127.0.0.1:0",
                 .request_memory_bytes = request_memory_bytes}) {
    BOOST_REQUIRE(server_.Start().ok());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~ServerFixture() {
    io_.stop();
    thread_.join();
    // While the server that tracks them still exists.
    service.DropWaiting();
  }
  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  tcp::socket& Send(const std::string& text) {
    tcp::socket& caller = callers_.emplace_back(caller_io_);
    caller.connect({asio::ip::address_v4::loopback(), port_});
    asio::write(caller, asio::buffer(text));
    return caller;
  }

  bool WaitForSubmissions(size_t count) const {
    const TimePoint end = Clock::now() + kWaitLimit;
    while (service.submissions < count && Clock::now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    }
    return service.submissions == count;
  }

  SilentJobService service;

 private:
  asio::io_context io_{1};
  rpc::AsioExecutor executor_{io_};
  uint16_t port_ = static_cast<uint16_t>(scenarios::FreePort());
  JobHttpServer server_;
  asio::io_context caller_io_;
  std::deque<tcp::socket> callers_;
  std::thread thread_;
};

std::string Submission(const std::string& body) {
  return "POST /q/00000000000000a1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Submission(size_t body_bytes) {
  std::string body = R"({"steps":[{"count":1,"cpu":100}]})";
  body.append(body_bytes - body.size(), ' ');
  return Submission(body);
}

bool WaitForBytes(const tcp::socket& caller) {
  const TimePoint end = Clock::now() + kWaitLimit;
  while (caller.available() == 0 && Clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return caller.available() > 0;
}

size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace

/// Guards against bodies that are kept until the leader answers.
BOOST_AUTO_TEST_CASE(TextOfWaitingSubmissionsIsFreed) {
  constexpr size_t kCallers = 40;
  ServerFixture server;
  const std::string submission = Submission(kBodyBytes);
  const size_t before = AllocatedBytes();
  for (size_t i = 0; i < kCallers; ++i) server.Send(submission);
  BOOST_REQUIRE(server.WaitForSubmissions(kCallers));
  BOOST_TEST(AllocatedBytes() < before + kCallers * kBodyBytes / 2);
}

/// Guards against bodies that are kept after their request was refused.
BOOST_AUTO_TEST_CASE(BodyOfAnAbandonedRequestIsFreed) {
  http::Parser parser({});
  const size_t before = AllocatedBytes();
  const std::string submission = Submission(kBodyBytes);
  const std::string_view unfinished(submission.data(), kBodyBytes);
  BOOST_REQUIRE(parser.Feed(unfinished, [](const http::ParsedMessage&) {}));
  parser.Abandon();
  BOOST_TEST(AllocatedBytes() < before + submission.size() + kBodyBytes / 2);
}

/// Guards against complete requests that take memory beyond the budget, and
/// against handling one that was refused.
BOOST_AUTO_TEST_CASE(SubmissionOverTheBudgetIsRefusedAndNotHandled) {
  // Fits one received body, whose capacity is up to twice its size.
  constexpr size_t kBudget = 2 * kBodyBytes + 1536;
  ServerFixture server(kBudget);
  const std::string submission = Submission(kBodyBytes);
  server.Send(submission);
  BOOST_REQUIRE(server.WaitForSubmissions(1));
  tcp::socket& caller = server.Send(submission);
  std::string answer;
  std::error_code closed;
  asio::read(caller, asio::dynamic_buffer(answer), closed);
  BOOST_TEST(answer.find("HTTP/1.1 503") == 0U);
  BOOST_TEST(answer.find("Retry-After: 1\r\n") != std::string::npos);
  BOOST_TEST(server.service.submissions == 1U);
}

/// Guards against headers that take many times their text, uncounted.
BOOST_AUTO_TEST_CASE(HeadersCountAgainstTheBudget) {
  constexpr size_t kBudget = 64 << 10;
  constexpr size_t kHeaders = 4000;
  ServerFixture server(kBudget);
  std::string submission = Submission(64);
  const size_t headers_at = submission.find("Host");
  for (size_t i = 0; i < kHeaders; ++i) submission.insert(headers_at, "a:\r\n");
  tcp::socket& caller = server.Send(submission);
  BOOST_REQUIRE(WaitForBytes(caller));
  std::string answer;
  std::error_code closed;
  asio::read(caller, asio::dynamic_buffer(answer), closed);
  BOOST_TEST(answer.find("HTTP/1.1 503") == 0U);
  BOOST_TEST(server.service.submissions == 0U);
}

/// Guards against requests that a caller sends ahead and that take the memory
/// of all until the first is answered.
BOOST_AUTO_TEST_CASE(RequestsSentAheadTakeNoBudget) {
  constexpr size_t kBudget = 256 << 10;
  constexpr size_t kCallers = 8;
  constexpr size_t kSentAhead = 100;
  ServerFixture server(kBudget);
  const std::string submission = Submission(64);
  std::string many;
  for (size_t i = 0; i < kSentAhead; ++i) many += submission;
  for (size_t i = 0; i < kCallers; ++i) server.Send(many);
  BOOST_TEST(server.WaitForSubmissions(kCallers));
  server.Send(submission);
  BOOST_TEST(server.WaitForSubmissions(kCallers + 1));
}

/// Guards against memory that decoded jobs take beyond the budget.
BOOST_AUTO_TEST_CASE(DecodedStepsCountAgainstTheBudget) {
  constexpr size_t kBudget = 64 << 10;
  std::string body = R"({"steps":[{"cpu":1})";
  for (size_t i = 1; i < kMaxJobSteps; ++i) body += R"(,{"cpu":1})";
  ServerFixture server(kBudget);
  tcp::socket& caller = server.Send(Submission(body + "]}"));
  BOOST_REQUIRE(WaitForBytes(caller));
  std::string answer;
  std::error_code closed;
  asio::read(caller, asio::dynamic_buffer(answer), closed);
  BOOST_TEST(answer.find("HTTP/1.1 503") == 0U);
  BOOST_TEST(server.service.submissions == 0U);
}

/// Guards against log lines as long as the longest target.
BOOST_AUTO_TEST_CASE(LongTargetsAreCutInTheLog) {
  constexpr size_t kTargetBytes = 8000;
  const std::string target(kTargetBytes, 'x');
  CapturedLog log;
  {
    ServerFixture server;
    for (const char* prefix : {"/q/", "/other/"}) {
      tcp::socket& caller =
          server.Send("POST " + (prefix + target) +
                      " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      std::string answer;
      std::error_code closed;
      asio::read(caller, asio::dynamic_buffer(answer), closed);
    }
  }
  const std::string lines = log.Take();
  BOOST_TEST(lines.find("\"request\"") != std::string::npos);
  BOOST_TEST(lines.find("\"request refused\"") != std::string::npos);
  BOOST_TEST(lines.size() < kTargetBytes);
}

}  // namespace platform

namespace http {
namespace {

constexpr size_t kBudget = 100;

struct Connection {
  explicit Connection(RequestMemory& memory)
      : charge(memory, [this] { closed = true; }) {}
  bool closed = false;
  RequestMemory::Charge charge;
};

}  // namespace

/// Guards against closing a request whose bytes still arrive, or a whole one.
BOOST_AUTO_TEST_CASE(UnfinishedRequestLongestWithoutBytesIsClosed) {
  RequestMemory memory(kBudget, nullptr);
  Connection whole(memory);
  Connection first(memory);
  Connection second(memory);
  BOOST_TEST(whole.charge.Complete(20));
  BOOST_TEST(first.charge.Receive(20));
  BOOST_TEST(second.charge.Receive(30));
  BOOST_TEST(first.charge.Receive(30));
  Connection third(memory);
  BOOST_TEST(third.charge.Receive(20));
  BOOST_TEST(memory.used_bytes() == kBudget);
  BOOST_TEST(!second.closed);
  BOOST_TEST(third.charge.Complete(21));
  BOOST_TEST(second.closed);
  BOOST_TEST(!first.closed);
  BOOST_TEST(!whole.closed);
  BOOST_TEST(memory.used_bytes() == 71U);
}

/// Guards against memory that whole requests take beyond the budget.
BOOST_AUTO_TEST_CASE(NewRequestIsRefusedBesideWholeOnes) {
  RequestMemory memory(kBudget, nullptr);
  Connection whole(memory);
  BOOST_TEST(whole.charge.Complete(90));
  {
    Connection next(memory);
    BOOST_TEST(!next.charge.Receive(11));
    BOOST_TEST(!next.charge.Complete(11));
    BOOST_TEST(!next.closed);
    BOOST_TEST(next.charge.Complete(10));
  }
  BOOST_TEST(memory.used_bytes() == 90U);
  BOOST_TEST(!whole.closed);
}

}  // namespace http
}  // namespace mimosarail
