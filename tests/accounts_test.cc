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
  void Submit(const wire::JobSpec& spec, const jobentry::Submitter&,
              jobentry::JobDone done) override {
    Note(spec.account);
    done({.verdict = JobVerdict::kConfirmed});
  }
  void QueryState(JobId, const jobentry::CallerAccount& account, Millis,
                  jobentry::JobDone done) override {
    Note(account.value_or("not authenticated"));
    done({.verdict = JobVerdict::kConfirmed});
  }
  void Cancel(JobId, const jobentry::CallerAccount& account, Millis,
              jobentry::JobDone done) override {
    Note(account.value_or("not authenticated"));
    done({.verdict = JobVerdict::kConfirmed});
  }
  void CountPending(const std::string&, Millis,
                    jobentry::JobDone done) override {
    Note("");
    done({.verdict = JobVerdict::kConfirmed});
  }
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
    service.access.Publish(std::make_shared<const AccessTable>(config));
    service.access.Confirm(confirmed);
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

/// A scheduler with upstreams of 16 cores that accept every start.
class LimitedScheduler {
 public:
  explicit LimitedScheduler(int64_t limit, int upstreams = 4) {
    for (int i = 0; i < upstreams; ++i) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(i);
      entry.pool = "pool";
      entry.capacity = {.millicores = 16000, .memory_mb = 320000};
      const UpstreamIndex index = scheduler.pool().Update(entry);
      scheduler.pool().at(index).reachable = true;
    }
    SetLimit(limit);
  }
  void SetLimit(int64_t limit) {
    scheduler.SetAccounts({Account("alice", limit)});
  }
  void Resolve() {
    scheduling::Orders none;
    scheduler.ResolveAll(now, none);
  }
  std::vector<scheduling::StartOrder> Place() {
    scheduling::Orders orders;
    scheduler.Place(now, {.any = 50, .urgent_only = 5}, orders);
    return orders.starts;
  }
  void End(const scheduling::StartOrder& start) {
    scheduling::Orders orders;
    scheduler.OnEnd(start.upstream,
                    {.number = ++ends_,
                     .task = start.task,
                     .attempt = start.attempt,
                     .kind = ports::EndKind::kDone},
                    now, orders);
  }
  void Add(const wire::JobSpec& spec) { scheduler.Add(spec, now, 0); }

  scheduling::Scheduler scheduler{scheduling::SchedulerOptions{}};
  TimePoint now = TimePoint() + std::chrono::hours(1);

 private:
  int64_t ends_ = 0;
};

std::vector<uint64_t> Seeds() {
  constexpr uint64_t kDefaultCount = 60;
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  const uint64_t count =
      text == nullptr ? kDefaultCount : std::strtoull(text, nullptr, 10);
  std::vector<uint64_t> out;
  for (uint64_t i = 0; i < count; ++i) out.push_back(3000 + i);
  return out;
}

/// Plays one random schedule: two accounts submit more than their limits allow
/// while entries, the store and upstreams fail.
class LimitSchedule {
 public:
  explicit LimitSchedule(uint64_t seed)
      : random_(seed),
        cluster_({.restart_under_same_id = seed % 2 == 0,
                  .crash_silently = seed % 4 == 1}) {}

  void Play() {
    cluster_.PublishAccounts(
        {Account("alice", kAliceLimit), Account("bob", kBobLimit)});
    cluster_.upstreams().SetAccountLimit("alice", kAliceLimit);
    cluster_.upstreams().SetAccountLimit("bob", kBobLimit);
    cluster_.RunFor(kSettleTime);
    constexpr int kSteps = 60;
    for (int i = 0; i < kSteps; ++i) {
      SubmitRandomJob();
      if (Chance(35)) InjectFault();
      cluster_.RunFor(Millis(50 + Pick(400)));
    }
    Heal();
    cluster_.RunFor(Millis(40000));
    for (const std::string& what : cluster_.Violations()) BOOST_ERROR(what);
    for (const JobId id : jobs_) {
      if (!cluster_.accepted(id)) continue;
      const auto state = cluster_.State(id);
      BOOST_CHECK_MESSAGE(state && IsFinal(*state),
                          "accepted but never finished: " << JobIdText(id));
    }
  }

