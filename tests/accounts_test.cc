#define BOOST_TEST_MODULE accounts
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

#include "platform/authorization.h"
#include "platform/job_http_server.h"
#include "src/coordinator/job_table.h"
#include "src/jobentry/access_directory.h"
#include "src/libs/rpc/asio_executor.h"
#include "src/libs/rpc/codec.h"
#include "src/scheduling/scheduler.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"
#include "tests/scenarios/process_cluster.h"

namespace mimosarail::jobsim {
namespace {

using coordinator::JobVerdict;
using jobentry::AccessTable;
using platform::KeyFault;

constexpr Millis kSettleTime{2000};

ports::AccountConfig Account(const std::string& name, int64_t millicores) {
  return {.name = name,
          .keys = {"key-of-" + name},
          .weight = 10,
          .limit = {.millicores = millicores}};
}

wire::JobSpec JobOf(const std::string& account, JobId id, int32_t tasks,
                    int32_t millicores, bool gang = false) {
  wire::JobSpec spec = OneStepJob(id, tasks, millicores, gang);
  spec.account = account;
  return spec;
}

ports::CellConfig TwoQueues() {
  ports::CellConfig config{.version = 3};
  config.queues.resize(3);
  config.queues[0].host = config.queues[1].host = "h";
  config.queues[2].host = "other";
  config.queues[0].prefix = "/a/";
  config.queues[1].prefix = "/a/b/";
  config.queues[2].prefix = "/a/";
  config.queues[0].policy.name = "short";
  config.queues[1].policy.name = "long";
  config.queues[1].open = true;
  config.queues[2].policy.name = "other";
  config.accounts = {Account("alice", 0), Account("bob", 0)};
  return config;
}

/// Answers each query, and counts the calls that were passed to it.
class CountingJobService final : public jobentry::JobService {
 public:
  explicit CountingJobService(Executor& executor) : executor_(executor) {}

  jobentry::AccessView Access() const override {
    return access.View(executor_.Now());
  }
  void Submit(const wire::JobSpec& spec, Millis,
              jobentry::JobDone done) override {
    Note(spec.account);
    done({.verdict = JobVerdict::kConfirmed});
  }
  void QueryState(JobId, const jobentry::CallerAccount& account, Millis,
                  jobentry::JobDone done) override {
    Note(account.value_or("not authenticated"));
    done({.verdict = JobVerdict::kConfirmed});
  }
  void Cancel(JobId, const jobentry::CallerAccount&, Millis,
              jobentry::JobDone) override {}
  void CountPending(const std::string&, Millis, jobentry::JobDone) override {}
  bool Ready() override { return true; }

  jobentry::AccessDirectory access{{}};
  int calls = 0;
  std::string last_account;

 private:
  void Note(const std::string& account) {
    ++calls;
    last_account = account;
  }

  Executor& executor_;
};

/// A server on one thread, and a caller that keeps its connection.
class ServerFixture {
 public:
  ServerFixture()
      : server_(io_, executor_, service,
                {.address = "127.0.0.1:" + std::to_string(port_),
                 .ready_address = "127.0.0.1:0"}) {
    BOOST_REQUIRE(server_.Start().ok());
    thread_ = std::thread([this] { io_.run(); });
    caller_.connect({asio::ip::address_v4::loopback(), port_});
  }
  ~ServerFixture() {
    io_.stop();
    thread_.join();
  }
  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  void Publish(const ports::CellConfig& config, TimePoint confirmed) {
    service.access.Publish(std::make_shared<const AccessTable>(config),
                           confirmed);
  }
  /// Returns the head of the response, in one string.
  std::string Call(const std::string& path, const std::string& headers) {
    asio::write(caller_,
                asio::buffer("GET " + path + " HTTP/1.1\r\nHost: h\r\n" +
                             headers + "\r\n"));
    std::string response;
    const size_t head =
        asio::read_until(caller_, asio::dynamic_buffer(response), "\r\n\r\n");
    const std::string body_start = response.substr(head);
    if (body_start.empty()) {
      std::array<char, 2> byte{};
      asio::read(caller_, asio::buffer(byte, 1));
    }
    while (caller_.available() > 0) {
      std::array<char, 256> rest{};
      caller_.read_some(asio::buffer(rest));
    }
    return response.substr(0, head);
  }
  int Status(const std::string& path, const std::string& headers) {
    return std::stoi(Call(path, headers).substr(9, 3));
  }

  static constexpr const char* kJob = "00000000000000a1";

 private:
  asio::io_context io_{1};
  rpc::AsioExecutor executor_{io_};

 public:
  CountingJobService service{executor_};

