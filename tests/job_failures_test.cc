#define BOOST_TEST_MODULE job_failures
#include "src/coordinator/job_failures.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "src/coordinator/job_table.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

using coordinator::CountedRun;
using coordinator::CountReason;
using coordinator::EndSource;
using coordinator::FailedRuns;
using coordinator::JobFailure;
using coordinator::JobFailures;

constexpr Millis kStartupTime{2000};
constexpr Millis kTimeLimit{40000};
constexpr const char* kJobTable = "jobs";
const TaskId kTask{1, 0, 0, 0};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

void CheckContains(const std::string& text, const std::string& part) {
  BOOST_CHECK_MESSAGE(Contains(text, part), part << " is not in: " << text);
}

/// Waits until an upstream runs the task, and returns its id; empty if none
/// does within 10 s.
std::string AwaitRun(JobCluster& cluster) {
  constexpr int kMaxPolls = 1000;
  std::string at;
  for (int poll = 0; poll < kMaxPolls && at.empty(); ++poll) {
    cluster.RunFor(Millis(10));
    at = cluster.upstreams().UpstreamRunning(kTask);
  }
  return at;
}

void CheckFailed(JobCluster& cluster) {
  BOOST_TEST(cluster.RunUntilFinal(1, kTimeLimit));
  BOOST_TEST((cluster.State(1) == JobState::kFailed));
  BOOST_TEST(cluster.Violations().empty());
}

BOOST_AUTO_TEST_SUITE(explained_to_operators)

/// An operator sees a failed job and can't tell which runs have failed where.
BOOST_AUTO_TEST_CASE(EachFailedAttemptIsNamed) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask) = {.run_time = Millis(300),
                                         .failing_runs = 9};
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  const std::string first = AwaitRun(cluster);
  cluster.RunFor(Millis(310));
  const std::string second = AwaitRun(cluster);
  CheckFailed(cluster);
  const std::string reason = cluster.FailureReason(1);
  CheckContains(reason,
                "task " + TaskIdText(kTask) + ": attempts failed, 2 of 2: ");
  CheckContains(reason, "00001 on " + first + " incarnation 0 (failed attempt");
  CheckContains(reason, " on " + second + " incarnation 0 (failed attempt");
  CheckContains(reason, "the upstream's report");
  CheckContains(cluster.Metrics(cluster.Leader()),
                "jobs_failed{cause=\"attempts failed\"} 1");
}

/// A new leader names runs as its own that an earlier leader has counted.
BOOST_AUTO_TEST_CASE(AttemptsCountedByAnEarlierLeaderAreToldApart) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask) = {.run_time = Millis(1000),
                                         .failing_runs = 9};
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  BOOST_TEST(!AwaitRun(cluster).empty());
  cluster.RunFor(Millis(1500));
  BOOST_TEST(cluster.upstreams().starts() == 2);
  cluster.Kill(cluster.Leader());
  CheckFailed(cluster);
  const std::string reason = cluster.FailureReason(1);
  CheckContains(reason, "attempts failed, 2 of 2: ");
  CheckContains(reason, "(failed attempt, counted by an earlier leader)");
  CheckContains(reason, "(failed attempt, the upstream's report)");
}

/// After a takeover the new leader gives a cause that it can't know.
BOOST_AUTO_TEST_CASE(JobsFailedUnderAnEarlierLeaderHaveNoCause) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask) = {.run_time = Millis(100),
                                         .failing_runs = 9};
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  CheckFailed(cluster);
  const std::string earlier = cluster.Leader();
  cluster.Kill(earlier);
  cluster.RunFor(Millis(8000));
  BOOST_TEST(cluster.Leader() != earlier);
  BOOST_TEST(cluster.FailureReason(1) ==
             "decided by an earlier leader, see its log");
}

/// A job fails because of a failure that was stored while its records could not
/// be read, and nothing tells so.
BOOST_AUTO_TEST_CASE(FailuresStoredForUnreadableJobsAreExplained) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask) = {.run_time = Millis(600),
                                         .failing_runs = 9};
  wire::JobSpec spec = OneStepJob(1, 1, 1000);
  spec.queue.max_attempts = 1;
  cluster.Submit("entry-1", spec);
  BOOST_TEST(!AwaitRun(cluster).empty());
  for (const auto& name : cluster.names()) cluster.Kill(name);
  cluster.RunFor(Millis(1000));
  const std::string key = coordinator::SpecKey(1);
  const std::string record = cluster.store().Records(kJobTable).at(key);
  cluster.store().Put(kJobTable, key, "\xff\xff");
  for (const auto& name : cluster.names()) cluster.Restart(name);
  cluster.RunFor(Millis(12000));
  for (const auto& name : cluster.names()) cluster.Kill(name);
  cluster.store().Put(kJobTable, key, record);
  for (const auto& name : cluster.names()) cluster.Restart(name);
  CheckFailed(cluster);
  CheckContains(cluster.FailureReason(1),
                "attempts failed, 1 of 1: attempt 100001 (failed attempt, "
                "counted by an earlier leader)");
}