 private:
  static constexpr int64_t kAliceLimit = 6000;
  static constexpr int64_t kBobLimit = 3500;

  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }
  std::string RandomEntry() {
    const auto names = cluster_.names();
    return names[Pick(names.size())];
  }
  std::string RandomUpstream() {
    const auto ids = cluster_.upstreams().ids();
    return ids[Pick(ids.size())];
  }

  void SubmitRandomJob() {
    const JobId id = 0xacc0000 + jobs_.size();
    const bool gang = Chance(25);
    wire::JobSpec spec = JobOf(Chance(60) ? "alice" : "bob", id,
                               1 + static_cast<int32_t>(Pick(4)),
                               500 + 250 * static_cast<int32_t>(Pick(2)), gang);
    if (Chance(30)) {
      wire::StepSpec second = spec.steps[0];
      second.gang = false;
      second.after = {0};
      spec.steps.push_back(second);
    }
    for (int32_t s = 0; s < static_cast<int32_t>(spec.steps.size()); ++s) {
      for (int32_t i = 0; i < spec.steps[static_cast<size_t>(s)].tasks; ++i) {
        auto& behavior = cluster_.upstreams().behavior({id, 0, s, i});
        behavior.run_time = Millis(100 + Pick(1500));
        behavior.failing_runs = Chance(4) ? 1 : 0;
      }
    }
    jobs_.push_back(id);
    cluster_.Submit(RandomEntry(), spec);
    if (Chance(8)) cluster_.Cancel(RandomEntry(), jobs_[Pick(jobs_.size())]);
  }

  void InjectFault() {
    const std::string leader = cluster_.Leader();
    const std::string entry =
        Chance(50) && !leader.empty() ? leader : RandomEntry();
    switch (Pick(8)) {
      case 0:
        return cluster_.Restart(entry);
      case 1:
        return cluster_.Pause(entry);
      case 2:
        for (const auto& name : cluster_.names()) cluster_.Resume(name);
        return;
      case 3:
        cluster_.store().faults().down = Chance(50);
        return;
      case 4:
        if (Chance(60)) {
          cluster_.store().faults().partitioned_entries.insert(entry);
        } else {
          cluster_.store().faults().partitioned_entries.clear();
        }
        return;
      case 5:
        cluster_.upstreams().faults(RandomUpstream()).drop_start_replies = 2;
        cluster_.upstreams().faults(RandomUpstream()).delayed_starts = 1;
        return;
      case 6:
        return cluster_.upstreams().Crash(RandomUpstream());
      default:
        cluster_.upstreams().faults(RandomUpstream()).unreachable = Chance(50);
    }
  }

  void Heal() {
    for (const auto& name : cluster_.names()) cluster_.Resume(name);
    cluster_.store().faults() = {};
    for (const auto& id : cluster_.upstreams().ids()) {
      cluster_.upstreams().faults(id) = {};
    }
  }

  std::mt19937_64 random_;
  JobCluster cluster_;
  std::vector<JobId> jobs_;
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
  const std::vector<http::Header> padded{{"Authorization", "Token k-1 \t"}};
  BOOST_TEST(platform::ReadKey(padded).key == "k-1");
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

/// Guards against limits of the operators that are not applied, or only to
/// connections that begin later.
BOOST_FIXTURE_TEST_CASE(LimitsFollowTheConfiguration, ServerFixture) {
  ports::CellConfig config = TwoQueues();
  config.accounts.reset();
  Publish(config, Clock::now());
  const std::string job = std::string("/a/") + kJob;
  const std::string filler = "X-Filler: " + std::string(1000, 'x') + "\r\n";
  BOOST_TEST(Status(job, filler) == 200);
  config.limits.max_head_bytes = 1000;
  Publish(config, Clock::now());
  BOOST_TEST(Status(job, "") == 200);
  BOOST_TEST(Status(job, filler) == 431);
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
    directory->Publish(std::make_shared<const AccessTable>(TwoQueues()));
    directory->Confirm(start);
  }
  BOOST_TEST(!strict.View(start + Millis(5000)).revocations_unknown);
  BOOST_TEST(strict.View(start + Millis(5001)).revocations_unknown);
  BOOST_TEST(!lenient.View(start + std::chrono::hours(1)).revocations_unknown);
  strict.Confirm(start + Millis(4000));
  BOOST_TEST(!strict.View(start + Millis(9000)).revocations_unknown);
  BOOST_TEST(strict.View(start + Millis(5000)).current);
  BOOST_TEST(!strict.View(start + Millis(9000)).current);
}

