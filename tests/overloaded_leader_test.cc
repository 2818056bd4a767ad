#define BOOST_TEST_MODULE overloaded_leader
#include <boost/test/unit_test.hpp>
#include <set>

#include "src/jobentry/submission_intake.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"
#include "tests/queueing_executor.h"

namespace mimosarail::jobsim {
namespace {

using coordinator::JobVerdict;
using jobentry::SubmissionIntake;

constexpr JobId kFirstJob = 0xab00;

wire::SubmitJobCall CallFor(JobId id, int32_t priority) {
  wire::SubmitJobCall call;
  call.job.id = static_cast<int64_t>(id);
  call.job.queue.priority = priority;
  return call;
}

/// An intake whose submissions take time to handle, beside other work.
struct IntakeFixture {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  QueueingExecutor executor{now};
  Millis handling_time{0};
  std::vector<JobId> handled;
  std::vector<JobId> dropped;
  JobId last_job = 0;
  SubmissionIntake intake{
      executor,
      {},
      {.handle =
           [this](const SubmissionIntake::Submission& submission) {
             now += handling_time;
             handled.push_back(static_cast<JobId>(submission.call.job.id));
           },
       .drop =
           [this](const SubmissionIntake::Submission& submission) {
             dropped.push_back(static_cast<JobId>(submission.call.job.id));
           }}};

  void Add(JobId id, int32_t priority) {
    intake.Add({.call = CallFor(id, priority), .done = {}, .received = now});
  }
  void RunAll() {
    while (!executor.idle()) executor.RunNext();
  }
};

/// Submits the job to the entry as another entry does, as received then.
JobVerdict SubmitReceivedAt(JobCluster& cluster, const std::string& entry,
                            const wire::JobSpec& spec, TimePoint received,
                            int64_t* retry_after_ms = nullptr) {
  wire::SubmitJobCall call;
  call.job = spec;
  std::optional<wire::SubmitJobReply> reply;
  cluster.entry(entry)->OnSubmit(
      call, received, [&](const wire::SubmitJobReply& it) { reply = it; });
  cluster.RunFor(Millis(1500));
  BOOST_REQUIRE(reply);
  if (retry_after_ms != nullptr) *retry_after_ms = reply->retry_after_ms;
  return coordinator::ToJobVerdict(reply->verdict);
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against urgent submissions that wait behind all others.
BOOST_FIXTURE_TEST_CASE(UrgentSubmissionsGoFirst, IntakeFixture) {
  Add(1, 2);
  Add(2, 1);
  Add(3, 0);
  Add(4, 0);
  RunAll();
  BOOST_TEST((handled == std::vector<JobId>{3, 4, 2, 1}));
  BOOST_TEST(dropped.empty());
}

/// Guards against work for submissions whose callers have given up: each takes
/// time from one whose caller still waits.
BOOST_FIXTURE_TEST_CASE(ExpiredSubmissionsAreDropped, IntakeFixture) {
  handling_time = Millis(100);
  constexpr int kSubmissions = 40;
  for (JobId id = 1; id <= kSubmissions; ++id) Add(id, 0);
  RunAll();
  std::set<JobId> all(handled.begin(), handled.end());
  all.insert(dropped.begin(), dropped.end());
  BOOST_TEST(handled.size() + dropped.size() == kSubmissions);
  BOOST_TEST(all.size() == kSubmissions);
  BOOST_TEST(handled.size() <= 6U);
  BOOST_TEST(handled.size() >= 5U);
}

/// Guards against submissions that keep a leader from renewing its lease and
/// from starting what it has accepted, at any overload.
BOOST_FIXTURE_TEST_CASE(SubmissionsLeaveTimeForOtherWork, IntakeFixture) {
  handling_time = Millis(5);
  constexpr Millis kOtherTime{10};
  for (const int overload : {2, 8, 40}) {
    handled.clear();
    Millis others{0};
    const TimePoint start = now;
    std::function<void()> other_work = [&] {
      now += kOtherTime;
      others += kOtherTime;
      for (int i = 0; i < overload; ++i) Add(++last_job, 0);
      if (now - start < Millis(20000)) executor.Post(other_work);
    };
    executor.Post(other_work);
    RunAll();
    const auto total = std::chrono::duration_cast<Millis>(now - start);
    BOOST_TEST_MESSAGE("overload " << overload << ": handled " << handled.size()
                                   << " in " << total.count()
                                   << " ms, other work " << others.count());
    BOOST_TEST(10 * others.count() >= 6 * total.count());
    BOOST_TEST(10 * 5 * static_cast<int64_t>(handled.size()) >=
               2 * total.count());
  }
}

/// Guards against a leader that stores a job after its entry has given up, and
/// against a refusal of one that is accepted already.
BOOST_AUTO_TEST_CASE(LateSubmissionIsRefusedUnlessAccepted) {
  JobCluster cluster({});
  cluster.RunFor(Millis(3000));
  const std::string leader = cluster.Leader();
  BOOST_REQUIRE(!leader.empty());
  const wire::JobSpec job = OneStepJob(kFirstJob, 1, 1000);
  cluster.upstreams().RegisterJob(job);
  const Millis late{600};
  int64_t retry_after_ms = 0;
  BOOST_TEST(
      (SubmitReceivedAt(cluster, leader, job, cluster.clock().now() - late,
                        &retry_after_ms) == JobVerdict::kOverloaded));
  BOOST_TEST(retry_after_ms >= 1000);
  BOOST_TEST(!cluster.State(kFirstJob).has_value());
  BOOST_TEST((SubmitReceivedAt(cluster, leader, job, cluster.clock().now()) ==
              JobVerdict::kConfirmed));
  BOOST_TEST(
      (SubmitReceivedAt(cluster, leader, job, cluster.clock().now() - late) ==
       JobVerdict::kConfirmed));
  const std::string follower = leader == "entry-0" ? "entry-1" : "entry-0";
  BOOST_TEST(
      (SubmitReceivedAt(cluster, follower, job, cluster.clock().now() - late) ==
       JobVerdict::kNotLeading));
  BOOST_TEST(cluster.Violations().empty());
}

}  // namespace mimosarail::jobsim