 private:
  uint16_t port_ = static_cast<uint16_t>(scenarios::FreePort());
  platform::JobHttpServer server_;
  asio::io_context caller_io_;
  asio::ip::tcp::socket caller_{caller_io_};
  std::thread thread_;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a request that is served with a header that another reader of
/// it would understand differently.
BOOST_AUTO_TEST_CASE(KeyIsReadFromOneWellFormedHeader) {
  const auto read = [](std::vector<http::Header> headers) {
    return platform::ReadKey(headers).fault;
  };
  const std::vector<http::Header> good{{"authorization", "token  k-1"}};
  BOOST_TEST(platform::ReadKey(good).key == "k-1");
  BOOST_TEST((read({}) == KeyFault::kMissing));
  BOOST_TEST((read({{"Authorization", "Token a"},
                    {"authorization", "Token a"}}) == KeyFault::kRepeated));
  BOOST_TEST((read({{"Authorization", "Bearer k"}}) == KeyFault::kOtherScheme));
  BOOST_TEST((read({{"Authorization", "k"}}) == KeyFault::kOtherScheme));
  for (const char* value : {"Token", "Token ", "Token a b", "Token a\tb",
                            "Token \x7f", "Token \xff"}) {
    BOOST_TEST((read({{"Authorization", value}}) == KeyFault::kMalformed),
               value);
  }
}

/// Guards against a queue or an account that is found for the wrong path, host
/// or key.
BOOST_AUTO_TEST_CASE(QueuesAndAccountsAreFound) {
  const AccessTable table(TwoQueues());
  const auto name = [&table](const char* host, const char* path) {
    const ports::QueueConfig* queue = table.FindQueue(host, path);
    return queue == nullptr ? std::string() : queue->policy.name;
  };
  BOOST_TEST(name("h", "/a/x") == "short");
  BOOST_TEST(name("h", "/a/b/x") == "long");
  BOOST_TEST(name("other", "/a/b/x") == "other");
  BOOST_TEST(name("h", "/a") == "");
  BOOST_TEST(name("nobody", "/a/x") == "");
  BOOST_REQUIRE(table.FindAccount("key-of-bob") != nullptr);
  BOOST_TEST(*table.FindAccount("key-of-bob") == "bob");
  for (const char* key : {"", "key-of-bo", "key-of-bobb", "key-of-bOb"}) {
    BOOST_TEST(table.FindAccount(key) == nullptr);
  }
}

/// Guards against calls without a valid key that reach the service.
BOOST_FIXTURE_TEST_CASE(CallWithoutAValidKeyIsRefused, ServerFixture) {
  const std::string job = std::string("/a/") + kJob;
  BOOST_TEST(Status(job, "Authorization: Token key-of-bob\r\n") == 503);
  Publish(TwoQueues(), Clock::now() + std::chrono::hours(1));
  BOOST_TEST(Status("/nowhere/", "") == 404);
  BOOST_TEST(Status(job, "") == 401);
  BOOST_TEST(Status(job, "Authorization: Token key-of-eve\r\n") == 401);
  BOOST_TEST(Status(job, "Authorization: Basic key-of-bob\r\n") == 401);
  BOOST_TEST(Status(job,
                    "Authorization: Token key-of-bob\r\n"
                    "Authorization: Token key-of-bob\r\n") == 401);
  BOOST_TEST(Call(job, "").find("WWW-Authenticate: Token") !=
             std::string::npos);
  BOOST_TEST(service.calls == 0);
  BOOST_TEST(Status(job, "Authorization: Token key-of-bob\r\n") == 200);
  BOOST_TEST(service.last_account == "bob");
  BOOST_TEST(Status(std::string("/a/b/") + kJob, "") == 200);
  BOOST_TEST(service.last_account == "");
  ports::CellConfig without_accounts = TwoQueues();
  without_accounts.accounts.reset();
  Publish(without_accounts, Clock::now());
  BOOST_TEST(Status(job, "") == 200);
  BOOST_TEST(service.last_account == "not authenticated");
}

/// Guards against a final refusal of a key that is newer than the configuration
/// of an entry which the store has turned away.
BOOST_FIXTURE_TEST_CASE(UnknownKeyIsNotFinalWhileOutOfTouch, ServerFixture) {
  Publish(TwoQueues(), Clock::now() - std::chrono::seconds(10));
  const std::string job = std::string("/a/") + kJob;
  BOOST_TEST(Status(job, "Authorization: Token key-of-eve\r\n") == 503);
  BOOST_TEST(Status(job, "") == 401);
  BOOST_TEST(Status(job, "Authorization: Token key-of-bob\r\n") == 200);
}

/// Guards against revoked keys that an entry out of touch accepts forever,
/// where the settings demand that it does not.
BOOST_AUTO_TEST_CASE(KeysAreRefusedWhenRevocationsCannotBeKnown) {
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  jobentry::AccessDirectory strict({.revocation_timeout = Millis(5000)});
  jobentry::AccessDirectory lenient({});
  for (jobentry::AccessDirectory* directory : {&strict, &lenient}) {
    directory->Publish(std::make_shared<const AccessTable>(TwoQueues()), start);
  }
  BOOST_TEST(!strict.View(start + Millis(5000)).revocations_unknown);
  BOOST_TEST(strict.View(start + Millis(5001)).revocations_unknown);
  BOOST_TEST(!lenient.View(start + std::chrono::hours(1)).revocations_unknown);
  strict.Confirm(start + Millis(4000));
  BOOST_TEST(!strict.View(start + Millis(9000)).revocations_unknown);
  BOOST_TEST(strict.View(start + Millis(5000)).current);
  BOOST_TEST(!strict.View(start + Millis(9000)).current);
}

/// Guards against callers who read, cancel or take over the job of another
/// account by its id, before and after it has ended and its leader is gone.
BOOST_AUTO_TEST_CASE(JobsOfOtherAccountsAreUnknown) {
  JobCluster cluster({});
  cluster.PublishAccounts({Account("alice", 0), Account("bob", 0)});
  cluster.RunFor(kSettleTime);
  constexpr JobId kJob = 77;
  const std::string entry = cluster.names().back();
  const auto query = [&](const std::string& account) {
    JobVerdict verdict = JobVerdict::kOutcomeUnknown;
    cluster.QueryState(
        entry, kJob,
        [&verdict](const jobentry::JobAnswer& it) { verdict = it.verdict; },
        account);
    cluster.RunFor(Millis(500));
    return verdict;
  };
  cluster.upstreams().behavior({kJob, 0, 0, 0}).run_time = Millis(6000);
  cluster.Submit(entry, JobOf("alice", kJob, 1, 500));
  cluster.RunFor(Millis(500));
  BOOST_REQUIRE(cluster.accepted(kJob));
  BOOST_TEST((query("alice") == JobVerdict::kConfirmed));
  BOOST_TEST((query("bob") == JobVerdict::kNoSuchJob));
  cluster.Cancel(entry, kJob, "bob");
  cluster.Submit(entry, JobOf("bob", kJob, 1, 500));
  cluster.RunFor(Millis(500));
  BOOST_TEST((cluster.calls().back().verdict == JobVerdict::kIdInUse));
  BOOST_TEST(!cluster.cancelled(kJob));
  BOOST_REQUIRE(cluster.RunUntilFinal(kJob, Millis(10000)));
  BOOST_TEST((query("alice") == JobVerdict::kConfirmed));
  BOOST_TEST((query("bob") == JobVerdict::kNoSuchJob));
  // By then the leader has dropped the job's spec.
  cluster.RunFor(Millis(20000));
  cluster.Restart(cluster.Leader());
  cluster.RunFor(Millis(3000));
  BOOST_TEST((query("bob") == JobVerdict::kNoSuchJob));
  BOOST_TEST((query("alice") == JobVerdict::kConfirmed));
}

/// Guards against an upgrade that loses the jobs of the version before
/// accounts.
BOOST_AUTO_TEST_CASE(RecordsWithoutAccountsAreReadable) {
  const std::string spec_bytes(
      "\026\232\001\030\004\164\145\170\164\031\034\025\004\025\350\007"
      "\025\310\001\025\000\026\210\016\031\005\022\022\022\030\000\030"
      "\000\025\000\022\022\030\000\026\000\022\025\000\000\034\030\001"
      "\161\030\004\160\157\157\154\025\000\025\002\027\000\000\000\000"
      "\000\000\360\077\026\000\022\027\000\000\000\000\000\000\000\000"
      "\027\000\000\000\000\000\000\000\000\026\000\000\025\000\026\000"
      "\026\000\026\200\240\253\376\371\142\000",
      106);
  const auto spec = rpc::Decode<wire::JobSpec>(spec_bytes);
  BOOST_REQUIRE(spec.ok());
  Findings findings;
  CheckStoredJob(spec.value(), findings);
  BOOST_TEST(findings.ToString() == "");
  BOOST_TEST(spec.value().id == 77);
  BOOST_TEST(spec.value().steps[0].millicores == 500);
  BOOST_TEST(spec.value().accepted_unix_ms == 1700000000000);
  BOOST_TEST(spec.value().account == "");
  const auto progress = rpc::Decode<wire::ProgressRecord>(
      std::string("\025\004\030\000\031\014\000", 7));
  BOOST_REQUIRE(progress.ok());
  BOOST_TEST(progress.value().state == static_cast<int>(JobState::kComplete));
  BOOST_TEST(progress.value().account == "");
}

}  // namespace mimosarail::jobsim