/// Guards against an entry that was paused and refuses a key for good that was
/// added meanwhile, since it reads a confirmation from before the pause.
BOOST_AUTO_TEST_CASE(PausedEntryIsNotUpToDateWhenItResumes) {
  JobCluster cluster({});
  cluster.PublishAccounts({Account("alice", 0)});
  cluster.RunFor(kSettleTime);
  const std::string name = cluster.names().back();
  jobentry::JobEntry* entry = cluster.entry(name);
  BOOST_TEST(entry->Access().current);
  // With it, the store answers as of when it was asked.
  cluster.store().faults().jitter = Millis(1);
  cluster.RunFor(Millis(500));
  cluster.Pause(name);
  cluster.RunFor(Millis(3000));
  cluster.PublishAccounts({Account("alice", 0), Account("bob", 0)});
  cluster.RunFor(Millis(1000));
  cluster.Resume(name);
  bool saw_old_table = false;
  for (int i = 0; i < 500; ++i) {
    cluster.RunFor(Millis(1));
    const jobentry::AccessView view = entry->Access();
    const bool knows_key = view.table->FindAccount("key-of-bob") != nullptr;
    saw_old_table = saw_old_table || !knows_key;
    BOOST_REQUIRE(knows_key || !view.current);
  }
  BOOST_TEST(saw_old_table);
  BOOST_TEST(entry->Access().current);
}