/// An operator can't tell on which upstreams a task was found to crash them.
BOOST_AUTO_TEST_CASE(EachCountedCrashIsNamed) {
  JobCluster cluster({.upstreams = 16});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).crash_delay = Millis(10);
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  CheckFailed(cluster);
  const std::string reason = cluster.FailureReason(1);
  CheckContains(reason, "crashes upstreams, 2: attempt 100001 on up-");
  CheckContains(reason, "(crash at the start, a later incarnation)");
  CheckContains(cluster.Metrics(cluster.Leader()),
                "jobs_failed{cause=\"crashes upstreams\"} 1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(memory)

CountedRun Reported(const TaskId& task, int64_t attempt) {
  return {.task = task,
          .attempt = attempt,
          .upstream = "up-1",
          .incarnation = 7,
          .source = EndSource::kReport};
}

/// The memory of a leader grows with each failure.
BOOST_AUTO_TEST_CASE(FailedRunsAreLimited) {
  FailedRuns runs(2);
  BOOST_TEST((runs.Find(kTask, 1).source == EndSource::kEarlierLeader));
  for (int64_t attempt = 1; attempt <= 3; ++attempt) {
    runs.Add(kTask, Reported(kTask, attempt));
    runs.Add(kTask, Reported(kTask, attempt));
  }
  BOOST_TEST((runs.Find(kTask, 1).source == EndSource::kForgotten));
  BOOST_TEST((runs.Find(kTask, 2) == Reported(kTask, 2)));
  BOOST_TEST((runs.Find(kTask, 3) == Reported(kTask, 3)));
}

/// The memory of a leader grows with each failed job.
BOOST_AUTO_TEST_CASE(FailedJobsAreLimited) {
  JobFailures failures(2);
  for (JobId id = 1; id <= 3; ++id) {
    failures.Add({.task = {id, 0, 0, 0}});
    failures.Add({.task = {id, 0, 0, 1}});
  }
  BOOST_TEST(failures.size() == 2U);
  BOOST_TEST((failures.Find(1) == nullptr));
  BOOST_TEST(failures.Find(3)->task.index == 1);
}

/// The reply about a task that has failed many times is too large.
BOOST_AUTO_TEST_CASE(ReasonNamesOnlyTheNewestRuns) {
  JobFailure failure{.task = kTask, .max_attempts = 100, .unlisted = 90};
  for (int64_t attempt = 91; attempt <= 100; ++attempt) {
    failure.runs.push_back(Reported(kTask, attempt));
  }
  const std::string text = coordinator::FailureText(failure);
  CheckContains(text, "100 of 100: 92 earlier ones, attempt 93 on up-1");
  CheckContains(text, "attempt 100 on up-1 incarnation 7 (failed attempt, ");
  BOOST_TEST(text.size() < 1000U);
}

/// A gang's failures are kept by its first member and not found again.
BOOST_AUTO_TEST_CASE(FailuresOfAGangAreThoseOfItsMembers) {
  wire::JobSpec spec = OneStepJob(1, 3, 1000, true);
  Job job(spec);
  FailedRuns runs;
  const TaskId member{1, 0, 0, 2};
  job.CountFailure(member, 5);
  runs.Add(job.FailureKeeper(member), Reported(member, 5));
  const JobFailure failure =
      coordinator::ExplainFailedAttempts(job, {1, 0, 0, 1}, runs);
  BOOST_REQUIRE(failure.runs.size() == 1U);
  BOOST_TEST((failure.runs.front() == Reported(member, 5)));
}

/// A crash that was only assumed is shown as proved.
BOOST_AUTO_TEST_CASE(CrashesNameWhatTheyAreKnownFrom) {
  const SuspectedCrash assumed{.attempt = 1,
                               .upstream = "up-1",
                               .incarnation = 7,
                               .last_seen = Millis(1400),
                               .silent_after = Millis(1500),
                               .fate = UpstreamFate::kMissing};
  const CountedRun run = coordinator::ToCountedRun(kTask, assumed);
  BOOST_TEST((run.source == EndSource::kMissing));
  BOOST_TEST((run.reason == CountReason::kLaterCrash));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mimosarail::jobsim