/// Guards against keys that all entries accept forever, where the settings
/// demand otherwise: the leader writes to the store, and nobody can read the
/// configuration there.
BOOST_AUTO_TEST_CASE(LeaderVouchesForItsConfigurationAsOfItsOwnReads) {
  JobCluster cluster({});
  cluster.PublishAccounts({Account("alice", 0)});
  cluster.RunFor(kSettleTime);
  cluster.store().faults().config_unreadable = true;
  cluster.RunFor(Millis(4000));
  for (const std::string& name : cluster.names()) {
    const jobentry::AccessView view = cluster.entry(name)->Access();
    BOOST_TEST(!view.current);
    BOOST_TEST((view.age > Millis(2000)));
  }
  cluster.store().faults().config_unreadable = false;
  cluster.RunFor(kSettleTime);
  for (const std::string& name : cluster.names()) {
    BOOST_TEST(cluster.entry(name)->Access().current);
  }
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

/// Guards against tasks of an account beyond its limit: a wide step runs in
/// waves, and the tasks of other accounts are not held up.
BOOST_AUTO_TEST_CASE(WideStepRunsInWavesWithinTheLimit) {
  LimitedScheduler test(3000);
  test.Resolve();
  test.Add(JobOf("alice", 1, 8, 1000));
  test.Add(JobOf("bob", 2, 8, 1000));
  auto starts = test.Place();
  const auto of_alice = [&starts] {
    return std::count_if(starts.begin(), starts.end(),
                         [](const auto& it) { return it.task.job == 1; });
  };
  BOOST_TEST(of_alice() == 3);
  BOOST_TEST(starts.size() == 11U);
  BOOST_TEST(test.Place().empty());
  const auto first = std::find_if(starts.begin(), starts.end(),
                                  [](auto& it) { return it.task.job == 1; });
  test.End(*first);
  starts = test.Place();
  BOOST_TEST(of_alice() == 1);
}

/// Guards against a gang that waits forever while small steps of its account
/// take all that becomes free, and against one that never fits and blocks them.
BOOST_AUTO_TEST_CASE(GangIsNotOvertakenByItsOwnAccount) {
  LimitedScheduler test(4000);
  test.Resolve();
  test.Add(JobOf("alice", 1, 3, 1000));
  auto small = test.Place();
  BOOST_REQUIRE(small.size() == 3U);
  test.Add(JobOf("alice", 2, 5, 1000, true));
  test.Add(JobOf("alice", 3, 4, 1000, true));
  test.Add(JobOf("alice", 4, 9, 1000));
  BOOST_TEST(test.Place().empty());
  for (const auto& start : small) test.End(start);
  const auto gang = test.Place();
  BOOST_REQUIRE(gang.size() == 4U);
  for (const auto& start : gang) BOOST_TEST(start.task.job == 3U);
  test.SetLimit(2000);
  for (const auto& start : gang) test.End(start);
  BOOST_TEST(test.Place().size() == 2U);
}

/// Guards against a new leader that starts tasks of an account whose tasks may
/// run where the leader has not heard from yet.
BOOST_AUTO_TEST_CASE(UnreportedRunsCountAgainstTheLimit) {
  LimitedScheduler test(4000);
  wire::ProgressRecord running;
  running.state = static_cast<int32_t>(JobState::kRunning);
  test.scheduler.Load(JobOf("alice", 1, 3, 1000), running, test.now, 0);
  test.Add(JobOf("alice", 2, 4, 1000));
  test.scheduler.Tick(test.now, 0);
  BOOST_TEST(test.Place().size() == 1U);
  scheduling::Orders orders;
  test.scheduler.Resolve({1}, test.now, orders);
  BOOST_TEST(test.Place().empty());
  test.Resolve();
  BOOST_TEST(test.Place().size() == 3U);
  BOOST_TEST(test.Place().empty());
}

/// Guards against a new leader that does not count the runs of a step whose
/// predecessor had ended, since that end was not stored yet.
BOOST_AUTO_TEST_CASE(UnreportedRunsOfLaterStepsCountAgainstTheLimit) {
  LimitedScheduler test(4000);
  wire::JobSpec spec = JobOf("alice", 1, 1, 500);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].tasks = 3;
  spec.steps[1].millicores = 1000;
  spec.steps[1].after = {0};
  wire::ProgressRecord running;
  running.state = static_cast<int32_t>(JobState::kRunning);
  test.scheduler.Load(spec, running, test.now, 0);
  test.Add(JobOf("alice", 2, 4, 1000));
  test.scheduler.Tick(test.now, 0);
  BOOST_TEST(test.Place().empty());
}

/// Guards against an account whose work waits forever behind a gang that does
/// not fit beside the long-running tasks of the account.
BOOST_AUTO_TEST_CASE(GangThatWaitsForLongRunningTasksBlocksNoOther) {
  LimitedScheduler test(4000);
  test.Resolve();
  wire::JobSpec lasting = JobOf("alice", 1, 2, 1000);
  lasting.steps[0].long_running = true;
  test.Add(lasting);
  BOOST_REQUIRE(test.Place().size() == 2U);
  test.Add(JobOf("alice", 2, 3, 1000, true));
  test.Add(JobOf("alice", 3, 1, 1000));
  const auto starts = test.Place();
  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].task.job == 3U);
}

/// Guards against charges that remain after a run has ended, or that end before
/// it, whatever order losses, duplicates and late ends come in.
BOOST_AUTO_TEST_CASE(ChargesMatchTheReservations) {
  constexpr int kSteps = 20000;
  std::mt19937_64 random(7);
  const auto pick = [&random](uint64_t below) { return random() % below; };
  scheduling::UpstreamPool pool;
  const std::vector<scheduling::AccountIndex> accounts{
      pool.accounts().IndexOf("alice"), pool.accounts().IndexOf("bob"),
      scheduling::kNoAccount};
  using Key = std::tuple<UpstreamIndex, JobId, int64_t>;
  std::map<Key, std::pair<size_t, int32_t>> expected;
  std::vector<UpstreamIndex> upstreams;
  const auto add_upstream = [&] {
    ports::UpstreamEntry entry;
    entry.id = "up-" + std::to_string(upstreams.size());
    entry.capacity = {.millicores = 16000, .memory_mb = 32000};
    upstreams.push_back(pool.Update(entry));
  };
  for (int i = 0; i < 5; ++i) add_upstream();
  for (int i = 0; i < kSteps; ++i) {
    const UpstreamIndex upstream = upstreams[upstreams.size() - 1 - pick(5)];
    const JobId job = pick(20);
    const auto attempt = static_cast<int64_t>(1 + pick(3));
    const TaskId task{job, 0, 0, 0};
    if (pick(200) == 0) {
      pool.Remove(upstreams[upstreams.size() - 5]);
      std::erase_if(expected, [&](const auto& it) {
        return std::get<0>(it.first) == upstreams[upstreams.size() - 5];
      });
      add_upstream();
    } else if (pick(2) == 0) {
      const auto millicores = static_cast<int32_t>(100 * (1 + job));
      scheduling::Amount size;
      size[scheduling::Dimension::kCores] = millicores;
      pool.Reserve(upstream, task, attempt,
                   {.amount = size,
                    .charge = {.account = accounts[job % 3], .size = size}});
      expected.try_emplace({upstream, job, attempt}, job % 3, millicores);
    } else {
      pool.Release(upstream, task, attempt);
      expected.erase({upstream, job, attempt});
    }
    for (size_t a = 0; a < 2; ++a) {
      int64_t sum = 0;
      for (const auto& [key, value] : expected) {
        if (value.first == a) sum += value.second;
      }
      BOOST_REQUIRE_EQUAL(
          pool.accounts().charged(accounts[a])[scheduling::Dimension::kCores],
          sum);
    }
  }
}

/// Guards against a job that waits although it can never start.
BOOST_AUTO_TEST_CASE(JobThatNeverFitsTheLimitIsRefusedAtOnce) {
  JobCluster cluster({});
  cluster.PublishAccounts({Account("alice", 2000)});
  cluster.RunFor(kSettleTime);
  const std::string entry = cluster.names().front();
  cluster.Submit(entry, JobOf("alice", 1, 3, 1000, true));
  cluster.Submit(entry, JobOf("alice", 2, 1, 3000));
  cluster.Submit(entry, JobOf("alice", 3, 9, 1000));
  cluster.RunFor(Millis(300));
  BOOST_TEST((cluster.calls()[0].verdict == JobVerdict::kOverLimit));
  BOOST_TEST((cluster.calls()[1].verdict == JobVerdict::kOverLimit));
  BOOST_TEST(cluster.accepted(3));
}

/// Guards against a limit that was cut and does not hold at the leader, and
/// against one that was raised and is not used.
BOOST_AUTO_TEST_CASE(ChangedLimitIsInForceAtTheLeader) {
  JobCluster cluster({});
  cluster.PublishAccounts({Account("alice", 4000)});
  cluster.RunFor(kSettleTime);
  wire::JobSpec spec = JobOf("alice", 5, 40, 1000);
  for (int32_t i = 0; i < 40; ++i) {
    cluster.upstreams().behavior({5, 0, 0, i}).run_time = Millis(400);
  }
  cluster.Submit(cluster.names().front(), spec);
  cluster.RunFor(Millis(300));
  BOOST_TEST(cluster.upstreams().AccountMillicores("alice") == 4000);
  cluster.PublishAccounts({Account("alice", 1000)});
  cluster.RunFor(Millis(500));
  cluster.upstreams().SetAccountLimit("alice", 1000);
  cluster.RunFor(Millis(3000));
  BOOST_TEST(cluster.upstreams().AccountMillicores("alice") == 1000);
  cluster.upstreams().SetAccountLimit("alice", 8000);
  cluster.PublishAccounts({Account("alice", 8000)});
  cluster.RunFor(Millis(700));
  BOOST_TEST(cluster.upstreams().AccountMillicores("alice") == 8000);
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against an account that exceeds its limit, at any instant as the
/// upstreams see it, while entries, the store and upstreams fail.
BOOST_DATA_TEST_CASE(LimitHoldsUnderFaults,
                     boost::unit_test::data::make(Seeds()), seed) {
  LimitSchedule(seed).Play();
}

}  // namespace mimosarail::jobsim
